//! What the edge's tasks say to the program.

use pondarch_controller::{HostId, HostLoad};
use pondarch_platform_core::CallEnd;
use pondarch_platform_protocol::registry::Listed;
use pondarch_platform_protocol::relay::News;
use pondarch_platform_protocol::report::{Message, Spoilt};

/// What a task has to say.
#[derive(Debug)]
pub(crate) enum Word {
    Listed(Listed),
    ListLost(String),
    NewsBegan,
    News(News),
    NewsLost(String),
    CallsUp,
    CallsDown(Down),
    CallEnded {
        call: u64,
        end: CallEnd,
        why: String,
    },
    Probed {
        host: HostId,
        good: bool,
        load: Option<HostLoad>,
    },
    Collector {
        client: u64,
        site: String,
    },
    Said(Message),
    Spoilt(Spoilt),
    ClientGone {
        client: u64,
        why: Gone,
    },
}

/// Why no call can be made.
#[derive(Debug)]
pub(crate) enum Down {
    /// The connection stood idle and is renewed.
    Idle,
    Lost(String),
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
