//! `show info`: the controller's own figures.

use crate::dns_state::DnsState;
use crate::input::EventLogState;
use crate::state::DaemonState;
use crate::weight_planner::WeightPlanner;
use pondarch_controller::DurationExt;
use pondarch_controller::EndpointState;
use pondarch_runtime_api::info::Info;

/// All figures, in the order in which operators read them.
pub(crate) fn info(core: &DaemonState) -> Info {
    let mut info = Info::default();
    put_process(&mut info, core);
    put_endpoints(&mut info, core);
    put_proxies(&mut info, core);
    put_weights(&mut info, core);
    if let Some(dns) = &core.dns {
        put_dns(&mut info, core, dns);
    }
    if let Some(event_log) = &core.event_log {
        put_event_log(&mut info, event_log);
    }
    if core.pushed_reports.enabled {
        put_reports(&mut info, core);
    }
    for purpose in pondarch_load_ingestion::account::PURPOSES {
        let name = purpose.word();
        info.push(&format!("Memory_{name}"), core.memory.of(purpose).bytes);
    }
    put_updates(&mut info, core);
    info
}

fn put_process(info: &mut Info, core: &DaemonState) {
    let now = core.now;
    info.push("Name", "pondarch");
    info.push("Version", env!("CARGO_PKG_VERSION"));
    info.push("Pid", core.process);
    info.push("Uptime_sec", (now - core.started).micros() / 1_000_000);
    info.push(
        "Start_time_sec",
        crate::time::micros(core.started) / 1_000_000,
    );
    info.push("Node", &core.name);
}

fn put_endpoints(info: &mut Info, core: &DaemonState) {
    let list = &core.endpoints;
    let count = |state: EndpointState| {
        list.hosts
            .values()
            .filter(|known| known.state == state)
            .count()
    };
    let cold = list
        .hosts
        .keys()
        .filter(|host| list.is_warming_up(host, core.now))
        .count();
    info.push("ListVersion", list.generation);
    info.push(
        "ListRefused",
        list.rejected_reason.as_deref().unwrap_or("-"),
    );
    info.push("HostsReady", count(EndpointState::Ready));
    info.push("HostsDraining", count(EndpointState::Draining));
    info.push("HostsGone", count(EndpointState::Removed));
    info.push("HostsCold", cold);
}

fn put_proxies(info: &mut Info, core: &DaemonState) {
    let joined = core.peers.iter().filter(|peer| peer.is_joined()).count();
    let behind = core
        .peers
        .iter()
        .filter(|peer| peer.is_joined() && peer.pending_update.is_some())
        .count();
    let unknown_proxies = core.dns.as_ref().map_or(0, DnsState::unknown_proxies);
    info.push("Proxies", core.peers.len() - unknown_proxies);
    info.push("ProxiesJoined", joined);
    info.push("ProxiesBehind", behind);
    info.push("Tables", core.tables.by_id.len());
}

fn put_weights(info: &mut Info, core: &DaemonState) {
    let source = core
        .weight_planner
        .as_ref()
        .map_or("listed", WeightPlanner::source);
    info.push("Weights", source);
    info.push(
        "WeightsFailed",
        core.weight_planner
            .as_ref()
            .and_then(WeightPlanner::failed)
            .unwrap_or("-"),
    );
}

fn put_updates(info: &mut Info, core: &DaemonState) {
    info.push("LinesWaiting", core.update_queue.waiting().round() as u64);
    info.push(
        "LinesOrdered",
        core.peers
            .iter()
            .map(|peer| peer.commands_sent)
            .sum::<u64>(),
    );
    info.push(
        "LinesRefused",
        core.peers
            .iter()
            .map(|peer| peer.commands_rejected)
            .sum::<u64>(),
    );
}

fn put_dns(info: &mut Info, core: &DaemonState, dns: &DnsState) {
    let too_long: Vec<&str> = dns
        .holds_too_long()
        .filter_map(|id| core.peers.get(id.0 as usize).map(|peer| peer.name.as_str()))
        .collect();
    info.push("NamesAsking", dns.members());
    info.push("NamesStrangersAsking", dns.unknown_proxies_asking());
    info.push("NamesSerial", dns.view().serial);
    info.push(
        "NamesHoldTooLong",
        if too_long.is_empty() {
            "-".into()
        } else {
            too_long.join(" ")
        },
    );
}

fn put_event_log(info: &mut Info, event_log: &EventLogState) {
    info.push(
        "Records",
        event_log
            .stopped_reason
            .as_ref()
            .map_or("written".into(), |reason| format!("stopped: {reason}")),
    );
    info.push("RecordsLost", event_log.lost_inputs);
}

fn put_reports(info: &mut Info, core: &DaemonState) {
    let counts = &core.pushed_reports.counters;
    info.push("Senders", core.pushed_reports.senders());
    info.push("Reports", counts.received);
    info.push("ReportsLate", counts.late);
    info.push("ReportsDoubled", counts.duplicate);
    info.push("ReportsMissing", counts.missing);
    info.push("ReportsRestarted", counts.restarted);
    info.push("ReportsStale", counts.stale);
    info.push("ReportsRefused", counts.rejected);
    info.push("ReportsOfStrangers", counts.unknown_senders);
    info.push("ReportsUnlisted", counts.unlisted_hosts);
    info.push("ClockJumps", counts.clock_jumps);
}
