//! A running proxy, hosts that do as they are told, and a client that writes bytes.

use pondarch_config::read_proxy;
use pondarch_proxy::{Running, start};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UnixStream};
use tokio::task::JoinHandle;

/// What a host does with each req.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Does {
    Answers,
    /// With its load in the head.
    TellsLoad,
    /// Only after so many milliseconds.
    Slowly(u64),
    /// Head and length, and never the body.
    HeadOnly,
    /// Reads the req and closes.
    Closes,
    Refuses,
    RefusesUnrun,
}

pub(crate) struct Host {
    pub addr: SocketAddr,
    pub does: Arc<Mutex<Does>>,
    /// Heads of the reqs that came.
    pub heads: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl Host {
    pub(crate) async fn start(does: Does) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let does = Arc::new(Mutex::new(does));
        let heads = Arc::new(Mutex::new(Vec::new()));
        let (does_now, heads_now) = (does.clone(), heads.clone());
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(connection(stream, does_now.clone(), heads_now.clone()));
            }
        });
        Host {
            addr,
            does,
            heads,
            task,
        }
    }

    /// The numbers (`x-req`) of the reqs that may have taken effect here.
    pub(crate) fn effects(&self) -> Vec<u64> {
        let heads = self.heads.lock().expect("heads");
        let number = |head: &String| {
            head.lines()
                .find_map(|line| line.strip_prefix("x-req: "))?
                .parse()
                .ok()
        };
        heads
            .iter()
            .filter(|head| !head.contains("x-unrun"))
            .filter_map(number)
            .collect()
    }

    pub(crate) fn reqs(&self) -> usize {
        self.heads.lock().expect("heads").len()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn connection(mut stream: TcpStream, does: Arc<Mutex<Does>>, heads: Arc<Mutex<Vec<String>>>) {
    let mut bytes = Vec::new();
    loop {
        let mut piece = [0; 8192];
        match stream.read(&mut piece).await {
            Ok(0) | Err(_) => return,
            Ok(read) => bytes.extend_from_slice(&piece[..read]),
        }
        let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(0, |l| l.parse().unwrap_or(0));
        if bytes.len() < end + 4 + length {
            continue;
        }
        bytes.drain(..end + 4 + length);
        let now = *does.lock().expect("does");
        let unrun = if now == Does::RefusesUnrun {
            "\nx-unrun"
        } else {
            ""
        };
        heads.lock().expect("heads").push(format!("{head}{unrun}"));
        let answer: &str = match now {
            Does::Answers => "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
            Does::TellsLoad => {
                "HTTP/1.1 200 OK\r\nendpoint-load-metrics: TEXT cpu_utilization=0.5, named_metrics.queue=4\r\n\
                 content-length: 2\r\n\r\nok"
            }
            Does::Slowly(ms) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
            }
            Does::HeadOnly => "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n",
            Does::Closes => return,
            Does::Refuses => "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n",
            Does::RefusesUnrun => {
                "HTTP/1.1 503 Busy\r\nx-never-ran: 1\r\ncontent-length: 0\r\n\r\n"
            }
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

pub(crate) struct Stage {
    pub proxy: Running,
    pub folder: tempfile::TempDir,
    steward: UnixStream,
    number: u64,
}

/// Kinds: `proof` may run again, `release` must not; both may take 1 s.
pub(crate) const SITE: &str = "{
    name: 'front', zone: 'ede', zones: ['ede'], listen: '127.0.0.1:0',
    runtime_api: [{ listen: 'unix:front.sock', level: 'admin' }],
    kinds: [
        { name: k[0], path_prefix: '/' + k[0], response_target: '500 ms', client_timeout: '1 s', benefit: k[2], repeats: k[1] }
        for k in [['proof', 'replayable', 1], ['release', 'non-replayable', 3]]
    ],
    hosts_file: 'hosts.jsonnet', seed: 5,
    limits: { head_within: '300 ms', last_ready_for: '600 ms' },
}";

impl Stage {
    pub(crate) async fn start(standing: &[&Host], site: &str) -> Stage {
        let folder = tempfile::tempdir().expect("a folder");
        let host = |(n, host): (usize, &&Host)| {
            format!("{{ name: 'h{n}', address: '{}', zone: 'ede' }}", host.addr)
        };
        let hosts: Vec<String> = standing.iter().enumerate().map(host).collect();
        std::fs::write(
            folder.path().join("hosts.jsonnet"),
            format!("{{ hosts: [{}] }}", hosts.join(",")),
        )
        .expect("a list");
        std::fs::write(folder.path().join("site.jsonnet"), site).expect("settings");
        let site = read_proxy(&folder.path().join("site.jsonnet")).expect("good settings");
        let proxy = start(&site).await.expect("a proxy");
        let steward = Stage::dial(folder.path().join("front.sock")).await;
        Stage {
            proxy,
            folder,
            steward,
            number: 0,
        }
    }

    async fn dial(socket: PathBuf) -> UnixStream {
        let mut stream = UnixStream::connect(socket)
            .await
            .expect("the runtime socket");
        talk(&mut stream, "prompt i", 1).await;
        stream
    }

    pub(crate) async fn another_steward(&self) -> UnixStream {
        Stage::dial(self.folder.path().join("front.sock")).await
    }

    /// Orders of the next version; gives the answers.
    pub(crate) async fn order(&mut self, commands: &[String]) -> String {
        self.number += 1;
        let version = format!("add map pond_state table steward:1/{}", self.number);
        let line = std::iter::once(&version)
            .chain(commands)
            .cloned()
            .collect::<Vec<_>>()
            .join("; ");
        talk(&mut self.steward, &line, commands.len() + 1).await
    }

    pub(crate) async fn say(&mut self, line: &str) -> String {
        let many = line.split(';').count();
        talk(&mut self.steward, line, many).await
    }

    pub(crate) async fn info(&mut self, name: &str) -> String {
        let text = self.say("show info").await;
        pondarch_runtime_api::info::Info::read(&text)
            .get(name)
            .unwrap_or("")
            .to_string()
    }

    /// Tries done and errored, by host, of a kind.
    pub(crate) async fn sums(&mut self, kind: &str) -> BTreeMap<String, (u64, u64)> {
        let text = self.say("show stat").await;
        let rows = pondarch_runtime_api::stat::read(text.trim_end()).expect("stat");
        let of = rows
            .into_iter()
            .filter(|row| row.backend == kind && row.server != "BACKEND");
        of.map(|row| {
            (
                row.server.clone(),
                (row.attempt_totals().succeeded, row.attempt_totals().failed),
            )
        })
        .collect()
    }

    pub(crate) async fn get(&self, path: &str) -> (u16, String) {
        let req = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        send(self.proxy.addr, req.as_bytes()).await
    }
}

/// `add server` and ready, for a kind.
pub(crate) fn add(kind: &str, name: &str, host: &Host, weight: u16) -> [String; 2] {
    [
        format!("add server {kind}/{name} {} weight {weight}", host.addr),
        format!("set server {kind}/{name} state ready"),
    ]
}

/// Sends a line and reads as many answers.
pub(crate) async fn talk(stream: &mut UnixStream, line: &str, answers: usize) -> String {
    stream
        .write_all(format!("{line}\n").as_bytes())
        .await
        .expect("written");
    let mut text = String::new();
    let mut bytes = vec![0; 65_536];
    let ended = |text: &str| {
        let mut lines = text.split('\n').peekable();
        let mut ends = 0;
        while let Some(line) = lines.next() {
            ends += usize::from(line.is_empty() && lines.peek().is_some());
        }
        ends
    };
    while ended(&text) < answers {
        let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut bytes))
            .await
            .expect("an answer");
        let read = read.expect("read");
        assert!(read > 0, "closed after {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    text
}

/// Sends bytes, and reads until the proxy closes: status and all of the text.
pub(crate) async fn send(addr: SocketAddr, bytes: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(addr).await.expect("the proxy");
    // It may answer and close before all is written.
    stream.write_all(bytes).await.ok();
    let mut text = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(10), stream.read_to_end(&mut text)).await;
    read.expect("an end").ok();
    let text = String::from_utf8_lossy(&text).into_owned();
    let status = text
        .split_whitespace()
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    (status, text)
}
