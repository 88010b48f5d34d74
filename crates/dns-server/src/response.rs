//! Responses: a draft with the query and the limits of its response, and responses without records.

use crate::reply::Reply;
use crate::view::View;
use hickory_proto::op::{Edns, Message, MessageType, Metadata, OpCode, Query, ResponseCode};
use hickory_proto::rr::TSigResponseContext;
use pondarch_controller::TableId;

/// Lifetime of answers with a table's last hosts, in seconds.
const LAST_ANSWER_LIFETIME_S: u32 = 1;
/// Size of a message header, in bytes (RFC 1035, section 4.1.1).
const HEADER_SIZE: usize = 12;
/// The QR bit in the third byte of the header; it is set in responses.
const RESPONSE_BIT: u8 = 0x80;

/// A response without its records.
pub(crate) struct ResponseDraft<'a> {
    pub(crate) metadata: Metadata,
    pub(crate) query: &'a Query,
    pub(crate) edns: Option<Edns>,
    pub(crate) max_size: usize,
    /// Lifetime of its records, in seconds.
    pub(crate) lifetime_s: u32,
}

impl ResponseDraft<'_> {
    /// Sets the lifetime for a table: the shortest one if the table has no host left and is answered with its last
    /// hosts.
    pub(crate) fn for_table(mut self, table: TableId, view: &View) -> Self {
        if view.last_answers.contains(&table) {
            self.lifetime_s = self.lifetime_s.min(LAST_ANSWER_LIFETIME_S);
        }
        self
    }

    /// The message without records.
    pub(crate) fn message(&self) -> Message {
        let mut message = empty_message(self.metadata, Some(self.query));
        message.edns = self.edns.clone();
        message
    }

    /// Encodes the message as the packet of the reply; a message that is too large is replaced by a truncated response.
    pub(crate) fn finish(self, message: &Message, reply: Reply) -> Reply {
        match message.to_vec() {
            Ok(bytes) if bytes.len() <= self.max_size => Reply {
                packets: vec![bytes],
                ..reply
            },
            _ => self.truncated(),
        }
    }

    /// An empty response with the truncation bit, so that the client retries over TCP.
    pub(crate) fn truncated(mut self) -> Reply {
        self.metadata.truncation = true;
        self.without_records()
    }

    /// An empty response with this code.
    pub(crate) fn with_code(mut self, code: ResponseCode) -> Reply {
        self.metadata.response_code = code;
        self.without_records()
    }

    /// SERVFAIL if there is no host to answer with. It is cached for seconds at most, while an empty answer would say
    /// that the request class has no hosts.
    pub(crate) fn no_host(self, reply: Reply) -> Reply {
        Reply {
            packets: self.with_code(ResponseCode::ServFail).packets,
            table: None,
            ..reply
        }
    }

    fn without_records(self) -> Reply {
        empty_reply(self.metadata, Some(self.query), self.edns)
    }
}

/// A response without records.
pub(crate) fn empty_reply(metadata: Metadata, query: Option<&Query>, edns: Option<Edns>) -> Reply {
    let mut message = empty_message(metadata, query);
    message.edns = edns;
    Reply::from_packet(message.to_vec().ok())
}

/// The reply to a query whose signature is not valid: NOTAUTH, with the error in its TSIG record (RFC 8945, section
/// 5.2).
pub(crate) fn signature_error(
    mut metadata: Metadata,
    query: &Query,
    context: TSigResponseContext,
) -> Reply {
    metadata.response_code = ResponseCode::NotAuth;
    let mut message = empty_message(metadata, Some(query));
    let signature = message
        .to_vec()
        .ok()
        .and_then(|bytes| context.sign(&bytes).ok());
    let Some(signature) = signature else {
        return Reply::default();
    };
    message.set_signature(signature);
    Reply::from_packet(message.to_vec().ok())
}

/// The reply to a packet that cannot be decoded: FORMERR if it has the header of a query, and none otherwise.
pub(crate) fn format_error(packet: &[u8]) -> Reply {
    match packet {
        [high, low, flags, ..] if packet.len() >= HEADER_SIZE && flags & RESPONSE_BIT == 0 => {
            let id = u16::from_be_bytes([*high, *low]);
            let message = Message::error_msg(id, OpCode::Query, ResponseCode::FormErr);
            Reply::from_packet(message.to_vec().ok())
        }
        _ => Reply::default(),
    }
}

/// A response message without records and without EDNS.
pub(crate) fn empty_message(metadata: Metadata, query: Option<&Query>) -> Message {
    let mut message = Message::new(metadata.id, MessageType::Response, metadata.op_code);
    message.metadata = metadata;
    message.queries.extend(query.cloned());
    message
}
