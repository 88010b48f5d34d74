//! The secondary's side: asks for the zone or its differences, checks the signatures, and keeps the copy. Packets to packets.

use crate::keys::Key;
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::SOA;
use hickory_proto::rr::{Name, RData, Record, RecordType, TSigVerifier};
use std::collections::BTreeSet;
use thiserror::Error;

/// Records of a copy at most: a zone beyond it is refused, not half taken.
const RECORDS_MOST: usize = 2_000_000;

#[derive(Clone, Debug, PartialEq, Error)]
pub enum FetchError {
    #[error("'{0}' is no domain name")]
    Name(String),
    #[error("the message cannot be read or its signature does not fit: {0}")]
    Broken(String),
    #[error("the server says: {0}")]
    Refused(ResponseCode),
    #[error("the transfer is out of order: {0}")]
    Order(&'static str),
    #[error("the zone has over {RECORDS_MOST} records")]
    Large,
}

/// One record, as it is told from all others: name in lower case, type, and data as text.
pub type Entry = (Name, RecordType, String);

/// A copy of a zone: its serial and records without the SOA.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Copy {
    pub serial: Option<u32>,
    pub records: BTreeSet<Entry>,
    /// In seconds, of the SOA: when it may be answered from no more, if the server is not heard of.
    pub expire_s: u32,
}

impl Copy {
    /// What a secondary would answer for a name as SRV: weight and target of each line, aliases followed.
    pub fn services(&self, name: &str) -> Vec<(u16, String)> {
        let Ok(mut name) = Name::from_ascii(name.to_ascii_lowercase()) else {
            return Vec::new();
        };
        name.set_fqdn(true);
        let of = |name: &Name, of: RecordType| {
            let found = self
                .records
                .iter()
                .filter(move |(own, kind, _)| *own == *name && *kind == of);
            found.map(|(_, _, data)| data.clone()).collect::<Vec<_>>()
        };
        let alias = of(&name, RecordType::CNAME)
            .into_iter()
            .next()
            .and_then(|to| Name::from_ascii(to).ok());
        let line = |data: String| {
            let mut words = data.split_whitespace().skip(1);
            let (weight, target) = (words.next()?.parse().ok()?, words.nth(1)?);
            Some((weight, target.trim_end_matches('.').to_string()))
        };
        of(&alias.unwrap_or(name), RecordType::SRV)
            .into_iter()
            .filter_map(line)
            .collect()
    }
}

/// A transfer under way.
pub struct Fetch {
    verifier: TSigVerifier,
    held: Option<u32>,
    got: Vec<Record>,
}

/// What a message of a transfer came to.
#[derive(Debug, PartialEq)]
pub enum Fetched {
    More,
    /// The copy is up to date, and was before.
    Same,
    /// The server has no more to say here: ask over TCP.
    ByTcp,
    Done,
}

impl Fetch {
    /// The signed question, for differences from what the copy holds, or for all; then `took` with each answer.
    ///
    /// Errors: a zone that is no name.
    pub fn ask(
        id: u16,
        zone: &str,
        copy: &Copy,
        key: &Key,
        now_s: u64,
    ) -> Result<(Vec<u8>, Fetch), FetchError> {
        let mut name = Name::from_ascii(zone).map_err(|_| FetchError::Name(zone.into()))?;
        name.set_fqdn(true);
        let mut message = Message::new(id, MessageType::Query, OpCode::Query);
        let of = if copy.serial.is_some() {
            RecordType::IXFR
        } else {
            RecordType::AXFR
        };
        message.add_query(Query::query(name.clone(), of));
        if let Some(serial) = copy.serial {
            let soa = SOA::new(Name::root(), Name::root(), serial, 0, 0, 0, 0);
            message.add_authority(Record::from_rdata(name, 0, RData::SOA(soa)));
        }
        let broken = |wrong: hickory_proto::ProtoError| FetchError::Broken(wrong.to_string());
        let verifier = message.finalize(key.signer(), now_s).map_err(broken)?;
        let verifier = verifier.ok_or(FetchError::Order("the question was not signed"))?;
        let bytes = message.to_vec().map_err(broken)?;
        Ok((
            bytes,
            Fetch {
                verifier,
                held: copy.serial,
                got: Vec::new(),
            },
        ))
    }

