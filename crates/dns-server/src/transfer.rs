//! Zone transfers to secondaries: notifications (NOTIFY, RFC 1996), the whole zone (AXFR, RFC 5936) and differences
//! (IXFR, RFC 1995), all signed. Queries that are not signed by a known key are refused.

use crate::journal::{Changes, Difference, Journal};
use crate::reply::{Reply, Transport};
use crate::request::Request;
use crate::response::{empty_message, empty_reply, signature_error};
use crate::rows::{RecordWriter, Row, address_record};
use crate::tsig::{ResponseSigner, TsigKey, Verification, verify};
use crate::zone::Zone;
use hickory_proto::op::{Message, MessageType, Metadata, OpCode, Query, ResponseCode};
use hickory_proto::rr::{RData, Record, RecordType};
use pondarch_dns_core::SecondaryEvent;
use std::collections::{BTreeMap, BTreeSet};

/// Records in one message of a transfer. With the longest names they take about 30,000 bytes, below the 65,535 of TCP.
const MAX_RECORDS_PER_MESSAGE: usize = 100;

/// The SOA and NS records of the zone apex.
pub(crate) struct ApexRecords {
    pub(crate) soa: Record,
    pub(crate) name_server: Option<Record>,
}

/// The last notification to a secondary.
struct PendingNotification {
    secondary: u16,
    /// The signature of the notification, which the signature of the acknowledgement covers.
    mac: Vec<u8>,
}

/// The keys of the secondaries, the zone with its differences, and the unacknowledged notifications.
pub struct ZoneTransfers {
    keys: Vec<TsigKey>,
    journal: Journal,
    /// Unacknowledged notifications by message id, at most one for each secondary.
    pending: BTreeMap<u16, PendingNotification>,
}

impl ZoneTransfers {
    /// `keys` has one key for each secondary, in the order of the settings.
    #[must_use]
    pub fn new(keys: Vec<TsigKey>) -> ZoneTransfers {
        ZoneTransfers {
            keys,
            journal: Journal::default(),
            pending: BTreeMap::new(),
        }
    }

    /// The serial of the zone.
    #[must_use]
    pub fn serial(&self) -> u32 {
        self.journal.serial()
    }

    pub(crate) fn keys(&self) -> &[TsigKey] {
        &self.keys
    }

    /// Sets the zone as of `serial`, with the rows that `zone_rows` returns.
    pub fn set_zone(&mut self, serial: u32, rows: BTreeSet<Row>) {
        self.journal.set_zone(serial, rows);
    }

    /// The notification to a secondary that the zone has changed; `None` if there is no such secondary.
    pub(crate) fn notification(
        &mut self,
        zone: &Zone,
        soa: Record,
        secondary: u16,
        id: u16,
        now_s: u64,
    ) -> Option<Vec<u8>> {
        let key = self.keys.get(usize::from(secondary))?;
        let mut message = Message::new(id, MessageType::Query, OpCode::Notify);
        message.metadata.authoritative = true;
        message.add_query(Query::query(zone.origin.clone(), RecordType::SOA));
        message.add_answer(soa);
        message.finalize(key.signer(), now_s).ok()?;
        let mac = message.signature.as_ref()?.data.mac.clone();
        self.pending
            .retain(|_, notification| notification.secondary != secondary);
        self.pending
            .insert(id, PendingNotification { secondary, mac });
        message.to_vec().ok()
    }

    /// The secondary that acknowledges its last notification with this signed packet; `None` if the packet is not such
    /// an acknowledgement.
    pub(crate) fn acknowledged_by(
        &mut self,
        packet: &[u8],
        message: &Message,
        now_s: u64,
    ) -> Option<u16> {
        let id = message.metadata.id;
        let notification = self.pending.get(&id)?;
        let secondary = notification.secondary;
        let key = self.keys.get(usize::from(secondary))?;
        let is_acknowledgement = message.metadata.op_code == OpCode::Notify
            && key.verifies_response(packet, &notification.mac, now_s);
        if !is_acknowledgement {
            return None;
        }
        self.pending.remove(&id);
        Some(secondary)
    }

