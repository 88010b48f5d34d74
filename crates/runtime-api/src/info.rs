//! `show info` and `show map`: names and values, a line each (management guide, 9.2 and 9.3).

use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Names and values in the order in which they are to be printed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Info(Vec<(String, String)>);

impl Info {
    pub fn put(&mut self, name: &str, value: impl ToString) {
        self.0.push((name.to_string(), value.to_string()));
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(held, _)| held == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }

    pub fn write(&self) -> String {
        self.0.iter().fold(String::new(), |mut out, (name, value)| {
            let _ = writeln!(out, "{name}: {value}");
            out
        })
    }

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

    /// Reads `name: value` lines; others are passed over.
    pub fn read(text: &str) -> Info {
        let pair = |line: &str| {
            line.split_once(": ")
                .map(|(n, v)| (n.trim().into(), v.trim().into()))
        };
        Info(text.lines().filter_map(pair).collect())
    }
}

/// The answer to `show map <map>`: `<id> <key> <value>`. The ids only tell entries apart.
pub fn write_map<'a>(entries: impl Iterator<Item = (&'a String, &'a String)>) -> String {
    entries
        .enumerate()
        .fold(String::new(), |mut out, (n, (key, value))| {
            let _ = writeln!(out, "{:#x} {key} {value}", 0x1000 + n * 64);
            out
        })
}

/// Reads an answer to `show map <map>`. Lines that are no entry (an unknown map's message, say) give `None`.
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
