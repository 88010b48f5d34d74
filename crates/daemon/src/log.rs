//! Events as structured logs: one log event each, with the input that led to it.

use pondarch_daemon_core::Event;
use tracing::{debug, info, warn};

pub(crate) fn event(event: &Event) {
    match event {
        Event::EndpointListApplied {
            generation: version,
            ready: open,
            draining,
            removed: gone,
        } => {
            info!(version, open, draining, gone, "list taken");
        }
        Event::EndpointListRejected { error: wrong } => {
            warn!(wrong, "list refused, the last one holds")
        }
        Event::ProxyJoined {
            proxy,
            fresh,
            cause,
        } => info!(proxy, fresh, cause, "proxy joined"),
        Event::ProxyLeft { proxy, reason: why } => warn!(proxy, why, "proxy left"),
        Event::ProxyBound {
            proxy,
            table,
            cause,
        } => info!(proxy, table, cause, "proxy bound"),
        Event::TableChanged {
            table,
            weights: lines,
            cause,
        } => info!(table, ?lines, cause, "table changed"),
        Event::AdmissionChanged {
            table,
            class: kind,
            quota,
            retry_policy: tries,
            cause,
        } => {
            info!(table, kind, quota, %tries, cause, "level changed");
        }
        Event::UpdateSent {
            proxy,
            commands,
            urgency,
            cause,
        } => {
            info!(proxy, commands, %urgency, cause, "orders sent");
        }
        Event::UpdateAcknowledged { proxy, took_us } => debug!(proxy, took_us, "orders applied"),
        Event::UpdateRejected {
            proxy,
            error: wrong,
        } => warn!(proxy, wrong, "order refused"),
        Event::UpdateDelayed { proxy, reason: why } => warn!(proxy, %why, "orders wait"),
        Event::WeightSourceChanged { source } => info!(%source, "weights from"),
        Event::TargetWeightsChanged {
            weights: moved,
            cause,
        } => info!(?moved, cause, "weights changed"),
        Event::PlanFailed { error: wrong } => warn!(wrong, "no plan"),
        Event::Recovered {
            ready,
            draining,
            removed: gone,
        } => {
            info!(ready, draining, gone, "recovered what was known")
        }
        Event::EventLogChanged {
            stopped_reason: None,
            lost_inputs: lost,
        } => info!(lost, "records are written"),
        Event::EventLogChanged {
            stopped_reason: Some(why),
            lost_inputs: lost,
        } => warn!(why, lost, "records are not written"),
        Event::ReportRejected {
            error: wrong,
            rejected_total: refused,
        } => warn!(wrong, refused, "report refused"),
        Event::HostExcluded {
            host,
            duration_s: for_s,
        } => {
            info!(host, for_s, "started anew, kept out while caches hold it")
        }
        Event::SecondaryBehind { secondary } => {
            warn!(secondary, "secondary is behind for too long")
        }
        Event::WeightTooSmall { table, host } => info!(table, host, "cold host held back"),
    }
}
