//! Tasks that end with their owner, and what all of them say to the program.

use pondarch::types::{HostId, Load};
use pondarch_platform_steward::CallEnd;
use pondarch_platform_wire::registry::Listed;
use pondarch_platform_wire::relay::News;
use pondarch_platform_wire::report::{Message, Spoilt};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Within this a connection comes up, or it never does: all parties are near.
pub(crate) const DIAL_LIMIT: Duration = Duration::from_millis(400);
/// Between two tries to dial.
pub(crate) const DIAL_PAUSE: Duration = Duration::from_millis(100);

/// Dropping it ends the task.
pub(crate) struct Task(JoinHandle<()>);

impl Task {
    pub(crate) fn spawn(work: impl Future<Output = ()> + Send + 'static) -> Task {
        Task(tokio::spawn(work))
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// What a task has to say.
#[derive(Debug)]
pub(crate) enum Word {
    Listed(Listed),
    ListLost(String),
    NewsBegan,
    News(News),
    NewsLost(String),
    CallsUp,
    CallsDown(String),
    CallEnded { call: u64, end: CallEnd, why: String },
    Probed { host: HostId, good: bool, load: Option<Load> },
    Collector { client: u64, site: String },
    Said(Message),
    Spoilt(Spoilt),
    ClientGone { client: u64, why: Gone },
}

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Gone {
    Closed,
    Broken,
    Unreadable,
    NotOurs,
    NeverJoined,
    Crowded,
}

/// A word, and which move of the parties its task belongs to (0 for all others).
pub(crate) type Told = (u64, Word);
