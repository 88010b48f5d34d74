//! The way of a request: admission, picks, attempts and what may follow them.

use super::ProxyCore;
use crate::admission::{AdmissionLimit, Rejected};
use crate::last_ready::TableInUse;
use crate::proxy_state::{ProxyState, Server};
use crate::retry::{AttemptOutcome, RequestProgress, RetryDecision, RetryMode};
use crate::routing_table::{RoutingTable, TableMembership};
use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use std::sync::Arc;
use std::time::Duration;

/// Part of the client timeout after which the proxy gives up: a final answer is due before the client gives up, and a
/// host that answers nothing must be seen to fail before clients leave.
const DEADLINE_FRACTION: f64 = 0.95;

/// A request that was admitted. It uses this one table from start to end.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// The index of its request class.
    pub class: usize,
    /// The table that it uses.
    pub table: Arc<RoutingTable>,
    /// The version of the table; none: the static hosts.
    pub version: Option<String>,
    /// Its attempts so far.
    pub progress: RequestProgress,
}

/// Where the next attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pick {
    /// To this host.
    Host(TableMembership),
    /// All hosts that may be used are at their limit.
    Wait,
    /// No host may be used.
    NoHost,
}

impl ProxyCore {
    /// Admits or rejects a request of a class.
    pub fn admit(&mut self, now: Time, class: usize) -> Result<AdmittedRequest, Rejected> {
        let name = &self.classes[class].name;
        let limit = self
            .state
            .map_entry("pond_levels", name)
            .map_or(AdmissionLimit::Fraction(1.0), AdmissionLimit::parse);
        let in_use = self.tables[class].in_use(now, self.policy.last_ready_for);
        // The gate is asked in every case: it draws, and its tokens are spent.
        let by_limit = self.gates[class].admit(now, limit, &mut self.random);
        let admitted = match in_use {
            TableInUse::NoHost => by_limit.and(Err(Rejected::NoHost)),
            TableInUse::Current | TableInUse::LastReadyUntil(_) => by_limit,
        };
        if let Some(backend) = self.state.backends.get_mut(name) {
            backend.requests += 1;
            backend.rejected += u64::from(admitted.is_err());
        }
        admitted?;
        if in_use != TableInUse::Current {
            self.requests_by_last_ready += 1;
        }
        self.retry_budget.record_first_attempt();
        Ok(self.admitted_request(now, class))
    }

    fn admitted_request(&self, now: Time, class: usize) -> AdmittedRequest {
        let request_class = &self.classes[class];
        let retry_mode = self
            .state
            .map_entry("pond_tries", &request_class.name)
            .map_or(RetryMode::Never, RetryMode::parse);
        let table = self.tables[class].table(now, self.policy.last_ready_for);
        let version = self.updates.applied.version();
        AdmittedRequest {
            class,
            table: table.clone(),
            version: version.map(ToString::to_string),
            progress: RequestProgress {
                retry_mode,
                idempotency: request_class.idempotency,
                first_sent_at: now,
                deadline: now + request_class.client_timeout.scaled(DEADLINE_FRACTION),
                attempts: 0,
                in_doubt: false,
                group: None,
                body_buffered: true,
            },
        }
    }

    /// The next host for a request, not one of those that it was sent to already, and of this group if one is given.
    pub fn pick(
        &mut self,
        now: Time,
        request: &AdmittedRequest,
        used_hosts: &[String],
        group: Option<&str>,
    ) -> Pick {
        let limit = self.policy.max_in_flight_per_host;
        let in_flight = |member: &TableMembership| {
            let count = self.in_flight.get(&member.host);
            count.copied().unwrap_or(0)
        };
        let in_group = |member: &TableMembership| {
            group.is_none_or(|group| group_of(&self.state, &member.host) == Some(group))
        };
        let is_candidate =
            |member: &TableMembership| !used_hosts.contains(&member.host) && in_group(member);
        let has_capacity =
            |member: &TableMembership| is_candidate(member) && in_flight(member) < limit;
        let is_ejected = |member: &TableMembership| self.ejections.is_ejected(now, &member.host);
        let is_usable = |member: &TableMembership| has_capacity(member) && !is_ejected(member);
        let policy = self.policy.pick;
        let random = &mut self.random;
        // Ejected hosts are avoided as long as there is another; that the others are full is no reason to use one.
        let mut picked = request.table.pick(policy, random, is_usable, in_flight);
        if picked.is_none() {
            let mut candidates = request.table.members().iter().filter(|m| is_candidate(m));
            let all_ejected = candidates.all(is_ejected);
            // Picked in both cases: the draws and turns that follow stay the same.
            let fallback = request.table.pick(policy, random, has_capacity, in_flight);
            picked = fallback.filter(|_| all_ejected);
        }
        match picked {
            Some(member) => Pick::Host(member.clone()),
            None if request.table.members().iter().any(is_candidate) => Pick::Wait,
            None => Pick::NoHost,
        }
    }

