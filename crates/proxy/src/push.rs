//! Pushes the proxy's counters to a steward, for as long as the proxy runs: one connection, made again after it breaks.

use crate::shared::Together;
use futures_util::{SinkExt, StreamExt};
use pondarch_config::Endpoint;
use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use pondarch_load_report_protocol::message::PROTOCOL_VERSION;
use pondarch_load_report_protocol::{
    Codec, Hello, ProxyCounters, ReportBody, ReportSender, SenderRole, ToController, ToSender,
};
use pondarch_runtime_api::stat::{RowType, StatRow};
use pondarch_transport::Stream;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use tokio_util::codec::Framed;
use tracing::{debug, warn};

/// Waits between two connections: doubling from the least to the most.
const AGAIN_LEAST: Duration = Duration::from_millis(100);
const AGAIN_MOST: Duration = Duration::from_secs(5);
const CONNECT_WITHIN: Duration = Duration::from_secs(1);
const WRITE_WITHIN: Duration = Duration::from_secs(5);

pub(crate) async fn push(to: Endpoint, name: String, every: Duration, shared: Together) {
    let (mut sender, mut wait) = (ReportSender::default(), AGAIN_LEAST);
    let incarnation = micros(shared.now());
    loop {
        if let Ok(Ok(stream)) = timeout(CONNECT_WITHIN, Stream::connect(&to)).await {
            sender.on_connected();
            let hello = Hello {
                version: PROTOCOL_VERSION,
                name: name.clone(),
                role: SenderRole::Proxy,
                incarnation,
            };
            let heard = talk(stream, hello, every, &mut sender, &shared).await;
            wait = if heard { AGAIN_LEAST } else { wait };
        }
        debug!(%to, "reports are not taken; trying again");
        sleep(wait).await;
        wait = (wait * 2).min(AGAIN_MOST);
    }
}

/// One connection to its end; gives whether the steward took reports.
async fn talk(
    stream: Stream,
    hello: Hello,
    every: Duration,
    sender: &mut ReportSender,
    shared: &Together,
) -> bool {
    let mut wire: Framed<Stream, Codec<ToSender, ToController>> =
        Framed::new(stream, Codec::default());
    if wire.send(&ToController::Hello(hello)).await.is_err() {
        return false;
    }
    let (mut ticks, mut heard) = (interval(every), false);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            word = wire.next() => match word {
                Some(Ok(word)) => match sender.on_message(micros(shared.now()), word) {
                    None => heard = true,
                    Some(why) => {
                        warn!(why, "the steward refuses reports");
                        return false;
                    }
                },
                _ => return heard,
            },
            _ = ticks.tick() => sender.on_period_end(),
        }
        if let Some(report) = sender.next_report(micros(shared.now()), || body(shared)) {
            let sent = timeout(WRITE_WITHIN, wire.send(&ToController::Report(report))).await;
            if !matches!(sent, Ok(Ok(()))) {
                return heard;
            }
        }
    }
}

fn body(shared: &Together) -> ReportBody {
    let rows = shared.obey().state().stat_rows();
    ReportBody {
        counters: rows.into_iter().map(counted).collect(),
        host_metrics: None,
    }
}

fn counted(row: StatRow) -> ProxyCounters {
    let sums = row.sums.unwrap_or_default();
    ProxyCounters {
        backend: row.backend,
        server: (row.of == RowType::Server).then_some(row.server),
        requests: row.reqs,
        succeeded: sums.done,
        failed: sums.errored,
        success_time_us: sums.done_time.as_micros() as u64,
        utilization: row.busy,
        queue_length: row.waiting,
    }
}

fn micros(at: Time) -> u64 {
    (at - Time::default()).micros()
}
