//! A host's own report of its load in an answer's header `endpoint-load-metrics`.
//!
//! Source: the open request cost aggregation (ORCA) load report, "per-request" mode: the value is a format's name
//! and the report, `TEXT cpu_utilization=0.62, named_metrics.queue=3` or `JSON {"cpu_utilization": 0.62}`. The third
//! format, `BIN` with a base64 message, is passed over. Of the fields, `cpu_utilization` (share of all cores, 0 to 1),
//! `rps_fractional` (reqs ended a second) and `eps` (of those, errored) are published ones; `named_metrics` are the
//! sender's own: here `queue` (reqs waiting) and `latency_ms` (recent service time without waiting, milliseconds).

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(missing_docs)]

use serde_json::Value;
use std::fmt::Write;

pub const HEADER: &str = "endpoint-load-metrics";
/// Longest value that is read, in bytes.
const LONGEST: usize = 4096;

/// What was reported; any part may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub busy: Option<f64>,
    pub queue: Option<f64>,
    pub latency_ms: Option<f64>,
    /// Reqs that ended a second, and those of them that errored.
    pub rate: Option<f64>,
    pub errored_rate: Option<f64>,
}

impl Report {
    /// Reads a header's value. Unknown formats, and figures that are negative or not finite, count as missing.
    pub fn read(value: &str) -> Report {
        let value = value.trim();
        let mut report = Report::default();
        if value.len() > LONGEST {
            return report;
        }
        match value.split_once(char::is_whitespace) {
            Some(("TEXT", pairs)) => {
                for (name, figure) in pairs.split(',').filter_map(|pair| pair.split_once('=')) {
                    report.put(name.trim(), figure.trim().parse().ok());
                }
            }
            Some(("JSON", text)) => {
                let Ok(Value::Object(fields)) = serde_json::from_str(text) else {
                    return report;
                };
                for (name, value) in &fields {
                    report.put(name, value.as_f64());
                }
                if let Some(Value::Object(named)) = fields.get("named_metrics") {
                    named.iter().for_each(|(name, v)| {
                        report.put(&format!("named_metrics.{name}"), v.as_f64())
                    });
                }
            }
            _ => {}
        }
        report
    }

    /// The header's value in the `TEXT` format.
    pub fn write(&self) -> String {
        let mut out = String::from("TEXT ");
        let parts = [
            ("cpu_utilization", self.busy),
            ("rps_fractional", self.rate),
            ("eps", self.errored_rate),
            ("named_metrics.queue", self.queue),
            ("named_metrics.latency_ms", self.latency_ms),
        ];
        for (name, value) in parts
            .into_iter()
            .filter_map(|(name, value)| Some((name, value?)))
        {
            let comma = if out.ends_with(' ') { "" } else { ", " };
            let _ = write!(out, "{comma}{name}={value:.3}");
        }
        out
    }

    fn put(&mut self, name: &str, figure: Option<f64>) {
        let figure = figure.filter(|figure| figure.is_finite() && *figure >= 0.0);
        match name {
            "cpu_utilization" => self.busy = figure.or(self.busy),
            "rps_fractional" => self.rate = figure.or(self.rate),
            "eps" => self.errored_rate = figure.or(self.errored_rate),
            "named_metrics.queue" => self.queue = figure.or(self.queue),
            "named_metrics.latency_ms" => self.latency_ms = figure.or(self.latency_ms),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn both_formats_give_the_same() {
        let (queue, latency_ms) = (Some(3.0), Some(48.25));
        let report = Report {
            busy: Some(0.62),
            queue,
            latency_ms,
            rate: Some(12.5),
            errored_rate: Some(1.0),
        };
        assert_eq!(Report::read(&report.write()), report);
        let json = r#"JSON {"cpu_utilization": 0.62, "named_metrics": {"queue": 3, "latency_ms": 48.25}, "eps": 1, "rps_fractional": 12.5}"#;
        assert_eq!(Report::read(json), report);
    }

    #[test]
    fn odd_figures_are_missing() {
        let odd =
            "TEXT cpu_utilization=NaN, named_metrics.queue=-1, named_metrics.latency_ms=inf, x";
        assert_eq!(Report::read(odd), Report::default());
        assert_eq!(Report::read("BIN AAAA"), Report::default());
        assert_eq!(Report::read(""), Report::default());
    }

    proptest! {
        #[test]
        fn any_text_is_read(text in "(TEXT |JSON )?.{0,200}") {
            Report::read(&text);
        }
    }
}
