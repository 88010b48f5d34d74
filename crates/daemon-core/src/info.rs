//! `show info`: figures of the controller itself.

use crate::dns_state::DnsState;
use crate::input::EventLogState;
use crate::state::DaemonState;
use crate::weight_planner::WeightPlanner;
use pondarch_controller::DurationExt;
use pondarch_controller::EndpointState;
use pondarch_runtime_api::info::Info;

/// All figures, in the order of the reply.
pub(crate) fn info(state: &DaemonState) -> Info {
    let mut info = Info::default();
    put_process(&mut info, state);
    put_endpoints(&mut info, state);
    put_proxies(&mut info, state);
    put_weights(&mut info, state);
    if let Some(dns) = &state.dns {
        put_dns(&mut info, state, dns);
    }
    if let Some(event_log) = &state.event_log {
        put_event_log(&mut info, event_log);
    }
    if state.pushed_reports.enabled {
        put_reports(&mut info, state);
    }
    for purpose in pondarch_load_ingestion::memory::PURPOSES {
        let name = purpose.name();
        info.push(&format!("Memory_{name}"), state.memory.usage(purpose).bytes);
    }
    put_updates(&mut info, state);
    info
}

fn put_process(info: &mut Info, state: &DaemonState) {
    let now = state.now;
    info.push("Name", "pondarch");
    info.push("Version", env!("CARGO_PKG_VERSION"));
    info.push("Pid", state.process_id);
    info.push("Uptime_sec", (now - state.started).micros() / 1_000_000);
    info.push(
        "Start_time_sec",
        crate::time::unix_micros(state.started) / 1_000_000,
    );
    info.push("Node", &state.name);
}

fn put_endpoints(info: &mut Info, state: &DaemonState) {
    let list = &state.endpoints;
    let count = |wanted: EndpointState| {
        list.hosts
            .values()
            .filter(|host| host.state == wanted)
            .count()
    };
    let warming_up = list
        .hosts
        .keys()
        .filter(|host| list.is_warming_up(host, state.now))
        .count();
    info.push("ListVersion", list.generation);
    info.push(
        "ListRefused",
        list.rejected_reason.as_deref().unwrap_or("-"),
    );
    info.push("HostsReady", count(EndpointState::Ready));
    info.push("HostsDraining", count(EndpointState::Draining));
    info.push("HostsGone", count(EndpointState::Removed));
    info.push("HostsCold", warming_up);
}

fn put_proxies(info: &mut Info, state: &DaemonState) {
    let joined = state.peers.iter().filter(|peer| peer.is_joined()).count();
    let behind = state
        .peers
        .iter()
        .filter(|peer| peer.is_joined() && peer.pending_update.is_some())
        .count();
    let unknown_proxies = state.dns.as_ref().map_or(0, DnsState::unknown_proxy_count);
    info.push("Proxies", state.peers.len() - unknown_proxies);
    info.push("ProxiesJoined", joined);
    info.push("ProxiesBehind", behind);
    info.push("Tables", state.tables.by_id.len());
}

fn put_weights(info: &mut Info, state: &DaemonState) {
    let source = state
        .weight_planner
        .as_ref()
        .map_or("listed", WeightPlanner::source);
    info.push("Weights", source);
    info.push(
        "WeightsFailed",
        state
            .weight_planner
            .as_ref()
            .and_then(WeightPlanner::failed)
            .unwrap_or("-"),
    );
}

fn put_updates(info: &mut Info, state: &DaemonState) {
    info.push(
        "LinesWaiting",
        state.update_queue.in_flight().round() as u64,
    );
    info.push(
        "LinesOrdered",
        state
            .peers
            .iter()
            .map(|peer| peer.commands_sent)
            .sum::<u64>(),
    );
    info.push(
        "LinesRefused",
        state
            .peers
            .iter()
            .map(|peer| peer.commands_rejected)
            .sum::<u64>(),
    );
}

fn put_dns(info: &mut Info, state: &DaemonState, dns: &DnsState) {
    let too_long: Vec<&str> = dns
        .caching_too_long()
        .filter_map(|id| {
            state
                .peers
                .get(id.0 as usize)
                .map(|peer| peer.name.as_str())
        })
        .collect();
    info.push("NamesAsking", dns.querying_proxies());
    info.push("NamesStrangersAsking", dns.querying_unknown_proxies());
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

fn put_reports(info: &mut Info, state: &DaemonState) {
    let counters = &state.pushed_reports.counters;
    info.push("Senders", state.pushed_reports.sender_count());
    info.push("Reports", counters.received);
    info.push("ReportsLate", counters.late);
    info.push("ReportsDoubled", counters.duplicate);
    info.push("ReportsMissing", counters.missing);
    info.push("ReportsRestarted", counters.restarted);
    info.push("ReportsStale", counters.stale);
    info.push("ReportsRefused", counters.rejected);
    info.push("ReportsOfStrangers", counters.unknown_senders);
    info.push("ReportsUnlisted", counters.unlisted_hosts);
    info.push("ClockJumps", counters.clock_jumps);
}
