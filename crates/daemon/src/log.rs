//! Logs the core's events, one structured log line each, with the input that caused the event.

use pondarch_daemon_core::Event;
use tracing::{debug, info, warn};

/// Logs one event.
pub(crate) fn event(event: &Event) {
    match event {
        Event::EndpointListApplied { .. }
        | Event::EndpointListRejected { .. }
        | Event::HostExcluded { .. }
        | Event::Recovered { .. } => host_event(event),
        Event::ProxyJoined { .. } | Event::ProxyLeft { .. } | Event::ProxyBound { .. } => {
            proxy_event(event);
        }
        Event::TableChanged { .. }
        | Event::AdmissionChanged { .. }
        | Event::WeightSourceChanged { .. }
        | Event::TargetWeightsChanged { .. }
        | Event::WeightTooSmall { .. }
        | Event::PlanFailed { .. } => decision_event(event),
        Event::UpdateSent { .. }
        | Event::UpdateAcknowledged { .. }
        | Event::UpdateRejected { .. }
        | Event::UpdateDelayed { .. } => update_event(event),
        Event::EventLogChanged {
            stopped_reason,
            lost_inputs,
        } => event_log_changed(stopped_reason.as_deref(), *lost_inputs),
        Event::ReportRejected {
            error,
            rejected_total,
        } => warn!(error, rejected_total, "load report rejected"),
        Event::SecondaryBehind { secondary } => warn!(secondary, "DNS secondary is behind"),
    }
}

/// Logs an event that concerns the endpoint list or its hosts.
fn host_event(event: &Event) {
    match event {
        Event::EndpointListApplied {
            generation,
            ready,
            draining,
            removed,
        } => info!(
            generation,
            ready, draining, removed, "endpoint list applied"
        ),
        Event::EndpointListRejected { error } => warn!(error, "endpoint list rejected"),
        Event::Recovered {
            ready,
            draining,
            removed,
        } => info!(ready, draining, removed, "state recovered"),
        Event::HostExcluded { host, duration_s } => {
            info!(host, duration_s, "restarted host excluded from DNS");
        }
        // Handled by another function of this module.
        _ => {}
    }
}

/// Logs a proxy that joined, left or was bound to a table.
fn proxy_event(event: &Event) {
    match event {
        Event::ProxyJoined {
            proxy,
            fresh,
            cause,
        } => info!(proxy, fresh, cause, "proxy joined"),
        Event::ProxyLeft { proxy, reason } => warn!(proxy, reason, "proxy left"),
        Event::ProxyBound {
            proxy,
            table,
            cause,
        } => info!(proxy, table, cause, "proxy bound"),
        // Handled by another function of this module.
        _ => {}
    }
}

/// Logs a decision, or why none was made.
fn decision_event(event: &Event) {
    match event {
        Event::TableChanged {
            table,
            weights,
            cause,
        } => info!(table, ?weights, cause, "table changed"),
        Event::AdmissionChanged {
            table,
            class,
            quota,
            retry_policy,
            cause,
        } => info!(table, class, quota, %retry_policy, cause, "admission changed"),
        Event::WeightSourceChanged { source } => info!(%source, "weight source changed"),
        Event::TargetWeightsChanged { weights, cause } => {
            info!(?weights, cause, "target weights changed");
        }
        Event::WeightTooSmall { table, host } => {
            info!(table, host, "weight of warming host too small to send");
        }
        Event::PlanFailed { error } => warn!(error, "solver found no plan"),
        // Handled by another function of this module.
        _ => {}
    }
}

/// Logs an event that concerns updates to a proxy.
fn update_event(event: &Event) {
    match event {
        Event::UpdateSent {
            proxy,
            commands,
            urgency,
            cause,
        } => info!(proxy, commands, %urgency, cause, "update sent"),
        Event::UpdateAcknowledged { proxy, took_us } => {
            debug!(proxy, took_us, "update acknowledged");
        }
        Event::UpdateRejected { proxy, error } => warn!(proxy, error, "update rejected"),
        Event::UpdateDelayed { proxy, reason } => warn!(proxy, %reason, "update delayed"),
        // Handled by another function of this module.
        _ => {}
    }
}

/// Logs that writing the event log has resumed or stopped.
fn event_log_changed(stopped_reason: Option<&str>, lost_inputs: u64) {
    match stopped_reason {
        None => info!(lost_inputs, "event log is written"),
        Some(reason) => warn!(reason, lost_inputs, "event log is not written"),
    }
}
