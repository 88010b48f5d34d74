//! What becomes of a packet.

use pondarch_controller::{ProxyId, TableId};
use pondarch_dns_core::SecondaryEvent;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    Udp,
    Tcp,
}

/// What becomes of a packet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// What is sent, in this order; none: the packet is dropped. More than one with a transfer alone.
    pub packets: Vec<Vec<u8>>,
    /// The proxy that asked for its hosts, or the stranger it is taken for.
    pub asked: Option<ProxyId>,
    /// The table that was given, which caches may hold from now on.
    pub given: Option<TableId>,
    /// Whoever asked is not known and was taken for a stranger, by a draw.
    pub unknown: bool,
    /// What is known of secondaries once all of it was sent.
    pub heard: Vec<(u16, SecondaryEvent)>,
}
