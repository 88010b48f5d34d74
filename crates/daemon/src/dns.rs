//! The DNS server's sockets: UDP, and TCP with a two-byte length prefix (RFC 1035, section 4.2.2; RFC 7766).

use crate::error::{DaemonError, DnsError, SecretError};
use futures_util::{SinkExt, StreamExt};
use pondarch_config::site::{DnsSettings, ProxyEntry, Secondary};
use pondarch_config::{Endpoint, SiteSettings};
use pondarch_controller::{DurationExt, ProxyId, Time};
use pondarch_daemon_core::{DNS_QUERY_REPORT_INTERVAL, Input};
use pondarch_dns_core::RateLimiter;
use pondarch_dns_server::{
    Answerer, Reply, SourceNet, Transport, TsigKey, View, Zone, ZoneTransfers, zone_rows,
};
use pondarch_io_util::Clock;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tracing::warn;

/// Maximum number of concurrent TCP connections; further ones wait in the system's accept queue.
const MAX_CONNECTIONS: usize = 64;
/// A TCP connection without a query for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of source addresses that the rate limiter tracks individually.
const MAX_TRACKED_SOURCES: usize = 20_000;
/// Maximum size of a UDP query, in bytes.
const MAX_PACKET_BYTES: usize = 4_096;
/// Delay after an error of the UDP socket.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Delay after an error of the TCP listener.
const LISTENER_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Queries are reported at this fraction of [`DNS_QUERY_REPORT_INTERVAL`], the interval that the core expects.
const REPORT_INTERVAL_FRACTION: f64 = 0.5;

/// The proxy that sent a query, and the table that it was answered with.
type QueryKey = (Option<ProxyId>, u16);

/// The last report of a query to the core.
#[derive(Clone, Copy)]
struct QueryReport {
    at: Time,
    serial: u32,
}

/// The DNS server, shared by all of its sockets.
#[derive(Clone)]
pub(crate) struct DnsServer {
    answerer: Arc<Mutex<Answerer>>,
    view: Arc<RwLock<Arc<View>>>,
    /// The last report for each proxy and table. The size is bounded by the number of proxies and tables.
    last_reports: Arc<Mutex<BTreeMap<QueryKey, QueryReport>>>,
    clock: Clock,
    inputs: mpsc::Sender<Input>,
    socket: Arc<UdpSocket>,
    secondaries: Arc<[SocketAddr]>,
}

/// Opens both sockets and serves them in tasks of the set. Returns `None` if the settings have no DNS server.
///
/// # Errors
///
/// The address cannot be bound, or the DNS settings cannot be used.
pub(crate) async fn open(
    site: &SiteSettings,
    seed: u64,
    clock: Clock,
    inputs: mpsc::Sender<Input>,
    tasks: &mut JoinSet<()>,
) -> Result<Option<DnsServer>, DaemonError> {
    let Some(dns) = &site.dns else {
        return Ok(None);
    };
    let zone = zone(site, dns)?;
    let transfers = ZoneTransfers::new(read_keys(dns)?);
    let rate_limiter = RateLimiter::new(dns.answers_per_second, MAX_TRACKED_SOURCES, clock.now());
    let endpoint = Endpoint::Tcp(dns.listen);
    let udp = UdpSocket::bind(dns.listen)
        .await
        .map_err(DaemonError::listen(&endpoint))?;
    let tcp = TcpListener::bind(dns.listen)
        .await
        .map_err(DaemonError::listen(&endpoint))?;
    let secondaries = dns.secondaries.iter();
    let server = DnsServer {
        answerer: Arc::new(Mutex::new(Answerer::new(
            zone,
            rate_limiter,
            transfers,
            seed,
        ))),
        view: Arc::default(),
        last_reports: Arc::default(),
        clock,
        inputs,
        socket: Arc::new(udp),
        secondaries: secondaries.map(|secondary| secondary.address).collect(),
    };
    tasks.spawn(serve_udp(server.clone()));
    tasks.spawn(serve_tcp(tcp, server.clone()));
    Ok(Some(server))
}

/// The DNS zone that the settings describe.
fn zone(site: &SiteSettings, dns: &DnsSettings) -> Result<Zone, DnsError> {
    let lifetime = dns.answer_lifetime()?;
    let classes: Vec<String> = site
        .request_classes
        .iter()
        .map(|class| class.name.clone())
        .collect();
    let proxies: Vec<String> = site
        .proxies
        .iter()
        .map(|proxy| proxy.name.clone())
        .collect();
    let sources = site.proxies.iter().enumerate().flat_map(sources).collect();
    let server = dns.listen.ip();
    let mut zone = Zone::new(&dns.zone, server, lifetime, &classes, &proxies, sources)?;
    zone.expire_s = u32::try_from(dns.secondary_expiry.0.micros() / 1_000_000).unwrap_or(u32::MAX);
    Ok(zone)
}

/// The source networks of a proxy's queries.
fn sources((index, proxy): (usize, &ProxyEntry)) -> Vec<SourceNet> {
    let source = |net: &ipnet::IpNet| SourceNet {
        address: net.network(),
        prefix_bits: net.prefix_len(),
        proxy: ProxyId(index as u16),
    };
    proxy.dns_source_networks.iter().map(source).collect()
}

