//! From one packet to the next, and who asked.

use crate::fit::fitted;
use crate::keys::{Chain, Signed, check};
use crate::reply::{Reply, Transport};
use crate::rows::{address_record as address, addressed};
use crate::transfer::{Copies, unsigned};
use crate::view::{Line, View};
use crate::zone::{Asks, Of, Zone};
use hickory_proto::op::{Edns, Message, MessageType, Metadata, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::opt::{EdnsCode, EdnsOption};
use hickory_proto::rr::rdata::{NS, SOA, SRV};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use pondarch_controller::DurationExt;
use pondarch_controller::{ProxyId, RequestClassId, TableId, Time};
use pondarch_dns_core::{RateLimitAction, RateLimiter, SecondaryEvent, SrvTarget, srv_weights};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Size of an answer over UDP: without EDNS (RFC 1035, section 4.2.1), and with it at most, so that none is cut into
/// fragments on the way.
const PLAIN_MOST: usize = 512;
const EDNS_MOST: u16 = 1_232;
const TCP_MOST: usize = 65_535;
/// An answer over UDP is at most this many times its query: a forged source gains little by us.
const AMPLIFIES_MOST: usize = 20;
/// Addresses in an answer to a resolver that knows no SRV: it takes the first, or any.
const ADDRESSES_MOST: usize = 4;
/// Of the SOA: how often secondaries look and try again, in seconds (RFC 1912, section 2.2, for a zone that changes by
/// the second).
const REFRESH_S: i32 = 5;
const RETRY_S: i32 = 2;
/// Bytes that a signature takes at most, beside its key's name.
const SIGNATURE: usize = 120;
/// Lifetime of a table's last answer, in seconds.
const LAST_S: u32 = 1;

pub struct Answerer {
    zone: Zone,
    limits: RateLimiter,
    copies: Copies,
    chance: fastrand::Rng,
}

/// An answer in the making.
struct Draft<'a> {
    head: Metadata,
    query: &'a Query,
    edns: Option<Edns>,
    room: usize,
    ttl: u32,
}

impl Answerer {
    pub fn new(zone: Zone, limits: RateLimiter, copies: Copies, seed: u64) -> Answerer {
        Answerer {
            zone,
            limits,
            copies,
            chance: fastrand::Rng::with_seed(seed),
        }
    }

    /// The copies that secondaries get; they follow each view.
    pub fn copies(&mut self) -> &mut Copies {
        &mut self.copies
    }

    /// The word to a secondary that the zone has changed; none if there is no such secondary.
    pub fn word(&mut self, now: Time, n: u16) -> Option<Vec<u8>> {
        let (id, soa) = (self.chance.u16(..), self.soa(self.copies.serial())?);
        self.copies.word(&self.zone, soa, n, id, seconds(now))
    }

    pub fn zone(&self) -> &Zone {
        &self.zone
    }

    pub fn limits(&self) -> &RateLimiter {
        &self.limits
    }

