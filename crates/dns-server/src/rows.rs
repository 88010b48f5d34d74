//! The zone as rows, for copies of it: what each name is an alias of, and each table once. Tables change often and bindings
//! seldom, so that differences are as small as the tables' own.

use crate::view::{Line, STANDING, View};
use crate::zone::{Of, Zone};
use hickory_proto::rr::rdata::{A, AAAA, CNAME, SRV};
use hickory_proto::rr::{Name, RData, Record};
use pondarch_controller::{HostId, ProxyId, RequestClassId};
use pondarch_dns_core::{srv_share_weights, srv_weights};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// Addresses of a table in a copy at most: there they have no weights, and the heaviest are taken.
const ADDRESSES_MOST: usize = 16;

/// One record of the zone, but for its SOA and NS.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Row {
    Alias {
        kind: RequestClassId,
        proxy: Option<ProxyId>,
        srv: bool,
        of: Of,
    },
    Service {
        of: Of,
        host: HostId,
        weight: u16,
        port: u16,
    },
    Address {
        of: Of,
        ip: IpAddr,
    },
    Host {
        host: HostId,
        ip: IpAddr,
    },
}

/// All rows of the zone as the view has it.
pub fn rows(zone: &Zone, view: &View) -> BTreeSet<Row> {
    let mut rows = BTreeSet::new();
    rows.extend(view.hosts.iter().map(|(host, addr)| Row::Host {
        host: host.clone(),
        ip: addr.ip(),
    }));
    for (table, lines) in view.tables.iter().filter(|(table, _)| **table != STANDING) {
        table_rows(Of::Table(*table), lines, &mut rows);
    }
    table_rows(Of::All, &view.all(), &mut rows);
    for (_, kind) in zone.kinds() {
        let none = (None, Of::All);
        // One that nobody has bound is a stranger by a draw of its place.
        let own = zone.proxies().map(|(_, proxy)| {
            let table = view.table_of(Some(proxy), kind, u64::from(proxy.0));
            (
                Some(proxy),
                table
                    .filter(|table| *table != STANDING)
                    .map_or(Of::All, Of::Table),
            )
        });
        for (proxy, of) in own.chain([none]) {
            rows.extend([true, false].map(|srv| Row::Alias {
                kind,
                proxy,
                srv,
                of,
            }));
        }
    }
    rows
}

fn table_rows(of: Of, lines: &[Line], rows: &mut BTreeSet<Row>) {
    let by_host: BTreeMap<&HostId, &Line> = lines.iter().map(|line| (&line.host, line)).collect();
    let weighed = lines.iter().map(Line::weighted_host);
    let whole = if of == Of::All {
        srv_share_weights(weighed)
    } else {
        srv_weights(weighed)
    };
    for line in whole {
        let Some(port) = by_host.get(&line.host).map(|line| line.addr.port()) else {
            continue;
        };
        rows.insert(Row::Service {
            of,
            host: line.host,
            weight: line.weight,
            port,
        });
    }
    let mut plain = addressed(lines);
    plain.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.host.cmp(&b.host)));
    rows.extend(
        plain
            .into_iter()
            .take(ADDRESSES_MOST)
            .map(|line| Row::Address {
                of,
                ip: line.addr.ip(),
            }),
    );
}

/// The lines that may be named by address alone: a cold host is met by its weight or not at all, unless all are cold.
pub(crate) fn addressed(lines: &[Line]) -> Vec<&Line> {
    let warm: Vec<&Line> = lines.iter().filter(|line| !line.cold).collect();
    if warm.is_empty() {
        lines.iter().collect()
    } else {
        warm
    }
}

/// Rows as records.
pub(crate) struct Writer<'a> {
    zone: &'a Zone,
    kinds: BTreeMap<RequestClassId, &'a str>,
    proxies: BTreeMap<ProxyId, &'a str>,
}

impl Writer<'_> {
    pub(crate) fn new(zone: &Zone) -> Writer<'_> {
        let kinds = zone.kinds().map(|(name, kind)| (kind, name)).collect();
        let proxies = zone.proxies().map(|(name, proxy)| (proxy, name)).collect();
        Writer {
            zone,
            kinds,
            proxies,
        }
    }

    /// None: a name would be too long.
    pub(crate) fn record(&self, row: &Row) -> Option<Record> {
        let (name, data) = match row {
            Row::Alias {
                kind,
                proxy,
                srv,
                of,
            } => {
                let proxy = match proxy {
                    Some(proxy) => Some(*self.proxies.get(proxy)?),
                    None => None,
                };
                let name = self.zone.kind_name(self.kinds.get(kind)?, proxy, *srv)?;
                (name, RData::CNAME(CNAME(self.zone.table_name(*of)?)))
            }
            Row::Service {
                of,
                host,
                weight,
                port,
            } => {
                let srv = SRV::new(0, *weight, *port, self.zone.host_name(host)?);
                (self.zone.table_name(*of)?, RData::SRV(srv))
            }
            Row::Address { of, ip } => (self.zone.table_name(*of)?, address(*ip)),
            Row::Host { host, ip } => (self.zone.host_name(host)?, address(*ip)),
        };
        Some(Record::from_rdata(name, self.zone.lifetime.hosts_s, data))
    }
}

pub(crate) fn address(ip: IpAddr) -> RData {
    match ip.to_canonical() {
        IpAddr::V4(v4) => RData::A(A(v4)),
        IpAddr::V6(v6) => RData::AAAA(AAAA(v6)),
    }
}

pub(crate) fn address_record(name: Name, ttl: u32, ip: IpAddr) -> Record {
    Record::from_rdata(name, ttl, address(ip))
}
