//! The names of the zone and what each stands for:
//!
//! | name | content |
//! | --- | --- |
//! | the zone itself | SOA, NS |
//! | `ns` | the server's own address |
//! | `_<class>._tcp.<proxy>`, `_<class>._tcp` | SRV (RFC 2782), for the named proxy or the one at the source address |
//! | `<class>.<proxy>`, `<class>` | addresses, for resolvers without SRV support |
//! | `<host>.hosts` | a host's address: the targets of SRV |
//! | `t<n>.tables`, `all.tables` | a table, and all of them merged; targets of the aliases in a transferred zone |
//!
//! Names between these (`_tcp.<proxy>`, `hosts`) exist and have no records (RFC 8020).

use crate::rows::AliasType;
use hickory_proto::rr::Name;
use pondarch_controller::{HostId, ProxyId, RequestClassId, TableId};
use pondarch_dns_core::Lifetime;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::IpAddr;
use thiserror::Error;

const HOSTS: &str = "hosts";
const NS: &str = "ns";
const TCP: &str = "_tcp";
const TABLES: &str = "tables";
const ALL: &str = "all";
/// Labels that may not be the name of a request class or a proxy.
const RESERVED_LABELS: [&str; 4] = [HOSTS, NS, TCP, TABLES];
/// The longest name of a request class or proxy: a label has at most 63 characters, one of which is the underscore in
/// SRV names.
const MAX_LABEL_LENGTH: usize = 62;

/// Default of the time after which a secondary that cannot reach the server stops answering, in seconds.
const DEFAULT_EXPIRE_S: u32 = 60;

/// Why the settings of a zone were rejected.
#[derive(Clone, Debug, PartialEq, Error)]
#[non_exhaustive]
pub enum ZoneError {
    /// The origin is not a domain name.
    #[error("'{0}' is not a domain name")]
    Name(String),
    /// The name of a request class or proxy cannot be a label.
    #[error(
        "the {owner} '{name}' cannot be a label: 1 to 63 letters, digits or '-', and none of ns, hosts, tables, _tcp"
    )]
    Label {
        /// What has the name.
        owner: LabelOwner,
        /// The name.
        name: String,
    },
    /// The name is that of both a proxy and a request class.
    #[error("'{0}' is the name of both a proxy and a kind")]
    Ambiguous(String),
}

/// What a label names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LabelOwner {
    /// A request class.
    RequestClass,
    /// A proxy.
    Proxy,
}

impl std::fmt::Display for LabelOwner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            LabelOwner::RequestClass => "kind",
            LabelOwner::Proxy => "proxy",
        })
    }
}

/// One table, or all of them merged, which secondaries answer to unknown clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TableRef {
    /// One table.
    Table(TableId),
    /// All tables, merged.
    All,
}

/// What a name stands for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// The zone itself.
    Apex,
    /// The server.
    NameServer,
    /// The hosts of a request class as SRV.
    Services {
        /// The request class.
        class: RequestClassId,
        /// The proxy, if the name contains one.
        proxy: Option<ProxyId>,
    },
    /// The hosts of a request class as addresses.
    Addresses {
        /// The request class.
        class: RequestClassId,
        /// The proxy, if the name contains one.
        proxy: Option<ProxyId>,
    },
    /// A host.
    Host(HostId),
    /// A table by its own name, as SRV or as addresses.
    Table(TableRef),
    /// A name that has no records but exists because names below it exist.
    EmptyName,
    /// A name in the zone that does not exist.
    Missing,
    /// A name that is not in the zone.
    Outside,
}

/// A network whose queries are attributed to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceNet {
    /// The address of the network.
    pub address: IpAddr,
    /// The length of the prefix, in bits.
    pub prefix_bits: u8,
    /// The proxy.
    pub proxy: ProxyId,
}

