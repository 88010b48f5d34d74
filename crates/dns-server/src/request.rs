//! A received query, and the limits of its response.

use crate::reply::Transport;
use hickory_proto::op::{Edns, Message, OpCode, Query, ResponseCode};
use hickory_proto::rr::DNSClass;
use hickory_proto::rr::rdata::opt::{EdnsCode, EdnsOption};
use std::net::IpAddr;

/// Maximum size of an answer over UDP without EDNS, in bytes (RFC 1035, section 4.2.1).
const MAX_PLAIN_SIZE: usize = 512;
/// Maximum size of an answer over UDP with EDNS, in bytes; small enough to avoid IP fragmentation.
pub(crate) const MAX_EDNS_SIZE: u16 = 1_232;
/// Maximum size of an answer over TCP, in bytes.
const MAX_TCP_SIZE: usize = 65_535;
/// An answer over UDP is at most this many times as large as its query, to limit amplification with forged sources.
const MAX_AMPLIFICATION: usize = 20;
/// Maximum size of a signature record without the name of its key, in bytes.
const MAX_SIGNATURE_SIZE: usize = 120;

/// A query with one question, and its source.
pub(crate) struct Request<'a> {
    pub(crate) packet: &'a [u8],
    pub(crate) message: &'a Message,
    pub(crate) query: &'a Query,
    pub(crate) client: IpAddr,
    pub(crate) transport: Transport,
    /// Seconds since 1970, the time format of signatures.
    pub(crate) now_s: u64,
}

impl Request<'_> {
    /// The response code for a query that this server does not support; `None` if it is supported.
    pub(crate) fn unsupported(&self) -> Option<ResponseCode> {
        match &self.message.edns {
            Some(edns) if edns.version() != 0 => Some(ResponseCode::BADVERS),
            _ if self.message.metadata.op_code != OpCode::Query => Some(ResponseCode::NotImp),
            _ if self.query.query_class != DNSClass::IN => Some(ResponseCode::Refused),
            _ => None,
        }
    }

    /// The EDNS record of the response; `None` if the query has none.
    pub(crate) fn response_edns(&self) -> Option<Edns> {
        self.message.edns.as_ref().map(|_| {
            let mut edns = Edns::new();
            edns.set_max_payload(MAX_EDNS_SIZE);
            edns
        })
    }

    /// The maximum size of the response without its signature, in bytes.
    pub(crate) fn max_response_size(&self, is_signed: bool) -> usize {
        let max_size = match self.transport {
            Transport::Tcp => MAX_TCP_SIZE,
            Transport::Udp => {
                let accepted = self
                    .message
                    .edns
                    .as_ref()
                    .map_or(MAX_PLAIN_SIZE, |edns| usize::from(edns.max_payload()));
                accepted
                    .clamp(MAX_PLAIN_SIZE, usize::from(MAX_EDNS_SIZE))
                    .min(self.packet.len() * MAX_AMPLIFICATION)
            }
        };
        match &self.message.signature {
            Some(record) if is_signed => {
                max_size.saturating_sub(MAX_SIGNATURE_SIZE + record.name.len())
            }
            _ => max_size,
        }
    }

    /// The address that identifies the client: its EDNS client subnet if the query has one, because clients behind a
    /// shared resolver have the same source address (RFC 7871).
    pub(crate) fn client_address(&self) -> IpAddr {
        let edns = self.message.edns.as_ref();
        match edns.and_then(|edns| edns.option(EdnsCode::Subnet)) {
            Some(EdnsOption::Subnet(subnet)) if subnet.source_prefix() > 0 => subnet.addr(),
            _ => self.client,
        }
    }
}
