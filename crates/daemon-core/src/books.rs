//! The tables as the module deals them, and as proxies are to hold them.

use crate::list::HostList;
use pondarch_controller::{HostId, RequestClassId, RetryPolicy, TableId, Time};
use pondarch_proxy_session::units::{Share, units};
use pondarch_proxy_session::{Lines, WantedLine, table};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// One table.
#[derive(Debug, Default)]
pub(crate) struct Book {
    pub(crate) dealt: BTreeMap<HostId, f64>,
    pub(crate) levels: BTreeMap<RequestClassId, (f64, RetryPolicy)>,
    /// As proxies are to hold it; none: to be made anew.
    lines: Option<Arc<Lines>>,
    held_back: Vec<HostId>,
}

#[derive(Debug, Default)]
pub(crate) struct Books {
    pub(crate) books: BTreeMap<TableId, Book>,
    /// Hosts that no proxy is to be told of for now, as long as their tables have others.
    kept_out: BTreeSet<HostId>,
}

impl Books {
    pub(crate) fn deal(&mut self, table: TableId, host: HostId, weight: Option<f64>) {
        let book = self.books.entry(table).or_default();
        match weight {
            Some(weight) => drop(book.dealt.insert(host, weight)),
            None => drop(book.dealt.remove(&host)),
        }
        book.lines = None;
    }

    pub(crate) fn level(
        &mut self,
        table: TableId,
        kind: RequestClassId,
        quota: f64,
        tries: RetryPolicy,
    ) {
        self.books
            .entry(table)
            .or_default()
            .levels
            .insert(kind, (quota, tries));
    }

    /// Addresses may have changed: tables that hold one of these hosts are made anew. Gives those tables.
    pub(crate) fn readdress(&mut self, list: &HostList) -> Vec<TableId> {
        let mut changed = Vec::new();
        for (id, book) in &mut self.books {
            let Some(lines) = &book.lines else { continue };
            let same = |(host, line): (&HostId, &WantedLine)| list.address(host) == Some(line.addr);
            if !lines.iter().all(same) {
                book.lines = None;
                changed.push(*id);
            }
        }
        changed
    }

    /// These hosts are kept out from now on; gives the tables that hold one of those that `changed`.
    pub(crate) fn keep_out(
        &mut self,
        hosts: BTreeSet<HostId>,
        changed: &BTreeSet<&HostId>,
    ) -> Vec<TableId> {
        self.kept_out = hosts;
        let holds = |(_, book): &(&TableId, &mut Book)| {
            changed.iter().any(|host| book.dealt.contains_key(*host))
        };
        let of = self.books.iter_mut().filter(holds);
        of.map(|(table, book)| {
            book.lines = None;
            *table
        })
        .collect()
    }

    /// A table as proxies are to hold it.
    pub(crate) fn lines(&mut self, table: TableId, list: &HostList, now: Time) -> Arc<Lines> {
        let book = self.books.entry(table).or_default();
        if let Some(lines) = &book.lines {
            return lines.clone();
        }
        let kept_out = &self.kept_out;
        let others = book
            .dealt
            .keys()
            .any(|host| !kept_out.contains(host) && list.address(host).is_some());
        let share = |(host, &weight): (&HostId, &f64)| {
            let weight = if others && kept_out.contains(host) {
                0.0
            } else {
                weight
            };
            Share {
                weight,
                cold: list.is_cold(host, now),
            }
        };
        let shares: Vec<Share> = book.dealt.iter().map(share).collect();
        let mut lines = Lines::new();
        book.held_back.clear();
        for (host, units) in book.dealt.keys().zip(units(&shares)) {
            match (list.address(host), units) {
                (Some(addr), Some(units)) => {
                    lines.insert(host.clone(), WantedLine { addr, units });
                }
                (_, None) => book.held_back.push(host.clone()),
                // A host the list no longer knows at all cannot be reached by anybody.
                (None, _) => {}
            }
        }
        let lines = Arc::new(lines);
        book.lines = Some(lines.clone());
        lines
    }

    /// Cold hosts of a table that cannot be told, and could be before its last change.
    pub(crate) fn newly_held_back(
        &mut self,
        table: TableId,
        list: &HostList,
        now: Time,
    ) -> Vec<HostId> {
        let before = self
            .books
            .get(&table)
            .map(|book| book.held_back.clone())
            .unwrap_or_default();
        self.lines(table, list, now);
        let held = self
            .books
            .get(&table)
            .map(|book| book.held_back.as_slice())
            .unwrap_or_default();
        held.iter()
            .filter(|host| !before.contains(host))
            .cloned()
            .collect()
    }

    /// What all tables take, in bytes, roughly: as dealt, and as proxies are to hold them.
    pub(crate) fn bytes(&self) -> u64 {
        let ready = |book: &Book| {
            book.lines
                .as_ref()
                .map_or(0, |lines| lines.len() as u64 * 100)
        };
        self.books
            .values()
            .map(|book| 200 + book.dealt.len() as u64 * 100 + ready(book))
            .sum()
    }

    /// Gives up what is kept ready of tables that no proxy uses; gives of how many.
    pub(crate) fn shed(&mut self, used: &BTreeSet<TableId>) -> u64 {
        let idle =
            |(table, book): &(&TableId, &mut Book)| !used.contains(table) && book.lines.is_some();
        let idle = self.books.iter_mut().filter(idle);
        idle.map(|(_, book)| book.lines = None).count() as u64
    }

    pub(crate) fn levels(
        &self,
        table: TableId,
        kind: RequestClassId,
        by_rate: bool,
    ) -> Option<(String, &'static str)> {
        let (quota, tries) = self.books.get(&table)?.levels.get(&kind)?;
        Some((
            table::level_word(*quota, by_rate),
            table::tries_word(*tries),
        ))
    }
}
