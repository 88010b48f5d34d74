//! Looks up the records for a name and a record type.

use super::Answerer;
use crate::reply::Reply;
use crate::response::ResponseDraft;
use crate::rows::address_record;
use crate::view::View;
use crate::zone::{Question, TableRef};
use hickory_proto::op::ResponseCode;
use hickory_proto::rr::rdata::{NS, SOA};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use pondarch_controller::{ProxyId, RequestClassId, TableId};
use std::net::IpAddr;

/// The SOA's REFRESH: how often secondaries query for changes, in seconds (RFC 1912, section 2.2). It is short because
/// the zone may change every second.
const REFRESH_S: i32 = 5;
/// The SOA's RETRY: how long secondaries wait before they retry a failed refresh, in seconds.
const RETRY_S: i32 = 2;

/// The table to answer from, and a reply that identifies the client.
struct TableChoice {
    table: Option<TableId>,
    reply: Reply,
}

impl Answerer {
    /// The answer to a query from the client at this address.
    pub(super) fn look_up(
        &mut self,
        mut draft: ResponseDraft<'_>,
        client: IpAddr,
        view: &View,
    ) -> Reply {
        draft.metadata.authoritative = true;
        let record_type = draft.query.query_type;
        match self.zone.question(&draft.query.name) {
            Question::Outside => {
                draft.metadata.authoritative = false;
                draft.with_code(ResponseCode::Refused)
            }
            Question::Missing => self.negative(draft, ResponseCode::NXDomain, view),
            Question::EmptyName => self.negative(draft, ResponseCode::NoError, view),
            Question::Apex => self.apex(draft, view),
            Question::NameServer => self.address(draft, self.zone.server, view),
            Question::Host(host) => match view.hosts.get(&host) {
                None => self.negative(draft, ResponseCode::NXDomain, view),
                Some(address) => self.address(draft, address.ip(), view),
            },
            Question::Services { class, proxy } if is_queried(record_type, RecordType::SRV) => {
                self.services_of_class(draft, class, proxy, client, view)
            }
            Question::Addresses { class, proxy }
                if is_queried(record_type, RecordType::A)
                    || is_queried(record_type, RecordType::AAAA) =>
            {
                self.addresses_of_class(draft, class, proxy, client, view)
            }
            Question::Services { .. } | Question::Addresses { .. } => {
                self.negative(draft, ResponseCode::NoError, view)
            }
            Question::Table(table) => self.table(draft, table, client, view),
        }
    }

    fn apex(&self, draft: ResponseDraft<'_>, view: &View) -> Reply {
        let record_type = draft.query.query_type;
        let soa = self
            .soa(view.serial)
            .filter(|_| is_queried(record_type, RecordType::SOA));
        let name_server = self
            .name_server()
            .filter(|_| is_queried(record_type, RecordType::NS));
        self.records(draft, soa.into_iter().chain(name_server).collect(), view)
    }

    /// The answer for a name with a single address.
    fn address(&self, draft: ResponseDraft<'_>, address: IpAddr, view: &View) -> Reply {
        let record = address_record(draft.query.name.clone(), draft.lifetime_s, address);
        let record =
            Some(record).filter(|record| is_queried(draft.query.query_type, record.record_type()));
        self.records(draft, record.into_iter().collect(), view)
    }

    fn services_of_class(
        &mut self,
        draft: ResponseDraft<'_>,
        class: RequestClassId,
        proxy: Option<ProxyId>,
        client: IpAddr,
        view: &View,
    ) -> Reply {
        let TableChoice { table, reply } = self.choose_table(class, proxy, client, view);
        let Some(table) = table else {
            return draft.no_host(reply);
        };
        let hosts = view.hosts_for_client(table, client_seed(client));
        self.services(draft.for_table(table, view), &hosts, reply)
    }

    fn addresses_of_class(
        &mut self,
        draft: ResponseDraft<'_>,
        class: RequestClassId,
        proxy: Option<ProxyId>,
        client: IpAddr,
        view: &View,
    ) -> Reply {
        let TableChoice { table, reply } = self.choose_table(class, proxy, client, view);
        let Some(table) = table else {
            return draft.no_host(reply);
        };
        let hosts = view.hosts_for_client(table, client_seed(client));
        self.addresses(draft.for_table(table, view), &hosts, reply, view)
    }

