//! A stand-in render node: HTTP/1.1, cores with a waiting room, a cold ramp, and troubles on request.

use crate::facts::{Fact, Facts};
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

/// Reqs that wait at a host at most; it refuses the next one unseen, and says so.
const WAITING_MOST: usize = 60;
/// Says with a refusal that the req never ran.
pub const NEVER_RAN: &str = "x-never-ran";

/// How a host is made.
#[derive(Clone, Debug)]
pub struct Make {
    pub name: String,
    pub zone: String,
    pub rack: String,
    pub cores: usize,
    /// Work of one core a second.
    pub speed: f64,
    pub start_share: f64,
    pub warm_within: Duration,
    /// Warm from the first moment: it ran before the day began.
    pub warm: bool,
}

/// A running host. Dropping it is its death: all connections break.
pub struct Host {
    pub make: Make,
    pub addr: SocketAddr,
    pub trouble: Arc<Trouble>,
    task: JoinHandle<()>,
    facts: Facts,
}

/// What is wrong with a host; all of it can be set while it runs.
#[derive(Debug)]
pub struct Trouble {
    /// Times slower, in thousandths.
    pub slower: AtomicU64,
    /// Takes reqs and answers none.
    pub hangs: AtomicBool,
}

struct Works {
    make: Make,
    started: Instant,
    cores: Semaphore,
    waiting: AtomicUsize,
    busy: Mutex<Busy>,
    trouble: Arc<Trouble>,
    facts: Facts,
}

/// How busy the cores were lately, as a host reports it: the mean of the last whole period.
#[derive(Debug)]
struct Busy {
    running: usize,
    changed: Instant,
    /// Core seconds used in this period, and when it began.
    used: f64,
    since: Instant,
    /// Reqs that ended and that were refused in this period.
    ended: u32,
    refused: u32,
    last: f64,
    /// The same of the last whole period, by the second.
    last_rates: (f64, f64),
}

/// How often a host's report of its load is made anew.
const REFRESHED: Duration = Duration::from_millis(400);

impl Busy {
    /// Counts up to now; then so many more or fewer run.
    fn change(&mut self, by: isize, cores: usize) {
        let now = Instant::now();
        self.used += self.running as f64 * (now - self.changed).as_secs_f64();
        self.changed = now;
        self.running = self.running.saturating_add_signed(by);
        self.ended += u32::from(by < 0);
        let passed = now - self.since;
        if passed >= REFRESHED {
            let passed = passed.as_secs_f64();
            self.last = self.used / (passed * cores as f64);
            self.last_rates = (
                f64::from(self.ended + self.refused) / passed,
                f64::from(self.refused) / passed,
            );
            (self.used, self.since, self.ended, self.refused) = (0.0, now, 0, 0);
        }
    }
}

impl Host {
    /// Starts at this address, or at one of the system's choosing.
    pub async fn start(make: Make, at: Option<SocketAddr>, facts: Facts) -> std::io::Result<Host> {
        let listener =
            TcpListener::bind(at.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)))).await?;
        let addr = listener.local_addr()?;
        let trouble = Arc::new(Trouble {
            slower: AtomicU64::new(1_000),
            hangs: AtomicBool::new(false),
        });
        facts.note(Fact::HostStarted {
            host: make.name.clone(),
            cores: make.cores as f64 * make.speed,
            start_share: if make.warm { 1.0 } else { make.start_share },
            warm_within: make.warm_within,
        });
        let works = Arc::new(Works {
            started: Instant::now(),
            cores: Semaphore::new(make.cores),
            waiting: AtomicUsize::new(0),
            busy: Mutex::new(Busy {
                running: 0,
                changed: Instant::now(),
                used: 0.0,
                since: Instant::now(),
                ended: 0,
                refused: 0,
                last: 0.0,
                last_rates: (0.0, 0.0),
            }),
            trouble: trouble.clone(),
            facts: facts.clone(),
            make: make.clone(),
        });
        let task = tokio::spawn(accept(listener, works));
        Ok(Host {
            make,
            addr,
            trouble,
            task,
            facts,
        })
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.task.abort();
        self.facts.note(Fact::HostDied {
            host: self.make.name.clone(),
        });
    }
}

async fn accept(listener: TcpListener, works: Arc<Works>) {
    // Connections end with this task.
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, _)) = accepted else { continue };
        let works = works.clone();
        connections.spawn(async move {
            let serve = service_fn(move |req| {
                let works = works.clone();
                async move { Ok::<_, Infallible>(works.serve(req).await) }
            });
            // A proxy that gives a req up closes the connection: no failure of the host.
            hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), serve)
                .await
                .ok();
        });
    }
}

