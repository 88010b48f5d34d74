//! What becomes of a packet.

use pondarch_controller::{ProxyId, TableId};
use pondarch_dns_core::SecondaryEvent;

/// How a packet arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// In a datagram; its source may be forged.
    Udp,
    /// On a connection.
    Tcp,
}

/// What becomes of a packet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// What is sent, in this order; none: the packet is dropped. More than one for a transfer only.
    pub packets: Vec<Vec<u8>>,
    /// The proxy that queried for its hosts, or the anonymous one that the client counts as.
    pub proxy: Option<ProxyId>,
    /// The table that was answered, which caches may hold from now on.
    pub table: Option<TableId>,
    /// Whether the client is not a known proxy and was assigned to an anonymous one by a draw.
    pub is_anonymous: bool,
    /// The index of a secondary and what it did, once all packets were sent.
    pub secondary_events: Vec<(u16, SecondaryEvent)>,
}

impl Reply {
    /// A reply of one packet; none: the message could not be encoded and the query is dropped.
    pub(crate) fn from_packet(packet: Option<Vec<u8>>) -> Reply {
        Reply {
            packets: packet.into_iter().collect(),
            ..Reply::default()
        }
    }
}
