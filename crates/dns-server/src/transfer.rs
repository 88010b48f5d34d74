//! Copies of the zone for secondaries: word of changes (NOTIFY, RFC 1996), the whole zone (AXFR, RFC 5936) and differences
//! (IXFR, RFC 1995), all of it signed. Without a known key there is nothing to be had.

use crate::journal::{Changes, Journal};
use crate::keys::{Chain, Key, Signed, check};
use crate::reply::{Reply, Transport};
use crate::rows::{Row, Writer};
use crate::zone::Zone;
use hickory_proto::op::{Message, MessageType, Metadata, OpCode, Query, ResponseCode};
use hickory_proto::rr::{RData, Record, RecordType};
use pondarch_dns_core::SecondaryEvent;
use std::collections::{BTreeMap, BTreeSet};

/// Records in one message of a transfer: the longest names make it some 30,000 bytes, under the 65,535 of TCP.
const RECORDS_MOST: usize = 100;

/// Who may have copies, what they are sent, and whom we await an answer of.
pub struct Copies {
    keys: Vec<Key>,
    journal: Journal,
    /// The last word to each secondary: its number, and the signature that the answer's is made over.
    said: BTreeMap<u16, (u16, Vec<u8>)>,
}

impl Copies {
    /// A key for each secondary, in their order.
    pub fn new(keys: Vec<Key>) -> Copies {
        Copies {
            keys,
            journal: Journal::default(),
            said: BTreeMap::new(),
        }
    }

    pub fn serial(&self) -> u32 {
        self.journal.serial()
    }

    pub(crate) fn keys(&self) -> &[Key] {
        &self.keys
    }

    /// The zone is this from now on; `rows` as `rows::rows` gives them.
    pub fn follow(&mut self, serial: u32, rows: BTreeSet<Row>) {
        self.journal.follow(serial, rows);
    }

    /// The word to a secondary that the zone has changed; none if there is no such secondary.
    pub fn word(
        &mut self,
        zone: &Zone,
        soa: Record,
        n: u16,
        id: u16,
        now_s: u64,
    ) -> Option<Vec<u8>> {
        let key = self.keys.get(usize::from(n))?;
        let mut message = Message::new(id, MessageType::Query, OpCode::Notify);
        message.metadata.authoritative = true;
        message.add_query(Query::query(zone.origin.clone(), RecordType::SOA));
        message.add_answer(soa);
        message.finalize(key.signer(), now_s).ok()?;
        let mac = message.signature.as_ref()?.data.mac.clone();
        self.said.retain(|_, (other, _)| *other != n);
        self.said.insert(id, (n, mac));
        message.to_vec().ok()
    }

    /// The secondary that a packet is the signed answer of to our last word.
    pub(crate) fn acknowledged(
        &mut self,
        packet: &[u8],
        message: &Message,
        now_s: u64,
    ) -> Option<u16> {
        let (n, mac) = self.said.get(&message.metadata.id)?;
        let n = *n;
        let fits = message.metadata.op_code == OpCode::Notify
            && self
                .keys
                .get(usize::from(n))
                .is_some_and(|key| key.fits(packet, mac, now_s));
        fits.then(|| {
            self.said.remove(&message.metadata.id);
            n
        })
    }

