//! The client's side: encodes queries, and decodes answers to text.

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use hickory_proto::serialize::binary::DecodeError;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use thiserror::Error;

/// The largest answer over UDP that the client accepts, in bytes.
const MAX_ANSWER_SIZE: u16 = 1_232;

/// Why a query cannot be encoded or an answer cannot be decoded.
#[derive(Clone, Debug, Error)]
#[non_exhaustive]
pub enum ClientError {
    /// The name is not a domain name.
    #[error("'{0}' is not a domain name")]
    Name(String),
    /// There is no such record type.
    #[error("'{0}' is not a record type")]
    RecordType(String),
    /// The answer cannot be decoded.
    #[error("the answer cannot be decoded: {0}")]
    Decode(#[source] DecodeError),
    /// The packet is not the answer to the query: its id differs, or it is not a response.
    #[error("the packet is not the answer to the query")]
    OtherQuery,
}

/// A decoded answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The response code as text, for example `No Error` or `Non-Existent Domain`.
    pub code: String,
    /// Whether the code is `No Error`.
    pub is_success: bool,
    /// Whether the answer is truncated.
    pub truncated: bool,
    /// The records of the answer section as text: name, lifetime in seconds, type and data.
    pub answers: Vec<String>,
    /// The records of the authority and additional sections, in the same format.
    pub other_records: Vec<String>,
}

/// Encodes a query.
///
/// # Errors
///
/// The name is not a domain name, or there is no such record type.
pub fn encode_query(id: u16, name: &str, record_type: &str) -> Result<Vec<u8>, ClientError> {
    let mut query_name = Name::from_ascii(name).map_err(|_| ClientError::Name(name.into()))?;
    query_name.set_fqdn(true);
    let query_type = RecordType::from_str(&record_type.to_ascii_uppercase())
        .map_err(|_| ClientError::RecordType(record_type.into()))?;
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    message.add_query(Query::query(query_name, query_type));
    let mut edns = Edns::new();
    edns.set_max_payload(MAX_ANSWER_SIZE);
    message.set_edns(edns);
    message.to_vec().map_err(|_| ClientError::Name(name.into()))
}

/// Decodes the answer to a query with this id.
///
/// # Errors
///
/// The packet cannot be decoded or is not the answer to the query.
pub fn decode_answer(id: u16, packet: &[u8]) -> Result<Answer, ClientError> {
    decode_message(id, packet).map(|message| answer_of(&message))
}

/// One target of an answer to an SRV query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceTarget {
    /// The target's name without the trailing dot.
    pub target: String,
    /// Its SRV weight.
    pub weight: u16,
    /// The target's address, if the answer contains it.
    pub address: Option<SocketAddr>,
    /// Lifetime in seconds.
    pub lifetime_s: u32,
}

/// Decodes the answer to an SRV query with this id: as `decode_answer`, and its targets.
///
/// # Errors
///
/// As `decode_answer`.
pub fn decode_services(
    id: u16,
    packet: &[u8],
) -> Result<(Answer, Vec<ServiceTarget>), ClientError> {
    let message = decode_message(id, packet)?;
    let addresses: BTreeMap<Name, IpAddr> =
        message.additionals.iter().filter_map(address_of).collect();
    let target = |record: &Record| match &record.data {
        RData::SRV(srv) => Some(ServiceTarget {
            target: srv.target.to_ascii().trim_end_matches('.').to_string(),
            weight: srv.weight,
            address: addresses
                .get(&srv.target.to_lowercase())
                .map(|address| SocketAddr::new(*address, srv.port)),
            lifetime_s: record.ttl,
        }),
        _ => None,
    };
    let targets = message.answers.iter().filter_map(target).collect();
    Ok((answer_of(&message), targets))
}

fn decode_message(id: u16, packet: &[u8]) -> Result<Message, ClientError> {
    let message = Message::from_vec(packet).map_err(ClientError::Decode)?;
    if message.metadata.id != id || message.metadata.message_type != MessageType::Response {
        return Err(ClientError::OtherQuery);
    }
    Ok(message)
}

fn answer_of(message: &Message) -> Answer {
    let code = message.metadata.response_code;
    let other_records = message.authorities.iter().chain(&message.additionals);
    Answer {
        code: code.to_string(),
        is_success: code == ResponseCode::NoError,
        truncated: message.metadata.truncation,
        answers: message.answers.iter().map(record_text).collect(),
        other_records: other_records.map(record_text).collect(),
    }
}

fn record_text(record: &Record) -> String {
    format!(
        "{} {} {} {}",
        record.name,
        record.ttl,
        record.record_type(),
        record.data
    )
}

fn address_of(record: &Record) -> Option<(Name, IpAddr)> {
    match &record.data {
        RData::A(v4) => Some((record.name.to_lowercase(), IpAddr::V4(v4.0))),
        RData::AAAA(v6) => Some((record.name.to_lowercase(), IpAddr::V6(v6.0))),
        _ => None,
    }
}
