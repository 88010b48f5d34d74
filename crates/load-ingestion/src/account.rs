//! Memory by purpose: what each may take, what it takes, and how often it was at its cap. What is counted is what its owner
//! says, in bytes, roughly; what is done at a cap is its owner's affair, and stands here so that operators can read it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Purpose {
    /// Sums and loads that are gathered and not told yet.
    Reports,
    /// Tables as they are dealt and as proxies hold them.
    Tables,
    /// Lines to proxies and operators that are not written yet.
    Waiting,
    /// Records that are not on the disk yet.
    Records,
    /// Connections of proxies, operators, senders and askers.
    Connections,
}

pub const PURPOSES: [Purpose; 5] = [
    Purpose::Reports,
    Purpose::Tables,
    Purpose::Waiting,
    Purpose::Records,
    Purpose::Connections,
];

impl Purpose {
    pub fn word(self) -> &'static str {
        match self {
            Purpose::Reports => "reports",
            Purpose::Tables => "tables",
            Purpose::Waiting => "waiting",
            Purpose::Records => "records",
            Purpose::Connections => "connections",
        }
    }

    /// Bytes that it may take.
    pub fn cap(self) -> u64 {
        match self {
            Purpose::Reports => 64 << 20,
            Purpose::Tables => 128 << 20,
            Purpose::Waiting => 64 << 20,
            Purpose::Records => 64 << 20,
            Purpose::Connections => 128 << 20,
        }
    }

    /// What is done at the cap.
    pub fn at_cap(self) -> &'static str {
        match self {
            Purpose::Reports => {
                "what senders' figures are checked by is dropped, the largest first"
            }
            Purpose::Tables => "what is kept ready of tables that no proxy uses is dropped",
            Purpose::Waiting => {
                "who does not read is given no more, and hung up at the answer limit"
            }
            Purpose::Records => "a gap is recorded",
            Purpose::Connections => "no more are taken",
        }
    }
}

/// What one purpose takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Used {
    pub bytes: u64,
    pub most: u64,
    /// How often something was turned away at the cap.
    pub capped: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Account {
    used: BTreeMap<Purpose, Used>,
}

impl Account {
    /// It takes so much now; gives whether that is within its cap.
    pub fn takes(&mut self, purpose: Purpose, bytes: u64) -> bool {
        let used = self.used.entry(purpose).or_default();
        (used.bytes, used.most) = (bytes, used.most.max(bytes));
        bytes <= purpose.cap()
    }

    /// Something was turned away.
    pub fn capped(&mut self, purpose: Purpose, times: u64) {
        self.used.entry(purpose).or_default().capped += times;
    }

    pub fn of(&self, purpose: Purpose) -> Used {
        self.used.get(&purpose).copied().unwrap_or_default()
    }

    /// As operators read it: one line a purpose.
    pub fn lines(&self) -> impl Iterator<Item = (String, String)> {
        PURPOSES.into_iter().map(|purpose| {
            let Used {
                bytes,
                most,
                capped,
            } = self.of(purpose);
            let text = format!(
                "{bytes} of {} bytes, {most} at most, at the cap {capped} times: then {}",
                purpose.cap(),
                purpose.at_cap()
            );
            (purpose.word().to_string(), text)
        })
    }
}