    /// The answer to one packet. What is no query is dropped, what is a broken one gets FORMERR.
    pub fn answer(
        &mut self,
        now: Time,
        from: IpAddr,
        over: Transport,
        packet: &[u8],
        view: &View,
    ) -> Reply {
        let message = match Message::from_vec(packet) {
            Ok(message) if message.metadata.message_type == MessageType::Query => message,
            Ok(message) => {
                let acknowledged = self.copies.acknowledged(packet, &message, seconds(now));
                let heard = acknowledged
                    .map(|n| (n, SecondaryEvent::Acknowledged))
                    .into_iter()
                    .collect();
                return Reply {
                    heard,
                    ..Reply::default()
                };
            }
            Err(_) => return broken(packet),
        };
        let verdict = match over {
            Transport::Udp => self.limits.on_query(now, from),
            Transport::Tcp => RateLimitAction::Answer,
        };
        let mut head = Metadata::response_from_request(&message.metadata);
        let [query] = message.queries.as_slice() else {
            head.response_code = ResponseCode::FormErr;
            return plain(head, None, None);
        };
        let edns = message.edns.as_ref().map(|_| {
            let mut own = Edns::new();
            own.set_max_payload(EDNS_MOST);
            own
        });
        match verdict {
            RateLimitAction::Drop => return Reply::default(),
            RateLimitAction::Truncate => {
                head.truncation = true;
                return plain(head, Some(query), edns);
            }
            RateLimitAction::Answer => {}
        }
        let refusal = match &message.edns {
            Some(of) if of.version() != 0 => Some(ResponseCode::BADVERS),
            _ if message.metadata.op_code != OpCode::Query => Some(ResponseCode::NotImp),
            _ if query.query_class != DNSClass::IN => Some(ResponseCode::Refused),
            _ => None,
        };
        if let Some(code) = refusal {
            head.response_code = code;
            let edns = edns.map(|mut edns| {
                edns.set_rcode_high(code.high());
                edns
            });
            return plain(head, Some(query), edns);
        }
        if matches!(query.query_type, RecordType::AXFR | RecordType::IXFR) {
            let Some(soa) = self.soa(self.copies.serial()) else {
                return Reply::default();
            };
            let of = (soa, self.name_server());
            return self.copies.asked(
                &self.zone,
                of,
                over,
                (packet, &message),
                query,
                seconds(now),
            );
        }
        let signed = match check(self.copies.keys(), packet, &message, seconds(now)) {
            Signed::Not => None,
            Signed::By(n, mac) => Some(Chain::new(&self.copies.keys()[n], mac, seconds(now))),
            Signed::Wrong(context) => return unsigned(head, query, *context),
        };
        let mut room = match over {
            Transport::Tcp => TCP_MOST,
            Transport::Udp => {
                let told = message
                    .edns
                    .as_ref()
                    .map_or(PLAIN_MOST, |e| usize::from(e.max_payload()));
                told.clamp(PLAIN_MOST, usize::from(EDNS_MOST))
                    .min(packet.len() * AMPLIFIES_MOST)
            }
        };
        if let Some(record) = message.signature.as_ref().filter(|_| signed.is_some()) {
            room = room.saturating_sub(SIGNATURE + record.name.len());
        }
        // Behind a shared resolver the client's net tells more than the resolver's (RFC 7871).
        let subnet = message
            .edns
            .as_ref()
            .and_then(|e| match e.option(EdnsCode::Subnet) {
                Some(EdnsOption::Subnet(subnet)) if subnet.source_prefix() > 0 => {
                    Some(subnet.addr())
                }
                _ => None,
            });
        let ttl = self.zone.lifetime.hosts_s;
        let draft = Draft {
            head,
            query,
            edns,
            room,
            ttl,
        };
        let mut reply = self.found(draft, subnet.unwrap_or(from), view);
        if let Some(mut chain) = signed {
            let sign = |bytes: Vec<u8>| chain.sign(Message::from_vec(&bytes).ok()?);
            reply.packets = reply.packets.into_iter().filter_map(sign).collect();
        }
        reply
    }

    fn found(&mut self, mut draft: Draft, from: IpAddr, view: &View) -> Reply {
        let kind_of_record = draft.query.query_type;
        let wanted = |of: RecordType| kind_of_record == of || kind_of_record == RecordType::ANY;
        draft.head.authoritative = true;
        match self.zone.asks(&draft.query.name) {
            Asks::Outside => {
                (draft.head.authoritative, draft.head.response_code) =
                    (false, ResponseCode::Refused);
                plain(draft.head, Some(draft.query), draft.edns)
            }
            Asks::Nothing => self.negative(draft, ResponseCode::NXDomain, view),
            Asks::Apex => {
                let soa = wanted(RecordType::SOA)
                    .then(|| self.soa(view.serial))
                    .flatten();
                let ns = wanted(RecordType::NS).then(|| self.name_server()).flatten();
                self.records(draft, soa.into_iter().chain(ns).collect(), view)
            }
            Asks::NameServer => {
                let (name, ttl) = (draft.query.name.clone(), draft.ttl);
                let own =
                    Some(address(name, ttl, self.zone.server)).filter(|r| wanted(r.record_type()));
                self.records(draft, own.into_iter().collect(), view)
            }
            Asks::Host(host) => match view.hosts.get(&host) {
                None => self.negative(draft, ResponseCode::NXDomain, view),
                Some(addr) => {
                    let (name, ttl) = (draft.query.name.clone(), draft.ttl);
                    let record =
                        Some(address(name, ttl, addr.ip())).filter(|r| wanted(r.record_type()));
                    self.records(draft, record.into_iter().collect(), view)
                }
            },
            Asks::Between => self.negative(draft, ResponseCode::NoError, view),
            Asks::Services(kind, proxy) if wanted(RecordType::SRV) => {
                let (table, reply) = self.table(kind, proxy, from, view);
                match table {
                    Some(table) => self.services(
                        draft.of(table, view),
                        &view.lines_for(table, mark(from)),
                        reply,
                    ),
                    None => no_host(draft, reply),
                }
            }
            Asks::Addresses(kind, proxy) if wanted(RecordType::A) || wanted(RecordType::AAAA) => {
                let (table, reply) = self.table(kind, proxy, from, view);
                match table {
                    Some(table) => {
                        let lines = view.lines_for(table, mark(from));
                        self.addresses(draft.of(table, view), &lines, reply, view)
                    }
                    None => no_host(draft, reply),
                }
            }
            Asks::Services(..) | Asks::Addresses(..) => {
                self.negative(draft, ResponseCode::NoError, view)
            }
            Asks::Table(of) => {
                // Here nobody needs all of them as one: who asks for that gets one by a draw, like any stranger.
                let table = match of {
                    Of::Table(table) => view.tables.contains_key(&table).then_some(table),
                    Of::All => self.table(RequestClassId(0), None, from, view).0,
                };
                let Some(table) = table else {
                    return self.negative(draft, ResponseCode::NXDomain, view);
                };
                let (lines, draft) = (&view.lines_for(table, mark(from)), draft.of(table, view));
                let reply = Reply {
                    given: Some(table),
                    unknown: true,
                    ..Reply::default()
                };
                match kind_of_record {
                    _ if lines.is_empty() => no_host(draft, reply),
                    RecordType::SRV | RecordType::ANY => self.services(draft, lines, reply),
                    RecordType::A | RecordType::AAAA => self.addresses(draft, lines, reply, view),
                    _ => self.negative(draft, ResponseCode::NoError, view),
                }
            }
        }
    }