/// The validated settings of the zone.
#[derive(Clone, Debug)]
pub struct Zone {
    /// The name of the zone.
    pub origin: Name,
    /// The server's own address, which `ns` resolves to.
    pub server: IpAddr,
    /// Lifetimes of answers.
    pub lifetime: Lifetime,
    /// The time after which a secondary that cannot reach the server stops answering, in seconds.
    pub expire_s: u32,
    classes: BTreeMap<String, RequestClassId>,
    proxies: BTreeMap<String, ProxyId>,
    /// Sorted by prefix length, the longest first.
    sources: Vec<SourceNet>,
}

impl Zone {
    /// Validates the settings of a zone.
    ///
    /// # Errors
    ///
    /// The origin is not a domain name, the name of a request class or proxy cannot be a label, or a proxy and a
    /// request class have the same name.
    pub fn new(
        origin: &str,
        server: IpAddr,
        lifetime: Lifetime,
        classes: &[String],
        proxies: &[String],
        mut sources: Vec<SourceNet>,
    ) -> Result<Zone, ZoneError> {
        let mut name = Name::from_ascii(origin).map_err(|_| ZoneError::Name(origin.into()))?;
        name.set_fqdn(true);
        let mut class_ids = BTreeMap::new();
        for (n, class) in classes.iter().enumerate() {
            let class = label(LabelOwner::RequestClass, class)?;
            class_ids.insert(class, RequestClassId(n as u8));
        }
        let mut proxy_ids = BTreeMap::new();
        for (n, proxy) in proxies.iter().enumerate() {
            let proxy = label(LabelOwner::Proxy, proxy)?;
            if class_ids.contains_key(&proxy) {
                return Err(ZoneError::Ambiguous(proxy));
            }
            proxy_ids.insert(proxy, ProxyId(n as u16));
        }
        sources.sort_by_key(|source| Reverse(source.prefix_bits));
        Ok(Zone {
            origin: name,
            server,
            lifetime,
            expire_s: DEFAULT_EXPIRE_S,
            classes: class_ids,
            proxies: proxy_ids,
            sources,
        })
    }

    /// What a name stands for, ignoring case (RFC 4343).
    #[must_use]
    pub fn question(&self, name: &Name) -> Question {
        if !self.origin.zone_of(name) {
            return Question::Outside;
        }
        let own_labels = usize::from(name.num_labels() - self.origin.num_labels());
        let labels: Vec<String> = name
            .iter()
            .take(own_labels)
            .map(|bytes| String::from_utf8_lossy(bytes).to_ascii_lowercase())
            .collect();
        let labels: Vec<&str> = labels.iter().map(String::as_str).collect();
        self.question_of_labels(&labels)
            .unwrap_or(Question::Missing)
    }

    /// What the labels below the origin stand for; `None` if there is no such name.
    fn question_of_labels(&self, labels: &[&str]) -> Option<Question> {
        match labels {
            [] => Some(Question::Apex),
            [NS] => Some(Question::NameServer),
            [HOSTS] | [TCP] | [TABLES] => Some(Question::EmptyName),
            [name] => match self.class(name) {
                Some(class) => Some(Question::Addresses { class, proxy: None }),
                None => self.proxy(name).map(|_| Question::EmptyName),
            },
            [host @ .., HOSTS] => Some(Question::Host(HostId(host.join(".").into()))),
            [table, TABLES] => table_ref(table).map(Question::Table),
            [service, TCP] => Some(Question::Services {
                class: self.service_class(service)?,
                proxy: None,
            }),
            [TCP, proxy] => self.proxy(proxy).map(|_| Question::EmptyName),
            [class, proxy] => Some(Question::Addresses {
                class: self.class(class)?,
                proxy: Some(self.proxy(proxy)?),
            }),
            [service, TCP, proxy] => Some(Question::Services {
                class: self.service_class(service)?,
                proxy: Some(self.proxy(proxy)?),
            }),
            _ => None,
        }
    }

    fn class(&self, label: &str) -> Option<RequestClassId> {
        self.classes.get(label).copied()
    }

