//! A server that answers from a copy of the zone: it hears of changes, fetches them over TCP, looks by itself now and then,
//! and can be cut off.

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

/// How often it looks by itself, and how long one fetch may take.
const LOOKS_EVERY: Duration = Duration::from_secs(2);
const FETCH_WITHIN: Duration = Duration::from_secs(2);

/// A running one. Dropping it ends it.
pub struct Secondary {
    pub addr: SocketAddr,
    /// It hears and says nothing while this is set.
    pub cut: Arc<AtomicBool>,
    state: Arc<State>,
    task: JoinHandle<()>,
}

struct State {
    zone: String,
    server: SocketAddr,
    key: TsigKey,
    copy: Mutex<ZoneCopy>,
    fetched: AtomicUsize,
    acknowledged: AtomicUsize,
}

impl Secondary {
    /// Of the zone that this server has.
    ///
    /// Errors: no socket can be had.
    pub async fn start(zone: &str, server: SocketAddr, key: TsigKey) -> std::io::Result<Secondary> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let (addr, cut) = (socket.local_addr()?, Arc::new(AtomicBool::new(false)));
        let state = Arc::new(State {
            zone: zone.into(),
            server,
            key,
            copy: Mutex::default(),
            fetched: AtomicUsize::new(0),
            acknowledged: AtomicUsize::new(0),
        });
        let task = tokio::spawn(follow(socket, cut.clone(), state.clone()));
        Ok(Secondary {
            addr,
            cut,
            state,
            task,
        })
    }

    pub fn copy(&self) -> ZoneCopy {
        self.state
            .copy
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Fetches that changed the copy, and words of changes that it answered.
    pub fn counts(&self) -> (usize, usize) {
        (
            self.state.fetched.load(Relaxed),
            self.state.acknowledged.load(Relaxed),
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

async fn follow(socket: UdpSocket, cut: Arc<AtomicBool>, state: Arc<State>) {
    let mut packet = vec![0; 4_096];
    loop {
        let heard = timeout(LOOKS_EVERY, socket.recv_from(&mut packet)).await;
        if cut.load(Relaxed) {
            continue;
        }
        if let Ok(Ok((len, from))) = heard {
            let Some(answer) = acknowledge_notification(&packet[..len], &state.key, now_s()) else {
                continue;
            };
            state.acknowledged.fetch_add(1, Relaxed);
            socket.send_to(&answer, from).await.ok();
        }
        // One that fails is tried again with the next word or look.
        timeout(FETCH_WITHIN, state.fetch()).await.ok();
    }
}

impl State {
    async fn fetch(&self) -> Option<()> {
        let mut copy = self
            .copy
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let (question, mut fetch) =
            Transfer::start(4_711, &self.zone, &copy, &self.key, now_s()).ok()?;
        let stream = TcpStream::connect(self.server).await.ok()?;
        let codec = LengthDelimitedCodec::builder()
            .length_field_type::<u16>()
            .new_codec();
        let mut wire = Framed::new(stream, codec);
        SinkExt::<&[u8]>::send(&mut wire, &question).await.ok()?;
        loop {
            let packet = wire.next().await?.ok()?;
            match fetch.apply(&packet, &mut copy).ok()? {
                TransferProgress::Incomplete => {}
                TransferProgress::Complete => {
                    self.fetched.fetch_add(1, Relaxed);
                    *self.copy.lock().unwrap_or_else(PoisonError::into_inner) = copy;
                    return Some(());
                }
                TransferProgress::UpToDate | TransferProgress::RetryOverTcp => return Some(()),
            }
        }
    }
}
