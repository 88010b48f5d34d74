//! `show info`: the steward's own figures.

use crate::course::Course;
use crate::names::Names;
use crate::weigher::Weigher;
use pondarch_controller::DurationExt;
use pondarch_controller::EndpointState;
use pondarch_runtime_api::info::Info;

pub(crate) fn info(core: &Course) -> Info {
    let mut info = Info::default();
    let (now, list) = (core.now, &core.list);
    let open = |s: EndpointState| list.known.values().filter(|k| k.standing == s).count();
    let joined = core.peers.iter().filter(|peer| peer.is_joined()).count();
    let cold = list
        .known
        .keys()
        .filter(|host| list.is_cold(host, now))
        .count();
    let behind = core
        .peers
        .iter()
        .filter(|peer| peer.is_joined() && peer.dirty.is_some())
        .count();
    info.put("Name", "pondarch");
    info.put("Version", env!("CARGO_PKG_VERSION"));
    info.put("Pid", core.process);
    info.put("Uptime_sec", (now - core.started).micros() / 1_000_000);
    info.put(
        "Start_time_sec",
        crate::time::micros(core.started) / 1_000_000,
    );
    info.put("Node", &core.name);
    info.put("ListVersion", list.version);
    info.put("ListRefused", list.refused.as_deref().unwrap_or("-"));
    info.put("HostsReady", open(EndpointState::Ready));
    info.put("HostsDraining", open(EndpointState::Draining));
    info.put("HostsGone", open(EndpointState::Removed));
    info.put("HostsCold", cold);
    let strangers = core.names.as_ref().map_or(0, Names::strangers);
    info.put("Proxies", core.peers.len() - strangers);
    info.put("ProxiesJoined", joined);
    info.put("ProxiesBehind", behind);
    info.put("Tables", core.books.books.len());
    let source = core.weigher.as_ref().map_or("listed", Weigher::source);
    info.put("Weights", source);
    info.put(
        "WeightsFailed",
        core.weigher
            .as_ref()
            .and_then(Weigher::failed)
            .unwrap_or("-"),
    );
    if let Some(names) = &core.names {
        let too_long: Vec<&str> = names
            .holds_too_long()
            .filter_map(|id| core.peers.get(id.0 as usize).map(|peer| peer.name.as_str()))
            .collect();
        info.put("NamesAsking", names.members());
        info.put("NamesStrangersAsking", names.strangers_asking());
        info.put("NamesSerial", names.view().serial);
        info.put(
            "NamesHoldTooLong",
            if too_long.is_empty() {
                "-".into()
            } else {
                too_long.join(" ")
            },
        );
    }
    if let Some(records) = &core.records {
        info.put(
            "Records",
            records
                .stopped_reason
                .as_ref()
                .map_or("written".into(), |why| format!("stopped: {why}")),
        );
        info.put("RecordsLost", records.lost_inputs);
    }
    if core.pushes.on {
        let counts = &core.pushes.counts;
        info.put("Senders", core.pushes.senders());
        info.put("Reports", counts.taken);
        info.put("ReportsLate", counts.late);
        info.put("ReportsDoubled", counts.doubled);
        info.put("ReportsMissing", counts.missing);
        info.put("ReportsRestarted", counts.restarted);
        info.put("ReportsStale", counts.stale);
        info.put("ReportsRefused", counts.odd);
        info.put("ReportsOfStrangers", counts.strangers);
        info.put("ReportsUnlisted", counts.unlisted);
        info.put("ClockJumps", counts.jumps);
    }
    for purpose in pondarch_load_ingestion::account::PURPOSES {
        let word = purpose.word();
        info.put(&format!("Memory_{word}"), core.account.of(purpose).bytes);
    }
    info.put("LinesWaiting", core.channel.waiting().round() as u64);
    info.put(
        "LinesOrdered",
        core.peers.iter().map(|peer| peer.ordered).sum::<u64>(),
    );
    info.put(
        "LinesRefused",
        core.peers.iter().map(|peer| peer.refused).sum::<u64>(),
    );
    info
}
