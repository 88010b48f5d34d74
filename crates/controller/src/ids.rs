//! Identifiers. Hosts are identified by name, everything else by number.

use std::fmt;
use std::sync::Arc;

macro_rules! numeric_id {
    ($(#[doc = $doc:literal] $name:ident($inner:ty)),* $(,)?) => {$(
        #[doc = $doc]
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(pub $inner);
    )*};
}

numeric_id!(
    /// A proxy, by its number in the deployment.
    ProxyId(u16),
    /// A routing table: a shard of hosts that several proxies share.
    TableId(u16),
    /// A zone, by its index in the deployment's list.
    ZoneId(u16),
    /// A machine type, by its index in the deployment's list.
    MachineTypeId(u16),
    /// A cell: a group of hosts that fail together, such as a rack.
    CellId(u64),
    /// A request class, by its index in the deployment's list.
    RequestClassId(u8),
    /// An acknowledgement requested from proxies.
    AckId(u16),
);

/// A host, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId(pub Arc<str>);

impl fmt::Display for HostId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
