//! The DNS front's sockets: UDP, and TCP with its two bytes of length (RFC 1035, section 4.2.2; RFC 7766).

use crate::error::DaemonError;
use futures_util::{SinkExt, StreamExt};
use pondarch_config::site::{Dns, Secondary};
use pondarch_config::{Endpoint, Site};
use pondarch_controller::DurationExt;
use pondarch_controller::{ProxyId, Time};
use pondarch_daemon_core::Input;
use pondarch_daemon_core::names::TOLD_WITHIN;
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
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tracing::warn;

/// Connections at one time; whoever comes beyond waits in the system's own queue.
const CONNECTIONS_MOST: usize = 64;
/// A connection that asks nothing for this long is closed.
const IDLE: Duration = Duration::from_secs(10);
/// Sources whose answers are counted apart.
const SOURCES_MOST: usize = 20_000;
/// Largest packet that is read.
const PACKET_MOST: usize = 4_096;

/// When the core was last told of a proxy and a table: as many as there are of both at most.
type Told = BTreeMap<(Option<ProxyId>, u16), (Time, u32)>;

/// Shared by all sockets of the front.
#[derive(Clone)]
pub(crate) struct Names {
    answerer: Arc<Mutex<Answerer>>,
    view: Arc<RwLock<Arc<View>>>,
    told: Arc<Mutex<Told>>,
    clock: Clock,
    inputs: mpsc::Sender<Input>,
    socket: Arc<UdpSocket>,
    secondaries: Arc<[SocketAddr]>,
}

/// Opens both sockets; the tasks end with the set. None without a DNS front.
///
/// Errors: an address cannot be had, or a name of the settings cannot be one.
pub(crate) async fn open(
    site: &Site,
    seed: u64,
    clock: Clock,
    inputs: mpsc::Sender<Input>,
    tasks: &mut JoinSet<()>,
) -> Result<Option<Names>, DaemonError> {
    let Some(dns) = &site.dns else {
        return Ok(None);
    };
    let wrong = |text: String| DaemonError::Dns(text);
    let lifetime = dns.lifetime().map_err(|e| wrong(e.to_string()))?;
    let kinds: Vec<String> = site.kinds.iter().map(|kind| kind.name.clone()).collect();
    let proxies: Vec<String> = site
        .proxies
        .iter()
        .map(|proxy| proxy.name.clone())
        .collect();
    let of = |(n, proxy): (usize, &pondarch_config::site::Proxy)| {
        let net = |net: &ipnet::IpNet| SourceNet {
            address: net.network(),
            prefix_bits: net.prefix_len(),
            proxy: ProxyId(n as u16),
        };
        proxy.sources.iter().map(net).collect::<Vec<_>>()
    };
    let sources = site.proxies.iter().enumerate().flat_map(of).collect();
    let mut zone = Zone::new(
        &dns.zone,
        dns.listen.ip(),
        lifetime,
        &kinds,
        &proxies,
        sources,
    )
    .map_err(|e| wrong(e.to_string()))?;
    zone.expire_s = u32::try_from(dns.expires.0.micros() / 1_000_000).unwrap_or(u32::MAX);
    let copies = ZoneTransfers::new(keys(dns)?);
    let limits = RateLimiter::new(dns.answers_per_second, SOURCES_MOST, clock.now());
    let listen = |wrong| DaemonError::Listen {
        at: Endpoint::Tcp(dns.listen),
        wrong,
    };
    let udp = UdpSocket::bind(dns.listen).await.map_err(listen)?;
    let tcp = TcpListener::bind(dns.listen).await.map_err(listen)?;
    let names = Names {
        answerer: Arc::new(Mutex::new(Answerer::new(zone, limits, copies, seed))),
        view: Arc::default(),
        told: Arc::default(),
        clock,
        inputs,
        socket: Arc::new(udp),
        secondaries: dns
            .secondaries
            .iter()
            .map(|secondary| secondary.address)
            .collect(),
    };
    tasks.spawn(by_udp(names.clone()));
    tasks.spawn(by_tcp(tcp, names.clone()));
    Ok(Some(names))
}

/// The secondaries' keys, from the files that hold their secrets.
fn keys(dns: &Dns) -> Result<Vec<TsigKey>, DaemonError> {
    let key = |of: &Secondary| {
        let file = of.secret_file.display();
        let text = std::fs::read_to_string(&of.secret_file).map_err(|e| format!("{file}: {e}"))?;
        let secret = data_encoding::BASE64
            .decode(text.trim().as_bytes())
            .map_err(|e| format!("{file}: {e}"))?;
        TsigKey::new(&of.key, secret).map_err(|e| format!("{file}: {e}"))
    };
    dns.secondaries
        .iter()
        .map(key)
        .collect::<Result<_, String>>()
        .map_err(DaemonError::Dns)
}