    /// The answer to a query for a table's own name.
    fn table(
        &mut self,
        draft: ResponseDraft<'_>,
        table: TableRef,
        client: IpAddr,
        view: &View,
    ) -> Reply {
        // The name of all tables exists for secondaries. A client that queries for it directly gets the table of an
        // anonymous proxy.
        let table = match table {
            TableRef::Table(table) => view.tables.contains_key(&table).then_some(table),
            TableRef::All => {
                self.choose_table(RequestClassId(0), None, client, view)
                    .table
            }
        };
        let Some(table) = table else {
            return self.negative(draft, ResponseCode::NXDomain, view);
        };
        let hosts = view.hosts_for_client(table, client_seed(client));
        let draft = draft.for_table(table, view);
        let reply = Reply {
            table: Some(table),
            is_anonymous: true,
            ..Reply::default()
        };
        match draft.query.query_type {
            _ if hosts.is_empty() => draft.no_host(reply),
            RecordType::SRV | RecordType::ANY => self.services(draft, &hosts, reply),
            RecordType::A | RecordType::AAAA => self.addresses(draft, &hosts, reply, view),
            _ => self.negative(draft, ResponseCode::NoError, view),
        }
    }

    fn choose_table(
        &self,
        class: RequestClassId,
        proxy: Option<ProxyId>,
        client: IpAddr,
        view: &View,
    ) -> TableChoice {
        let known_proxy = proxy.or_else(|| self.zone.proxy_at(client));
        let client_seed = client_seed(client);
        let table = view
            .table_of(known_proxy, class, client_seed)
            .filter(|table| !view.table_hosts(*table).is_empty());
        let reply = Reply {
            proxy: known_proxy.or_else(|| view.anonymous_proxy(client_seed)),
            table,
            is_anonymous: known_proxy.is_none(),
            ..Reply::default()
        };
        TableChoice { table, reply }
    }

    /// The answer with these records, or a negative answer if there are none.
    fn records(&self, draft: ResponseDraft<'_>, records: Vec<Record>, view: &View) -> Reply {
        if records.is_empty() {
            return self.negative(draft, ResponseCode::NoError, view);
        }
        let mut message = draft.message();
        message.add_answers(records);
        draft.finish(&message, Reply::default())
    }

    /// A negative answer: the name does not exist or has no record of the type. It includes the SOA, whose MINIMUM is
    /// the lifetime of the answer (RFC 2308).
    pub(super) fn negative(
        &self,
        draft: ResponseDraft<'_>,
        code: ResponseCode,
        view: &View,
    ) -> Reply {
        let mut message = draft.message();
        message.metadata.response_code = code;
        if let Some(soa) = self.soa(view.serial) {
            message.add_authority(soa);
        }
        draft.finish(&message, Reply::default())
    }

    pub(super) fn soa(&self, serial: u32) -> Option<Record> {
        let lifetime_s = self.zone.lifetime.negative_s;
        let contact = Name::from_ascii("operators")
            .ok()?
            .append_domain(&self.zone.origin)
            .ok()?;
        let soa = SOA::new(
            self.zone.server_name()?,
            contact,
            serial,
            REFRESH_S,
            RETRY_S,
            i32::try_from(self.zone.expire_s).unwrap_or(i32::MAX),
            lifetime_s,
        );
        Some(Record::from_rdata(
            self.zone.origin.clone(),
            lifetime_s,
            RData::SOA(soa),
        ))
    }

    pub(super) fn name_server(&self) -> Option<Record> {
        Some(Record::from_rdata(
            self.zone.origin.clone(),
            self.zone.lifetime.hosts_s,
            RData::NS(NS(self.zone.server_name()?)),
        ))
    }
}

/// Whether a query for the type `queried` includes records of `record_type`.
fn is_queried(queried: RecordType, record_type: RecordType) -> bool {
    queried == record_type || queried == RecordType::ANY
}

/// A number derived from the client's address, which seeds the random choices for this client.
fn client_seed(client: IpAddr) -> u64 {
    match client {
        IpAddr::V4(v4) => u64::from(u32::from(v4)),
        IpAddr::V6(v6) => (u128::from(v6) >> 64) as u64 ^ u128::from(v6) as u64,
    }
}
