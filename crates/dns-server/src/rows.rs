//! The zone as rows, for transfers. Names of request classes are aliases of table names, and each table is stored once.
//! Tables change often and bindings seldom, so a difference is no larger than the changes of the tables.

use crate::view::{TableHost, UNBOUND_TABLE, View};
use crate::zone::{TableRef, Zone};
use hickory_proto::rr::rdata::{A, AAAA, CNAME, SRV};
use hickory_proto::rr::{Name, RData, Record};
use pondarch_controller::{HostId, ProxyId, RequestClassId};
use pondarch_dns_core::{srv_share_weights, srv_weights};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// The most addresses of a table in a transfer. Addresses have no weights there, so those of the heaviest hosts are
/// taken.
const MAX_ADDRESSES: usize = 16;

/// The record type that an alias is for. The order of variants determines the order of rows in transfers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AliasType {
    /// Addresses, for resolvers without SRV support.
    Address,
    /// SRV records.
    Srv,
}

/// One record of the zone, except its SOA and NS. The order of variants and fields determines the order of rows in
/// transfers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Row {
    /// The name of a request class, as an alias of a table's name.
    Alias {
        /// The request class.
        class: RequestClassId,
        /// The proxy in the name; `None` for the name that is common to all clients.
        proxy: Option<ProxyId>,
        /// The record type that the alias is for.
        alias_type: AliasType,
        /// The table.
        table: TableRef,
    },
    /// A host of a table, as an SRV record.
    Service {
        /// The table.
        table: TableRef,
        /// The target.
        host: HostId,
        /// Its SRV weight.
        weight: u16,
        /// Its port.
        port: u16,
    },
    /// A host of a table, as an address.
    Address {
        /// The table.
        table: TableRef,
        /// The address.
        address: IpAddr,
    },
    /// The address of a host.
    Host {
        /// The host.
        host: HostId,
        /// Its address.
        address: IpAddr,
    },
}

/// All rows of the zone as of a view.
#[must_use]
pub fn zone_rows(zone: &Zone, view: &View) -> BTreeSet<Row> {
    let mut rows = BTreeSet::new();
    rows.extend(view.hosts.iter().map(|(host, address)| Row::Host {
        host: host.clone(),
        address: address.ip(),
    }));
    for (table, hosts) in &view.tables {
        if *table != UNBOUND_TABLE {
            add_table(TableRef::Table(*table), hosts, &mut rows);
        }
    }
    add_table(TableRef::All, &view.all_tables(), &mut rows);
    for (_, class) in zone.classes() {
        for (_, proxy) in zone.proxies() {
            add_aliases(class, Some(proxy), table_of(view, proxy, class), &mut rows);
        }
        add_aliases(class, None, TableRef::All, &mut rows);
    }
    rows
}

/// The table of a proxy. A proxy without a binding gets the table of the anonymous proxy that its id selects, or all
/// tables.
fn table_of(view: &View, proxy: ProxyId, class: RequestClassId) -> TableRef {
    view.table_of(Some(proxy), class, u64::from(proxy.0))
        .filter(|table| *table != UNBOUND_TABLE)
        .map_or(TableRef::All, TableRef::Table)
}

fn add_aliases(
    class: RequestClassId,
    proxy: Option<ProxyId>,
    table: TableRef,
    rows: &mut BTreeSet<Row>,
) {
    rows.extend(
        [AliasType::Srv, AliasType::Address].map(|alias_type| Row::Alias {
            class,
            proxy,
            alias_type,
            table,
        }),
    );
}

fn add_table(table: TableRef, hosts: &[TableHost], rows: &mut BTreeSet<Row>) {
    let by_id: BTreeMap<&HostId, &TableHost> =
        hosts.iter().map(|host| (&host.host, host)).collect();
    let weighted = hosts.iter().map(TableHost::weighted_host);
    let targets = match table {
        TableRef::All => srv_share_weights(weighted),
        TableRef::Table(_) => srv_weights(weighted),
    };
    for target in targets {
        if let Some(host) = by_id.get(&target.host) {
            rows.insert(Row::Service {
                table,
                host: target.host,
                weight: target.weight,
                port: host.address.port(),
            });
        }
    }
    let mut addressable = addressable_hosts(hosts);
    addressable.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.host.cmp(&b.host)));
    let heaviest = addressable.into_iter().take(MAX_ADDRESSES);
    rows.extend(heaviest.map(|host| Row::Address {
        table,
        address: host.address.ip(),
    }));
}

/// The hosts that may be answered as addresses. Addresses have no weights, so hosts that are warming up are left out
/// unless all are warming up.
pub(crate) fn addressable_hosts(hosts: &[TableHost]) -> Vec<&TableHost> {
    let warm: Vec<&TableHost> = hosts.iter().filter(|host| !host.warming_up).collect();
    if warm.is_empty() {
        hosts.iter().collect()
    } else {
        warm
    }
}

/// Converts rows to records.
pub(crate) struct RecordWriter<'a> {
    zone: &'a Zone,
    classes: BTreeMap<RequestClassId, &'a str>,
    proxies: BTreeMap<ProxyId, &'a str>,
}

impl RecordWriter<'_> {
    pub(crate) fn new(zone: &Zone) -> RecordWriter<'_> {
        RecordWriter {
            zone,
            classes: zone.classes().map(|(name, class)| (class, name)).collect(),
            proxies: zone.proxies().map(|(name, proxy)| (proxy, name)).collect(),
        }
    }

    /// The record of a row; `None` if a name would be too long or the row's class or proxy is not in the zone.
    pub(crate) fn record(&self, row: &Row) -> Option<Record> {
        let (name, data) = match row {
            Row::Alias {
                class,
                proxy,
                alias_type,
                table,
            } => {
                let proxy = match proxy {
                    Some(proxy) => Some(*self.proxies.get(proxy)?),
                    None => None,
                };
                let class = self.classes.get(class)?;
                let name = self.zone.class_name(class, proxy, *alias_type)?;
                (name, RData::CNAME(CNAME(self.zone.table_name(*table)?)))
            }
            Row::Service {
                table,
                host,
                weight,
                port,
            } => {
                let srv = SRV::new(0, *weight, *port, self.zone.host_name(host)?);
                (self.zone.table_name(*table)?, RData::SRV(srv))
            }
            Row::Address { table, address } => {
                (self.zone.table_name(*table)?, address_data(*address))
            }
            Row::Host { host, address } => (self.zone.host_name(host)?, address_data(*address)),
        };
        Some(Record::from_rdata(name, self.zone.lifetime.hosts_s, data))
    }
}

fn address_data(address: IpAddr) -> RData {
    match address.to_canonical() {
        IpAddr::V4(v4) => RData::A(A(v4)),
        IpAddr::V6(v6) => RData::AAAA(AAAA(v6)),
    }
}

/// The address record of a name.
pub(crate) fn address_record(name: Name, lifetime_s: u32, address: IpAddr) -> Record {
    Record::from_rdata(name, lifetime_s, address_data(address))
}
