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
    for purpose in pondarch_load_ingestion::memory::PURPOSES {
        let name = purpose.name();
        info.put(&format!("Memory_{name}"), core.memory.usage(purpose).bytes);
    }
    put_updates(&mut info, core);
    info
}

fn put_process(info: &mut Info, core: &DaemonState) {
    let now = core.now;
    info.put("Name", "pondarch");
    info.put("Version", env!("CARGO_PKG_VERSION"));
    info.put("Pid", core.process);
    info.put("Uptime_sec", (now - core.started).micros() / 1_000_000);
    info.put(
        "Start_time_sec",
        crate::time::micros(core.started) / 1_000_000,
    );
    info.put("Node", &core.name);
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
    info.put("ListVersion", list.generation);
    info.put(
        "ListRefused",
        list.rejected_reason.as_deref().unwrap_or("-"),
    );
    info.put("HostsReady", count(EndpointState::Ready));
    info.put("HostsDraining", count(EndpointState::Draining));
    info.put("HostsGone", count(EndpointState::Removed));
    info.put("HostsCold", cold);
}

fn put_proxies(info: &mut Info, core: &DaemonState) {
    let joined = core.peers.iter().filter(|peer| peer.is_joined()).count();
    let behind = core
        .peers
        .iter()
        .filter(|peer| peer.is_joined() && peer.pending_update.is_some())
        .count();
    let unknown_proxies = core.dns.as_ref().map_or(0, DnsState::unknown_proxies);
    info.put("Proxies", core.peers.len() - unknown_proxies);
    info.put("ProxiesJoined", joined);
    info.put("ProxiesBehind", behind);
    info.put("Tables", core.tables.by_id.len());
}

fn put_weights(info: &mut Info, core: &DaemonState) {
    let source = core
        .weight_planner
        .as_ref()
        .map_or("listed", WeightPlanner::source);
    info.put("Weights", source);
    info.put(
        "WeightsFailed",
        core.weight_planner
            .as_ref()
            .and_then(WeightPlanner::failed)
            .unwrap_or("-"),
    );
}

fn put_updates(info: &mut Info, core: &DaemonState) {
    info.put("LinesWaiting", core.update_queue.waiting().round() as u64);
    info.put(
        "LinesOrdered",
        core.peers
            .iter()
            .map(|peer| peer.commands_sent)
            .sum::<u64>(),
    );
    info.put(
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
    info.put("NamesAsking", dns.members());
    info.put("NamesStrangersAsking", dns.unknown_proxies_asking());
    info.put("NamesSerial", dns.view().serial);
    info.put(
        "NamesHoldTooLong",
        if too_long.is_empty() {
            "-".into()
        } else {
            too_long.join(" ")
        },
    );
}

fn put_event_log(info: &mut Info, event_log: &EventLogState) {
    info.put(
        "Records",
        event_log
            .stopped_reason
            .as_ref()
            .map_or("written".into(), |reason| format!("stopped: {reason}")),
    );
    info.put("RecordsLost", event_log.lost_inputs);
}

fn put_reports(info: &mut Info, core: &DaemonState) {
    let counts = &core.pushed_reports.counters;
    info.put("Senders", core.pushed_reports.senders());
    info.put("Reports", counts.received);
    info.put("ReportsLate", counts.late);
    info.put("ReportsDoubled", counts.duplicate);
    info.put("ReportsMissing", counts.missing);
    info.put("ReportsRestarted", counts.restarted);
    info.put("ReportsStale", counts.stale);
    info.put("ReportsRefused", counts.rejected);
    info.put("ReportsOfStrangers", counts.unknown_senders);
    info.put("ReportsUnlisted", counts.unlisted_hosts);
    info.put("ClockJumps", counts.clock_jumps);
}
