//! Shared parts of the review's cases: the programs under test, the record, hosts and clients.
//! Standard library only. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The programs that run, so that a panic or a time-out ends them too.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn end_programs() {
    let mut running = RUNNING.lock().unwrap_or_else(|error| error.into_inner());
    for pid in running.drain(..) {
        Command::new("kill").arg("-KILL").arg(pid.to_string()).stderr(Stdio::null()).status().ok();
    }
    write_running(&running);
}

/// Names the programs that run in the file that the script gives, which ends them if this process is ended itself.
fn write_running(running: &[u32]) {
    let Some(file) = std::env::args().nth(3) else { return };
    let pids: Vec<String> = running.iter().map(u32::to_string).collect();
    if pids.is_empty() {
        std::fs::remove_file(file).ok();
    } else {
        std::fs::write(file, pids.join(" ")).ok();
    }
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// What was sent, answered and run, one line an event, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))),
        }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let at = self.now() * 1e3;
        writeln!(self.file.lock().unwrap(), "{at:9.1} {text}").ok();
    }
}

/// A case: its folder, the repository's root, a temporary folder, the record and the started programs.
pub struct Case {
    pub folder: PathBuf,
    pub root: PathBuf,
    pub temp: PathBuf,
    pub record: Record,
    programs: Vec<Child>,
}

impl Case {
    /// Takes the case's folder from the first argument.
    pub fn start() -> Case {
        let folder = PathBuf::from(std::env::args().nth(1).expect("the case's folder"));
        let folder = folder.canonicalize().expect("the case's folder");
        let root = folder.parent().unwrap().parent().unwrap().to_path_buf();
        let temp = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&temp).expect("temporary folder");
        let file = std::env::args().nth(2).map_or(folder.join("record.txt"), PathBuf::from);
        let record = Record::create(&file);
        record.line(&format!("disruption: {}", if trouble() { "on" } else { "off" }));
        let usual = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |info| {
            usual(info);
            if thread::current().name() == Some("main") {
                end_programs();
                std::process::exit(2);
            }
        }));
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(112));
            eprintln!("the case took too long");
            end_programs();
            std::process::exit(2);
        });
        Case { folder, root, temp, record, programs: Vec::new() }
    }

    /// The program that the deploy file builds and runs.
    pub fn program(&self) -> PathBuf {
        let run = self.deploy_run();
        let path = run.split_whitespace().find(|word| word.contains('/')).expect("run in deploy/balancer.toml");
        self.root.join(path)
    }

    /// The line `run` of the deploy file.
    pub fn deploy_run(&self) -> String {
        let deploy = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("deploy/balancer.toml");
        let line = deploy.lines().find(|line| line.starts_with("run ")).expect("run");
        line.split('"').nth(1).expect("run").to_string()
    }

    /// Starts the project's program with these arguments; its log goes to the temporary folder.
    pub fn spawn(&mut self, name: &str, args: &[&str]) -> usize {
        let mut command = Command::new(self.program());
        command.args(args);
        self.spawn_command(name, command)
    }

    /// Starts a controller on the platform, as the deploy file says.
    pub fn spawn_platform(&mut self, name: &str, config: &Path) -> usize {
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(self.deploy_run()).env("RELAY_CONFIG", config);
        self.spawn_command(name, command)
    }

    fn spawn_command(&mut self, name: &str, mut command: Command) -> usize {
        let log = File::create(self.temp.join(format!("{name}.log"))).expect("log");
        command.current_dir(&self.root).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        let child = command.spawn().unwrap_or_else(|error| {
            self.record.line(&format!("cannot start {name}: {error}"));
            std::process::exit(2)
        });
        self.record.line(&format!("started {name} as process {}", child.id()));
        let mut running = RUNNING.lock().unwrap();
        running.push(child.id());
        write_running(&running);
        drop(running);
        self.programs.push(child);
        self.programs.len() - 1
    }

    pub fn pid(&self, program: usize) -> u32 {
        self.programs[program].id()
    }

    pub fn is_running(&mut self, program: usize) -> bool {
        matches!(self.programs[program].try_wait(), Ok(None))
    }

    /// Kills a program outright.
    pub fn kill(&mut self, program: usize) {
        self.record.line(&format!("killed process {} (SIGKILL)", self.programs[program].id()));
        let pid = self.programs[program].id();
        self.programs[program].kill().ok();
        self.programs[program].wait().ok();
        let mut running = RUNNING.lock().unwrap();
        running.retain(|running| *running != pid);
        write_running(&running);
    }

    pub fn signal(&self, program: usize, signal: &str) {
        let pid = self.programs[program].id();
        self.record.line(&format!("signal {signal} to process {pid}"));
        Command::new("kill").arg(format!("-{signal}")).arg(pid.to_string()).status().ok();
    }

    /// Ends all programs, and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    pub fn finish(mut self, verdict: i32, why: &str) -> ! {
        for program in &mut self.programs {
            program.kill().ok();
            program.wait().ok();
        }
        RUNNING.lock().unwrap().clear();
        write_running(&[]);
        let word = match verdict {
            0 => "the rule held",
            1 => "THE RULE WAS BROKEN",
            _ => "the case could not run",
        };
        self.record.line(&format!("{word}: {why}"));
        println!("{word}: {why}");
        if verdict == 2 {
            for entry in std::fs::read_dir(&self.temp).into_iter().flatten().flatten() {
                if entry.path().extension().is_some_and(|extension| extension == "log") {
                    let text = std::fs::read_to_string(entry.path()).unwrap_or_default();
                    self.record.line(&format!("log {:?}:\n{text}", entry.file_name()));
                }
            }
        }
        if std::env::var("KEEP").is_err() {
            std::fs::remove_dir_all(&self.temp).ok();
        }
        std::process::exit(verdict)
    }
}

