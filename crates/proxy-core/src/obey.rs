//! All of the proxy's decisions together, as the data path asks for them: may a req come in, which host is next, may
//! it be tried again. The surroundings carry reqs and tell how tries ended.

use crate::admit::{Denied, Gate, Level, Line as WaitingLine, Offered};
use crate::avoid::{Avoided, Habit};
use crate::holding::{Holding, Server};
use crate::last_ready::{InUse, LastReady};
use crate::orders::Orders;
use crate::table::{Line, PickBy, Table};
use crate::tries::{Budget, Course, Mode, Next, Outcome, Repeats, next};
use fastrand::Rng;
use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use pondarch_runtime_api::{AdminState, Level as AccessLevel};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Part of the client timeout after which the proxy gives up: a final answer is due before the client's patience ends,
/// and a host that answers nothing must be seen to fail before clients leave.
const ANSWER_PART: f64 = 0.95;

/// What is known of a request kind.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: String,
    pub repeats: Repeats,
    pub client_timeout: Duration,
    pub benefit: f64,
}

/// How this proxy is set up.
#[derive(Clone, Debug)]
pub struct Habits {
    pub pick: PickBy,
    pub avoid: Habit,
    /// Further tries, as a part of first ones.
    pub further_tries: f64,
    /// The proxy's own reqs at one host at a time; more wait.
    pub host_limit: usize,
    pub line_most: usize,
    /// How long the last ready hosts of a kind stay in use when its table lists none.
    pub last_ready_for: Duration,
}

/// A req that was let in. It sees this one table from start to end.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub kind: usize,
    pub table: Arc<Table>,
    /// The version that the table is of; none: the standing table.
    pub version: Option<String>,
    pub course: Course,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pick {
    Host(Line),
    /// All that may be used are at their limit.
    Wait,
    Nobody,
}

#[derive(Debug)]
pub struct Obey {
    kinds: Vec<Kind>,
    habits: Habits,
    pub holding: Holding,
    orders: Orders,
    kept: Vec<LastReady>,
    avoided: Avoided,
    budget: Budget,
    gates: Vec<Gate>,
    line: WaitingLine,
    /// The proxy's own reqs at each host.
    out: BTreeMap<String, usize>,
    chance: Rng,
    number: u64,
    started: Time,
    swapped: Time,
    swaps: u64,
    answered_by_last_ready: u64,
    /// What was last told of each kind.
    told: Vec<&'static str>,
}

impl Obey {
    /// `standing`: the hosts to use until a steward says more.
    pub fn new(
        name: &str,
        process: u64,
        kinds: Vec<Kind>,
        habits: Habits,
        standing: &[(String, SocketAddr)],
        seed: u64,
        now: Time,
    ) -> Obey {
        let names: Vec<&str> = kinds.iter().map(|kind| kind.name.as_str()).collect();
        let mut holding = Holding::new(name, process, &names);
        for backend in holding.backends.values_mut() {
            let server = |(host, addr): &(String, SocketAddr)| {
                (host.clone(), Server::new(*addr, 100, AdminState::Ready))
            };
            backend.servers = standing.iter().map(server).collect();
        }
        holding.started_s = (now - Time::default()).micros() / 1_000_000;
        let mut obey = Obey {
            kept: vec![LastReady::default(); kinds.len()],
            gates: vec![Gate::default(); kinds.len()],
            budget: Budget::new(habits.further_tries),
            line: WaitingLine::new(habits.line_most),
            kinds,
            habits,
            holding,
            orders: Orders::default(),
            avoided: Avoided::default(),
            out: BTreeMap::new(),
            chance: Rng::with_seed(seed),
            number: 0,
            started: now,
            swapped: now,
            swaps: 0,
            answered_by_last_ready: 0,
            told: Vec::new(),
        };
        (0..obey.kinds.len()).for_each(|kind| obey.swap(now, kind));
        obey
    }

    pub fn kind(&self, name: &str) -> Option<usize> {
        self.kinds.iter().position(|kind| kind.name == name)
    }

    pub fn kinds(&self) -> &[Kind] {
        &self.kinds
    }

    /// New settings; what waits and what is out stays as it is.
    pub fn set_habits(&mut self, habits: Habits) {
        self.budget = Budget::new(habits.further_tries);
        self.habits = habits;
    }

    // ---- Orders ---------------------------------------------------------------------------------------

    /// The answers to one line of the runtime API. Tables are swapped once, after the whole line.
    pub fn line(
        &mut self,
        now: Time,
        connection: u64,
        level: AccessLevel,
        text: &str,
    ) -> Vec<String> {
        self.tell(now);
        let answers = self
            .orders
            .line(now, connection, level, text, &mut self.holding);
        for backend in self.holding.take_changed() {
            if let Some(kind) = self.kind(&backend) {
                self.swap(now, kind);
            }
        }
        answers
    }

    pub fn closed(&mut self, connection: u64) {
        self.orders.closed(connection);
    }

