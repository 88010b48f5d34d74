//! The secondary's side of transfers: queries for the zone or its differences, verifies the signatures, and holds the
//! copy. Packets to packets.

use crate::tsig::{ResponseSigner, TsigKey, Verification, verify};
use hickory_proto::ProtoError;
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::SOA;
use hickory_proto::rr::{Name, RData, Record, RecordType, TSigVerifier};
use hickory_proto::serialize::binary::DecodeError;
use std::collections::BTreeSet;
use thiserror::Error;

/// Records of a copy at most: a zone beyond it is rejected as a whole.
const MAX_RECORDS: usize = 2_000_000;

/// Why a transfer failed.
#[derive(Clone, Debug, Error)]
#[non_exhaustive]
pub enum TransferError {
    /// The zone is not a domain name.
    #[error("'{0}' is no domain name")]
    Name(String),
    /// An answer cannot be decoded.
    #[error("the message cannot be read or its signature does not fit: {0}")]
    Decode(#[source] DecodeError),
    /// The query cannot be signed or encoded, or the signature of an answer is wrong.
    #[error("the message cannot be read or its signature does not fit: {0}")]
    Signature(#[source] ProtoError),
    /// The server rejected the query with this code.
    #[error("the server says: {0}")]
    Rejected(ResponseCode),
    /// The query has no signature.
    #[error("the transfer is out of order: the question was not signed")]
    Unsigned,
    /// The first record is not the SOA.
    #[error("the transfer is out of order: it does not begin with the SOA")]
    MissingSoa,
    /// A difference does not begin at the serial that the previous one led to.
    #[error("the transfer is out of order: a step does not begin where the last one ended")]
    Gap,
    /// A difference removes a record that the copy does not have.
    #[error("the transfer is out of order: it takes away what is not there")]
    MissingRecord,
    /// The zone has too many records.
    #[error("the zone has over {MAX_RECORDS} records")]
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
    /// The serial; none: nothing was transferred yet.
    pub serial: Option<u32>,
    /// The records without the SOA.
    pub records: BTreeSet<CopiedRecord>,
    /// From the SOA, in seconds: how long the copy may be answered from while the server cannot be reached.
    pub expire_s: u32,
}

impl ZoneCopy {
    /// What a secondary would answer for a name as SRV: weight and target of each record, aliases followed.
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

    /// The data of a name's records of one type.
    fn data(&self, name: &Name, record_type: RecordType) -> impl Iterator<Item = &str> {
        self.records
            .iter()
            .filter(move |record| record.name == *name && record.record_type == record_type)
            .map(|record| record.data.as_str())
    }
}

/// Of the data of an SRV record: priority, weight, port and target.
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

/// How far a transfer is after a message.
#[derive(Debug, PartialEq)]
pub enum TransferProgress {
    /// More messages follow.
    Incomplete,
    /// The copy was up to date before.
    UpToDate,
    /// The answer over UDP says that there are changes: query over TCP.
    RetryOverTcp,
    /// The copy is up to date now.
    Complete,
}

impl Transfer {
    /// The signed query for differences from the copy, or for the whole zone; then `apply` with each answer.
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

    /// Applies one message; the copy changes with the last one, and not before.
    ///
    /// # Errors
    ///
    /// A wrong signature, a rejection, records out of sequence. The copy is unchanged then.
    pub fn apply(
        &mut self,
        packet: &[u8],
        copy: &mut ZoneCopy,
    ) -> Result<TransferProgress, TransferError> {
        let message = Message::from_vec(packet).map_err(TransferError::Decode)?;
        if message.metadata.response_code != ResponseCode::NoError {
            // A rejection may come unsigned: it is believed, as it changes nothing.
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

    /// What the SOA alone says.
    fn progress_of_soa(&self, newest: u32) -> TransferProgress {
        match self.copy_serial {
            Some(serial) if serial == newest => TransferProgress::UpToDate,
            Some(_) => TransferProgress::RetryOverTcp,
            None => TransferProgress::Incomplete,
        }
    }

    /// Whether the second record is an SOA as well: then differences follow (RFC 1995, section 4).
    fn is_incremental(&self) -> bool {
        self.received
            .get(1)
            .is_some_and(|record| matches!(&record.data, RData::SOA(_)))
    }

    /// Whether the last SOA was received. Differences have the newest serial once before their last additions, and once
    /// at the end.
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

/// Which part of a difference a record stands in.
#[derive(Clone, Copy, PartialEq)]
enum DifferencePart {
    Removed,
    Added,
}

/// The records of the copy after all differences.
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

/// The signed acknowledgement of a notification; none if the packet is no notification, or not signed by the key.
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
    let mut answer = Message::new(message.metadata.id, MessageType::Response, OpCode::Notify);
    answer.metadata.authoritative = true;
    answer.queries = message.queries;
    ResponseSigner::new(key, mac, now_s).sign(answer)
}
