//! A small JSON reader, enough for the relay's calls and the configuration file.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = reader.value()?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, text: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(text.as_bytes()).then(|| self.at += text.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'n' => self.take("null").map(|()| Json::Null),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                self.space();
                if self.take("]").is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    self.space();
                    if self.take("]").is_some() {
                        return Some(Json::List(list));
                    }
                    self.take(",")?;
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                self.space();
                if self.take("}").is_some() {
                    return Some(Json::Object(fields));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.space();
                    self.take(":")?;
                    let value = self.value()?;
                    fields.insert(key, value);
                    self.space();
                    if self.take("}").is_some() {
                        return Some(Json::Object(fields));
                    }
                    self.take(",")?;
                }
            }
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|byte| b"+-.0123456789eE".contains(byte))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(text).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    text.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        b'u' => return None,
                        other => other,
                    });
                    self.at += 2;
                }
                byte => {
                    text.push(byte);
                    self.at += 1;
                }
            }
        }
    }
}