    /// The reply to a query for the zone or its differences.
    pub(crate) fn answer(&self, zone: &Zone, apex: ApexRecords, request: &Request<'_>) -> Reply {
        let mut metadata = Metadata::response_from_request(&request.message.metadata);
        let query = request.query;
        let (index, mac) = match verify(&self.keys, request.packet, request.message, request.now_s)
        {
            Verification::Signed { key, mac } => (key, mac),
            Verification::Unsigned => return refused(metadata, query, ResponseCode::Refused),
            Verification::Failed(context) => {
                return signature_error(metadata, query, *context);
            }
        };
        if query.name != zone.origin {
            return refused(metadata, query, ResponseCode::NotAuth);
        }
        metadata.authoritative = true;
        let is_whole = query.query_type == RecordType::AXFR;
        if is_whole && request.transport == Transport::Udp {
            return refused(metadata, query, ResponseCode::Refused);
        }
        let copy_serial = serial_of_copy(request.message);
        let changes = match copy_serial {
            Some(serial) if !is_whole => self.journal.changes_since(serial),
            _ => Changes::WholeZone,
        };
        let is_up_to_date = changes == Changes::UpToDate;
        // Over UDP the answer is the SOA alone, which shows whether there are changes (RFC 1995, section 2).
        let records = match request.transport {
            Transport::Udp => vec![apex.soa],
            Transport::Tcp => self.records(zone, apex, &changes),
        };
        let is_transferred = is_up_to_date || records.len() > 1;
        let signer = ResponseSigner::new(&self.keys[index], mac, request.now_s);
        let mut events = vec![SecondaryEvent::Queried(copy_serial)];
        if is_transferred {
            events.push(SecondaryEvent::Transferred(self.journal.serial()));
        }
        Reply {
            packets: signed_messages(metadata, query, &records, signer),
            secondary_events: events
                .into_iter()
                .map(|event| (index as u16, event))
                .collect(),
            ..Reply::default()
        }
    }

    /// The records of a transfer, in the order in which they are sent.
    fn records(&self, zone: &Zone, apex: ApexRecords, changes: &Changes) -> Vec<Record> {
        let ApexRecords { soa, name_server } = apex;
        let writer = RecordWriter::new(zone);
        let mut records = vec![soa.clone()];
        match changes {
            Changes::UpToDate => return records,
            Changes::WholeZone => {
                records.extend(name_server);
                records.extend(server_address(zone));
                let rows = self.journal.rows().iter();
                records.extend(rows.filter_map(|row| writer.record(row)));
            }
            Changes::Differences(differences) => {
                for difference in differences {
                    add_difference(&mut records, difference, &soa, &writer);
                }
            }
        }
        records.push(soa);
        records
    }
}

/// The serial of the secondary's copy, from the SOA in the authority section of its query.
fn serial_of_copy(message: &Message) -> Option<u32> {
    message
        .authorities
        .iter()
        .find_map(|record| match &record.data {
            RData::SOA(soa) => Some(soa.serial),
            _ => None,
        })
}

fn server_address(zone: &Zone) -> Option<Record> {
    let name = zone.server_name()?;
    Some(address_record(name, zone.lifetime.hosts_s, zone.server))
}

/// Appends a difference sequence (RFC 1995, section 4): removed records, then added records, each after an SOA.
fn add_difference(
    records: &mut Vec<Record>,
    difference: &Difference,
    soa: &Record,
    writer: &RecordWriter<'_>,
) {
    let record = |row: &Row| writer.record(row);
    records.push(with_serial(soa, difference.from_serial));
    records.extend(difference.removed.iter().filter_map(record));
    records.push(with_serial(soa, difference.to_serial));
    records.extend(difference.added.iter().filter_map(record));
}

fn with_serial(soa: &Record, serial: u32) -> Record {
    let mut other = soa.clone();
    if let RData::SOA(soa) = &mut other.data {
        soa.serial = serial;
    }
    other
}

/// The records as signed messages. Only the first one contains the question (RFC 5936, section 2.2.1).
fn signed_messages(
    metadata: Metadata,
    query: &Query,
    records: &[Record],
    mut signer: ResponseSigner,
) -> Vec<Vec<u8>> {
    records
        .chunks(MAX_RECORDS_PER_MESSAGE)
        .enumerate()
        .map_while(|(index, records)| {
            let mut message = empty_message(metadata, (index == 0).then_some(query));
            message.add_answers(records.iter().cloned());
            signer.sign(message)
        })
        .collect()
}

fn refused(mut metadata: Metadata, query: &Query, code: ResponseCode) -> Reply {
    metadata.response_code = code;
    empty_reply(metadata, Some(query), None)
}