/// Reads the secondaries' TSIG keys from their secret files.
fn read_keys(dns: &DnsSettings) -> Result<Vec<TsigKey>, DnsError> {
    let key = |secondary: &Secondary| {
        read_key(secondary).map_err(|source| DnsError::Secret {
            file: secondary.secret_file.clone(),
            source,
        })
    };
    dns.secondaries.iter().map(key).collect()
}

fn read_key(secondary: &Secondary) -> Result<TsigKey, SecretError> {
    let text = std::fs::read_to_string(&secondary.secret_file)?;
    let secret = data_encoding::BASE64.decode(text.trim().as_bytes())?;
    Ok(TsigKey::new(&secondary.key_name, secret)?)
}

impl DnsServer {
    /// Replaces the view that queries are answered from.
    pub(crate) fn set_view(&self, view: Arc<View>) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view.clone();
        if !self.secondaries.is_empty() {
            let zone = self.answerer().zone().clone();
            // Computed without holding the lock, so that queries are answered meanwhile.
            let rows = zone_rows(&zone, &view);
            self.answerer().transfers().set_zone(view.serial, rows);
        }
    }

    /// Notifies a secondary that the zone has changed. If the notification is lost, the core requests it again.
    pub(crate) fn notify(&self, index: u16) {
        let message = self.answerer().notification(self.clock.now(), index);
        let address = self.secondaries.get(usize::from(index));
        if let (Some(message), Some(address)) = (message, address) {
            // A send error is handled like packet loss.
            self.socket.try_send_to(&message, *address).ok();
        }
    }

    fn answerer(&self) -> MutexGuard<'_, Answerer> {
        self.answerer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn view(&self) -> Arc<View> {
        self.view
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn last_reports(&self) -> MutexGuard<'_, BTreeMap<QueryKey, QueryReport>> {
        self.last_reports
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, from: IpAddr, transport: Transport, packet: &[u8]) -> Reply {
        let now = self.clock.now();
        let view = self.view();
        let reply = self.answerer().answer(now, from, transport, packet, &view);
        self.report_query(now, &reply, view.serial);
        reply
    }

    /// Notifies the core of a secondary's events once the complete reply has been sent.
    async fn report_sent(&self, reply: Reply) {
        for (index, observation) in reply.secondary_events {
            let input = Input::SecondaryObserved { index, observation };
            // The error is ignored because the daemon may have stopped.
            self.inputs.send(input).await.ok();
        }
    }

    /// Notifies the core of a query, at a limited rate for each proxy and table.
    fn report_query(&self, now: Time, reply: &Reply, serial: u32) {
        let proxy = reply.proxy.map(|id| id.0);
        let table = reply.table.map(|table| table.0);
        let Some(table_key) = table.or(proxy.map(|_| u16::MAX)) else {
            return;
        };
        let key = (reply.proxy, table_key);
        if !self.is_report_due(key, QueryReport { at: now, serial }) {
            return;
        }
        let input = Input::DnsQueried {
            proxy,
            table,
            serial,
        };
        if self.inputs.try_send(input).is_err() {
            // The input queue is full; the next query is reported instead.
            self.last_reports().remove(&key);
        }
    }

    /// Whether a report is due now. If so, it is stored as the last report.
    fn is_report_due(&self, key: QueryKey, report: QueryReport) -> bool {
        let mut last_reports = self.last_reports();
        // Due well within the interval that the core expects, and at once when the serial has changed.
        let recent = last_reports.get(&key).is_some_and(|last| {
            last.serial == report.serial
                && report.at - last.at < DNS_QUERY_REPORT_INTERVAL.scaled(REPORT_INTERVAL_FRACTION)
        });
        if !recent {
            last_reports.insert(key, report);
        }
        !recent
    }
}

async fn serve_udp(server: DnsServer) {
    let mut packet = vec![0; MAX_PACKET_BYTES];
    loop {
        match server.socket.recv_from(&mut packet).await {
            Ok((length, from)) => {
                let reply = server.answer(from.ip(), Transport::Udp, &packet[..length]);
                for answer in &reply.packets {
                    // The error is ignored because the resolver may no longer be there.
                    server.socket.send_to(answer, from).await.ok();
                }
                server.report_sent(reply).await;
            }
            // The error may concern an earlier answer, so serving continues.
            Err(error) => {
                warn!(%error, "DNS socket failed");
                sleep(SOCKET_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_tcp(listener: TcpListener, server: DnsServer) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, from)) => {
                let server = server.clone();
                connections.spawn(async move {
                    serve_connection(stream, from.ip(), server).await;
                    drop(permit);
                });
            }
            Err(error) => {
                warn!(%error, "DNS listener failed");
                sleep(LISTENER_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, from: IpAddr, server: DnsServer) {
    let codec = LengthDelimitedCodec::builder()
        .length_field_type::<u16>()
        .max_frame_length(usize::from(u16::MAX))
        .new_codec();
    let mut framed = Framed::new(stream, codec);
    while let Ok(Some(Ok(packet))) = timeout(IDLE_TIMEOUT, framed.next()).await {
        let reply = server.answer(from, Transport::Tcp, &packet);
        if reply.packets.is_empty() {
            return;
        }
        for answer in &reply.packets {
            let sent = timeout(IDLE_TIMEOUT, SinkExt::<&[u8]>::send(&mut framed, answer)).await;
            if !matches!(sent, Ok(Ok(()))) {
                return;
            }
        }
        server.report_sent(reply).await;
    }
}
