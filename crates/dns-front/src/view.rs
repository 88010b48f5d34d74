//! The tables as they are to be answered.

use pondarch::types::{HostId, KindId, ProxyId, TableId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A host of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub host: HostId,
    pub addr: SocketAddr,
    pub weight: f64,
    pub cold: bool,
}

/// Tables, who is bound to which, and the hosts' addresses. `serial` rises with each change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    pub serial: u32,
    pub tables: BTreeMap<TableId, Vec<Line>>,
    pub bound: BTreeMap<(ProxyId, KindId), TableId>,
    pub hosts: BTreeMap<HostId, SocketAddr>,
    /// Tables that have nothing any more and show what they last had: answered with a lifetime of 1 s.
    pub last: BTreeSet<TableId>,
}

impl View {
    /// The table for a proxy's kind. A proxy that nobody has bound yet, or knows, gets one by a hashed draw of its
    /// mark: the same at each ask, and evenly over all.
    pub fn table_of(&self, proxy: Option<ProxyId>, kind: KindId, mark: u64) -> Option<TableId> {
        if let Some(table) = proxy.and_then(|proxy| self.bound.get(&(proxy, kind))) {
            return Some(*table);
        }
        let filled: Vec<TableId> =
            self.tables.iter().filter(|(_, lines)| !lines.is_empty()).map(|(table, _)| *table).collect();
        let drawn = fastrand::Rng::with_seed(mark).usize(0..filled.len().max(1));
        filled.get(drawn).copied()
    }

    /// All tables as one, each with the same part: the lines that whoever is not told apart gets.
    pub fn all(&self) -> Vec<Line> {
        let mut all: BTreeMap<&HostId, Line> = BTreeMap::new();
        for lines in self.tables.values() {
            let sum: f64 = lines.iter().map(|line| line.weight).sum();
            for line in lines {
                let own = all.entry(&line.host).or_insert_with(|| Line { weight: 0.0, ..line.clone() });
                own.weight += line.weight / sum.max(f64::MIN_POSITIVE);
            }
        }
        all.into_values().collect()
    }

    pub fn lines(&self, table: TableId) -> &[Line] {
        self.tables.get(&table).map_or(&[], Vec::as_slice)
    }
}
