//! Pushes the proxy's counters to a steward, for as long as the proxy runs: one connection, made again after it breaks.

use crate::shared::Together;
use futures_util::{SinkExt, StreamExt};
use pondarch_config::Endpoint;
use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use pondarch_load_report_protocol::message::VERSION;
use pondarch_load_report_protocol::{
    Body, Codec, Counted, Hello, Sender, SenderIs, ToSender, ToSteward,
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
    let (mut sender, mut wait) = (Sender::default(), AGAIN_LEAST);
    let run = micros(shared.now());
    loop {
        if let Ok(Ok(stream)) = timeout(CONNECT_WITHIN, Stream::connect(&to)).await {
            sender.connected();
            let hello = Hello {
                version: VERSION,
                name: name.clone(),
                is: SenderIs::Proxy,
                run,
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
    sender: &mut Sender,
    shared: &Together,
) -> bool {
    let mut wire: Framed<Stream, Codec<ToSender, ToSteward>> =
        Framed::new(stream, Codec::default());
    if wire.send(&ToSteward::Hello(hello)).await.is_err() {
        return false;
    }
    let (mut ticks, mut heard) = (interval(every), false);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            word = wire.next() => match word {
                Some(Ok(word)) => match sender.heard(micros(shared.now()), word) {
                    None => heard = true,
                    Some(why) => {
                        warn!(why, "the steward refuses reports");
                        return false;
                    }
                },
                _ => return heard,
            },
            _ = ticks.tick() => sender.period(),
        }
        if let Some(report) = sender.next(micros(shared.now()), || body(shared)) {
            let sent = timeout(WRITE_WITHIN, wire.send(&ToSteward::Report(report))).await;
            if !matches!(sent, Ok(Ok(()))) {
                return heard;
            }
        }
    }
}

fn body(shared: &Together) -> Body {
    let rows = shared.obey().state().stat_rows();
    Body {
        counted: rows.into_iter().map(counted).collect(),
        own: None,
    }
}

fn counted(row: StatRow) -> Counted {
    let sums = row.exact_totals.unwrap_or_default();
    Counted {
        backend: row.backend,
        server: (row.row_type == RowType::Server).then_some(row.server),
        reqs: row.requests,
        done: sums.succeeded,
        errored: sums.failed,
        done_us: sums.succeeded_duration.as_micros() as u64,
        busy: row.cpu_utilization,
        waiting: row.queued_at_host,
    }
}

fn micros(at: Time) -> u64 {
    (at - Time::default()).micros()
}
