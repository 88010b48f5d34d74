//! Messages that clients send to the controller's address: pings, the identification of collectors, and their reports.

use crate::load::parse_pairs;
use pondarch_controller::{AttemptOutcomes, HostId, HostLoad, ProxyId};
use std::time::Duration;
use thiserror::Error;

/// Maximum number of attempts or requests in one report.
const MAX_COUNT: u64 = 10_000_000;
/// Maximum latency or period in a report, in milliseconds.
const MAX_MILLIS: f64 = 600_000.0;
/// Maximum length of a name, in bytes.
pub(crate) const MAX_NAME_BYTES: usize = 128;
/// Maximum utilization. It is usually 1 at most; noise and other ways of counting may raise it above 1.
const MAX_UTILIZATION: f64 = 8.0;

/// A message from a client.
#[derive(Debug)]
pub enum Message {
    /// A request to confirm that the controller is alive.
    Ping,
    /// The client identifies itself as a collector.
    Collector {
        /// The name of the collector's zone.
        zone: String,
    },
    /// The outcomes of the attempts at one host.
    HostReport {
        /// The name of the zone that the attempts came from.
        zone: String,
        /// The host.
        host: HostId,
        /// The outcomes, with the host's load if the report contains it.
        outcomes: AttemptOutcomes,
    },
    /// The requests of one class that arrived at a proxy.
    UsageReport {
        /// The proxy.
        proxy: ProxyId,
        /// The name of the request class.
        class: String,
        /// The number of requests that arrived.
        requests: f64,
        /// The period in which they arrived.
        period: Duration,
    },
}

/// Why a correctly framed message is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
#[non_exhaustive]
pub enum MalformedMessage {
    /// The message type is unknown.
    #[error("unknown message type")]
    UnknownType,
    /// The last field has no value.
    #[error("the last field has no value")]
    UnpairedField,
    /// This field is missing.
    #[error("'{0}' is missing")]
    MissingField(&'static str),
    /// This field's value is invalid, or is the name of something unknown.
    #[error("'{0}' is invalid")]
    InvalidField(&'static str),
}

/// Parses a message from the words of a frame: its type, followed by names and values in turn.
pub fn parse(words: &[String]) -> Result<Message, MalformedMessage> {
    let (message_type, fields) = words.split_first().ok_or(MalformedMessage::UnknownType)?;
    let fields = Fields::new(fields);
    match message_type.as_str() {
        "ping" => Ok(Message::Ping),
        "collector" => Ok(Message::Collector {
            zone: fields?.name("site")?.to_string(),
        }),
        "heard" => parse_host_report(&fields?),
        "usage" => parse_usage_report(&fields?),
        _ => Err(MalformedMessage::UnknownType),
    }
}

fn parse_host_report(fields: &Fields<'_>) -> Result<Message, MalformedMessage> {
    let attempts = fields.count("count")?;
    let failures = fields.count("fail")?;
    if failures > attempts {
        return Err(MalformedMessage::InvalidField("fail"));
    }
    // The mean latency may be missing if no attempt succeeded.
    let mean_millis = if failures == attempts && fields.get("mean").is_none() {
        0.0
    } else {
        fields.millis("mean")?
    };
    let load = parse_load(fields.get("util"))?;
    Ok(Message::HostReport {
        zone: fields.name("site")?.to_string(),
        host: HostId(fields.name("target")?.into()),
        outcomes: AttemptOutcomes {
            attempts: attempts as f64,
            failures: failures as f64,
            mean_latency: Duration::from_micros((mean_millis * 1e3) as u64),
            period: fields.period()?,
            load,
        },
    })
}

fn parse_load(text: Option<&str>) -> Result<Option<HostLoad>, MalformedMessage> {
    let load = match text {
        None | Some("" | "-") => return Ok(None),
        Some(text) => parse_pairs(text, ':').ok_or(MalformedMessage::InvalidField("util"))?,
    };
    if load
        .utilization
        .is_some_and(|utilization| utilization > MAX_UTILIZATION)
    {
        return Err(MalformedMessage::InvalidField("util"));
    }
    Ok(Some(load))
}

fn parse_usage_report(fields: &Fields<'_>) -> Result<Message, MalformedMessage> {
    let requests = fields.count("count")?;
    // The failure count may exceed the arrivals, since requests that fail in this period may have arrived before it.
    // Rejecting such reports as malformed underestimated demand exactly while hosts were failing.
    fields.count("fail")?;
    Ok(Message::UsageReport {
        proxy: ProxyId(
            fields
                .integer("id")?
                .try_into()
                .map_err(|_| MalformedMessage::InvalidField("id"))?,
        ),
        class: fields.name("lane")?.to_string(),
        requests: requests as f64,
        period: fields.period()?,
    })
}

/// The fields of a message: names and values in turn.
struct Fields<'a>(&'a [String]);

impl<'a> Fields<'a> {
    fn new(words: &'a [String]) -> Result<Fields<'a>, MalformedMessage> {
        if words.len().is_multiple_of(2) {
            Ok(Fields(words))
        } else {
            Err(MalformedMessage::UnpairedField)
        }
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.0
            .chunks_exact(2)
            .find(|pair| pair[0] == name)
            .map(|pair| pair[1].as_str())
    }

    fn require(&self, name: &'static str) -> Result<&'a str, MalformedMessage> {
        self.get(name).ok_or(MalformedMessage::MissingField(name))
    }

    fn name(&self, name: &'static str) -> Result<&'a str, MalformedMessage> {
        let fits = |text: &&str| (1..=MAX_NAME_BYTES).contains(&text.len());
        Some(self.require(name)?)
            .filter(fits)
            .ok_or(MalformedMessage::InvalidField(name))
    }

    fn integer(&self, name: &'static str) -> Result<u64, MalformedMessage> {
        self.require(name)?
            .parse()
            .map_err(|_| MalformedMessage::InvalidField(name))
    }

    fn count(&self, name: &'static str) -> Result<u64, MalformedMessage> {
        Some(self.integer(name)?)
            .filter(|count| *count <= MAX_COUNT)
            .ok_or(MalformedMessage::InvalidField(name))
    }

    fn millis(&self, name: &'static str) -> Result<f64, MalformedMessage> {
        let value = self
            .require(name)?
            .parse::<f64>()
            .map_err(|_| MalformedMessage::InvalidField(name))?;
        Some(value)
            .filter(|value| (0.0..=MAX_MILLIS).contains(value))
            .ok_or(MalformedMessage::InvalidField(name))
    }

    fn period(&self) -> Result<Duration, MalformedMessage> {
        let millis = Some(self.millis("over")?)
            .filter(|millis| *millis > 0.0)
            .ok_or(MalformedMessage::InvalidField("over"))?;
        Ok(Duration::from_micros((millis * 1e3) as u64))
    }
}
