//! Which names there are below the zone's own, and what is asked by them:
//!
//! | name | asked |
//! | --- | --- |
//! | the zone itself | SOA, NS |
//! | `ns` | the server's own address |
//! | `_<kind>._tcp.<proxy>`, `_<kind>._tcp` | SRV (RFC 2782), for a proxy by its name or by its source |
//! | `<kind>.<proxy>`, `<kind>` | addresses, for resolvers that know no SRV |
//! | `<host>.hosts` | a host's address: the targets of SRV |
//! | `t<n>.tables`, `all.tables` | a table, and all of them as one: what the names of a transferred zone are aliases of |
//!
//! Names in between (`_tcp.<proxy>`, `hosts`) exist and hold nothing (RFC 8020).

use hickory_proto::rr::Name;
use pondarch_controller::{HostId, ProxyId, RequestClassId, TableId};
use pondarch_dns_core::Lifetime;
use std::collections::BTreeMap;
use std::net::IpAddr;
use thiserror::Error;

const HOSTS: &str = "hosts";
const NS: &str = "ns";
const TCP: &str = "_tcp";
const TABLES: &str = "tables";
const ALL: &str = "all";

/// If the settings say nothing else.
const EXPIRE_S: u32 = 60;

#[derive(Clone, Debug, PartialEq, Error)]
pub enum ZoneError {
    #[error("'{0}' is no domain name")]
    Name(String),
    #[error(
        "the {0} '{1}' cannot be a label: 1 to 63 letters, digits or '-', and none of ns, hosts, tables, _tcp"
    )]
    Label(&'static str, String),
    #[error("'{0}' is a proxy and a kind")]
    Twice(String),
}

/// One table, or all of them taken together: who is not known to a secondary gets those.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Of {
    Table(TableId),
    All,
}

/// What a name asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asks {
    Apex,
    NameServer,
    /// A kind as SRV; the proxy if the name tells it.
    Services(RequestClassId, Option<ProxyId>),
    /// A kind as addresses.
    Addresses(RequestClassId, Option<ProxyId>),
    Host(HostId),
    /// A table by its own name, as SRV or as addresses.
    Table(Of),
    /// It exists, and has nothing of its own.
    Between,
    /// Below the zone, and there is no such name.
    Nothing,
    Outside,
}

/// The zone's settings, checked.
#[derive(Clone, Debug)]
pub struct Zone {
    pub origin: Name,
    /// The server's own address, for `ns`.
    pub server: IpAddr,
    pub lifetime: Lifetime,
    /// When a secondary that is cut off stops answering, in seconds.
    pub expire_s: u32,
    kinds: BTreeMap<String, RequestClassId>,
    proxies: BTreeMap<String, ProxyId>,
    /// Nets whose queries are a proxy's, the longest prefix first: address, bits.
    sources: Vec<(IpAddr, u8, ProxyId)>,
}

impl Zone {
    /// Errors: a name that is none, a kind or proxy that cannot be a label, one that is both.
    pub fn new(
        origin: &str,
        server: IpAddr,
        lifetime: Lifetime,
        kinds: &[String],
        proxies: &[String],
        mut sources: Vec<(IpAddr, u8, ProxyId)>,
    ) -> Result<Zone, ZoneError> {
        let mut name = Name::from_ascii(origin).map_err(|_| ZoneError::Name(origin.into()))?;
        name.set_fqdn(true);
        let label = |what, name: &String| match is_label(name) {
            true => Ok(name.to_ascii_lowercase()),
            false => Err(ZoneError::Label(what, name.clone())),
        };
        let mut by_kind = BTreeMap::new();
        for (n, kind) in kinds.iter().enumerate() {
            by_kind.insert(label("kind", kind)?, RequestClassId(n as u8));
        }
        let mut by_proxy = BTreeMap::new();
        for (n, proxy) in proxies.iter().enumerate() {
            let proxy = label("proxy", proxy)?;
            if by_kind.contains_key(&proxy) {
                return Err(ZoneError::Twice(proxy));
            }
            by_proxy.insert(proxy, ProxyId(n as u16));
        }
        sources.sort_by_key(|(_, bits, _)| std::cmp::Reverse(*bits));
        Ok(Zone {
            origin: name,
            server,
            lifetime,
            expire_s: EXPIRE_S,
            kinds: by_kind,
            proxies: by_proxy,
            sources,
        })
    }

