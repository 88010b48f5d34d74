//! Tables of warming hosts: which tables of a shard its warming hosts serve.
//!
//! Warm and warming hosts never serve the same table. When the warm hosts are overloaded, the proxies that avoid them have
//! no warming host to turn to.

/// Ratio of the requests of the chosen tables to what the warming hosts may be sent up to which tables stay chosen, since
/// each change closes connections.
const MAX_KEPT_EXCESS: f64 = 1.25;

/// A table of a shard.
#[derive(Clone, Copy)]
pub(crate) struct ShardTable {
    pub(crate) table: usize,
    /// Attempts per second of its proxies.
    pub(crate) rate: f64,
    /// Whether its proxies were sent warming hosts.
    pub(crate) has_warming_hosts: bool,
}

/// Returns the tables that the warming hosts serve: as many as have no more than `max_rate` attempts per second, those
/// that they serve already first, then those with the fewest attempts.
pub(crate) fn choose_warming_tables(tables: &[ShardTable], max_rate: f64) -> Vec<usize> {
    let mut used: Vec<&ShardTable> = tables.iter().filter(|table| table.rate > 0.0).collect();
    used.sort_by(|a, b| {
        let by_service = b.has_warming_hosts.cmp(&a.has_warming_hosts);
        by_service.then(a.rate.total_cmp(&b.rate))
    });
    let mut chosen = Vec::new();
    let mut total = 0.0;
    for table in used {
        let limit = if table.has_warming_hosts {
            max_rate * MAX_KEPT_EXCESS
        } else {
            max_rate
        };
        if total + table.rate <= limit {
            total += table.rate;
            chosen.push(table.table);
        }
    }
    chosen
}
