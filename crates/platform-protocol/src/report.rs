//! What reaches the steward's address: a sign of life asked for, collectors, and their reports.

use crate::load::read_pairs;
use pondarch_controller::{AttemptOutcomes, HostId, HostLoad, ProxyId};
use std::time::Duration;
use thiserror::Error;

/// Tries or reqs that one report can stand for, and milliseconds of a time or span in it.
const COUNT_MOST: u64 = 10_000_000;
const MILLIS_MOST: f64 = 600_000.0;
/// Longest name.
pub(crate) const NAME_MOST: usize = 128;

#[derive(Debug)]
pub enum Message {
    Ping,
    Collector {
        site: String,
    },
    Heard {
        site: String,
        host: HostId,
        met: AttemptOutcomes,
    },
    Usage {
        proxy: ProxyId,
        lane: String,
        many: f64,
        over: Duration,
    },
}

/// Why a message that is framed well says nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Spoilt {
    #[error("no message of ours")]
    Kind,
    #[error("a name without a value")]
    Pairs,
    #[error("'{0}' is missing")]
    Missing(&'static str),
    #[error("'{0}' cannot be")]
    Wrong(&'static str),
}

pub fn read(words: &[String]) -> Result<Message, Spoilt> {
    let (kind, fields) = words.split_first().ok_or(Spoilt::Kind)?;
    let fields = Fields::new(fields);
    match kind.as_str() {
        "ping" => Ok(Message::Ping),
        "collector" => Ok(Message::Collector {
            site: fields?.name("site")?.to_string(),
        }),
        "heard" => heard(&fields?),
        "usage" => usage(&fields?),
        _ => Err(Spoilt::Kind),
    }
}

fn heard(fields: &Fields) -> Result<Message, Spoilt> {
    let tries = fields.count("count")?;
    let errored = fields.count("fail")?;
    if errored > tries {
        return Err(Spoilt::Wrong("fail"));
    }
    let mean = if errored == tries && fields.get("mean").is_none() {
        0.0
    } else {
        fields.millis("mean")?
    };
    let load = match fields.get("util") {
        None | Some("" | "-") => None,
        Some(text) => Some(read_pairs(text, ':').ok_or(Spoilt::Wrong("util"))?),
    };
    if load.is_some_and(|load: HostLoad| load.utilization.is_some_and(|busy| busy > BUSY_MOST)) {
        return Err(Spoilt::Wrong("util"));
    }
    Ok(Message::Heard {
        site: fields.name("site")?.to_string(),
        host: HostId(fields.name("target")?.into()),
        met: AttemptOutcomes {
            attempts: tries as f64,
            failures: errored as f64,
            mean_latency: Duration::from_micros((mean * 1e3) as u64),
            period: fields.over()?,
            load,
        },
    })
}

/// A busy share is about 1 at most; noise and odd ways of counting may take it somewhat above.
const BUSY_MOST: f64 = 8.0;

fn usage(fields: &Fields) -> Result<Message, Spoilt> {
    let many = fields.count("count")?;
    // More may have failed than came: those that failed came before this span. Taking such messages for spoilt made
    // demand look smaller just while a fleet was in trouble.
    fields.count("fail")?;
    Ok(Message::Usage {
        proxy: ProxyId(
            fields
                .whole("id")?
                .try_into()
                .map_err(|_| Spoilt::Wrong("id"))?,
        ),
        lane: fields.name("lane")?.to_string(),
        many: many as f64,
        over: fields.over()?,
    })
}

/// Names and values, in turns.
struct Fields<'a>(&'a [String]);

impl<'a> Fields<'a> {
    fn new(words: &'a [String]) -> Result<Fields<'a>, Spoilt> {
        if words.len().is_multiple_of(2) {
            Ok(Fields(words))
        } else {
            Err(Spoilt::Pairs)
        }
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.0
            .chunks_exact(2)
            .find(|pair| pair[0] == name)
            .map(|pair| pair[1].as_str())
    }

    fn need(&self, name: &'static str) -> Result<&'a str, Spoilt> {
        self.get(name).ok_or(Spoilt::Missing(name))
    }

    fn name(&self, name: &'static str) -> Result<&'a str, Spoilt> {
        let fits = |text: &&str| (1..=NAME_MOST).contains(&text.len());
        Some(self.need(name)?)
            .filter(fits)
            .ok_or(Spoilt::Wrong(name))
    }

    fn whole(&self, name: &'static str) -> Result<u64, Spoilt> {
        self.need(name)?.parse().map_err(|_| Spoilt::Wrong(name))
    }

    fn count(&self, name: &'static str) -> Result<u64, Spoilt> {
        Some(self.whole(name)?)
            .filter(|count| *count <= COUNT_MOST)
            .ok_or(Spoilt::Wrong(name))
    }

    fn millis(&self, name: &'static str) -> Result<f64, Spoilt> {
        let value = self
            .need(name)?
            .parse::<f64>()
            .map_err(|_| Spoilt::Wrong(name))?;
        Some(value)
            .filter(|v| (0.0..=MILLIS_MOST).contains(v))
            .ok_or(Spoilt::Wrong(name))
    }

    fn over(&self) -> Result<Duration, Spoilt> {
        let millis = Some(self.millis("over")?)
            .filter(|v| *v > 0.0)
            .ok_or(Spoilt::Wrong("over"))?;
        Ok(Duration::from_micros((millis * 1e3) as u64))
    }
}
