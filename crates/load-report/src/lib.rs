//! A host's own load report, as the response header `endpoint-load-metrics` carries it.
//!
//! The format is the "per-request" mode of the Open Request Cost Aggregation (ORCA) load report: the value is the name of a
//! format followed by the report, as in `TEXT cpu_utilization=0.62, named_metrics.queue=3` or
//! `JSON {"cpu_utilization": 0.62}`. The third format, `BIN` with a base64 message, is ignored. ORCA defines
//! `cpu_utilization` (busy part of all cores, 0 to 1), `rps_fractional` (requests that ended, a second) and `eps` (requests that
//! failed, a second). `named_metrics` are specific to the sender; this project uses `queue` (requests that wait) and
//! `latency_ms` (recent service time without waiting, in milliseconds).

use serde_json::Value;
use std::fmt::Write;

/// Name of the header.
pub const HEADER: &str = "endpoint-load-metrics";
/// Longest header value that is parsed, in bytes.
const MAX_VALUE_BYTES: usize = 4096;

/// The reported metrics; any of them may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Busy part of all cores, 0 to 1.
    pub utilization: Option<f64>,
    /// Requests that wait.
    pub queue_length: Option<f64>,
    /// Recent service time without waiting, in milliseconds.
    pub service_time_ms: Option<f64>,
    /// Requests that ended, a second.
    pub request_rate: Option<f64>,
    /// Requests that failed, a second.
    pub failure_rate: Option<f64>,
}

impl Report {
    /// Parses a header value. Unknown formats, and metrics that are negative or not finite, count as missing.
    pub fn parse(value: &str) -> Report {
        let value = value.trim();
        let mut report = Report::default();
        if value.len() > MAX_VALUE_BYTES {
            return report;
        }
        match value.split_once(char::is_whitespace) {
            Some(("TEXT", pairs)) => {
                for (name, value) in pairs.split(',').filter_map(|pair| pair.split_once('=')) {
                    report.set(name.trim(), value.trim().parse().ok());
                }
            }
            Some(("JSON", text)) => {
                let Ok(Value::Object(fields)) = serde_json::from_str(text) else {
                    return report;
                };
                for (name, value) in &fields {
                    report.set(name, value.as_f64());
                }
                if let Some(Value::Object(named)) = fields.get("named_metrics") {
                    named.iter().for_each(|(name, value)| {
                        report.set(&format!("named_metrics.{name}"), value.as_f64())
                    });
                }
            }
            _ => {}
        }
        report
    }

    /// The header value in the `TEXT` format.
    pub fn to_header_value(&self) -> String {
        let mut out = String::from("TEXT ");
        let metrics = [
            ("cpu_utilization", self.utilization),
            ("rps_fractional", self.request_rate),
            ("eps", self.failure_rate),
            ("named_metrics.queue", self.queue_length),
            ("named_metrics.latency_ms", self.service_time_ms),
        ];
        for (name, value) in metrics
            .into_iter()
            .filter_map(|(name, value)| Some((name, value?)))
        {
            let separator = if out.ends_with(' ') { "" } else { ", " };
            let _ = write!(out, "{separator}{name}={value:.3}");
        }
        out
    }

    fn set(&mut self, name: &str, value: Option<f64>) {
        let value = value.filter(|value| value.is_finite() && *value >= 0.0);
        match name {
            "cpu_utilization" => self.utilization = value.or(self.utilization),
            "rps_fractional" => self.request_rate = value.or(self.request_rate),
            "eps" => self.failure_rate = value.or(self.failure_rate),
            "named_metrics.queue" => self.queue_length = value.or(self.queue_length),
            "named_metrics.latency_ms" => self.service_time_ms = value.or(self.service_time_ms),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn text_and_json_parse_to_the_same_report() {
        let (queue_length, service_time_ms) = (Some(3.0), Some(48.25));
        let report = Report {
            utilization: Some(0.62),
            queue_length,
            service_time_ms,
            request_rate: Some(12.5),
            failure_rate: Some(1.0),
        };
        assert_eq!(Report::parse(&report.to_header_value()), report);
        let json = r#"JSON {"cpu_utilization": 0.62, "named_metrics": {"queue": 3, "latency_ms": 48.25}, "eps": 1, "rps_fractional": 12.5}"#;
        assert_eq!(Report::parse(json), report);
    }

    #[test]
    fn invalid_values_count_as_missing() {
        let invalid =
            "TEXT cpu_utilization=NaN, named_metrics.queue=-1, named_metrics.latency_ms=inf, x";
        assert_eq!(Report::parse(invalid), Report::default());
        assert_eq!(Report::parse("BIN AAAA"), Report::default());
        assert_eq!(Report::parse(""), Report::default());
    }

    proptest! {
        #[test]
        fn arbitrary_text_does_not_panic(text in "(TEXT |JSON )?.{0,200}") {
            Report::parse(&text);
        }
    }
}
