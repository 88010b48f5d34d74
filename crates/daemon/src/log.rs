//! Events as structured logs: one log event each, with the input that led to it.

use pondarch_daemon_core::Event;
use tracing::{debug, info, warn};

pub(crate) fn event(event: &Event) {
    match event {
        Event::ListTaken {
            version,
            open,
            draining,
            gone,
        } => {
            info!(version, open, draining, gone, "list taken");
        }
        Event::ListRefused { wrong } => warn!(wrong, "list refused, the last one holds"),
        Event::Joined {
            proxy,
            fresh,
            cause,
        } => info!(proxy, fresh, cause, "proxy joined"),
        Event::Left { proxy, why } => warn!(proxy, why, "proxy left"),
        Event::Bound {
            proxy,
            table,
            cause,
        } => info!(proxy, table, cause, "proxy bound"),
        Event::TableChanged {
            table,
            lines,
            cause,
        } => info!(table, ?lines, cause, "table changed"),
        Event::LevelChanged {
            table,
            kind,
            quota,
            tries,
            cause,
        } => {
            info!(table, kind, quota, %tries, cause, "level changed");
        }
        Event::Ordered {
            proxy,
            commands,
            urgency,
            cause,
        } => {
            info!(proxy, commands, %urgency, cause, "orders sent");
        }
        Event::Applied { proxy, took_us } => debug!(proxy, took_us, "orders applied"),
        Event::Refused { proxy, wrong } => warn!(proxy, wrong, "order refused"),
        Event::Waits { proxy, why } => warn!(proxy, %why, "orders wait"),
        Event::WeightsFrom { source } => info!(%source, "weights from"),
        Event::Weighed { moved, cause } => info!(?moved, cause, "weights changed"),
        Event::PlanFailed { wrong } => warn!(wrong, "no plan"),
        Event::Recovered {
            ready,
            draining,
            gone,
        } => {
            info!(ready, draining, gone, "recovered what was known")
        }
        Event::Records {
            stopped: None,
            lost,
        } => info!(lost, "records are written"),
        Event::Records {
            stopped: Some(why),
            lost,
        } => warn!(why, lost, "records are not written"),
        Event::ReportRefused { wrong, refused } => warn!(wrong, refused, "report refused"),
        Event::KeptOut { host, for_s } => {
            info!(host, for_s, "started anew, kept out while caches hold it")
        }
        Event::SecondaryLate { secondary } => warn!(secondary, "secondary is behind for too long"),
        Event::HeldBack { table, host } => info!(table, host, "cold host held back"),
    }
}
