//! The tables as they are to be answered.

use pondarch_controller::{HostId, ProxyId, RequestClassId, TableId};
use pondarch_dns_core::WeightedHost;
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

impl Line {
    pub(crate) fn weighted_host(&self) -> WeightedHost<'_> {
        WeightedHost {
            host: &self.host,
            weight: self.weight,
            warming_up: self.cold,
        }
    }
}

/// Stands for the whole list where no table is bound yet: whoever asks is given a few hosts of it by a draw.
pub const STANDING: TableId = TableId(u16::MAX - 1);
/// Hosts of a standing table.
const STANDING_MOST: usize = 8;

/// Tables, who is bound to which, and the hosts' addresses. `serial` rises with each change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    pub serial: u32,
    /// Those that somebody who asks by name is bound to, and `STANDING`.
    pub tables: BTreeMap<TableId, Vec<Line>>,
    pub bound: BTreeMap<(ProxyId, RequestClassId), TableId>,
    pub hosts: BTreeMap<HostId, SocketAddr>,
    /// Tables that have nothing any more and show what they last had: answered with a lifetime of 1 s.
    pub last: BTreeSet<TableId>,
    /// Those who are not known are one of these, by a draw of their mark.
    pub strangers: Vec<ProxyId>,
}

impl View {
    /// Who a mark is taken for: the same at each ask, and evenly over all.
    pub fn stranger(&self, mark: u64) -> Option<ProxyId> {
        let drawn = fastrand::Rng::with_seed(mark).usize(0..self.strangers.len().max(1));
        self.strangers.get(drawn).copied()
    }

    /// The table for a proxy's kind. One that nobody has bound yet is taken for a stranger of that mark; where those are
    /// not bound either, for the whole list.
    pub fn table_of(
        &self,
        proxy: Option<ProxyId>,
        kind: RequestClassId,
        mark: u64,
    ) -> Option<TableId> {
        let bound = |proxy: ProxyId| {
            let table = self.bound.get(&(proxy, kind)).copied();
            table.filter(|table| !self.lines(*table).is_empty())
        };
        let own = proxy
            .and_then(bound)
            .or_else(|| bound(self.stranger(mark)?));
        own.or_else(|| self.tables.contains_key(&STANDING).then_some(STANDING))
    }

    /// A table's lines for an asker with this mark.
    pub fn lines_for(&self, table: TableId, mark: u64) -> Vec<Line> {
        let mut lines = self.lines(table).to_vec();
        if table == STANDING && lines.len() > STANDING_MOST {
            fastrand::Rng::with_seed(mark).shuffle(&mut lines);
            lines.truncate(STANDING_MOST);
        }
        lines
    }

    /// All tables as one, each with the same part: the lines that whoever is not told apart gets.
    pub fn all(&self) -> Vec<Line> {
        let mut all: BTreeMap<&HostId, Line> = BTreeMap::new();
        let bound = self
            .tables
            .iter()
            .filter(|(table, lines)| **table != STANDING && !lines.is_empty());
        let bound: Vec<&Vec<Line>> = bound.map(|(_, lines)| lines).collect();
        let standing = self.tables.get(&STANDING).filter(|_| bound.is_empty());
        for lines in bound.into_iter().chain(standing) {
            let sum: f64 = lines.iter().map(|line| line.weight).sum();
            for line in lines {
                let own = all.entry(&line.host).or_insert_with(|| Line {
                    weight: 0.0,
                    ..line.clone()
                });
                own.weight += line.weight / sum.max(f64::MIN_POSITIVE);
            }
        }
        all.into_values().collect()
    }

    pub fn lines(&self, table: TableId) -> &[Line] {
        self.tables.get(&table).map_or(&[], Vec::as_slice)
    }
}