    /// The table to answer from, and what to say of who asked.
    fn table(
        &self,
        kind: RequestClassId,
        proxy: Option<ProxyId>,
        from: IpAddr,
        view: &View,
    ) -> (Option<TableId>, Reply) {
        let (known, mark) = (proxy.or_else(|| self.zone.proxy_at(from)), mark(from));
        let table = view
            .table_of(known, kind, mark)
            .filter(|table| !view.lines(*table).is_empty());
        let asked = known.or_else(|| view.stranger(mark));
        let reply = Reply {
            asked,
            given: table,
            unknown: known.is_none(),
            ..Reply::default()
        };
        (table, reply)
    }

    fn services(&mut self, draft: Draft, lines: &[Line], reply: Reply) -> Reply {
        let by_host: BTreeMap<_, &Line> = lines.iter().map(|line| (&line.host, line)).collect();
        let weighed = srv_weights(lines.iter().map(Line::weighted_host));
        let zone = &self.zone;
        let build = |lines: &[SrvTarget], additional: bool| {
            let mut message = draft.message();
            for line in lines {
                let (Some(of), Some(target)) =
                    (by_host.get(&line.host), zone.host_name(&line.host))
                else {
                    continue;
                };
                let srv = SRV::new(0, line.weight, of.addr.port(), target.clone());
                message.add_answer(Record::from_rdata(
                    draft.query.name.clone(),
                    draft.ttl,
                    RData::SRV(srv),
                ));
                if additional {
                    message.add_additional(address(target, draft.ttl, of.addr.ip()));
                }
            }
            message
        };
        match fitted(&weighed, draft.room, &mut self.chance, build) {
            Some(bytes) => Reply {
                packets: vec![bytes],
                ..reply
            },
            None => truncated(draft),
        }
    }

    /// For resolvers that know no SRV: a few addresses drawn by weight, the first by its weight alone. A cold host is
    /// none of them beside warm ones: whoever holds the answer sends it an even share.
    fn addresses(&mut self, draft: Draft, lines: &[Line], reply: Reply, view: &View) -> Reply {
        let want_v4 = draft.query.query_type != RecordType::AAAA;
        let fits = |line: &&Line| {
            line.addr.is_ipv4() == want_v4 || draft.query.query_type == RecordType::ANY
        };
        let mut lines: Vec<&Line> = addressed(lines).into_iter().filter(fits).collect();
        if lines.is_empty() {
            return self.negative(draft, ResponseCode::NoError, view);
        }
        let mut message = draft.message();
        let most = (draft.room.saturating_sub(message_len(&message)) / 28).min(ADDRESSES_MOST);
        while !lines.is_empty() && message.answers.len() < most.max(1) {
            let sum: f64 = lines.iter().map(|line| line.weight.max(0.0)).sum();
            let mut at = self.chance.f64() * sum;
            let drawn = lines.iter().position(|line| {
                at -= line.weight.max(0.0);
                at < 0.0
            });
            let line = lines.swap_remove(drawn.unwrap_or(0));
            message.add_answer(address(draft.query.name.clone(), draft.ttl, line.addr.ip()));
        }
        match message.to_vec() {
            Ok(bytes) if bytes.len() <= draft.room => Reply {
                packets: vec![bytes],
                ..reply
            },
            _ => truncated(draft),
        }
    }

