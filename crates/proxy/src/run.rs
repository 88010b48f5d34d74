//! Start, reload, drain and stop.

use crate::forward::Forwarder;
use crate::load_reports;
use crate::request_framing::{HeadScanner, ScannedStream};
use crate::runtime_api::RuntimeApiHandler;
use crate::shared_state::SharedState;
use hyper::service::service_fn;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use pondarch_config::hosts::HostState;
use pondarch_config::{Endpoint, HostEntry, ProxySettings, SettingsError, read_hosts, read_proxy};
use pondarch_proxy_core::policy::StaticHost;
use pondarch_transport::{Listener, serve};
use std::convert::Infallible;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

/// Why a proxy cannot run.
#[derive(Debug, Error)]
pub enum ProxyError {
    /// The settings or the list of hosts cannot be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A socket cannot be opened.
    #[error("cannot listen at {endpoint}: {error}")]
    Listen {
        /// Where the proxy was to listen.
        endpoint: Endpoint,
        /// The error of the system.
        error: std::io::Error,
    },
    /// Signal handlers cannot be installed.
    #[error("cannot follow signals: {0}")]
    Signals(std::io::Error),
}

/// A running proxy. Dropping it stops it at once; [`RunningProxy::drain`] lets requests in flight end first.
pub struct RunningProxy {
    /// Where it listens for requests.
    pub addr: SocketAddr,
    shared: Arc<SharedState>,
    draining: CancellationToken,
    accept_task: Option<JoinHandle<()>>,
    /// The listeners of the runtime API and the senders of load reports.
    background_tasks: JoinSet<()>,
}

/// Starts a proxy.
///
/// Errors: the list of hosts cannot be read, or a socket cannot be opened.
#[expect(
    clippy::too_many_lines,
    reason = "one sequence: sockets, background tasks, HTTP client"
)]
pub async fn start(site: &ProxySettings) -> Result<RunningProxy, ProxyError> {
    let now_us = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64;
    let seed = site.seed.unwrap_or(now_us ^ u64::from(std::process::id()));
    let host_list = read_hosts(&site.hosts_file, &site.zones)?;
    let static_hosts = choose_static_hosts(site, &host_list.hosts, seed);
    let shared = Arc::new(SharedState::new(site, &static_hosts, seed));
    let listen_error = |error| ProxyError::Listen {
        endpoint: Endpoint::Tcp(site.listen),
        error,
    };
    let listener = TcpListener::bind(site.listen).await.map_err(listen_error)?;
    let addr = listener.local_addr().map_err(listen_error)?;
    let mut background_tasks = JoinSet::new();
    let handler = RuntimeApiHandler {
        shared: shared.clone(),
        connections: Arc::default(),
    };
    for listener_settings in &site.runtime_api {
        let listen_error = |error| ProxyError::Listen {
            endpoint: listener_settings.listen.clone(),
            error,
        };
        let listener = Listener::bind(&listener_settings.listen)
            .await
            .map_err(listen_error)?;
        background_tasks.spawn(serve(
            listener,
            listener_settings.level.into(),
            handler.clone(),
        ));
    }
    for endpoint in &site.report_endpoints {
        let (name, period) = (site.name.clone(), site.report_interval.as_std());
        background_tasks.spawn(load_reports::send_load_reports(
            endpoint.clone(),
            name,
            period,
            shared.clone(),
        ));
    }
    let mut http = HttpConnector::new();
    http.set_connect_timeout(Some(site.limits.connect_timeout.as_std()));
    http.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(site.limits.idle_timeout.as_std())
        .pool_max_idle_per_host(site.limits.max_in_flight_per_host)
        // The proxy core decides whether to retry.
        .retry_canceled_requests(false)
        .set_host(false)
        .build(http);
    let name = site
        .name
        .parse()
        .unwrap_or(hyper::header::HeaderValue::from_static("proxy"));
    let forwarder = Forwarder {
        shared: shared.clone(),
        client,
        name,
    };
    let draining = CancellationToken::new();
    info!(name = site.name, %addr, hosts = static_hosts.len(), seed, "proxy started with its static hosts");
    let accept_task = Some(tokio::spawn(accept_connections(
        listener,
        forwarder,
        draining.clone(),
    )));
    Ok(RunningProxy {
        addr,
        shared,
        draining,
        accept_task,
        background_tasks,
    })
}

