//! The secondary's side of zone transfers: queries for the zone or its differences, verifies the signatures, and keeps
//! the copy. Takes and returns packets.

use crate::tsig::{ResponseSigner, TsigKey, Verification, verify};
use hickory_proto::ProtoError;
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::SOA;
use hickory_proto::rr::{Name, RData, Record, RecordType, TSigVerifier};
use hickory_proto::serialize::binary::DecodeError;
use std::collections::BTreeSet;
use thiserror::Error;

/// The most records in a copy; a transfer with more is rejected.
const MAX_RECORDS: usize = 2_000_000;

/// Why a transfer failed.
#[derive(Clone, Debug, Error)]
#[non_exhaustive]
pub enum TransferError {
    /// The zone is not a domain name.
    #[error("'{0}' is not a domain name")]
    Name(String),
    /// An answer cannot be decoded.
    #[error("the message cannot be decoded: {0}")]
    Decode(#[source] DecodeError),
    /// The query cannot be signed or encoded, or the signature of an answer is wrong.
    #[error("the message cannot be signed, encoded or verified: {0}")]
    Signature(#[source] ProtoError),
    /// The server rejected the query with this code.
    #[error("the server rejected the query: {0}")]
    Rejected(ResponseCode),
    /// The query has no signature.
    #[error("the query was not signed")]
    Unsigned,
    /// The first record is not the SOA.
    #[error("the transfer does not begin with an SOA record")]
    MissingSoa,
    /// A difference does not begin at the serial that the previous one led to.
    #[error("a difference does not begin at the serial that the previous one led to")]
    Gap,
    /// A difference removes a record that the copy does not have.
    #[error("a difference removes a record that the copy does not have")]
    MissingRecord,
    /// The zone has too many records.
    #[error("the zone has more than {MAX_RECORDS} records")]
    TooLarge,
}

/// One record of a copy. The name is in lower case.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CopiedRecord {
    /// The name.
    pub name: Name,
    /// The type.
    pub record_type: RecordType,
    /// The data as text.
    pub data: String,
}

/// A copy of a zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneCopy {
    /// The serial; `None` until a transfer is complete.
    pub serial: Option<u32>,
    /// The records except the SOA.
    pub records: BTreeSet<CopiedRecord>,
    /// The SOA's EXPIRE: how long the copy may be used while the server cannot be reached, in seconds.
    pub expire_s: u32,
}

impl ZoneCopy {
    /// The weight and target of each SRV record that a secondary answers for a name, following one alias.
    #[must_use]
    pub fn services(&self, name: &str) -> Vec<(u16, String)> {
        let Ok(mut name) = Name::from_ascii(name.to_ascii_lowercase()) else {
            return Vec::new();
        };
        name.set_fqdn(true);
        let alias = self
            .data(&name, RecordType::CNAME)
            .next()
            .and_then(|target| Name::from_ascii(target).ok());
        self.data(&alias.unwrap_or(name), RecordType::SRV)
            .filter_map(weight_and_target)
            .collect()
    }

    /// The data of a name's records of one type, as text.
    fn data(&self, name: &Name, record_type: RecordType) -> impl Iterator<Item = &str> {
        self.records
            .iter()
            .filter(move |record| record.name == *name && record.record_type == record_type)
            .map(|record| record.data.as_str())
    }
}

/// Parses the data of an SRV record (priority, weight, port, target) and returns the weight and the target.
fn weight_and_target(data: &str) -> Option<(u16, String)> {
    let mut fields = data.split_whitespace().skip(1);
    let weight = fields.next()?.parse().ok()?;
    let target = fields.nth(1)?;
    Some((weight, target.trim_end_matches('.').to_string()))
}

/// A transfer in progress.
pub struct Transfer {
    verifier: TSigVerifier,
    copy_serial: Option<u32>,
    received: Vec<Record>,
}

/// The progress of a transfer after a message.
#[derive(Debug, PartialEq)]
pub enum TransferProgress {
    /// More messages follow.
    Incomplete,
    /// The copy was already up to date.
    UpToDate,
    /// There are changes, but the answer over UDP contains only the SOA; the query must be repeated over TCP.
    RetryOverTcp,
    /// All messages were received and the copy was updated.
    Complete,
}

impl Transfer {
    /// Starts a transfer: returns the signed query for the differences from the copy, or for the whole zone if there is
    /// no copy, and the transfer to `apply` each answer to.
    ///
    /// # Errors
    ///
    /// The zone is not a domain name, or the query cannot be signed.
    pub fn start(
        id: u16,
        zone: &str,
        copy: &ZoneCopy,
        key: &TsigKey,
        now_s: u64,
    ) -> Result<(Vec<u8>, Transfer), TransferError> {
        let mut name = Name::from_ascii(zone).map_err(|_| TransferError::Name(zone.into()))?;
        name.set_fqdn(true);
        let mut message = Message::new(id, MessageType::Query, OpCode::Query);
        let query_type = match copy.serial {
            Some(_) => RecordType::IXFR,
            None => RecordType::AXFR,
        };
        message.add_query(Query::query(name.clone(), query_type));
        if let Some(serial) = copy.serial {
            let soa = SOA::new(Name::root(), Name::root(), serial, 0, 0, 0, 0);
            message.add_authority(Record::from_rdata(name, 0, RData::SOA(soa)));
        }
        let verifier = message
            .finalize(key.signer(), now_s)
            .map_err(TransferError::Signature)?
            .ok_or(TransferError::Unsigned)?;
        let packet = message.to_vec().map_err(TransferError::Signature)?;
        let transfer = Transfer {
            verifier,
            copy_serial: copy.serial,
            received: Vec::new(),
        };
        Ok((packet, transfer))
    }

