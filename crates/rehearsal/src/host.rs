//! A simulated host: HTTP/1.1, a number of cores with a bounded queue, a slow start, and faults that can be injected.

use crate::observations::{Observation, ObservationLog};
use http_body_util::Empty;
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use pondarch_load_report::{HEADER, Report};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};

/// Maximum number of requests queued at a host; it rejects further ones without processing them, and marks the response
/// with [`UNPROCESSED_HEADER`].
const MAX_QUEUED_REQUESTS: usize = 60;
/// Header of a rejection which states that the request was not processed.
pub const UNPROCESSED_HEADER: &str = "x-never-ran";

/// Properties of a simulated host.
#[derive(Clone, Debug)]
pub struct HostConfig {
    pub name: String,
    pub zone: String,
    pub rack: String,
    pub cores: usize,
    /// Seconds of work that one core completes per second.
    pub speed: f64,
    pub initial_capacity: f64,
    pub slow_start_window: Duration,
    /// Has its full capacity from the start, as a host that ran before the rehearsal began.
    pub warm: bool,
}

/// A running host. Dropping it stops the host and breaks all of its connections.
pub struct Host {
    pub config: HostConfig,
    pub addr: SocketAddr,
    pub faults: Arc<HostFaults>,
    task: JoinHandle<()>,
    observations: ObservationLog,
}

/// Faults of a host; they can be set while it runs.
#[derive(Debug)]
pub struct HostFaults {
    /// Factor by which execution is slowed down, in thousandths.
    pub slowdown_permille: AtomicU64,
    /// Accepts requests and never answers.
    pub unresponsive: AtomicBool,
}

struct HostState {
    config: HostConfig,
    started: Instant,
    cores: Semaphore,
    queued: AtomicUsize,
    utilization: Mutex<UtilizationMeter>,
    faults: Arc<HostFaults>,
    observations: ObservationLog,
}

/// Measures utilization for load reports: the mean of the last completed period.
#[derive(Debug)]
struct UtilizationMeter {
    running: usize,
    updated_at: Instant,
    /// Core seconds used in the current period, and when the period began.
    core_seconds: f64,
    period_start: Instant,
    /// Requests that completed and that were rejected in the current period.
    completed: u32,
    rejected: u32,
    last_utilization: f64,
    /// Requests per second of the last completed period: all that ended, and the rejected ones.
    last_rates: (f64, f64),
}

/// How often a host refreshes its load report.
const REPORT_PERIOD: Duration = Duration::from_millis(400);

impl UtilizationMeter {
    /// Accounts for the time until now, then changes the number of running requests.
    fn update(&mut self, running_change: isize, cores: usize) {
        let now = Instant::now();
        self.core_seconds += self.running as f64 * (now - self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.running = self.running.saturating_add_signed(running_change);
        self.completed += u32::from(running_change < 0);
        let elapsed = now - self.period_start;
        if elapsed >= REPORT_PERIOD {
            let elapsed = elapsed.as_secs_f64();
            self.last_utilization = self.core_seconds / (elapsed * cores as f64);
            self.last_rates = (
                f64::from(self.completed + self.rejected) / elapsed,
                f64::from(self.rejected) / elapsed,
            );
            (
                self.core_seconds,
                self.period_start,
                self.completed,
                self.rejected,
            ) = (0.0, now, 0, 0);
        }
    }
}

impl Host {
    /// Starts a host at this address, or at one that the system chooses.
    pub async fn start(
        config: HostConfig,
        listen_addr: Option<SocketAddr>,
        observations: ObservationLog,
    ) -> std::io::Result<Host> {
        let listener =
            TcpListener::bind(listen_addr.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))).await?;
        let addr = listener.local_addr()?;
        let faults = Arc::new(HostFaults {
            slowdown_permille: AtomicU64::new(1_000),
            unresponsive: AtomicBool::new(false),
        });
        observations.record(Observation::HostStarted {
            host: config.name.clone(),
            cores: config.cores as f64 * config.speed,
            initial_capacity: if config.warm {
                1.0
            } else {
                config.initial_capacity
            },
            slow_start_window: config.slow_start_window,
        });
        let state = Arc::new(HostState {
            started: Instant::now(),
            cores: Semaphore::new(config.cores),
            queued: AtomicUsize::new(0),
            utilization: Mutex::new(UtilizationMeter {
                running: 0,
                updated_at: Instant::now(),
                core_seconds: 0.0,
                period_start: Instant::now(),
                completed: 0,
                rejected: 0,
                last_utilization: 0.0,
                last_rates: (0.0, 0.0),
            }),
            faults: faults.clone(),
            observations: observations.clone(),
            config: config.clone(),
        });
        let task = tokio::spawn(accept(listener, state));
        Ok(Host {
            config,
            addr,
            faults,
            task,
            observations,
        })
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.task.abort();
        self.observations.record(Observation::HostStopped {
            host: self.config.name.clone(),
        });
    }
}

async fn accept(listener: TcpListener, state: Arc<HostState>) {
    // Owned by this task, so that connections end with it.
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, _)) = accepted else { continue };
        let state = state.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| {
                let state = state.clone();
                async move { Ok::<_, Infallible>(state.serve(request).await) }
            });
            // A proxy that cancels a request closes the connection; that is no failure of the host.
            hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await
                .ok();
        });
    }
}