/// A free port of the loopback address.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").expect("free port").local_addr().unwrap().port()
}

/// Sends one line to a runtime API socket, in the manner of HAProxy's: the answer ends with the connection.
pub fn runtime_line(socket: &Path, line: &str) -> Option<String> {
    let mut stream = UnixStream::connect(socket).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok();
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

/// Waits until the check is true; false if that takes too long.
pub fn wait_for(seconds: f64, mut check: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed().as_secs_f64() < seconds {
        if check() {
            return true;
        }
        sleep_ms(20);
    }
    false
}

/// A request as a host stand-in sees it.
pub struct HostRequest {
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads an HTTP/1.1 message head: its first line and its headers in lower case.
pub fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_string(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_string());
    }
}

/// Serves HTTP/1.1 with persistent connections at a free port: `handle` works on a request and returns status and body.
pub fn serve_host(
    handle: impl Fn(HostRequest) -> (u16, String) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("host");
    let address = listener.local_addr().unwrap();
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                stream.set_nodelay(true).ok();
                let mut writer = stream.try_clone().expect("clone");
                let mut reader = BufReader::new(stream);
                while let Some((first, headers)) = read_head(&mut reader) {
                    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
                    let mut body = vec![0; length];
                    if reader.read_exact(&mut body).is_err() {
                        return;
                    }
                    let path = first.split_whitespace().nth(1).unwrap_or("/").to_string();
                    let (status, text) = handle(HostRequest { path, headers, body });
                    let answer = format!(
                        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{text}",
                        text.len()
                    );
                    if writer.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// One request on a connection of its own; the status, or none if no final answer came in time.
pub fn request(address: SocketAddr, method: &str, path: &str, headers: &str, limit: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(limit)).ok();
    let text = format!("{method} {path} HTTP/1.1\r\nhost: shop.example\r\nconnection: close\r\ncontent-length: 0\r\n{headers}\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, _) = read_head(&mut reader)?;
    first.split_whitespace().nth(1)?.parse().ok()
}

/// Clients that send requests one after the other at an even rate, each in a thread of its own, until stopped.
pub struct Clients {
    pub stop: Arc<AtomicBool>,
    pub rate_mhz: Arc<AtomicU64>,
}

impl Clients {
    /// `send` gets the number of the request. The rate is in requests per second.
    pub fn start(rate: f64, send: impl Fn(u64) + Send + Sync + 'static) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let rate_mhz = Arc::new(AtomicU64::new((rate * 1e3) as u64));
        let (stopped, current) = (stop.clone(), rate_mhz.clone());
        let send = Arc::new(send);
        thread::spawn(move || {
            let mut number = 0;
            let mut next = Instant::now();
            while !stopped.load(Ordering::Relaxed) {
                let send = send.clone();
                thread::spawn(move || send(number));
                number += 1;
                next += Duration::from_secs_f64(1e3 / current.load(Ordering::Relaxed).max(1) as f64);
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
        Clients { stop, rate_mhz }
    }

    pub fn set_rate(&self, rate: f64) {
        self.rate_mhz.store((rate * 1e3) as u64, Ordering::Relaxed);
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