    /// Applies one message. The copy changes only with the last one.
    ///
    /// # Errors
    ///
    /// The message cannot be decoded, its signature is wrong, the server rejected the query, or the records are too
    /// many or out of sequence. The copy is then unchanged.
    pub fn apply(
        &mut self,
        packet: &[u8],
        copy: &mut ZoneCopy,
    ) -> Result<TransferProgress, TransferError> {
        let message = Message::from_vec(packet).map_err(TransferError::Decode)?;
        if message.metadata.response_code != ResponseCode::NoError {
            // A rejection may be unsigned; it is accepted because it does not change the copy.
            return Err(TransferError::Rejected(message.metadata.response_code));
        }
        self.verifier
            .verify(packet)
            .map_err(TransferError::Signature)?;
        self.received.extend(message.answers);
        if self.received.len() > MAX_RECORDS {
            return Err(TransferError::TooLarge);
        }
        let Some(RData::SOA(newest)) = self.received.first().map(|record| &record.data) else {
            return Err(TransferError::MissingSoa);
        };
        if self.received.len() == 1 {
            return Ok(self.progress_of_soa(newest.serial));
        }
        if !self.is_complete(newest.serial) {
            return Ok(TransferProgress::Incomplete);
        }
        let body = &self.received[1..self.received.len() - 1];
        let records = if self.is_incremental() {
            apply_differences(copy, body)?
        } else {
            body.iter().map(copied_record).collect()
        };
        *copy = ZoneCopy {
            serial: Some(newest.serial),
            records,
            expire_s: u32::try_from(newest.expire).unwrap_or_default(),
        };
        Ok(TransferProgress::Complete)
    }

    /// The progress when only the SOA was received.
    fn progress_of_soa(&self, newest: u32) -> TransferProgress {
        match self.copy_serial {
            Some(serial) if serial == newest => TransferProgress::UpToDate,
            Some(_) => TransferProgress::RetryOverTcp,
            None => TransferProgress::Incomplete,
        }
    }

    /// Whether the transfer consists of differences: then the second record is an SOA as well (RFC 1995, section 4).
    fn is_incremental(&self) -> bool {
        self.received
            .get(1)
            .is_some_and(|record| matches!(&record.data, RData::SOA(_)))
    }

    /// Whether the final SOA was received. In a transfer of differences, an SOA with the newest serial also precedes
    /// the last additions.
    fn is_complete(&self, newest: u32) -> bool {
        let is_newest_soa =
            |record: &Record| matches!(&record.data, RData::SOA(soa) if soa.serial == newest);
        let count = self
            .received
            .iter()
            .skip(1)
            .filter(|record| is_newest_soa(record))
            .count();
        count > usize::from(self.is_incremental())
            && self.received.last().is_some_and(is_newest_soa)
    }
}

/// The part of a difference that a record belongs to.
#[derive(Clone, Copy, PartialEq)]
enum DifferencePart {
    Removed,
    Added,
}

/// The records of the copy after all differences are applied.
fn apply_differences(
    copy: &ZoneCopy,
    body: &[Record],
) -> Result<BTreeSet<CopiedRecord>, TransferError> {
    let mut records = copy.records.clone();
    let mut serial = copy.serial;
    let mut part = DifferencePart::Added;
    for record in body {
        if let RData::SOA(soa) = &record.data {
            part = match part {
                DifferencePart::Added if serial != Some(soa.serial) => {
                    return Err(TransferError::Gap);
                }
                DifferencePart::Added => DifferencePart::Removed,
                DifferencePart::Removed => DifferencePart::Added,
            };
            serial = Some(soa.serial);
        } else if part == DifferencePart::Added {
            records.insert(copied_record(record));
        } else if !records.remove(&copied_record(record)) {
            return Err(TransferError::MissingRecord);
        }
    }
    Ok(records)
}

fn copied_record(record: &Record) -> CopiedRecord {
    CopiedRecord {
        name: record.name.to_lowercase(),
        record_type: record.record_type(),
        data: record.data.to_string(),
    }
}

/// The signed acknowledgement of a notification; `None` if the packet is not a notification or is not signed by the
/// key.
#[must_use]
pub fn acknowledge_notification(packet: &[u8], key: &TsigKey, now_s: u64) -> Option<Vec<u8>> {
    let message = Message::from_vec(packet).ok()?;
    let is_notification = message.metadata.op_code == OpCode::Notify
        && message.metadata.message_type == MessageType::Query;
    let verification = verify(std::slice::from_ref(key), packet, &message, now_s);
    let Verification::Signed { mac, .. } = verification else {
        return None;
    };
    if !is_notification {
        return None;
    }
    let mut acknowledgement =
        Message::new(message.metadata.id, MessageType::Response, OpCode::Notify);
    acknowledgement.metadata.authoritative = true;
    acknowledgement.queries = message.queries;
    ResponseSigner::new(key, mac, now_s).sign(acknowledgement)
}
