//! Load reports: the proxy's counters, sent to a controller for as long as the proxy runs, over one connection that is
//! made again after it breaks.

use crate::shared_state::SharedHandle;
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

/// Delay before a reconnect; it doubles up to [`MAX_RECONNECT_DELAY`].
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends load reports to a controller.
pub(crate) async fn send_load_reports(
    endpoint: Endpoint,
    name: String,
    period: Duration,
    shared: SharedHandle,
) {
    let (mut sender, mut delay) = (ReportSender::default(), MIN_RECONNECT_DELAY);
    let incarnation = micros(shared.now());
    loop {
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, Stream::connect(&endpoint)).await {
            sender.on_connected();
            let hello = Hello {
                version: PROTOCOL_VERSION,
                name: name.clone(),
                role: SenderRole::Proxy,
                incarnation,
            };
            let accepted = serve_connection(stream, hello, period, &mut sender, &shared).await;
            delay = if accepted { MIN_RECONNECT_DELAY } else { delay };
        }
        debug!(to = %endpoint, "load reports are not accepted; reconnecting");
        sleep(delay).await;
        delay = (delay * 2).min(MAX_RECONNECT_DELAY);
    }
}

/// Serves one connection until it ends, and returns whether the controller accepted reports.
async fn serve_connection(
    stream: Stream,
    hello: Hello,
    period: Duration,
    sender: &mut ReportSender,
    shared: &SharedHandle,
) -> bool {
    let mut connection: Framed<Stream, Codec<ToSender, ToController>> =
        Framed::new(stream, Codec::default());
    if connection.send(&ToController::Hello(hello)).await.is_err() {
        return false;
    }
    let (mut ticks, mut accepted) = (interval(period), false);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            message = connection.next() => match message {
                Some(Ok(message)) => match sender.on_message(micros(shared.now()), message) {
                    None => accepted = true,
                    Some(reason) => {
                        warn!(why = reason, "controller rejected the load reports");
                        return false;
                    }
                },
                _ => return accepted,
            },
            _ = ticks.tick() => sender.on_period_end(),
        }
        if let Some(report) = sender.next_report(micros(shared.now()), || report_body(shared)) {
            let result = timeout(
                WRITE_TIMEOUT,
                connection.send(&ToController::Report(report)),
            )
            .await;
            if !matches!(result, Ok(Ok(()))) {
                return accepted;
            }
        }
    }
}

fn report_body(shared: &SharedHandle) -> ReportBody {
    let rows = shared.core().state().stat_rows();
    ReportBody {
        counters: rows.into_iter().map(proxy_counters).collect(),
        host_metrics: None,
    }
}

fn proxy_counters(row: StatRow) -> ProxyCounters {
    let sums = row.exact_totals.unwrap_or_default();
    ProxyCounters {
        backend: row.backend,
        server: (row.row_type == RowType::Server).then_some(row.server),
        requests: row.requests,
        succeeded: sums.succeeded,
        failed: sums.failed,
        success_time_us: sums.succeeded_duration.as_micros() as u64,
        utilization: row.cpu_utilization,
        queue_length: row.queued_at_host,
    }
}

fn micros(at: Time) -> u64 {
    (at - Time::default()).micros()
}
