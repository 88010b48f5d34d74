//! The reply to a packet.

use pondarch_controller::{ProxyId, TableId};
use pondarch_dns_core::SecondaryEvent;

/// How a packet arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// In a datagram, whose source address may be forged.
    Udp,
    /// Over a connection.
    Tcp,
}

/// The reply to a packet, and what is known of its sender.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reply {
    /// The packets to send, in order. Empty if the received packet is dropped; more than one only for a transfer.
    pub packets: Vec<Vec<u8>>,
    /// The proxy that queried for its hosts, or the anonymous proxy that the client is assigned to.
    pub proxy: Option<ProxyId>,
    /// The table of the answer, which caches may hold from now on.
    pub table: Option<TableId>,
    /// Whether the client is not a known proxy and is assigned to an anonymous one.
    pub is_anonymous: bool,
    /// The index of a secondary and what it did, valid once all packets are sent.
    pub secondary_events: Vec<(u16, SecondaryEvent)>,
}

impl Reply {
    /// A reply of one packet. `None` if the message could not be encoded; the query is then dropped.
    pub(crate) fn from_packet(packet: Option<Vec<u8>>) -> Reply {
        Reply {
            packets: packet.into_iter().collect(),
            ..Reply::default()
        }
    }
}