    fn swap(&mut self, now: Time, kind: usize) {
        let Some(backend) = self.holding.backends.get(&self.kinds[kind].name) else {
            return;
        };
        let serving = backend.servers.iter().filter(|(_, server)| server.serves());
        let line = |(host, server): (&String, &Server)| Line {
            host: host.clone(),
            addr: server.addr,
            weight: server.weight,
        };
        let away = |server: &Server| server.state == AdminState::Drain;
        let away: BTreeSet<String> = backend
            .servers
            .iter()
            .filter(|(_, s)| away(s))
            .map(|(host, _)| host.clone())
            .collect();
        self.kept[kind].set(now, Table::new(serving.map(line)), &away);
        (self.swapped, self.swaps) = (now, self.swaps + 1);
        self.avoided.forget(now, &self.habits.avoid);
    }

    /// By kind, what is in use.
    fn states(&self, now: Time) -> Vec<&'static str> {
        let of = |kept: &LastReady| match kept.in_use(now, self.habits.last_ready_for) {
            InUse::AsSet => "as set",
            InUse::LastReadyUntil(_) => "last ready",
            InUse::Nothing => "no host",
        };
        self.kept.iter().map(of).collect()
    }

    /// Kinds for which something else is in use than when this was last asked.
    pub fn news(&mut self, now: Time) -> Vec<(String, &'static str)> {
        let states = self.states(now);
        let before = std::mem::replace(&mut self.told, states.clone());
        let new = |(n, state): &(usize, &'static str)| before.get(*n).unwrap_or(&"as set") != state;
        let changed = states.into_iter().enumerate().filter(new);
        changed
            .map(|(n, state)| (self.kinds[n].name.clone(), state))
            .collect()
    }

    /// What `show info` tells of the proxy's state.
    fn tell(&mut self, now: Time) {
        let states = self.states(now);
        let kinds: Vec<String> = self
            .kinds
            .iter()
            .zip(states)
            .map(|(kind, state)| format!("{}={state}", kind.name))
            .collect();
        let version = self
            .orders
            .holder
            .version()
            .map_or("standing".into(), |version| version.to_string());
        let out: Vec<&str> = self.avoided.out(now).collect();
        self.holding.told = vec![
            (
                "Uptime_sec",
                ((now - self.started).micros() / 1_000_000).to_string(),
            ),
            ("TableVersion", version),
            (
                "TableAge_ms",
                ((now - self.swapped).micros() / 1_000).to_string(),
            ),
            ("TableSwaps", self.swaps.to_string()),
            (
                "StewardConnected",
                u8::from(self.orders.holder.is_joined()).to_string(),
            ),
            ("VersionsRefused", self.orders.refused.to_string()),
            ("Kinds", kinds.join(",")),
            (
                "KeptAwayFrom",
                if out.is_empty() {
                    "-".into()
                } else {
                    out.join(",")
                },
            ),
            ("ReqsWaiting", self.line.len().to_string()),
            ("ReqsByLastReady", self.answered_by_last_ready.to_string()),
        ];
    }

    // ---- Reqs -----------------------------------------------------------------------------------------

    /// A req came: whether it is let in.
    pub fn arrive(&mut self, now: Time, kind: usize) -> Result<Arrival, Denied> {
        let of = &self.kinds[kind];
        let level = self
            .holding
            .entry("pond_levels", &of.name)
            .map_or(Level::Share(1.0), Level::from_word);
        let mode = self
            .holding
            .entry("pond_tries", &of.name)
            .map_or(Mode::Never, Mode::from_word);
        let entered = self.gates[kind].enter(now, level, &mut self.chance);
        let in_use = self.kept[kind].in_use(now, self.habits.last_ready_for);
        let entered = entered.and(if in_use == InUse::Nothing {
            Err(Denied::NoHost)
        } else {
            Ok(())
        });
        if let Some(backend) = self.holding.backends.get_mut(&of.name) {
            backend.reqs += 1;
            backend.denied += u64::from(entered.is_err());
        }
        entered?;
        self.answered_by_last_ready += u64::from(in_use != InUse::AsSet);
        self.budget.first();
        let course = Course {
            mode,
            repeats: of.repeats,
            first_sent: now,
            gives_up: now + of.client_timeout.scaled(ANSWER_PART),
            tries: 0,
            may_have_run: false,
            group: None,
            body_kept: true,
        };
        Ok(Arrival {
            kind,
            table: self.kept[kind]
                .table(now, self.habits.last_ready_for)
                .clone(),
            version: self.orders.holder.version().map(ToString::to_string),
            course,
        })
    }

    /// The next host for a req, not one of those it was at already.
    pub fn pick(
        &mut self,
        now: Time,
        arrival: &Arrival,
        tried: &[String],
        within: Option<&str>,
    ) -> Pick {
        let (out, limit) = (&self.out, self.habits.host_limit);
        let at = |line: &Line| out.get(&line.host).copied().unwrap_or(0);
        let group = |line: &Line| {
            within.is_none_or(|group| self.holding.entry("pond_groups", &line.host) == Some(group))
        };
        let open = |line: &Line| !tried.contains(&line.host) && group(line);
        let room = |line: &Line| open(line) && at(line) < limit;
        let near = |line: &Line| room(line) && !self.avoided.is_out(now, &line.host);
        let by = self.habits.pick;
        // Away from hosts that fail, as long as there is another; a full one is no reason to go there.
        let picked = arrival.table.pick(by, &mut self.chance, near, at);
        let picked = picked.or_else(|| {
            let all_out = arrival
                .table
                .lines()
                .iter()
                .filter(|l| open(l))
                .all(|l| self.avoided.is_out(now, &l.host));
            arrival
                .table
                .pick(by, &mut self.chance, room, at)
                .filter(|_| all_out)
        });
        match picked {
            Some(line) => Pick::Host(line.clone()),
            None if arrival.table.lines().iter().any(open) => Pick::Wait,
            None => Pick::Nobody,
        }
    }

    /// A try goes out.
    pub fn sent(&mut self, now: Time, arrival: &mut Arrival, line: &Line) {
        if arrival.course.tries == 0 {
            arrival.course.first_sent = now;
        }
        arrival.course.tries += 1;
        *self.out.entry(line.host.clone()).or_default() += 1;
        self.on_server(arrival.kind, &line.host, |server| {
            server.current += 1;
            server.total += 1;
        });
    }

    /// A try ended: it is counted, and what may follow is decided.
    pub fn ended(
        &mut self,
        now: Time,
        arrival: &mut Arrival,
        line: &Line,
        outcome: Outcome,
        took: Duration,
    ) -> Next {
        self.left(now, arrival, line, outcome, took);
        if outcome == Outcome::MayHaveRun && !arrival.course.may_have_run {
            arrival.course.group = self
                .holding
                .entry("pond_groups", &line.host)
                .map(str::to_string);
        }
        let next = next(&arrival.course, outcome, now);
        arrival.course.may_have_run |= outcome == Outcome::MayHaveRun;
        if next != Next::Stop && !self.budget.take() {
            Next::Stop
        } else {
            next
        }
    }

    /// A try whose client has gone, before anything could be said of the host.
    pub fn abandoned(&mut self, arrival: &Arrival, line: &Line) {
        self.back(&line.host);
        self.on_server(arrival.kind, &line.host, |server| {
            server.current = server.current.saturating_sub(1)
        });
    }

    fn back(&mut self, host: &str) {
        if let Some(count) = self.out.get_mut(host) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.out.remove(host);
            }
        }
    }

    /// A try is over, and nothing is to follow.
    pub fn left(
        &mut self,
        now: Time,
        arrival: &Arrival,
        line: &Line,
        outcome: Outcome,
        took: Duration,
    ) {
        self.back(&line.host);
        let good = outcome == Outcome::Done;
        self.on_server(arrival.kind, &line.host, |server| {
            server.current = server.current.saturating_sub(1);
            if good {
                server.sums.done += 1;
                server.sums.done_time += took;
            } else {
                server.sums.errored += 1;
            }
        });
        let others = arrival.table.lines().iter().map(|line| line.host.as_str());
        self.avoided.ended(
            now,
            &self.habits.avoid,
            (&line.host, line.addr),
            good,
            others,
            &mut self.chance,
        );
    }

    /// A host's own word on its load, as an answer carried it; stewards read it with the sums.
    pub fn load_told(&mut self, host: &str, busy: Option<f64>, queue: Option<f64>) {
        for backend in self.holding.backends.values_mut() {
            if let Some(server) = backend.servers.get_mut(host) {
                (server.busy, server.queue) = (busy.or(server.busy), queue.or(server.queue));
            }
        }
    }

    fn on_server(&mut self, kind: usize, host: &str, change: impl FnOnce(&mut Server)) {
        let backend = self.holding.backends.get_mut(&self.kinds[kind].name);
        if let Some(server) = backend.and_then(|backend| backend.servers.get_mut(host)) {
            change(server);
        }
    }

    // ---- The waiting line -----------------------------------------------------------------------------

    /// A req that found all hosts at their limit wants to wait. Gives its number there.
    pub fn wait(&mut self, now: Time, arrival: &Arrival) -> (u64, Offered) {
        self.number += 1;
        let benefit = self.kinds[arrival.kind].benefit;
        (
            self.number,
            self.line
                .offer(now, self.number, benefit, arrival.course.gives_up),
        )
    }

    /// A host may have room: who looks again, and who is turned away.
    pub fn room(&mut self, now: Time) -> (Option<u64>, Vec<u64>) {
        self.line.next(now)
    }

    pub fn leave_line(&mut self, number: u64) {
        self.line.leave(number);
    }
}