    /// What a name asks for; case plays no part (RFC 4343).
    pub fn asks(&self, name: &Name) -> Asks {
        if !self.origin.zone_of(name) {
            return Asks::Outside;
        }
        let own = usize::from(name.num_labels() - self.origin.num_labels());
        let label = |bytes: &[u8]| String::from_utf8_lossy(bytes).to_ascii_lowercase();
        let labels: Vec<String> = name.iter().take(own).map(label).collect();
        let labels: Vec<&str> = labels.iter().map(String::as_str).collect();
        let service = |label: &str| {
            label
                .strip_prefix('_')
                .and_then(|name| self.kinds.get(name))
                .copied()
        };
        let proxy = |label: &str| self.proxies.get(label).copied();
        let known = |found: Option<Asks>| found.unwrap_or(Asks::Nothing);
        match labels.as_slice() {
            [] => Asks::Apex,
            [NS] => Asks::NameServer,
            [HOSTS] | [TCP] | [TABLES] => Asks::Between,
            [one] => match self.kinds.get(*one) {
                Some(kind) => Asks::Addresses(*kind, None),
                None => known(proxy(one).map(|_| Asks::Between)),
            },
            [host @ .., HOSTS] => Asks::Host(HostId(host.join(".").into())),
            [of, TABLES] => known(table_of(of).map(Asks::Table)),
            [kind, TCP] => known(service(kind).map(|kind| Asks::Services(kind, None))),
            [TCP, of] => known(proxy(of).map(|_| Asks::Between)),
            [kind, of] => known(
                self.kinds
                    .get(*kind)
                    .zip(proxy(of))
                    .map(|(kind, of)| Asks::Addresses(*kind, Some(of))),
            ),
            [kind, TCP, of] => known(
                service(kind)
                    .zip(proxy(of))
                    .map(|(kind, of)| Asks::Services(kind, Some(of))),
            ),
            _ => Asks::Nothing,
        }
    }

    /// The proxy whose net an address is in.
    pub fn proxy_at(&self, from: IpAddr) -> Option<ProxyId> {
        let from = from.to_canonical();
        self.sources
            .iter()
            .find(|(net, bits, _)| within(from, *net, *bits))
            .map(|(_, _, proxy)| *proxy)
    }

    /// The name of a host: the target of SRV. None if it is too long for a name.
    pub fn host_name(&self, host: &HostId) -> Option<Name> {
        let name = Name::from_labels(host.0.split('.').map(str::as_bytes)).ok()?;
        name.append_label(HOSTS)
            .ok()?
            .append_domain(&self.origin)
            .ok()
    }

    /// The name that a kind is asked by: as SRV or as addresses, of a proxy or of whoever asks.
    pub fn kind_name(&self, kind: &str, proxy: Option<&str>, srv: bool) -> Option<Name> {
        let service = format!("_{kind}");
        let own = if srv {
            vec![service.as_str(), TCP]
        } else {
            vec![kind]
        };
        Name::from_labels(own.into_iter().chain(proxy).map(str::as_bytes))
            .ok()?
            .append_domain(&self.origin)
            .ok()
    }

    pub fn table_name(&self, of: Of) -> Option<Name> {
        let own = match of {
            Of::Table(table) => format!("t{}", table.0),
            Of::All => ALL.to_string(),
        };
        Name::from_labels([own.as_bytes(), TABLES.as_bytes()])
            .ok()?
            .append_domain(&self.origin)
            .ok()
    }

    /// All kinds, by name.
    pub fn kinds(&self) -> impl Iterator<Item = (&str, RequestClassId)> {
        self.kinds.iter().map(|(name, kind)| (name.as_str(), *kind))
    }

    /// All proxies, by name.
    pub fn proxies(&self) -> impl Iterator<Item = (&str, ProxyId)> {
        self.proxies
            .iter()
            .map(|(name, proxy)| (name.as_str(), *proxy))
    }

    pub fn server_name(&self) -> Option<Name> {
        Name::from_labels([NS.as_bytes()])
            .ok()?
            .append_domain(&self.origin)
            .ok()
    }
}

fn table_of(label: &str) -> Option<Of> {
    if label == ALL {
        return Some(Of::All);
    }
    label
        .strip_prefix('t')?
        .parse()
        .ok()
        .map(|n| Of::Table(TableId(n)))
}

fn is_label(name: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || c == '-';
    let taken = [HOSTS, NS, TCP, TABLES]
        .iter()
        .any(|word| name.eq_ignore_ascii_case(word));
    (1..=62).contains(&name.len()) && name.chars().all(fits) && !taken
}

fn within(address: IpAddr, net: IpAddr, bits: u8) -> bool {
    match (address, net) {
        (IpAddr::V4(a), IpAddr::V4(b)) => {
            bits == 0 || (u32::from(a) ^ u32::from(b)) >> (32 - u32::from(bits.min(32))) == 0
        }
        (IpAddr::V6(a), IpAddr::V6(b)) => {
            bits == 0 || (u128::from(a) ^ u128::from(b)) >> (128 - u32::from(bits.min(128))) == 0
        }
        _ => false,
    }
}
