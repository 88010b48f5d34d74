//! An immutable table of a request class, and how a host is picked from it. It is built once when memberships change;
//! picks change nothing in it but the turns of [`PickPolicy::RoundRobin`].

use fastrand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// Most memberships of one table; more are rejected.
pub const MAX_MEMBERSHIPS: usize = 10_000;
/// Draws that may find a host that can't be used before the memberships are searched one by one.
const MAX_DRAWS: usize = 8;

/// How a proxy picks a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PickPolicy {
    /// At random by weight.
    #[default]
    WeightedRandom,
    /// Evenly by weight, in turn.
    RoundRobin,
    /// Of two drawn by weight, the one with fewer of the proxy's own requests in flight.
    TwoChoices,
}

/// A host in a table, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableMembership {
    /// The name of the host.
    pub host: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its weight in this table.
    pub weight: u16,
}

/// The memberships that may be picked, each with a weight above 0.
#[derive(Debug, Default)]
pub struct RoutingTable {
    members: Vec<TableMembership>,
    /// Sum of the weights up to and with each member.
    cumulative_weights: Vec<u64>,
    round_robin_credits: Mutex<Vec<i64>>,
}

impl RoutingTable {
    /// Memberships of weight 0 are left out. A host that is named twice counts with the sum of its weights at the
    /// last address named: it is one host.
    pub fn new(memberships: impl IntoIterator<Item = TableMembership>) -> RoutingTable {
        let mut by_host: BTreeMap<String, TableMembership> = BTreeMap::new();
        for member in memberships.into_iter().filter(|member| member.weight > 0) {
            let weight = by_host
                .get(&member.host)
                .map_or(0, |earlier| earlier.weight)
                .saturating_add(member.weight);
            by_host.insert(member.host.clone(), TableMembership { weight, ..member });
        }
        let members: Vec<TableMembership> = by_host.into_values().collect();
        let mut sum = 0;
        let cumulative_weights = members
            .iter()
            .map(|member| {
                sum += u64::from(member.weight);
                sum
            })
            .collect();
        let round_robin_credits = Mutex::new(vec![0; members.len()]);
        RoutingTable {
            members,
            cumulative_weights,
            round_robin_credits,
        }
    }

    /// All members, by the name of the host.
    #[must_use]
    pub fn members(&self) -> &[TableMembership] {
        &self.members
    }

    /// Whether no host may be picked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// A member that may be used now; none if there is none. `in_flight` gives how many of the proxy's own requests a
    /// host has.
    pub fn pick(
        &self,
        policy: PickPolicy,
        random: &mut Rng,
        is_usable: impl Fn(&TableMembership) -> bool,
        in_flight: impl Fn(&TableMembership) -> usize,
    ) -> Option<&TableMembership> {
        match policy {
            PickPolicy::WeightedRandom => self.draw(random, &is_usable),
            PickPolicy::RoundRobin => self.next_in_turn(&is_usable),
            PickPolicy::TwoChoices => {
                let first = self.draw(random, &is_usable)?;
                let second = self.draw(random, &is_usable)?;
                Some(if in_flight(second) < in_flight(first) {
                    second
                } else {
                    first
                })
            }
        }
    }

    /// Draws by weight. Drawing again until a member may be used leaves the proportions of the usable ones as they
    /// are.
    fn draw(
        &self,
        random: &mut Rng,
        is_usable: &impl Fn(&TableMembership) -> bool,
    ) -> Option<&TableMembership> {
        let total = *self.cumulative_weights.last()?;
        for _ in 0..MAX_DRAWS {
            let drawn = random.u64(0..total);
            let index = self.cumulative_weights.partition_point(|sum| *sum <= drawn);
            let member = &self.members[index];
            if is_usable(member) {
                return Some(member);
            }
        }
        self.draw_among_usable(random, is_usable)
    }

    fn draw_among_usable(
        &self,
        random: &mut Rng,
        is_usable: &impl Fn(&TableMembership) -> bool,
    ) -> Option<&TableMembership> {
        let usable: Vec<&TableMembership> = self
            .members
            .iter()
            .filter(|member| is_usable(member))
            .collect();
        let total: u64 = usable.iter().map(|member| u64::from(member.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut drawn = random.u64(0..total);
        usable.into_iter().find(|member| {
            let weight = u64::from(member.weight);
            let is_here = drawn < weight;
            drawn = drawn.saturating_sub(weight);
            is_here
        })
    }

    /// Smooth weighted round robin: each member gains its weight, the one with the most credit is picked and pays for
    /// all.
    fn next_in_turn(
        &self,
        is_usable: &impl Fn(&TableMembership) -> bool,
    ) -> Option<&TableMembership> {
        let mut credits = self
            .round_robin_credits
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let usable = || (0..self.members.len()).filter(|&index| is_usable(&self.members[index]));
        let mut total = 0;
        for index in usable() {
            let weight = i64::from(self.members[index].weight);
            credits[index] += weight;
            total += weight;
        }
        let next = usable().max_by_key(|&index| (credits[index], std::cmp::Reverse(index)))?;
        credits[next] -= total;
        Some(&self.members[next])
    }
}
