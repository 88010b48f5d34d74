//! Test harness: a running proxy, hosts with a set behavior, and a client that writes raw bytes.

use pondarch_config::read_proxy;
use pondarch_proxy::{RunningProxy, start};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UnixStream};
use tokio::task::JoinHandle;

/// What a host does with each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum HostBehavior {
    /// Responds with success.
    Responds,
    /// Responds with its load in a header.
    RespondsWithLoad,
    /// Responds after this many milliseconds.
    RespondsAfter(u64),
    /// Sends a head with a length, and never the body.
    SendsHeadOnly,
    /// Reads the request and closes the connection.
    Closes,
    /// Responds with an error.
    Rejects,
    /// Responds with an error, and states that it has not processed the request.
    RejectsUnprocessed,
}

/// A host that serves requests over real sockets.
pub(crate) struct Host {
    pub addr: SocketAddr,
    pub behavior: Arc<Mutex<HostBehavior>>,
    /// Heads of the requests that arrived.
    pub request_heads: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl Host {
    pub(crate) async fn start(behavior: HostBehavior) -> Host {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let behavior = Arc::new(Mutex::new(behavior));
        let request_heads = Arc::new(Mutex::new(Vec::new()));
        let (task_behavior, task_heads) = (behavior.clone(), request_heads.clone());
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                connections.spawn(serve_connection(
                    stream,
                    task_behavior.clone(),
                    task_heads.clone(),
                ));
            }
        });
        Host {
            addr,
            behavior,
            request_heads,
            task,
        }
    }

    /// The numbers (header `x-req`) of the requests that may have taken effect at this host.
    pub(crate) fn possible_effects(&self) -> Vec<u64> {
        let request_heads = self.request_heads.lock().expect("a lock");
        let number = |head: &String| {
            head.lines()
                .find_map(|line| line.strip_prefix("x-req: "))?
                .parse()
                .ok()
        };
        request_heads
            .iter()
            .filter(|head| !head.contains("x-unrun"))
            .filter_map(number)
            .collect()
    }

    pub(crate) fn request_count(&self) -> usize {
        self.request_heads.lock().expect("a lock").len()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    behavior: Arc<Mutex<HostBehavior>>,
    request_heads: Arc<Mutex<Vec<String>>>,
) {
    let mut bytes = Vec::new();
    loop {
        let mut chunk = [0; 8192];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(read) => bytes.extend_from_slice(&chunk[..read]),
        }
        let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .map_or(0, |value| value.parse().unwrap_or(0));
        if bytes.len() < end + 4 + length {
            continue;
        }
        bytes.drain(..end + 4 + length);
        let current = *behavior.lock().expect("a lock");
        // Marks requests that are rejected as unprocessed, for `possible_effects`.
        let mark = if current == HostBehavior::RejectsUnprocessed {
            "\nx-unrun"
        } else {
            ""
        };
        request_heads
            .lock()
            .expect("a lock")
            .push(format!("{head}{mark}"));
        let response: &str = match current {
            HostBehavior::Responds => "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
            HostBehavior::RespondsWithLoad => {
                "HTTP/1.1 200 OK\r\nendpoint-load-metrics: TEXT cpu_utilization=0.5, named_metrics.queue=4\r\n\
                 content-length: 2\r\n\r\nok"
            }
            HostBehavior::RespondsAfter(ms) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
            }
            HostBehavior::SendsHeadOnly => "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n",
            HostBehavior::Closes => return,
            HostBehavior::Rejects => "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n",
            HostBehavior::RejectsUnprocessed => {
                "HTTP/1.1 503 Busy\r\nx-never-ran: 1\r\ncontent-length: 0\r\n\r\n"
            }
        };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A running proxy, with a controller connected to its runtime API.
pub(crate) struct TestProxy {
    pub proxy: RunningProxy,
    pub folder: tempfile::TempDir,
    controller: UnixStream,
    version_number: u64,
}

/// Settings with two request classes, both with a client timeout of 1 s: requests of `proof` are idempotent, those of
/// `release` are not.
pub(crate) const SETTINGS: &str = "{
    name: 'front', zone: 'ede', zones: ['ede'], listen: '127.0.0.1:0',
    runtime_api: [{ listen: 'unix:front.sock', level: 'admin' }],
    kinds: [
        { name: k[0], path_prefix: '/' + k[0], response_target: '500 ms', client_timeout: '1 s', benefit: k[2], repeats: k[1] }
        for k in [['proof', 'replayable', 1], ['release', 'non-replayable', 3]]
    ],
    hosts_file: 'hosts.jsonnet', seed: 5,
    limits: { head_within: '300 ms', last_ready_for: '600 ms' },
}";

