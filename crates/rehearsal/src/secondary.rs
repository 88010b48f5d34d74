//! A simulated DNS secondary, which serves a copy of the zone: it answers notifications of changes, transfers the
//! zone over TCP, refreshes periodically, and can be isolated from the network.

use futures_util::{SinkExt, StreamExt};
use pondarch_dns_server::TsigKey;
use pondarch_dns_server::secondary::{
    Transfer, TransferProgress, ZoneCopy, acknowledge_notification,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpStream, UdpSocket};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Time without a notification after which it checks for changes.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Time limit of one zone transfer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// A running DNS secondary. Dropping it stops it.
pub struct Secondary {
    pub addr: SocketAddr,
    /// While set, it ignores notifications and starts no transfers.
    pub isolated: Arc<AtomicBool>,
    state: Arc<State>,
    task: JoinHandle<()>,
}

struct State {
    zone: String,
    server: SocketAddr,
    key: TsigKey,
    copy: Mutex<ZoneCopy>,
    completed_transfers: AtomicUsize,
    acknowledged_notifications: AtomicUsize,
}

impl Secondary {
    /// Starts a secondary of `zone`, with `server` as its primary.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened.
    pub async fn start(zone: &str, server: SocketAddr, key: TsigKey) -> std::io::Result<Secondary> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let (addr, isolated) = (socket.local_addr()?, Arc::new(AtomicBool::new(false)));
        let state = Arc::new(State {
            zone: zone.into(),
            server,
            key,
            copy: Mutex::default(),
            completed_transfers: AtomicUsize::new(0),
            acknowledged_notifications: AtomicUsize::new(0),
        });
        let task = tokio::spawn(follow_zone(socket, isolated.clone(), state.clone()));
        Ok(Secondary {
            addr,
            isolated,
            state,
            task,
        })
    }

    /// The current copy of the zone.
    pub fn zone_copy(&self) -> ZoneCopy {
        self.state
            .copy
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Number of transfers that changed the copy, and number of notifications acknowledged.
    pub fn transfer_and_notification_counts(&self) -> (usize, usize) {
        (
            self.state.completed_transfers.load(Relaxed),
            self.state.acknowledged_notifications.load(Relaxed),
        )
    }
}

impl Drop for Secondary {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn now_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}

async fn follow_zone(socket: UdpSocket, isolated: Arc<AtomicBool>, state: Arc<State>) {
    let mut packet = vec![0; 4_096];
    loop {
        let received = timeout(REFRESH_INTERVAL, socket.recv_from(&mut packet)).await;
        if isolated.load(Relaxed) {
            continue;
        }
        if let Ok(Ok((len, from))) = received {
            let Some(response) = acknowledge_notification(&packet[..len], &state.key, now_s())
            else {
                continue;
            };
            state.acknowledged_notifications.fetch_add(1, Relaxed);
            socket.send_to(&response, from).await.ok();
        }
        // A failed transfer is retried at the next notification or refresh.
        timeout(TRANSFER_TIMEOUT, state.transfer()).await.ok();
    }
}

impl State {
    async fn transfer(&self) -> Option<()> {
        let mut copy = self
            .copy
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let (query, mut transfer) =
            Transfer::start(4_711, &self.zone, &copy, &self.key, now_s()).ok()?;
        let stream = TcpStream::connect(self.server).await.ok()?;
        let codec = LengthDelimitedCodec::builder()
            .length_field_type::<u16>()
            .new_codec();
        let mut connection = Framed::new(stream, codec);
        SinkExt::<&[u8]>::send(&mut connection, &query).await.ok()?;
        loop {
            let packet = connection.next().await?.ok()?;
            match transfer.apply(&packet, &mut copy).ok()? {
                TransferProgress::Incomplete => {}
                TransferProgress::Complete => {
                    self.completed_transfers.fetch_add(1, Relaxed);
                    *self.copy.lock().unwrap_or_else(PoisonError::into_inner) = copy;
                    return Some(());
                }
                TransferProgress::UpToDate | TransferProgress::RetryOverTcp => return Some(()),
            }
        }
    }
}