impl HostState {
    async fn serve(&self, request: Request<Incoming>) -> Response<Empty<Bytes>> {
        let header = |name: &str| {
            request
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        if self.faults.unresponsive.load(Relaxed) {
            if let Some((id, work)) = header("x-req")
                .and_then(|id| id.parse().ok())
                .zip(self.requested_work(&request))
            {
                self.record_attempt(&request, id);
                self.observations.record(Observation::RequestArrived {
                    host: self.config.name.clone(),
                    request_id: id,
                    work,
                });
            }
            std::future::pending::<()>().await;
        }
        let Some(work) = self.requested_work(&request) else {
            return self.respond(StatusCode::OK, false);
        };
        let (id, class) = (
            header("x-req").and_then(|id| id.parse().ok()).unwrap_or(0),
            header("x-kind").unwrap_or(""),
        );
        let host = self.config.name.clone();
        self.record_attempt(&request, id);
        self.observations.record(Observation::RequestArrived {
            host: host.clone(),
            request_id: id,
            work,
        });
        if self.queued.load(Relaxed) >= MAX_QUEUED_REQUESTS {
            return self.respond(StatusCode::SERVICE_UNAVAILABLE, true);
        }
        let queue_slot = CounterGuard::increment(&self.queued);
        let Ok(_core) = self.cores.acquire().await else {
            return self.respond(StatusCode::SERVICE_UNAVAILABLE, true);
        };
        drop(queue_slot);
        let _running = RunningRequest::start(self);
        self.observations.record(Observation::ExecutionStarted {
            host,
            class: class.to_string(),
            request_id: id,
        });
        let slowdown = self.faults.slowdown_permille.load(Relaxed) as f64 / 1e3;
        tokio::time::sleep(work.mul_f64(slowdown / self.capacity_fraction() / self.config.speed))
            .await;
        self.respond(StatusCode::OK, false)
    }

    /// Records an attempt of the proxy that the proxy's own header names.
    fn record_attempt(&self, request: &Request<Incoming>, id: u64) {
        let header = |name: &str| {
            request
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        if let (Some(proxy), Some(class)) = (header("x-pondarch-proxy"), header("x-kind")) {
            let (proxy, class) = (proxy.to_string(), class.to_string());
            self.observations.record(Observation::Attempt {
                proxy,
                class,
                host: self.config.name.clone(),
                request_id: id,
            });
        }
    }

    /// Changes the number of running requests and counts a rejected one. Returns the utilization of the last completed
    /// period, and its requests per second: all that ended, and the rejected ones.
    fn update_utilization(&self, running_change: isize, rejected: bool) -> (f64, (f64, f64)) {
        let mut meter = self
            .utilization
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        meter.update(running_change, self.config.cores);
        meter.rejected += u32::from(rejected);
        (meter.last_utilization, meter.last_rates)
    }

    fn requested_work(&self, request: &Request<Incoming>) -> Option<Duration> {
        let us = request
            .headers()
            .get("x-work-us")?
            .to_str()
            .ok()?
            .parse()
            .ok()?;
        Some(Duration::from_micros(us))
    }

    /// Current fraction of the full capacity, which grows linearly during the slow start.
    fn capacity_fraction(&self) -> f64 {
        let progress = self.started.elapsed().as_secs_f64()
            / self.config.slow_start_window.as_secs_f64().max(1e-3);
        if self.config.warm {
            1.0
        } else {
            (self.config.initial_capacity + (1.0 - self.config.initial_capacity) * progress)
                .min(1.0)
        }
    }

    fn respond(&self, status: StatusCode, unprocessed: bool) -> Response<Empty<Bytes>> {
        let (utilization, (rate, rejection_rate)) = self.update_utilization(0, unprocessed);
        let load = Report {
            utilization: Some(utilization),
            queue_length: Some(self.queued.load(Relaxed) as f64),
            service_time_ms: None,
            request_rate: Some(rate),
            failure_rate: Some(rejection_rate),
        };
        let mut response = Response::new(Empty::new());
        *response.status_mut() = status;
        if let Ok(value) = load.to_header_value().parse() {
            response.headers_mut().insert(HEADER, value);
        }
        if unprocessed && let Ok(value) = "1".parse() {
            response.headers_mut().insert(UNPROCESSED_HEADER, value);
        }
        response
    }
}

/// Counts a request as running on a core until dropped.
struct RunningRequest<'a>(&'a HostState);

impl RunningRequest<'_> {
    fn start(host: &HostState) -> RunningRequest<'_> {
        host.update_utilization(1, false);
        RunningRequest(host)
    }
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.0.update_utilization(-1, false);
    }
}

/// Increments a counter until dropped, which also happens when the connection breaks meanwhile.
struct CounterGuard<'a>(&'a AtomicUsize);

impl CounterGuard<'_> {
    fn increment(counter: &AtomicUsize) -> CounterGuard<'_> {
        counter.fetch_add(1, Relaxed);
        CounterGuard(counter)
    }
}

impl Drop for CounterGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}