impl TestProxy {
    pub(crate) async fn start(static_hosts: &[&Host], settings: &str) -> TestProxy {
        let folder = tempfile::tempdir().expect("a temporary folder");
        let host = |(index, host): (usize, &&Host)| {
            format!(
                "{{ name: 'h{index}', address: '{}', zone: 'ede' }}",
                host.addr
            )
        };
        let hosts: Vec<String> = static_hosts.iter().enumerate().map(host).collect();
        std::fs::write(
            folder.path().join("hosts.jsonnet"),
            format!("{{ hosts: [{}] }}", hosts.join(",")),
        )
        .expect("the list is written");
        std::fs::write(folder.path().join("site.jsonnet"), settings)
            .expect("the settings are written");
        let site = read_proxy(&folder.path().join("site.jsonnet")).expect("valid settings");
        let proxy = start(&site).await.expect("a proxy");
        let controller = TestProxy::connect_runtime_api(folder.path().join("front.sock")).await;
        TestProxy {
            proxy,
            folder,
            controller,
            version_number: 0,
        }
    }

    async fn connect_runtime_api(socket: PathBuf) -> UnixStream {
        let mut stream = UnixStream::connect(socket)
            .await
            .expect("the runtime socket");
        exchange(&mut stream, "prompt i", 1).await;
        stream
    }

    /// A further connection to the runtime API.
    pub(crate) async fn another_controller(&self) -> UnixStream {
        TestProxy::connect_runtime_api(self.folder.path().join("front.sock")).await
    }

    /// Sends commands as the next version, and returns the replies.
    pub(crate) async fn send_updates(&mut self, commands: &[String]) -> String {
        self.version_number += 1;
        let version = format!("add map pond_state table steward:1/{}", self.version_number);
        let line = std::iter::once(&version)
            .chain(commands)
            .cloned()
            .collect::<Vec<_>>()
            .join("; ");
        exchange(&mut self.controller, &line, commands.len() + 1).await
    }

    /// Sends a line of commands without a version, and returns the replies.
    pub(crate) async fn send_commands(&mut self, line: &str) -> String {
        let reply_count = line.split(';').count();
        exchange(&mut self.controller, line, reply_count).await
    }

    /// The value of a line of `show info`; empty if there is none.
    pub(crate) async fn info_field(&mut self, name: &str) -> String {
        let text = self.send_commands("show info").await;
        pondarch_runtime_api::info::Info::read(&text)
            .get(name)
            .unwrap_or("")
            .to_string()
    }

    /// Successful and failed attempts of a request class, by host.
    pub(crate) async fn attempt_counts(&mut self, class: &str) -> BTreeMap<String, (u64, u64)> {
        let text = self.send_commands("show stat").await;
        let rows =
            pondarch_runtime_api::stat::read(text.trim_end()).expect("a valid reply to show stat");
        let servers = rows
            .into_iter()
            .filter(|row| row.backend == class && row.server != "BACKEND");
        servers
            .map(|row| {
                (
                    row.server.clone(),
                    (row.attempt_totals().succeeded, row.attempt_totals().failed),
                )
            })
            .collect()
    }

    /// Sends a request without a body on a connection of its own; returns the status and the whole response.
    pub(crate) async fn get(&self, path: &str) -> (u16, String) {
        let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        send_raw(self.proxy.addr, request.as_bytes()).await
    }
}

/// The commands that add a server to a request class and set it ready.
pub(crate) fn add_server_commands(
    class: &str,
    name: &str,
    host: &Host,
    weight: u16,
) -> [String; 2] {
    [
        format!("add server {class}/{name} {} weight {weight}", host.addr),
        format!("set server {class}/{name} state ready"),
    ]
}

/// Sends a line of commands and reads this many replies.
pub(crate) async fn exchange(stream: &mut UnixStream, line: &str, reply_count: usize) -> String {
    stream
        .write_all(format!("{line}\n").as_bytes())
        .await
        .expect("the commands are written");
    let mut text = String::new();
    let mut bytes = vec![0; 65_536];
    let replies_in = |text: &str| {
        let mut lines = text.split('\n').peekable();
        let mut count = 0;
        while let Some(line) = lines.next() {
            count += usize::from(line.is_empty() && lines.peek().is_some());
        }
        count
    };
    while replies_in(&text) < reply_count {
        let read = tokio::time::timeout(Duration::from_secs(5), stream.read(&mut bytes))
            .await
            .expect("a reply within 5 s");
        let read = read.expect("a readable stream");
        assert!(read > 0, "connection closed after {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    text
}

/// Sends bytes and reads until the proxy closes the connection; returns the status and the whole response.
pub(crate) async fn send_raw(addr: SocketAddr, bytes: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(addr)
        .await
        .expect("a connection to the proxy");
    // The proxy may respond and close before everything is written.
    stream.write_all(bytes).await.ok();
    let mut text = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(10), stream.read_to_end(&mut text)).await;
    read.expect("the connection is closed within 10 s").ok();
    let text = String::from_utf8_lossy(&text).into_owned();
    let status = text
        .split_whitespace()
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    (status, text)
}
