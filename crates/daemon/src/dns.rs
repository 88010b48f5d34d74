//! The DNS server's sockets: UDP, and TCP with its two bytes of length (RFC 1035, section 4.2.2; RFC 7766).

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

/// Connections at one time; whoever connects beyond them waits in the system's own queue.
const MAX_CONNECTIONS: usize = 64;
/// A connection without a query for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Sources whose answers are counted apart.
const MAX_SOURCES: usize = 20_000;
/// Largest packet that is read, in bytes.
const MAX_PACKET: usize = 4_096;
/// The pause after an error of the UDP socket.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(10);
/// The pause after an error of the TCP listener.
const LISTENER_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Queries are reported again within this part of the time that the core reckons with.
const REPORT_INTERVAL_PART: f64 = 0.5;

/// The proxy that a query was of, and the table it was given.
type QueryKey = (Option<ProxyId>, u16);

/// When queries were reported to the core last.
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
    /// The last reports of each proxy and table: as many as there are of both at most.
    reported: Arc<Mutex<BTreeMap<QueryKey, QueryReport>>>,
    clock: Clock,
    inputs: mpsc::Sender<Input>,
    socket: Arc<UdpSocket>,
    secondaries: Arc<[SocketAddr]>,
}

/// Opens both sockets; the tasks end with the set. None if the settings have no DNS server.
///
/// # Errors
///
/// An address cannot be had, or a name of the settings cannot be one.
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
    let copies = ZoneTransfers::new(keys(dns)?);
    let limits = RateLimiter::new(dns.answers_per_second, MAX_SOURCES, clock.now());
    let endpoint = Endpoint::Tcp(dns.listen);
    let udp = UdpSocket::bind(dns.listen)
        .await
        .map_err(DaemonError::listen(&endpoint))?;
    let tcp = TcpListener::bind(dns.listen)
        .await
        .map_err(DaemonError::listen(&endpoint))?;
    let secondaries = dns.secondaries.iter();
    let server = DnsServer {
        answerer: Arc::new(Mutex::new(Answerer::new(zone, limits, copies, seed))),
        view: Arc::default(),
        reported: Arc::default(),
        clock,
        inputs,
        socket: Arc::new(udp),
        secondaries: secondaries.map(|secondary| secondary.address).collect(),
    };
    tasks.spawn(serve_udp(server.clone()));
    tasks.spawn(serve_tcp(tcp, server.clone()));
    Ok(Some(server))
}

/// The zone that the settings describe.
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

/// The networks that a proxy's queries come from.
fn sources((index, proxy): (usize, &ProxyEntry)) -> Vec<SourceNet> {
    let source = |net: &ipnet::IpNet| SourceNet {
        address: net.network(),
        prefix_bits: net.prefix_len(),
        proxy: ProxyId(index as u16),
    };
    proxy.dns_source_networks.iter().map(source).collect()
}

/// The secondaries' keys, from the files that hold their secrets.
fn keys(dns: &DnsSettings) -> Result<Vec<TsigKey>, DnsError> {
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
    /// Answers from this view from now on.
    pub(crate) fn set_view(&self, view: Arc<View>) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view.clone();
        if !self.secondaries.is_empty() {
            let zone = self.answerer().zone().clone();
            // Not under the lock: queries go on meanwhile.
            let rows = zone_rows(&zone, &view);
            self.answerer().transfers().set_zone(view.serial, rows);
        }
    }

    /// Notifies a secondary that the zone has changed. If that is lost, the core has it notified again.
    pub(crate) fn notify(&self, index: u16) {
        let message = self.answerer().notification(self.clock.now(), index);
        let address = self.secondaries.get(usize::from(index));
        if let (Some(message), Some(address)) = (message, address) {
            // Lost like any packet may be.
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

    fn reported(&self) -> MutexGuard<'_, BTreeMap<QueryKey, QueryReport>> {
        self.reported.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, from: IpAddr, transport: Transport, packet: &[u8]) -> Reply {
        let now = self.clock.now();
        let view = self.view();
        let reply = self.answerer().answer(now, from, transport, packet, &view);
        self.report_query(now, &reply, view.serial);
        reply
    }

    /// All of a reply was sent: the core is notified of what that says of a secondary.
    async fn report_sent(&self, reply: Reply) {
        for (index, observation) in reply.secondary_events {
            let input = Input::SecondaryObserved { index, observation };
            // If the daemon is gone, nobody needs to know.
            self.inputs.send(input).await.ok();
        }
    }

    /// Notifies the core of each proxy and table once in a while, not of each answer.
    fn report_query(&self, now: Time, reply: &Reply, serial: u32) {
        let proxy = reply.proxy.map(|id| id.0);
        let table = reply.table.map(|table| table.0);
        let Some(counted) = table.or(proxy.map(|_| u16::MAX)) else {
            return;
        };
        let key = (reply.proxy, counted);
        if !self.is_report_due(key, QueryReport { at: now, serial }) {
            return;
        }
        let input = Input::DnsQueried {
            proxy,
            table,
            serial,
        };
        if self.inputs.try_send(input).is_err() {
            // The next answer reports it again.
            self.reported().remove(&key);
        }
    }

    /// Whether a report is to be made now; if so it counts as made.
    fn is_report_due(&self, key: QueryKey, report: QueryReport) -> bool {
        let mut reported = self.reported();
        // Again well within the time that the core reckons with, and at once with another serial.
        let recent = reported.get(&key).is_some_and(|last| {
            last.serial == report.serial
                && report.at - last.at < DNS_QUERY_REPORT_INTERVAL.scaled(REPORT_INTERVAL_PART)
        });
        if !recent {
            reported.insert(key, report);
        }
        !recent
    }
}

async fn serve_udp(server: DnsServer) {
    let mut packet = vec![0; MAX_PACKET];
    loop {
        match server.socket.recv_from(&mut packet).await {
            Ok((length, from)) => {
                let reply = server.answer(from.ip(), Transport::Udp, &packet[..length]);
                for answer in &reply.packets {
                    // A resolver that is gone needs no answer.
                    server.socket.send_to(answer, from).await.ok();
                }
                server.report_sent(reply).await;
            }
            // What the system says of an earlier answer is no reason to stop.
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
