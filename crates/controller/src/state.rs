//! What a controller keeps: records, and how to find things in them.

use crate::{
    AdmissionMode, DeploymentConfig, DurationExt, EndpointState, HostId, MachineTypeId,
    RequestClassId, Time, ZoneId,
};
use std::collections::VecDeque;
use std::time::Duration;

/// What the job ticket comes to: only figures that decisions use.
#[derive(Default)]
pub(crate) struct Makeready {
    pub(crate) sliced: bool,
    pub(crate) least_benefit_first: Vec<usize>,
    pub(crate) confined: Vec<RequestClassId>,
    pub(crate) free: Vec<RequestClassId>,
    pub(crate) shared_tables: usize,
    pub(crate) own_tables: usize,
    pub(crate) targets: Vec<f64>,
    pub(crate) by_rate: bool,
    pub(crate) cap: usize,
    pub(crate) window: Duration,
    pub(crate) gather: Duration,
    pub(crate) round_most: usize,
    pub(crate) ask_again: Option<Duration>,
    pub(crate) probes: bool,
    pub(crate) report_every: Duration,
    pub(crate) start_capacity: f64,
    pub(crate) cold: Duration,
    pub(crate) gone_is_no_drain: bool,
    pub(crate) zones_cost: bool,
}

/// A host's weight in one table: what it should be, what was last sent, and whether that may not stand.
#[derive(Clone, Copy, Default)]
pub(crate) struct Place {
    pub(crate) table: usize,
    pub(crate) want: f64,
    pub(crate) sent: f64,
    pub(crate) unsure: bool,
}

/// All that is known of one host.
#[derive(Default)]
pub(crate) struct Host {
    pub(crate) id: HostId,
    pub(crate) luck: u64,
    pub(crate) zone: ZoneId,
    pub(crate) machine: MachineTypeId,
    pub(crate) weight: f64,
    pub(crate) started: Time,
    pub(crate) standing: EndpointState,
    pub(crate) drained: bool,
    pub(crate) out_until: Option<Time>,
    pub(crate) trial_since: Option<Time>,
    /// Times kept away from, one after another.
    pub(crate) outs: u32,
    pub(crate) tries: f64,
    pub(crate) errored: f64,
    pub(crate) heard: Time,
    pub(crate) in_use_since: Time,
    pub(crate) time: f64,
    pub(crate) busy: Option<f64>,
    pub(crate) queue: Option<f64>,
    pub(crate) eased: f64,
    pub(crate) places: Vec<Place>,
}

#[derive(Default)]
pub(crate) struct Proxy {
    pub(crate) zone: ZoneId,
    pub(crate) rates: Vec<f64>,
    pub(crate) fresh: bool,
    pub(crate) table: Option<usize>,
    /// Whether sums of its reqs have come: who brings none keeps its usual rate.
    pub(crate) heard: bool,
    /// What it is bound to may not stand.
    pub(crate) unsure: bool,
    pub(crate) bind_from: Time,
}

/// What is known of the users of one table.
#[derive(Clone, Default)]
pub(crate) struct Board {
    pub(crate) bound: usize,
    pub(crate) messages: VecDeque<Time>,
    pub(crate) differs_since: Option<Time>,
    pub(crate) levels_sent: Vec<Option<f64>>,
}

/// The hosts of a table by their places among all, each with the part of its weight that this table has of it.
pub(crate) type Table = Vec<(usize, f64)>;

/// Tables as they are dealt, and for each host the tables it stands in.
pub(crate) struct Shards {
    pub(crate) tables: Vec<Table>,
    pub(crate) of: Vec<Vec<usize>>,
}