/// The hosts to use until a controller sends a table: a random choice of the ready hosts of the proxy's zone, or of all
/// zones if its own has fewer than three.
fn choose_static_hosts(site: &ProxySettings, hosts: &[HostEntry], seed: u64) -> Vec<StaticHost> {
    let ready_hosts = || hosts.iter().filter(|host| host.state == HostState::Ready);
    let mut candidates: Vec<&HostEntry> = ready_hosts()
        .filter(|host| host.zone == site.zone)
        .collect();
    if candidates.len() < 3 {
        candidates = ready_hosts().collect();
    }
    candidates.sort_by(|a, b| a.name.cmp(&b.name));
    // The proxy's name is part of the seed, so that proxies with the same seed choose different hosts.
    let mut hasher = DefaultHasher::new();
    (seed, &site.name).hash(&mut hasher);
    fastrand::Rng::with_seed(hasher.finish()).shuffle(&mut candidates);
    candidates
        .into_iter()
        .take(site.max_static_hosts)
        .map(|host| StaticHost {
            name: host.name.clone(),
            address: host.address,
        })
        .collect()
}

async fn accept_connections(
    listener: TcpListener,
    forwarder: Forwarder,
    draining: CancellationToken,
) {
    let limits = forwarder.shared.limits();
    let connection_slots = Arc::new(Semaphore::new(limits.max_connections));
    let mut connections = JoinSet::new();
    loop {
        let slot = tokio::select! {
            () = draining.cancelled() => break,
            Some(_) = connections.join_next() => continue,
            Ok(slot) = connection_slots.clone().acquire_owned() => slot,
        };
        let accepted = tokio::select! {
            () = draining.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let (forwarder, draining) = (forwarder.clone(), draining.clone());
                connections.spawn(async move {
                    serve_connection(stream, forwarder, draining).await;
                    drop(slot);
                });
            }
            // For example, no file descriptors are left: retry after a pause instead of in a busy loop.
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(stream: TcpStream, forwarder: Forwarder, draining: CancellationToken) {
    stream.set_nodelay(true).ok();
    let limits = forwarder.shared.limits();
    let scanner = HeadScanner::new(limits.max_head_bytes);
    let framing = scanner.flags();
    let service = service_fn(move |request| {
        let (forwarder, framing) = (forwarder.clone(), framing.clone());
        async move { Ok::<_, Infallible>(forwarder.serve(request, framing).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout.as_std())
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(TokioIo::new(ScannedStream::new(stream, scanner)), service);
    tokio::pin!(connection);
    tokio::select! {
        // An error here is a client that disconnected or sent malformed data; no further response is possible.
        _ = connection.as_mut() => return,
        () = draining.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    connection.await.ok();
}

impl RunningProxy {
    /// Applies another routing policy and other limits at once; requests in flight are not affected.
    pub fn reload(&self, site: &ProxySettings) {
        self.shared.reload(site);
    }

    /// Accepts no new connections and waits for requests in flight, up to the time limit of the settings.
    pub async fn drain(mut self) {
        self.draining.cancel();
        let time_limit = self.shared.limits().drain_timeout.as_std();
        if let Some(accept_task) = &mut self.accept_task
            && tokio::time::timeout(time_limit, accept_task).await.is_err()
        {
            warn!("requests were still in flight at the end of the drain");
        }
        self.background_tasks.shutdown().await;
    }
}

impl Drop for RunningProxy {
    fn drop(&mut self) {
        if let Some(accept_task) = &self.accept_task {
            accept_task.abort();
        }
    }
}

/// Runs a proxy until SIGTERM or SIGINT; SIGHUP reloads the settings.
///
/// Errors: as [`start`], or the settings cannot be read at the start. Settings that fail to reload are logged, and the
/// current ones stay in force.
pub async fn run(settings: &Path) -> Result<(), ProxyError> {
    let site = read_proxy(settings)?;
    let running = start(&site).await?;
    let mut sigterm = signal(SignalKind::terminate()).map_err(ProxyError::Signals)?;
    let mut sigint = signal(SignalKind::interrupt()).map_err(ProxyError::Signals)?;
    let mut sighup = signal(SignalKind::hangup()).map_err(ProxyError::Signals)?;
    loop {
        tokio::select! {
            _ = sigterm.recv() => break,
            _ = sigint.recv() => break,
            _ = sighup.recv() => match read_proxy(settings) {
                Ok(new_site) if new_site.request_classes != site.request_classes || new_site.listen != site.listen => {
                    warn!("request classes and the listen address cannot change without a restart; nothing was reloaded");
                }
                Ok(new_site) => {
                    running.reload(&new_site);
                    info!("settings reloaded");
                }
                Err(error) => warn!(wrong = %error, "settings rejected; the current ones stay in force"),
            },
        }
    }
    info!("proxy is draining");
    running.drain().await;
    Ok(())
}
