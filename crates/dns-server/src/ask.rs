//! The asking side: a question as a packet, and what an answer says, in plain lines.

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use thiserror::Error;

/// Size of an answer over UDP that is asked for.
const SIZE: u16 = 1_232;

#[derive(Clone, Debug, PartialEq, Error)]
pub enum AskError {
    #[error("'{0}' is no domain name")]
    Name(String),
    #[error("'{0}' is no type of record")]
    Type(String),
    #[error("the answer cannot be read: {0}")]
    Broken(String),
    #[error("it answers another question")]
    Other,
}

/// What an answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// `No Error`, `Non-Existent Domain` and so on, as the library words them.
    pub code: String,
    pub good: bool,
    pub truncated: bool,
    /// Name, lifetime in seconds, type and data of each record; answers first, then the rest.
    pub answers: Vec<String>,
    pub others: Vec<String>,
}

/// A question as a packet.
///
/// Errors: a name or type that is none.
pub fn question(id: u16, name: &str, of: &str) -> Result<Vec<u8>, AskError> {
    let mut asked = Name::from_ascii(name).map_err(|_| AskError::Name(name.into()))?;
    asked.set_fqdn(true);
    let of =
        RecordType::from_str(&of.to_ascii_uppercase()).map_err(|_| AskError::Type(of.into()))?;
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    message.add_query(Query::query(asked, of));
    let mut edns = Edns::new();
    edns.set_max_payload(SIZE);
    message.set_edns(edns);
    message.to_vec().map_err(|_| AskError::Name(name.into()))
}

/// Reads the answer to a question with this number.
///
/// Errors: it is none.
pub fn read(id: u16, packet: &[u8]) -> Result<Answer, AskError> {
    let message = Message::from_vec(packet).map_err(|wrong| AskError::Broken(wrong.to_string()))?;
    if message.metadata.id != id || message.metadata.message_type != MessageType::Response {
        return Err(AskError::Other);
    }
    let line = |record: &Record| {
        format!(
            "{} {} {} {}",
            record.name,
            record.ttl,
            record.record_type(),
            record.data
        )
    };
    let code = message.metadata.response_code;
    Ok(Answer {
        code: code.to_string(),
        good: code == hickory_proto::op::ResponseCode::NoError,
        truncated: message.metadata.truncation,
        answers: message.answers.iter().map(line).collect(),
        others: message
            .authorities
            .iter()
            .chain(&message.additionals)
            .map(line)
            .collect(),
    })
}

/// One host of an answer to a question for SRV.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The target's name without its last dot.
    pub target: String,
    pub weight: u16,
    /// If the answer brings the target's address.
    pub addr: Option<SocketAddr>,
    /// Lifetime in seconds.
    pub ttl_s: u32,
}

/// The hosts that an answer names, beside what `read` gives.
///
/// Errors: as `read`.
pub fn services(id: u16, packet: &[u8]) -> Result<(Answer, Vec<Service>), AskError> {
    let answer = read(id, packet)?;
    let message = Message::from_vec(packet).map_err(|wrong| AskError::Broken(wrong.to_string()))?;
    let address = |record: &Record| match &record.data {
        RData::A(a) => Some((record.name.to_lowercase(), IpAddr::V4(a.0))),
        RData::AAAA(aaaa) => Some((record.name.to_lowercase(), IpAddr::V6(aaaa.0))),
        _ => None,
    };
    let addresses: BTreeMap<Name, IpAddr> =
        message.additionals.iter().filter_map(address).collect();
    let service = |record: &Record| match &record.data {
        RData::SRV(srv) => Some(Service {
            target: srv.target.to_ascii().trim_end_matches('.').to_string(),
            weight: srv.weight,
            addr: addresses
                .get(&srv.target.to_lowercase())
                .map(|ip| SocketAddr::new(*ip, srv.port)),
            ttl_s: record.ttl,
        }),
        _ => None,
    };
    Ok((answer, message.answers.iter().filter_map(service).collect()))
}