impl Makeready {
    /// All that needs no tuned figure.
    pub(crate) fn from_ticket(ticket: DeploymentConfig) -> Makeready {
        let kinds = ticket.request_classes;
        let mut least_benefit_first: Vec<usize> = (0..kinds.len()).collect();
        least_benefit_first.sort_by(|&a, &b| {
            kinds[a]
                .priority_weight
                .total_cmp(&kinds[b].priority_weight)
        });
        let of_zone = |own: bool| -> Vec<RequestClassId> {
            (0..kinds.len())
                .filter(|&k| kinds[k].zone_local == own)
                .map(|k| RequestClassId(k as u8))
                .collect()
        };
        let confined = of_zone(true);
        let or_any = |most: u64| if most == 0 { usize::MAX } else { most as usize };
        Makeready {
            sliced: ticket.partitioned,
            least_benefit_first,
            own_tables: if confined.is_empty() {
                0
            } else {
                ticket.zone_count as usize
            },
            confined,
            free: of_zone(false),
            targets: kinds
                .iter()
                .map(|k| k.latency_objective.seconds())
                .collect(),
            by_rate: ticket.admission == AdmissionMode::Rate,
            cap: or_any(ticket.max_messages_per_window),
            round_most: or_any(ticket.max_batch_size),
            window: ticket.message_window,
            probes: ticket.health_checks,
            report_every: ticket.report_interval,
            start_capacity: ticket.initial_capacity.clamp(0.01, 1.0),
            cold: ticket.slow_start_window,
            gone_is_no_drain: ticket.removal_is_advisory,
            zones_cost: ticket.cross_zone_cost > 0.0,
            ..Makeready::default()
        }
    }

    pub(crate) fn all_tables(&self) -> usize {
        self.shared_tables + self.own_tables
    }

    /// The table of a zone for the kinds confined to it; none for a zone that only a list or a proxy names: lists
    /// that named one made a host stand in a table that does not exist, and the steward ended.
    pub(crate) fn own_table(&self, zone: ZoneId) -> Option<usize> {
        Some(self.shared_tables + zone.0 as usize).filter(|&table| table < self.all_tables())
    }

    /// All tables of a proxy of this zone that is bound to this shared one.
    pub(crate) fn tables_of(
        &self,
        shared: usize,
        zone: ZoneId,
    ) -> impl Iterator<Item = usize> + use<> {
        std::iter::once(shared).chain(self.own_table(zone))
    }
}

impl Place {
    /// Whether proxies may have it as a line.
    pub(crate) fn held(&self) -> bool {
        self.sent > 0.0 || self.unsure
    }
}

impl Host {
    /// Whether it was last sent as a line of this table.
    pub(crate) fn holds(&self, table: usize) -> bool {
        self.places.iter().any(|p| p.table == table && p.sent > 0.0)
    }

    pub(crate) fn place(&mut self, table: usize) -> &mut Place {
        let known = self
            .places
            .iter()
            .position(|p| p.table == table)
            .unwrap_or(self.places.len());
        if known == self.places.len() {
            self.places.push(Place {
                table,
                ..Place::default()
            });
        }
        &mut self.places[known]
    }
}

impl Proxy {
    pub(crate) fn rate_of(&mut self, kind: RequestClassId) -> Option<&mut f64> {
        self.heard = true;
        self.rates.get_mut(kind.0 as usize)
    }

    pub(crate) fn fade(&mut self, part: f64) {
        let part = if self.heard { part } else { 1.0 };
        self.rates.iter_mut().for_each(|rate| *rate *= part);
    }

    pub(crate) fn rate(&self) -> f64 {
        self.rates.iter().sum()
    }
}

impl Shards {
    pub(crate) fn new(tables: usize, hosts: usize) -> Shards {
        Shards {
            tables: vec![Vec::new(); tables],
            of: vec![Vec::new(); hosts],
        }
    }

    pub(crate) fn put(&mut self, table: usize, host: usize) {
        self.tables[table].push((host, 1.0));
        self.of[host].push(table);
    }
}

pub(crate) fn mix(old: f64, new: f64, part: f64) -> f64 {
    if old > 0.0 {
        old + (new - old) * part
    } else {
        new
    }
}

pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