    /// The answer to a query for the zone or its differences.
    pub(crate) fn asked(
        &self,
        zone: &Zone,
        (soa, name_server): (Record, Option<Record>),
        over: Transport,
        (packet, message): (&[u8], &Message),
        query: &Query,
        now_s: u64,
    ) -> Reply {
        let mut head = Metadata::response_from_request(&message.metadata);
        let (n, mac) = match check(&self.keys, packet, message, now_s) {
            Signed::By(n, mac) => (n, mac),
            Signed::Not => return refused(head, query, ResponseCode::Refused),
            Signed::Wrong(context) => return unsigned(head, query, *context),
        };
        let (n, key) = (n as u16, &self.keys[n]);
        let chain = Chain::new(key, mac, now_s);
        let held = message
            .authorities
            .iter()
            .find_map(|record| match &record.data {
                RData::SOA(soa) => Some(soa.serial),
                _ => None,
            });
        let asks = (n, SecondaryEvent::Queried(held));
        if query.name != zone.origin {
            return refused(head, query, ResponseCode::NotAuth);
        }
        head.authoritative = true;
        let wants_all = query.query_type == RecordType::AXFR || held.is_none();
        let changes = match held {
            Some(held) if !wants_all => self.journal.since(held),
            _ => Changes::All,
        };
        // Over UDP there is room for the word that there is more, or nothing more (RFC 1995, section 2).
        let records = match (over, &changes) {
            (Transport::Udp, _) if query.query_type == RecordType::AXFR => {
                return refused(head, query, ResponseCode::Refused);
            }
            (Transport::Udp, _) | (_, Changes::None) => vec![soa],
            (_, changes) => self.records(zone, &soa, name_server, changes),
        };
        let sent = records.len();
        let packets = messages(head, query, records, chain);
        let fetched = match changes {
            Changes::None => Some((n, SecondaryEvent::Transferred(self.journal.serial()))),
            _ if sent > 1 => Some((n, SecondaryEvent::Transferred(self.journal.serial()))),
            _ => None,
        };
        Reply {
            packets,
            heard: std::iter::once(asks).chain(fetched).collect(),
            ..Reply::default()
        }
    }

    /// The records of a transfer, in the order that they are sent in.
    fn records(
        &self,
        zone: &Zone,
        soa: &Record,
        name_server: Option<Record>,
        changes: &Changes,
    ) -> Vec<Record> {
        let writer = Writer::new(zone);
        let mut records = vec![soa.clone()];
        match changes {
            Changes::None => return records,
            Changes::All => {
                let own = zone.server_name().map(|name| {
                    crate::rows::address_record(name, zone.lifetime.hosts_s, zone.server)
                });
                records.extend(name_server);
                records.extend(own);
                records.extend(
                    self.journal
                        .rows()
                        .iter()
                        .filter_map(|row| writer.record(row)),
                );
            }
            Changes::Steps(steps) => {
                for step in steps {
                    records.push(with_serial(soa, step.from));
                    records.extend(step.gone.iter().filter_map(|row| writer.record(row)));
                    records.push(with_serial(soa, step.to));
                    records.extend(step.came.iter().filter_map(|row| writer.record(row)));
                }
            }
        }
        records.push(soa.clone());
        records
    }
}

fn with_serial(soa: &Record, serial: u32) -> Record {
    let mut other = soa.clone();
    if let RData::SOA(soa) = &mut other.data {
        soa.serial = serial;
    }
    other
}

/// Records as signed messages; the question stands in the first alone (RFC 5936, section 2.2.1).
fn messages(head: Metadata, query: &Query, records: Vec<Record>, mut chain: Chain) -> Vec<Vec<u8>> {
    let message = |(n, records): (usize, &[Record])| {
        let mut message = Message::new(head.id, MessageType::Response, head.op_code);
        message.metadata = head;
        message.queries.extend((n == 0).then(|| query.clone()));
        message.add_answers(records.iter().cloned());
        chain.sign(message)
    };
    records
        .chunks(RECORDS_MOST)
        .enumerate()
        .map_while(message)
        .collect()
}

fn refused(mut head: Metadata, query: &Query, code: ResponseCode) -> Reply {
    head.response_code = code;
    let mut message = Message::new(head.id, MessageType::Response, head.op_code);
    message.metadata = head;
    message.add_query(query.clone());
    Reply {
        packets: message.to_vec().ok().into_iter().collect(),
        ..Reply::default()
    }
}

/// What a wrong signature gets: NOTAUTH with the error in the signature's place (RFC 8945, section 5.2).
pub(crate) fn unsigned(
    mut head: Metadata,
    query: &Query,
    context: hickory_proto::rr::TSigResponseContext,
) -> Reply {
    head.response_code = ResponseCode::NotAuth;
    let mut message = Message::new(head.id, MessageType::Response, head.op_code);
    message.metadata = head;
    message.add_query(query.clone());
    let signed = message
        .to_vec()
        .ok()
        .and_then(|bytes| context.sign(&bytes).ok())
        .and_then(|record| {
            message.set_signature(record);
            message.to_vec().ok()
        });
    Reply {
        packets: signed.into_iter().collect(),
        ..Reply::default()
    }
}
