//! The data that passes between a steward's surroundings and its decisions. No decision is taken here.

use std::collections::VecDeque;
use std::ops::{Add, Div, Sub};
use std::sync::Arc;

/// A point in time, in microseconds of whatever clock the surroundings keep.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Time {
    pub const fn from_micros(us: u64) -> Time {
        Time(us)
    }

    pub const fn is_unset(self) -> bool {
        self.0 == 0
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn from_micros(us: u64) -> Span {
        Span(us)
    }

    pub const fn from_millis(ms: u64) -> Span {
        Span(ms * 1_000)
    }

    pub const fn as_micros(self) -> u64 {
        self.0
    }

    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// What is left of something of this age that loses half its say in each `half`.
    pub fn half_life(self, half: Span) -> f64 {
        0.5f64.powf(self / half)
    }

    /// What new figures that stand for this span say in a mean over `over`.
    pub fn say_in(self, over: Span) -> f64 {
        1.0 - (-(self / over)).exp()
    }

    pub fn times(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor) as u64)
    }
}

impl Add<Span> for Time {
    type Output = Time;
    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Div for Span {
    type Output = f64;
    fn div(self, other: Span) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}

/// How long after `earlier` this is; zero if it is not after it.
impl Sub for Time {
    type Output = Span;
    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

macro_rules! id {
    ($($name:ident($inner:ty)),*) => {$(
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
        pub struct $name(pub $inner);
    )*};
}
id!(
    ProxyId(u16),
    TableId(u16),
    ZoneId(u16),
    MachineId(u16),
    CellId(u64),
    KindId(u8),
    MarkId(u16)
);

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId(pub Arc<str>);

/// What the surroundings hand over when a steward starts.
#[derive(Clone, Debug, Default)]
pub struct JobTicket {
    pub kinds: Vec<KindTicket>,
    pub proxies: u64,
    pub sliced: bool,
    pub zones: u16,
    pub base_tries: Option<Tries>,
    pub admission: Admission,
    pub channel_rate: f64,
    pub most_waiting: f64,
    pub lines_per_message: f64,
    pub message_cap: u64,
    pub message_window: Span,
    pub must_ask: bool,
    pub ask_within: Span,
    pub probes: bool,
    pub report_every: Span,
    pub start_capacity: f64,
    pub cold: Span,
    pub gone_is_no_drain: bool,
    /// Time within which proxies have to stop sending to a host once it is known to drain or to be gone; zero: none stated.
    pub drain_grace: Span,
    pub crossing_price: f64,
    /// Whether proxies say when they have applied a marked message.
    pub marks: bool,
    /// Orders that the surroundings can carry out together; 0: any number.
    pub orders_together: u64,
}

#[derive(Clone, Debug)]
pub struct KindTicket {
    pub response_target: Span,
    pub benefit: f64,
    pub own_zone: bool,
}

/// When a proxy tries another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tries {
    Once,
    AgainIfNeverRun,
    AgainOnFailure,
    TwiceOnFailure,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Admission {
    Share,
    Rate,
    #[default]
    Off,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    #[default]
    Open,
    Draining,
    Gone,
}

/// One host as the list shows it.
#[derive(Clone, Debug)]
pub struct Listing {
    pub host: HostId,
    pub zone: ZoneId,
    pub machine: MachineId,
    pub cell: CellId,
    pub weight: f64,
    pub started: Time,
    pub standing: Standing,
}

/// A host's own report of its load; any part may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub busy: Option<f64>,
    pub queue: Option<f64>,
    pub service: Option<Span>,
}

/// What the proxies of a zone met at a host.
#[derive(Clone, Copy, Debug, Default)]
pub struct Met {
    pub tries: f64,
    pub errored: f64,
    pub mean_time: Span,
    pub over: Span,
    pub load: Option<Load>,
}

/// One decision of a steward.
#[derive(Clone, Debug, PartialEq)]
pub enum Ruling {
    /// A host's part of a table; none: it leaves the table.
    Deal {
        table: TableId,
        host: HostId,
        weight: Option<f64>,
    },
    /// A table for a proxy's reqs of these kinds; no kinds: for all.
    Bind {
        proxy: ProxyId,
        table: TableId,
        kinds: Vec<KindId>,
    },
    /// How much of a kind a table's proxies let in, and when they try again.
    Level {
        table: TableId,
        kind: KindId,
        quota: f64,
        tries: Tries,
    },
    /// Each message that these orders make carries a mark, which its proxy answers once it has applied the message.
    Mark(MarkId),
    Probe(HostId),
    FollowList,
    WakeIn(Span),
}

/// What became of orders that were to be carried out together, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Taken,
    /// So many stand; the next one could not be used, and those after it were not looked at.
    Stopped(usize),
    NotTaken,
    /// All stand, or none.
    Unknown,
}

