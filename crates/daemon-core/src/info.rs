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
        info.put(&format!("Memory_{name}"), state.memory.usage(purpose).bytes);
    }
    put_updates(&mut info, state);
    info
}

fn put_process(info: &mut Info, state: &DaemonState) {
    let now = state.now;
    info.put("Name", "pondarch");
    info.put("Version", env!("CARGO_PKG_VERSION"));
    info.put("Pid", state.process_id);
    info.put("Uptime_sec", (now - state.started).micros() / 1_000_000);
    info.put(
        "Start_time_sec",
        crate::time::unix_micros(state.started) / 1_000_000,
    );
    info.put("Node", &state.name);
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
    info.put("ListVersion", list.generation);
    info.put(
        "ListRefused",
        list.rejected_reason.as_deref().unwrap_or("-"),
    );
    info.put("HostsReady", count(EndpointState::Ready));
    info.put("HostsDraining", count(EndpointState::Draining));
    info.put("HostsGone", count(EndpointState::Removed));
    info.put("HostsCold", warming_up);
}

fn put_proxies(info: &mut Info, state: &DaemonState) {
    let joined = state.peers.iter().filter(|peer| peer.is_joined()).count();
    let behind = state
        .peers
        .iter()
        .filter(|peer| peer.is_joined() && peer.pending_update.is_some())
        .count();
    let unknown_proxies = state.dns.as_ref().map_or(0, DnsState::unknown_proxy_count);
    info.put("Proxies", state.peers.len() - unknown_proxies);
    info.put("ProxiesJoined", joined);
    info.put("ProxiesBehind", behind);
    info.put("Tables", state.tables.by_id.len());
}

fn put_weights(info: &mut Info, state: &DaemonState) {
    let source = state
        .weight_planner
        .as_ref()
        .map_or("listed", WeightPlanner::source);
    info.put("Weights", source);
    info.put(
        "WeightsFailed",
        state
            .weight_planner
            .as_ref()
            .and_then(WeightPlanner::failed)
            .unwrap_or("-"),
    );
}

fn put_updates(info: &mut Info, state: &DaemonState) {
    info.put(
        "LinesWaiting",
        state.update_queue.in_flight().round() as u64,
    );
    info.put(
        "LinesOrdered",
        state
            .peers
            .iter()
            .map(|peer| peer.commands_sent)
            .sum::<u64>(),
    );
    info.put(
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
    info.put("NamesAsking", dns.querying_proxies());
    info.put("NamesStrangersAsking", dns.querying_unknown_proxies());
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

fn put_reports(info: &mut Info, state: &DaemonState) {
    let counters = &state.pushed_reports.counters;
    info.put("Senders", state.pushed_reports.sender_count());
    info.put("Reports", counters.received);
    info.put("ReportsLate", counters.late);
    info.put("ReportsDoubled", counters.duplicate);
    info.put("ReportsMissing", counters.missing);
    info.put("ReportsRestarted", counters.restarted);
    info.put("ReportsStale", counters.stale);
    info.put("ReportsRefused", counters.rejected);
    info.put("ReportsOfStrangers", counters.unknown_senders);
    info.put("ReportsUnlisted", counters.unlisted_hosts);
    info.put("ClockJumps", counters.clock_jumps);
}