    /// Records that an attempt is sent.
    pub fn attempt_sent(
        &mut self,
        now: Time,
        request: &mut AdmittedRequest,
        host: &TableMembership,
    ) {
        if request.progress.attempts == 0 {
            request.progress.first_sent_at = now;
        }
        request.progress.attempts += 1;
        *self.in_flight.entry(host.host.clone()).or_default() += 1;
        self.change_server(request.class, &host.host, |server| {
            server.in_flight += 1;
            server.attempts += 1;
        });
    }

    /// Records that an attempt ended, and decides what may follow.
    pub fn attempt_ended(
        &mut self,
        now: Time,
        request: &mut AdmittedRequest,
        host: &TableMembership,
        outcome: AttemptOutcome,
        elapsed: Duration,
    ) -> RetryDecision {
        self.final_attempt_ended(now, request, host, outcome, elapsed);
        let in_doubt = outcome == AttemptOutcome::InDoubt;
        if in_doubt && !request.progress.in_doubt {
            request.progress.group = group_of(&self.state, &host.host).map(str::to_string);
        }
        let decision = request.progress.retry_after(outcome, now);
        request.progress.in_doubt |= in_doubt;
        if decision != RetryDecision::Stop && !self.retry_budget.take() {
            RetryDecision::Stop
        } else {
            decision
        }
    }

    /// Records that an attempt ended and that none is to follow.
    pub fn final_attempt_ended(
        &mut self,
        now: Time,
        request: &AdmittedRequest,
        host: &TableMembership,
        outcome: AttemptOutcome,
        elapsed: Duration,
    ) {
        self.release_in_flight(&host.host);
        let succeeded = outcome == AttemptOutcome::Success;
        self.change_server(request.class, &host.host, |server| {
            server.in_flight = server.in_flight.saturating_sub(1);
            if succeeded {
                server.results.succeeded += 1;
                server.results.succeeded_duration += elapsed;
            } else {
                server.results.failed += 1;
            }
        });
        let policy = &self.policy.ejection;
        if succeeded {
            self.ejections
                .record_success(now, policy, &host.host, host.address);
        } else {
            let members = request.table.members().iter();
            let table_hosts = members.map(|member| member.host.as_str());
            self.ejections.record_failure(
                now,
                policy,
                &host.host,
                host.address,
                table_hosts,
                &mut self.random,
            );
        }
    }

    /// Records that the client of an attempt has gone before the attempt said anything about the host.
    pub fn attempt_abandoned(&mut self, request: &AdmittedRequest, host: &TableMembership) {
        self.release_in_flight(&host.host);
        self.change_server(request.class, &host.host, |server| {
            server.in_flight = server.in_flight.saturating_sub(1);
        });
    }

    /// Records a host's load report, as an answer carried it; controllers read it with the counters.
    pub fn record_load_report(
        &mut self,
        host: &str,
        utilization: Option<f64>,
        queue_length: Option<f64>,
    ) {
        for backend in self.state.backends.values_mut() {
            if let Some(server) = backend.servers.get_mut(host) {
                server.utilization = utilization.or(server.utilization);
                server.queue_length = queue_length.or(server.queue_length);
            }
        }
    }

    fn release_in_flight(&mut self, host: &str) {
        if let Some(count) = self.in_flight.get_mut(host) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(host);
            }
        }
    }

    fn change_server(&mut self, class: usize, host: &str, change: impl FnOnce(&mut Server)) {
        let backend = self.state.backends.get_mut(&self.classes[class].name);
        if let Some(server) = backend.and_then(|backend| backend.servers.get_mut(host)) {
            change(server);
        }
    }
}

/// The group of hosts that recognise each other's idempotency keys; none: not known.
fn group_of<'a>(state: &'a ProxyState, host: &str) -> Option<&'a str> {
    state.map_entry("pond_groups", host)
}
