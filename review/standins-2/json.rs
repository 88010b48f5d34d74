//! A small reader of JSON, for the stand-ins of the relay and the registry.
#![allow(dead_code)]

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
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.space();
        (reader.at == text.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(entries) => entries.get(key).unwrap_or(&Json::Null),
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

    fn next(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut entries = BTreeMap::new();
                if self.next(b'}').is_some() {
                    return Some(Json::Object(entries));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.next(b':')?;
                    entries.insert(key, self.value()?);
                    if self.next(b'}').is_some() {
                        return Some(Json::Object(entries));
                    }
                    self.next(b',')?;
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.next(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.next(b']').is_some() {
                        return Some(Json::List(list));
                    }
                    self.next(b',')?;
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.bytes[start..self.at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    text.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        other => other,
                    });
                }
                other => text.push(other),
            }
        }
    }
}