impl Works {
    async fn serve(&self, req: Request<Incoming>) -> Response<Empty<Bytes>> {
        let text = |name: &str| {
            req.headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        if self.trouble.hangs.load(Relaxed) {
            if let Some((id, work)) = text("x-req")
                .and_then(|id| id.parse().ok())
                .zip(self.work(&req))
            {
                self.tried(&req, id);
                self.facts.note(Fact::Arrived {
                    host: self.make.name.clone(),
                    req: id,
                    work,
                });
            }
            std::future::pending::<()>().await;
        }
        let Some(work) = self.work(&req) else {
            return self.answer(StatusCode::OK, false);
        };
        let (id, kind) = (
            text("x-req").and_then(|id| id.parse().ok()).unwrap_or(0),
            text("x-kind").unwrap_or(""),
        );
        let host = self.make.name.clone();
        self.tried(&req, id);
        self.facts.note(Fact::Arrived {
            host: host.clone(),
            req: id,
            work,
        });
        if self.waiting.load(Relaxed) >= WAITING_MOST {
            return self.answer(StatusCode::SERVICE_UNAVAILABLE, true);
        }
        let place = Count::up(&self.waiting);
        let Ok(_core) = self.cores.acquire().await else {
            return self.answer(StatusCode::SERVICE_UNAVAILABLE, true);
        };
        drop(place);
        let _running = Runs::begin(self);
        self.facts.note(Fact::Ran {
            host,
            kind: kind.to_string(),
            req: id,
        });
        let slower = self.trouble.slower.load(Relaxed) as f64 / 1e3;
        tokio::time::sleep(work.mul_f64(slower / self.share() / self.make.speed)).await;
        self.answer(StatusCode::OK, false)
    }

    /// Whose try this is, as the proxy's own header says.
    fn tried(&self, req: &Request<Incoming>, id: u64) {
        let text = |name: &str| {
            req.headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        if let (Some(proxy), Some(kind)) = (text("x-pondarch-proxy"), text("x-kind")) {
            let (proxy, kind) = (proxy.to_string(), kind.to_string());
            self.facts.note(Fact::Try {
                proxy,
                kind,
                host: self.make.name.clone(),
                req: id,
            });
        }
    }

    /// So many more or fewer run; gives how busy the cores were lately, and the reqs a second that ended and that
    /// were refused.
    fn busy(&self, by: isize, refused: bool) -> (f64, (f64, f64)) {
        let mut busy = self.busy.lock().unwrap_or_else(PoisonError::into_inner);
        busy.change(by, self.make.cores);
        busy.refused += u32::from(refused);
        (busy.last, busy.last_rates)
    }

    fn work(&self, req: &Request<Incoming>) -> Option<Duration> {
        let us = req
            .headers()
            .get("x-work-us")?
            .to_str()
            .ok()?
            .parse()
            .ok()?;
        Some(Duration::from_micros(us))
    }

    /// The part of its work that it can do by now.
    fn share(&self) -> f64 {
        let age =
            self.started.elapsed().as_secs_f64() / self.make.warm_within.as_secs_f64().max(1e-3);
        if self.make.warm {
            1.0
        } else {
            (self.make.start_share + (1.0 - self.make.start_share) * age).min(1.0)
        }
    }

    fn answer(&self, status: StatusCode, never_ran: bool) -> Response<Empty<Bytes>> {
        let (busy, (rate, errored_rate)) = self.busy(0, never_ran);
        let load = Report {
            utilization: Some(busy),
            queue_length: Some(self.waiting.load(Relaxed) as f64),
            service_time_ms: None,
            request_rate: Some(rate),
            failure_rate: Some(errored_rate),
        };
        let mut answer = Response::new(Empty::new());
        *answer.status_mut() = status;
        if let Ok(value) = load.to_header_value().parse() {
            answer.headers_mut().insert(HEADER, value);
        }
        if never_ran && let Ok(value) = "1".parse() {
            answer.headers_mut().insert(NEVER_RAN, value);
        }
        answer
    }
}

/// A req on a core, until dropped.
struct Runs<'a>(&'a Works);

impl Runs<'_> {
    fn begin(of: &Works) -> Runs<'_> {
        of.busy(1, false);
        Runs(of)
    }
}

impl Drop for Runs<'_> {
    fn drop(&mut self) {
        self.0.busy(-1, false);
    }
}

/// Counts one up until dropped, also when the connection breaks in between.
struct Count<'a>(&'a AtomicUsize);

impl Count<'_> {
    fn up(of: &AtomicUsize) -> Count<'_> {
        of.fetch_add(1, Relaxed);
        Count(of)
    }
}

impl Drop for Count<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}
