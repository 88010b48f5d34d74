//! The routing table of a request class, and the policies that pick a host from it.
//!
//! A table is built once when memberships change and is immutable from then on, except for the credits of
//! [`PickPolicy::RoundRobin`].

use fastrand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// Maximum number of memberships in one table; further ones are rejected.
pub const MAX_MEMBERSHIPS: usize = 10_000;
/// Number of random draws that may hit an unusable host before the draw is made among the usable hosts only.
const MAX_DRAWS: usize = 8;

/// The load balancing policy by which a proxy picks a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PickPolicy {
    /// Weighted random choice.
    #[default]
    WeightedRandom,
    /// Smooth weighted round robin.
    RoundRobin,
    /// Power of two choices: of two weighted random draws, the host with fewer of the proxy's own requests in flight.
    TwoChoices,
}

/// A host in a table, with its weight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableMembership {
    /// The name of the host.
    pub host: String,
    /// The address that the host listens on.
    pub address: SocketAddr,
    /// The weight of the host in this table.
    pub weight: u16,
}

/// The memberships of a request class that can be picked, each with a weight above 0, sorted by host name.
#[derive(Debug, Default)]
pub struct RoutingTable {
    members: Vec<TableMembership>,
    /// For each member, the sum of the weights up to and including it.
    cumulative_weights: Vec<u64>,
    /// For each member, its credit for [`PickPolicy::RoundRobin`].
    round_robin_credits: Mutex<Vec<i64>>,
}

impl RoutingTable {
    /// Builds a table, leaving out memberships of weight 0. Several memberships of the same host are merged: their
    /// weights are added and the last address is used.
    pub fn new(memberships: impl IntoIterator<Item = TableMembership>) -> RoutingTable {
        let mut by_host: BTreeMap<String, TableMembership> = BTreeMap::new();
        for member in memberships.into_iter().filter(|member| member.weight > 0) {
            let weight = by_host
                .get(&member.host)
                .map_or(0, |existing| existing.weight)
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

    /// All members, sorted by host name.
    #[must_use]
    pub fn members(&self) -> &[TableMembership] {
        &self.members
    }

    /// Whether the table has no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Picks a usable member by the given policy, or `None` if no member is usable. `in_flight` returns the number of
    /// the proxy's own requests in flight at a member.
    pub fn pick(
        &self,
        policy: PickPolicy,
        random: &mut Rng,
        is_usable: impl Fn(&TableMembership) -> bool,
        in_flight: impl Fn(&TableMembership) -> usize,
    ) -> Option<&TableMembership> {
        match policy {
            PickPolicy::WeightedRandom => self.draw(random, &is_usable),
            PickPolicy::RoundRobin => self.pick_round_robin(&is_usable),
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

    /// Draws a usable member at random by weight. Repeating the draw after an unusable member keeps the proportions
    /// among the usable members.
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

    /// Draws among the usable members only, in time linear in the size of the table.
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
            let is_drawn = drawn < weight;
            drawn = drawn.saturating_sub(weight);
            is_drawn
        })
    }

    /// Smooth weighted round robin: each usable member's credit grows by its weight, the member with the most credit is
    /// picked, and the total of these weights is subtracted from its credit.
    fn pick_round_robin(
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
