//! `show info` and `show map`: one line for each name and value (management guide, 9.2 and 9.3).

use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Names and values in the order in which they are printed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Info(Vec<(String, String)>);

impl Info {
    /// Appends a name and its value.
    pub fn push(&mut self, name: &str, value: impl ToString) {
        self.0.push((name.to_string(), value.to_string()));
    }

    /// The value of a name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(entry, _)| entry == name)
            .map(|(_, value)| value.as_str())
    }

    /// The value of a name, if it is an integer.
    pub fn get_u64(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }

    /// The reply to `show info`.
    pub fn write(&self) -> String {
        self.0.iter().fold(String::new(), |mut out, (name, value)| {
            let _ = writeln!(out, "{name}: {value}");
            out
        })
    }

    /// The reply to `show info json`.
    pub fn write_json(&self) -> String {
        let rows = self.0.iter().enumerate().map(|(pos, (name, value))| {
            let value = match value.parse::<u64>() {
                Ok(number) => json!({"type": "u64", "value": number}),
                Err(_) => json!({"type": "str", "value": value}),
            };
            json!({"field": {"pos": pos, "name": name}, "processNum": 1, "value": value})
        });
        format!("{}\n", serde_json::Value::Array(rows.collect()))
    }

    /// Reads the lines `name: value` and skips all others.
    pub fn read(text: &str) -> Info {
        let pair = |line: &str| {
            line.split_once(": ")
                .map(|(n, v)| (n.trim().into(), v.trim().into()))
        };
        Info(text.lines().filter_map(pair).collect())
    }
}

/// The reply to `show map <map>`: lines `<id> <key> <value>`. The ids only distinguish the entries.
pub fn write_map<'a>(entries: impl Iterator<Item = (&'a String, &'a String)>) -> String {
    entries
        .enumerate()
        .fold(String::new(), |mut out, (n, (key, value))| {
            let _ = writeln!(out, "{:#x} {key} {value}", 0x1000 + n * 64);
            out
        })
}

/// Reads a reply to `show map <map>`. The result is `None` if a line is not an entry, such as the message for an
/// unknown map.
pub fn read_map(text: &str) -> Option<BTreeMap<String, String>> {
    let entry = |line: &str| {
        let mut parts = line.splitn(3, ' ');
        let id = parts.next()?;
        id.strip_prefix("0x")?;
        Some((
            parts.next()?.to_string(),
            parts.next().unwrap_or("").to_string(),
        ))
    };
    text.lines()
        .filter(|line| !line.is_empty())
        .map(entry)
        .collect()
}
