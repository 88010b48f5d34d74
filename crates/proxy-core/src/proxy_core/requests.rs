//! The life cycle of a request: admission, host selection, attempts and retries.

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

/// Fraction of the client timeout after which the proxy gives up on a request. It is below 1 so that the client gets a
/// final response, and so that an attempt at a host that never responds counts as failed before the client disconnects.
const DEADLINE_FRACTION: f64 = 0.95;

/// An admitted request. All of its attempts use the same table.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// The index of its request class.
    pub class: usize,
    /// The table that its attempts use.
    pub table: Arc<RoutingTable>,
    /// The applied version at admission, or `None` if no controller has sent one and the static hosts are used.
    pub version: Option<String>,
    /// The state that decides about retries.
    pub progress: RequestProgress,
}

/// Where the next attempt is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pick {
    /// At this host.
    Host(TableMembership),
    /// There are candidate hosts, but none may be used now: they are at the limit of requests in flight, or ejected.
    Wait,
    /// There is no candidate host.
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
        // The limit is checked even if there is no host, because the check draws from the random generator and takes
        // a token.
        let limit_result = self.admission_limiters[class].admit(now, limit, &mut self.random);
        let admitted = match in_use {
            TableInUse::NoHost => limit_result.and(Err(Rejected::NoHost)),
            TableInUse::Current | TableInUse::LastReadyUntil(_) => limit_result,
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

    /// Picks the next host for a request, excluding `used_hosts`, which it was sent to already, and hosts outside
    /// `group` if one is given.
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
        // Ejected hosts are used only if all candidates are ejected, not if the others are at their limit.
        let mut picked = request.table.pick(policy, random, is_usable, in_flight);
        if picked.is_none() {
            let mut candidates = request.table.members().iter().filter(|m| is_candidate(m));
            let all_ejected = candidates.all(is_ejected);
            // The pick is made even if its result is dropped, so that random draws and round robin credits advance
            // the same way in both cases.
            let fallback = request.table.pick(policy, random, has_capacity, in_flight);
            picked = fallback.filter(|_| all_ejected);
        }
        match picked {
            Some(member) => Pick::Host(member.clone()),
            None if request.table.members().iter().any(is_candidate) => Pick::Wait,
            None => Pick::NoHost,
        }
    }

    /// Records that an attempt was sent to a host.
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
        self.modify_server(request.class, &host.host, |server| {
            server.in_flight += 1;
            server.attempts += 1;
        });
    }

    /// Records the outcome of an attempt, and decides whether the request is retried.
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
        let decision = request.progress.decide_retry(outcome, now);
        request.progress.in_doubt |= in_doubt;
        if decision != RetryDecision::Stop && !self.retry_budget.try_take() {
            RetryDecision::Stop
        } else {
            decision
        }
    }

    /// Records the outcome of an attempt after which the request is not retried.
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
        self.modify_server(request.class, &host.host, |server| {
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

    /// Records that the client disconnected before the attempt had an outcome; it does not count for or against the
    /// host.
    pub fn attempt_abandoned(&mut self, request: &AdmittedRequest, host: &TableMembership) {
        self.release_in_flight(&host.host);
        self.modify_server(request.class, &host.host, |server| {
            server.in_flight = server.in_flight.saturating_sub(1);
        });
    }

    /// Records a load report that a host's response carried; controllers read it along with the counters.
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

    fn modify_server(&mut self, class: usize, host: &str, modify: impl FnOnce(&mut Server)) {
        let backend = self.state.backends.get_mut(&self.classes[class].name);
        if let Some(server) = backend.and_then(|backend| backend.servers.get_mut(host)) {
            modify(server);
        }
    }
}

/// The group of a host, or `None` if unknown. Hosts of one group recognise each other's idempotency keys.
fn group_of<'a>(state: &'a ProxyState, host: &str) -> Option<&'a str> {
    state.map_entry("pond_groups", host)
}