impl Names {
    /// What is answered from now on.
    pub(crate) fn set(&self, view: Arc<View>) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view.clone();
        if !self.secondaries.is_empty() {
            let zone = self.answerer().zone().clone();
            // Not under the lock: queries go on meanwhile.
            let rows = zone_rows(&zone, &view);
            self.answerer().transfers().set_zone(view.serial, rows);
        }
    }

    /// Tells a secondary that the zone has changed. Not heard, it is told again: the core sees to that.
    pub(crate) fn say_changed(&self, n: u16) {
        let word = self.answerer().notification(self.clock.now(), n);
        if let (Some(word), Some(to)) = (word, self.secondaries.get(usize::from(n))) {
            self.socket.try_send_to(&word, *to).ok();
        }
    }

    fn answerer(&self) -> MutexGuard<'_, Answerer> {
        self.answerer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, from: IpAddr, over: Transport, packet: &[u8]) -> Reply {
        let (now, view) = (
            self.clock.now(),
            self.view
                .read()
                .unwrap_or_else(PoisonError::into_inner)
                .clone(),
        );
        let reply = self.answerer().answer(now, from, over, packet, &view);
        self.tell(now, &reply, view.serial);
        reply
    }

    /// All of a reply was sent: what it says of a secondary is so. Untold it would be told again.
    async fn sent(&self, reply: Reply) {
        for (n, heard) in reply.secondary_events {
            self.inputs.send(Input::Secondary { n, heard }).await.ok();
        }
    }

    /// The core hears of each proxy and table once in a while, not of each answer.
    fn tell(&self, now: Time, reply: &Reply, serial: u32) {
        let Some(table) = reply
            .table
            .map(|table| table.0)
            .or(reply.proxy.map(|_| u16::MAX))
        else {
            return;
        };
        {
            let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
            let last = told.get(&(reply.proxy, table)).copied();
            // Told again well within the time that the core reckons with, and at once of another serial.
            if last.is_some_and(|(at, of)| of == serial && now - at < TOLD_WITHIN.scaled(0.5)) {
                return;
            }
            told.insert((reply.proxy, table), (now, serial));
        }
        let (proxy, given) = (reply.proxy.map(|id| id.0), reply.table.map(|table| table.0));
        let input = Input::AskedByName {
            proxy,
            table: given,
            serial,
        };
        if self.inputs.try_send(input).is_err() {
            // The next answer tells it again.
            let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
            told.remove(&(reply.proxy, table));
        }
    }
}

async fn by_udp(names: Names) {
    let mut packet = vec![0; PACKET_MOST];
    loop {
        match names.socket.recv_from(&mut packet).await {
            Ok((len, from)) => {
                let reply = names.answer(from.ip(), Transport::Udp, &packet[..len]);
                for answer in &reply.packets {
                    // An asker that is gone needs no answer.
                    names.socket.send_to(answer, from).await.ok();
                }
                names.sent(reply).await;
            }
            // What the system says of an earlier answer is no reason to stop.
            Err(wrong) => {
                warn!(%wrong, "DNS socket");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn by_tcp(listener: TcpListener, names: Names) {
    let (places, mut connections) = (Arc::new(Semaphore::new(CONNECTIONS_MOST)), JoinSet::new());
    loop {
        while connections.try_join_next().is_some() {}
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, from)) => {
                let names = names.clone();
                connections.spawn(async move {
                    talk(stream, from.ip(), names).await;
                    drop(place);
                });
            }
            Err(wrong) => {
                warn!(%wrong, "DNS listener");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn talk(stream: TcpStream, from: IpAddr, names: Names) {
    let codec = LengthDelimitedCodec::builder()
        .length_field_type::<u16>()
        .max_frame_length(usize::from(u16::MAX))
        .new_codec();
    let mut wire = Framed::new(stream, codec);
    while let Ok(Some(Ok(packet))) = timeout(IDLE, wire.next()).await {
        let reply = names.answer(from, Transport::Tcp, &packet);
        if reply.packets.is_empty() {
            return;
        }
        for answer in &reply.packets {
            let sent = timeout(IDLE, SinkExt::<&[u8]>::send(&mut wire, answer)).await;
            if !matches!(sent, Ok(Ok(()))) {
                return;
            }
        }
        names.sent(reply).await;
    }
}