    /// Takes one message; the copy changes with the last one, and not before.
    ///
    /// Errors: a signature that does not fit, a refusal, records out of order. The copy is as it was then.
    pub fn took(&mut self, packet: &[u8], copy: &mut Copy) -> Result<Fetched, FetchError> {
        let read =
            Message::from_vec(packet).map_err(|wrong| FetchError::Broken(wrong.to_string()))?;
        if read.metadata.response_code != ResponseCode::NoError {
            // A refusal may come unsigned: it is believed, as it changes nothing.
            return Err(FetchError::Refused(read.metadata.response_code));
        }
        self.verifier
            .verify(packet)
            .map_err(|wrong| FetchError::Broken(wrong.to_string()))?;
        self.got.extend(read.answers);
        if self.got.len() > RECORDS_MOST {
            return Err(FetchError::Large);
        }
        let Some(RData::SOA(newest)) = self.got.first().map(|record| record.data.clone()) else {
            return Err(FetchError::Order("it does not begin with the SOA"));
        };
        if self.got.len() == 1 {
            return Ok(match self.held == Some(newest.serial) {
                true => Fetched::Same,
                false if self.held.is_some() => Fetched::ByTcp,
                false => Fetched::More,
            });
        }
        let ends = |record: &Record| matches!(&record.data, RData::SOA(soa) if soa.serial == newest.serial);
        // Differences name the newest serial once before their last additions, and once to end.
        let by_steps = matches!(&self.got[1].data, RData::SOA(_));
        let ended =
            self.got[1..].iter().filter(|record| ends(record)).count() > usize::from(by_steps);
        if !ended || !self.got.last().is_some_and(ends) {
            return Ok(Fetched::More);
        }
        let body = &self.got[1..self.got.len() - 1];
        let mut next = Copy {
            serial: Some(newest.serial),
            records: BTreeSet::new(),
            expire_s: 0,
        };
        next.expire_s = u32::try_from(newest.expire).unwrap_or_default();
        if by_steps {
            next.records = stepped(copy, body)?;
        } else {
            next.records = body.iter().map(entry).collect();
        }
        *copy = next;
        Ok(Fetched::Done)
    }
}

/// The copy's records after all steps.
fn stepped(copy: &Copy, body: &[Record]) -> Result<BTreeSet<Entry>, FetchError> {
    let (mut records, mut at, mut adds) = (copy.records.clone(), copy.serial, true);
    for record in body {
        match &record.data {
            RData::SOA(soa) => {
                adds = !adds;
                if !adds && at != Some(soa.serial) {
                    return Err(FetchError::Order(
                        "a step does not begin where the last one ended",
                    ));
                }
                at = Some(soa.serial);
            }
            _ if adds => drop(records.insert(entry(record))),
            _ if !records.remove(&entry(record)) => {
                return Err(FetchError::Order("it takes away what is not there"));
            }
            _ => {}
        }
    }
    Ok(records)
}

fn entry(record: &Record) -> Entry {
    (
        record.name.to_lowercase(),
        record.record_type(),
        record.data.to_string(),
    )
}

/// The signed answer to a server's word that its zone has changed; none if it is no such word, or not signed by the key.
pub fn acknowledge(packet: &[u8], key: &Key, now_s: u64) -> Option<Vec<u8>> {
    let message = Message::from_vec(packet).ok()?;
    let is_word = message.metadata.op_code == OpCode::Notify
        && message.metadata.message_type == MessageType::Query;
    let crate::keys::Signed::By(_, mac) =
        crate::keys::check(std::slice::from_ref(key), packet, &message, now_s)
    else {
        return None;
    };
    if !is_word {
        return None;
    }
    let mut answer = Message::new(message.metadata.id, MessageType::Response, OpCode::Notify);
    answer.metadata.authoritative = true;
    answer.queries = message.queries.clone();
    crate::keys::Chain::new(key, mac, now_s).sign(answer)
}
