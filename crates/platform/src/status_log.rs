//! The periodic log lines: status, update queue, message cap, warming hosts and counters; and the log line for a host's
//! phase change.

use crate::clients::Clients;
use pondarch_controller::{
    AdmissionChange, DurationExt, HostId, HostTransition, MessageCapStatus, RetryChange,
    StartPropagation, StatusSnapshot, UpdateQueueStatus, WarmingHost,
};
use pondarch_platform_core::{Counters, PlatformController};
use tracing::{info, warn};

/// Fraction of the update queue's line limit above which the queue is reported as nearly full.
const NEARLY_FULL_FRACTION: f64 = 0.75;

/// The values that were last logged, to detect changes.
#[derive(Default)]
pub(crate) struct StatusLog {
    counters: Counters,
    queue_nearly_full: bool,
}

impl StatusLog {
    pub(crate) fn write(&mut self, controller: &PlatformController, clients: &Clients) {
        let status = controller.status();
        log_status(&status);
        log_load(&status);
        self.log_update_queue(&status.update_queue);
        log_message_cap(&status.message_cap);
        log_warming_hosts(&status.warming);
        self.log_counters(controller, clients);
    }

    /// Logs the update queue, with a warning when it becomes nearly full or is no longer so.
    fn log_update_queue(&mut self, queue: &UpdateQueueStatus) {
        let waiting = queue.unconfirmed.unwrap_or(queue.queued_at_configured_rate);
        let nearly_full = waiting > queue.line_limit * NEARLY_FULL_FRACTION;
        if nearly_full != self.queue_nearly_full {
            self.queue_nearly_full = nearly_full;
            warn!(
                nearly_full,
                waiting_lines = waiting,
                line_limit = queue.line_limit,
                "update queue crossed its warning threshold"
            );
        }
        info!(
            line_limit = queue.line_limit,
            lines_at_stated_rate = queue.queued_at_configured_rate.round(),
            lines_at_slow_rate = queue.queued_at_slow_rate.round(),
            unconfirmed_lines = queue.unconfirmed.map(f64::round),
            ack_delay_ms = queue.last_ack_delay.micros() / 1_000,
            acks_received = queue.acks_received,
            sent_for = ?queue.sent_for,
            held_back_for = ?queue.held_back_for,
            "update queue"
        );
    }

    fn log_counters(&mut self, controller: &PlatformController, clients: &Clients) {
        let counters = controller.counters();
        if *counters != self.counters {
            info!(
                joined_proxies = controller.joined_proxies(),
                open_clients = clients.open(),
                closed_clients = ?clients.closed(),
                ?counters,
                "counters"
            );
            self.counters = counters.clone();
        }
    }
}

fn log_status(status: &StatusSnapshot) {
    info!(
        known_hosts = status.known_hosts,
        ready_hosts = status.ready_hosts,
        unconfirmed_weights = status.unconfirmed_weights,
        ejected = join_names(&status.ejected),
        on_probation = join_names(&status.on_probation),
        weight_reduced = join_names(&status.weight_reduced),
        failing = format_failing_hosts(status),
        "status"
    );
}

/// Logs the load in a line of its own: operators' excerpts cut long lines off.
fn log_load(status: &StatusSnapshot) {
    info!(
        admitted_fractions = ?status.admitted_fractions,
        startup_limit = format!("{:.2}", status.startup_limit),
        overload = format!("{:.2}", status.overload),
        median_load = format!("{:.2}", status.median_load),
        report_delay_ms = status.report_delay.micros() / 1_000,
        demand_per_s = format!("{:.1}", status.demand),
        successes_per_s = format!("{:.1}", status.throughput.successes),
        attempts_per_s = format!("{:.1}", status.throughput.attempts),
        usual_load = format!("{:.3}", status.usual_load),
        attempts_per_request = format!("{:.2}", status.attempts_per_request),
        "load"
    );
}

fn log_message_cap(cap: &MessageCapStatus) {
    info!(
        max_messages = cap.max_messages,
        max_used = cap.max_used,
        held_back_for = ?cap.held_back_for,
        longest_safety_hold_ms = cap.longest_safety_hold.micros() / 1_000,
        "message cap"
    );
}

fn log_warming_hosts(warming: &[WarmingHost]) {
    if warming.is_empty() {
        return;
    }
    let format_host = |host: &WarmingHost| {
        format!(
            "{}:{:.2}part,{:.2}per_s,{:.2}load,{:.2}bound,{:.2}seen",
            host.host.0,
            host.warm_fraction,
            host.requests_per_s,
            host.relative_load,
            host.bound_used,
            host.attempts_per_s
        )
    };
    let hosts: Vec<String> = warming.iter().map(format_host).collect();
    info!(hosts = hosts.join(" "), "warming hosts");
}

/// Logs that a host has entered another phase.
pub(crate) fn log_transition(transition: &HostTransition) {
    info!(
        host = &*transition.host.0,
        from = ?transition.from,
        to = ?transition.to,
        restarted = transition.restarted,
        started_ms = transition.started.micros() / 1_000,
        "host phase changed"
    );
}

/// Logs that other fractions of the requests are admitted.
pub(crate) fn log_admission_change(change: &AdmissionChange) {
    info!(
        cause = ?change.cause,
        admitted_fractions = ?change.fractions,
        demand_per_s = format!("{:.1}", change.demand),
        overload = format!("{:.2}", change.overload),
        attempts_per_request = format!("{:.2}", change.attempts_per_request),
        "admission changed"
    );
}

/// Logs that proxies are told otherwise about retries.
pub(crate) fn log_retry_change(change: &RetryChange) {
    info!(
        cause = ?change.cause,
        overload = format!("{:.2}", change.overload),
        "retries changed"
    );
}

/// Logs that all tables have been sent a weight that a host bears which had started.
pub(crate) fn log_start_propagation(propagation: &StartPropagation) {
    info!(
        host = &*propagation.host.0,
        waited_ms = propagation.waited.micros() / 1_000,
        "host start published"
    );
}

fn join_names(hosts: &[HostId]) -> String {
    let names: Vec<&str> = hosts.iter().map(|host| &*host.0).collect();
    names.join(",")
}

fn format_failing_hosts(status: &StatusSnapshot) -> String {
    let texts: Vec<String> = status
        .failing
        .iter()
        .map(|failing| {
            format!(
                "{}:{:.2}of{:.1}",
                failing.host.0, failing.failure_ratio, failing.attempts
            )
        })
        .collect();
    texts.join(",")
}