    /// The request class of a label that starts with an underscore.
    fn service_class(&self, label: &str) -> Option<RequestClassId> {
        self.class(label.strip_prefix('_')?)
    }

    fn proxy(&self, label: &str) -> Option<ProxyId> {
        self.proxies.get(label).copied()
    }

    /// The proxy whose network contains the address.
    #[must_use]
    pub fn proxy_at(&self, address: IpAddr) -> Option<ProxyId> {
        let address = address.to_canonical();
        self.sources
            .iter()
            .find(|source| is_within(address, source.address, source.prefix_bits))
            .map(|source| source.proxy)
    }

    /// The name of a host, which SRV records have as target. `None` if it is too long for a domain name.
    #[must_use]
    pub fn host_name(&self, host: &HostId) -> Option<Name> {
        let name = Name::from_labels(host.0.split('.').map(str::as_bytes)).ok()?;
        name.append_label(HOSTS)
            .ok()?
            .append_domain(&self.origin)
            .ok()
    }

    /// The name to query for a request class, with a proxy or without one.
    #[must_use]
    pub fn class_name(
        &self,
        class: &str,
        proxy: Option<&str>,
        alias_type: AliasType,
    ) -> Option<Name> {
        let service = format!("_{class}");
        let labels = match alias_type {
            AliasType::Srv => vec![service.as_str(), TCP],
            AliasType::Address => vec![class],
        };
        self.name_of(labels.into_iter().chain(proxy))
    }

    /// The name of a table.
    #[must_use]
    pub fn table_name(&self, table: TableRef) -> Option<Name> {
        let label = match table {
            TableRef::Table(table) => format!("t{}", table.0),
            TableRef::All => ALL.to_string(),
        };
        self.name_of([label.as_str(), TABLES])
    }

    /// The name of the server.
    #[must_use]
    pub fn server_name(&self) -> Option<Name> {
        self.name_of([NS])
    }

    fn name_of<'a>(&self, labels: impl IntoIterator<Item = &'a str>) -> Option<Name> {
        Name::from_labels(labels.into_iter().map(str::as_bytes))
            .ok()?
            .append_domain(&self.origin)
            .ok()
    }

    /// All request classes, by name.
    pub fn classes(&self) -> impl Iterator<Item = (&str, RequestClassId)> {
        self.classes
            .iter()
            .map(|(name, class)| (name.as_str(), *class))
    }

    /// All proxies, by name.
    pub fn proxies(&self) -> impl Iterator<Item = (&str, ProxyId)> {
        self.proxies
            .iter()
            .map(|(name, proxy)| (name.as_str(), *proxy))
    }
}

fn table_ref(label: &str) -> Option<TableRef> {
    if label == ALL {
        return Some(TableRef::All);
    }
    let number = label.strip_prefix('t')?.parse().ok()?;
    Some(TableRef::Table(TableId(number)))
}

/// Validates a name as a label and converts it to lower case.
fn label(owner: LabelOwner, name: &str) -> Result<String, ZoneError> {
    let is_reserved = RESERVED_LABELS
        .iter()
        .any(|reserved| name.eq_ignore_ascii_case(reserved));
    let is_label = (1..=MAX_LABEL_LENGTH).contains(&name.len())
        && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-')
        && !is_reserved;
    if !is_label {
        return Err(ZoneError::Label {
            owner,
            name: name.into(),
        });
    }
    Ok(name.to_ascii_lowercase())
}

fn is_within(address: IpAddr, net: IpAddr, prefix_bits: u8) -> bool {
    match (address, net) {
        (IpAddr::V4(a), IpAddr::V4(b)) => {
            prefix_bits == 0
                || (u32::from(a) ^ u32::from(b)) >> (32 - u32::from(prefix_bits.min(32))) == 0
        }
        (IpAddr::V6(a), IpAddr::V6(b)) => {
            prefix_bits == 0
                || (u128::from(a) ^ u128::from(b)) >> (128 - u32::from(prefix_bits.min(128))) == 0
        }
        _ => false,
    }
}