    /// Records that are there, or the word that none of the type is.
    fn records(&self, draft: Draft, records: Vec<Record>, view: &View) -> Reply {
        if records.is_empty() {
            return self.negative(draft, ResponseCode::NoError, view);
        }
        let mut message = draft.message();
        message.add_answers(records);
        match message.to_vec() {
            Ok(bytes) if bytes.len() <= draft.room => Reply {
                packets: vec![bytes],
                ..Reply::default()
            },
            _ => truncated(draft),
        }
    }

    /// No such name, or nothing of the type: with the SOA, whose least field says how long that may be held (RFC 2308).
    fn negative(&self, draft: Draft, code: ResponseCode, view: &View) -> Reply {
        let mut message = draft.message();
        message.metadata.response_code = code;
        if let Some(soa) = self.soa(view.serial) {
            message.add_authority(soa);
        }
        match message.to_vec() {
            Ok(bytes) if bytes.len() <= draft.room => Reply {
                packets: vec![bytes],
                ..Reply::default()
            },
            _ => truncated(draft),
        }
    }

    fn soa(&self, serial: u32) -> Option<Record> {
        let (life, server) = (self.zone.lifetime, self.zone.server_name()?);
        let contact = Name::from_ascii("operators")
            .ok()?
            .append_domain(&self.zone.origin)
            .ok()?;
        let expire = i32::try_from(self.zone.expire_s).unwrap_or(i32::MAX);
        let soa = SOA::new(
            server,
            contact,
            serial,
            REFRESH_S,
            RETRY_S,
            expire,
            life.negative_s,
        );
        Some(Record::from_rdata(
            self.zone.origin.clone(),
            life.negative_s,
            RData::SOA(soa),
        ))
    }

    fn name_server(&self) -> Option<Record> {
        let server = NS(self.zone.server_name()?);
        Some(Record::from_rdata(
            self.zone.origin.clone(),
            self.zone.lifetime.hosts_s,
            RData::NS(server),
        ))
    }
}

impl Draft<'_> {
    /// A table that shows what it last had is held for as short as can be.
    fn of(mut self, table: TableId, view: &View) -> Self {
        if view.last.contains(&table) {
            self.ttl = self.ttl.min(LAST_S);
        }
        self
    }

    fn message(&self) -> Message {
        let mut message = Message::new(self.head.id, MessageType::Response, self.head.op_code);
        message.metadata = self.head;
        message.add_query(self.query.clone());
        message.edns = self.edns.clone();
        message
    }
}

/// What tells one source from another in draws.
fn mark(from: IpAddr) -> u64 {
    match from {
        IpAddr::V4(v4) => u64::from(u32::from(v4)),
        IpAddr::V6(v6) => (u128::from(v6) >> 64) as u64 ^ u128::from(v6) as u64,
    }
}

/// Seconds since 1970, as signatures have it.
fn seconds(now: Time) -> u64 {
    (now - Time::default()).micros() / 1_000_000
}

fn message_len(message: &Message) -> usize {
    message.to_vec().map_or(usize::MAX, |bytes| bytes.len())
}

/// Nothing to pick: SERVFAIL, which is held for seconds at most; an empty answer would say that the kind has no hosts.
fn no_host(draft: Draft, reply: Reply) -> Reply {
    let mut head = draft.head;
    head.response_code = ResponseCode::ServFail;
    Reply {
        packets: plain(head, Some(draft.query), draft.edns).packets,
        given: None,
        ..reply
    }
}

fn truncated(draft: Draft) -> Reply {
    let mut head = draft.head;
    head.truncation = true;
    plain(head, Some(draft.query), draft.edns)
}

fn plain(head: Metadata, query: Option<&Query>, edns: Option<Edns>) -> Reply {
    let mut message = Message::new(head.id, MessageType::Response, head.op_code);
    message.metadata = head;
    message.queries.extend(query.cloned());
    message.edns = edns;
    Reply {
        packets: message.to_vec().ok().into_iter().collect(),
        ..Reply::default()
    }
}

/// A packet that cannot be read: FORMERR if it is a query with a number at all.
fn broken(packet: &[u8]) -> Reply {
    match packet {
        [a, b, flags, ..] if packet.len() >= 12 && flags & 0x80 == 0 => {
            let id = u16::from_be_bytes([*a, *b]);
            let message = Message::error_msg(id, OpCode::Query, ResponseCode::FormErr);
            Reply {
                packets: message.to_vec().ok().into_iter().collect(),
                ..Reply::default()
            }
        }
        _ => Reply::default(),
    }
}