/// What a steward believes, for logs. Demand and flow are per second; the flow is tries, and those that went well.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Glance {
    pub known: usize,
    pub open: usize,
    pub kept_out: Vec<HostId>,
    pub on_trial: Vec<HostId>,
    pub eased: Vec<HostId>,
    /// Hosts of whose tries some errored: those tallied, and the share that errored.
    pub errored: Vec<(HostId, f64, f64)>,
    pub levels: Vec<f64>,
    pub strain: f64,
    /// Of the median host, in parts of all its cores busy, and what waits.
    pub load: f64,
    pub lag: Span,
    pub demand: f64,
    pub flow: (f64, f64),
    pub channel: ChannelReport,
}

/// Lines, or updates, by why they were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LineCounts {
    pub bindings: f64,
    pub drains: f64,
    pub hazards: f64,
    pub expedited: f64,
    pub ordinary: f64,
    pub marks: f64,
}

/// What is known of the channel to the proxies. All figures but the last three are in lines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChannelReport {
    pub line_limit: f64,
    /// What waits if the channel sends as stated, and if it sends many times slower.
    pub waiting_at_stated_rate: f64,
    pub waiting_at_slow_rate: f64,
    /// Sent, and not yet known to have left the channel; none: proxies answer no marks.
    pub unconfirmed: Option<f64>,
    /// Sent since the start, by reason, with all overhead.
    pub sent_for: LineCounts,
    /// Updates that were due but for the room in the queue, once for each time that they were looked at.
    pub held_back_for: LineCounts,
    pub marks_answered: u64,
    /// From sending a marked message until it was known to be applied, the last time.
    pub last_delay: Span,
}

// What a steward keeps: records, and how to find things in them.

/// What the job ticket comes to: only figures that decisions use.
#[derive(Default)]
pub(crate) struct Makeready {
    pub(crate) sliced: bool,
    pub(crate) least_benefit_first: Vec<usize>,
    pub(crate) confined: Vec<KindId>,
    pub(crate) free: Vec<KindId>,
    pub(crate) shared_tables: usize,
    pub(crate) own_tables: usize,
    pub(crate) targets: Vec<f64>,
    pub(crate) by_rate: bool,
    pub(crate) cap: usize,
    pub(crate) window: Span,
    pub(crate) gather: Span,
    pub(crate) round_most: usize,
    pub(crate) ask_again: Option<Span>,
    pub(crate) probes: bool,
    pub(crate) report_every: Span,
    pub(crate) start_capacity: f64,
    pub(crate) cold: Span,
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
    pub(crate) machine: MachineId,
    pub(crate) weight: f64,
    pub(crate) started: Time,
    pub(crate) standing: Standing,
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
    pub(crate) fn from_ticket(ticket: JobTicket) -> Makeready {
        let kinds = ticket.kinds;
        let mut least_benefit_first: Vec<usize> = (0..kinds.len()).collect();
        least_benefit_first.sort_by(|&a, &b| kinds[a].benefit.total_cmp(&kinds[b].benefit));
        let of_zone = |own: bool| -> Vec<KindId> {
            (0..kinds.len())
                .filter(|&k| kinds[k].own_zone == own)
                .map(|k| KindId(k as u8))
                .collect()
        };
        let confined = of_zone(true);
        let or_any = |most: u64| if most == 0 { usize::MAX } else { most as usize };
        Makeready {
            sliced: ticket.sliced,
            least_benefit_first,
            own_tables: if confined.is_empty() {
                0
            } else {
                ticket.zones as usize
            },
            confined,
            free: of_zone(false),
            targets: kinds.iter().map(|k| k.response_target.secs()).collect(),
            by_rate: ticket.admission == Admission::Rate,
            cap: or_any(ticket.message_cap),
            round_most: or_any(ticket.orders_together),
            window: ticket.message_window,
            probes: ticket.probes,
            report_every: ticket.report_every,
            start_capacity: ticket.start_capacity.clamp(0.01, 1.0),
            cold: ticket.cold,
            gone_is_no_drain: ticket.gone_is_no_drain,
            zones_cost: ticket.crossing_price > 0.0,
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
    pub(crate) fn rate_of(&mut self, kind: KindId) -> Option<&mut f64> {
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
