//! Two runs of a core, recorded: the first ends without a word, the second begins with what it knew.

use crate::site::{host, hosts, settings};
use pondarch_config::hosts::{HostEntry, HostState};
use pondarch_config::site_from_text;
use pondarch_controller::DurationExt;
use pondarch_controller::{ProxyId, RequestClassId, Time};
use pondarch_daemon_core::{Core, Input, LoadTold, Output, RecordsState};
use pondarch_event_log::{Folder, Keep, Log, frame};
use pondarch_load_report_protocol::{Body, Counted, Own, Report, SenderIs};
use pondarch_proxy_core::holding::{Holding, Server};
use pondarch_replay::{Boot, Decision, Record, Snapshot, Start, recover};
use pondarch_runtime_api::{AdminState, command};
use std::collections::VecDeque;
use std::error::Error;
use std::path::Path;
use std::time::Duration;

const START: u64 = 1_800_000_000_000_000;
const SEGMENT_BYTES: u64 = 24_000;
/// What operators say, so that each answer's checksum stands in the records.
const SHOWN: [&str; 18] = [
    "help",
    "show info",
    "show stat",
    "show stat json",
    "show backend",
    "show servers state",
    "show servers conn",
    "show events",
    "show errors",
    "show map",
    "show map weights",
    "show map proxies",
    "show map zones",
    "show map levels",
    "show memory",
    "get weight hosts/host-1",
    "bogus word",
    "set server hosts/nobody weight 3",
];

struct Front {
    holding: Holding,
    conn: Option<u64>,
    lines: VecDeque<(u64, String)>,
}

struct Run {
    core: Core,
    log: Log<Folder>,
    epoch: u64,
    n: u64,
    now: u64,
    version: u64,
    fronts: Vec<Front>,
    refuses: bool,
}

/// Records both runs in this folder.
pub(crate) fn write(folder: &Path) -> Result<(), Box<dyn Error>> {
    let mut first = Run::start(folder, START, START)?;
    first.list(hosts());
    first.run(3_000);
    first.operators();
    first.solves();
    first.pushes();
    first.names();
    first.troubles();
    first.snapshot();
    first.hosts_change();
    let now = first.now;
    first.log.end(Time::from_micros(now));
    let found = recover(&Folder::look(folder), &site_from_text(&settings())?)?;
    let at = now + 2_000_000;
    let known = found
        .known
        .ok_or("nothing was known")?
        .by_clock(at, 2_000_000);
    let mut second = Run::start(folder, found.epoch + 1, at)?;
    second.version = first.version;
    second.give(Input::Recovered(Box::new(known)));
    second.list(changed());
    second.run(3_000);
    second.snapshot();
    second.command("set server hosts/host-1 state drain; set server hosts/host-2 weight 3");
    second.run(200);
    second.command("show info");
    let now = second.now;
    second.log.end(Time::from_micros(now));
    Ok(())
}

fn changed() -> Vec<HostEntry> {
    let mut hosts = hosts();
    hosts[4].state = HostState::Drain;
    hosts[5].state = HostState::Gone;
    hosts[3].started = Some(START as f64 / 1e6 + 20.5);
    hosts.push(host(6));
    hosts
}

fn boot(at: u64) -> Option<Boot> {
    Some(Boot {
        id: "machine".into(),
        up_us: at - START + 1_000,
    })
}

impl Run {
    fn start(folder: &Path, epoch: u64, now: u64) -> Result<Run, Box<dyn Error>> {
        let site = site_from_text(&settings())?;
        let sure_within = Duration::from_millis(100);
        let age = pondarch_event_log::keeping::ALWAYS;
        let keep = Keep {
            segment_bytes: SEGMENT_BYTES,
            all_bytes: 1 << 30,
            age,
            sure_within,
        };
        let log = Log::new(Folder::lock(folder)?, keep, epoch)?;
        let front = |n: usize| {
            let mut holding =
                Holding::new(&site.proxies[n].name, 100 + n as u64, &["proof", "order"]);
            for backend in holding.backends.values_mut() {
                let server = Server::new(host(n).address, 100, AdminState::Ready);
                backend.servers.insert(format!("host-{n}"), server);
            }
            Front {
                holding,
                conn: None,
                lines: VecDeque::new(),
            }
        };
        let core = Core::new(&site, 7, 1, epoch, Time::from_micros(now));
        let fronts = (0..2).map(front).collect();
        let mut run = Run {
            core,
            log,
            epoch,
            n: 0,
            now,
            version: 0,
            fronts,
            refuses: false,
        };
        let (program, settings) = ("pondarch before the renaming".into(), settings());
        let start = Start {
            program,
            settings,
            seed: 7,
            process: 1,
            epoch,
            at_us: now,
            boot: boot(now),
        };
        run.record(&[Record::Start(Box::new(start))]);
        Ok(run)
    }

    fn record(&mut self, records: &[Record]) {
        let mut frames = Vec::new();
        records
            .iter()
            .for_each(|record| frame::write(&mut frames, &record.bytes()));
        assert!(
            self.log
                .write(Time::from_micros(self.now), self.n.max(1), &frames),
            "the disk works"
        );
    }

    fn give(&mut self, input: Input) {
        self.n += 1;
        let (n, at_us) = (self.n, self.now);
        self.core.handle(Time::from_micros(at_us), input.clone());
        let outputs: Vec<Output> = std::iter::from_fn(|| self.core.next_output()).collect();
        let decisions: Vec<Decision> = outputs.iter().cloned().map(Decision::of).collect();
        let mut records = vec![Record::Input { n, at_us, input }];
        if !decisions.is_empty() {
            records.push(Record::Decided { n, decisions });
        }
        self.record(&records);
        outputs
            .into_iter()
            .for_each(|output| self.carry_out(output));
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Dial { proxy, conn } => {
                self.fronts[usize::from(proxy)].conn = Some(conn);
                self.give(Input::Connected { proxy, conn });
            }
            Output::Write { proxy, conn, lines } => {
                let lines = lines.into_iter().map(|line| (conn, line));
                self.fronts[usize::from(proxy)].lines.extend(lines);
            }
            Output::Hangup { proxy, .. } => self.fronts[usize::from(proxy)].conn = None,
            Output::Probe { host, for_load, .. } => {
                let load = for_load.then_some(LoadTold {
                    busy: Some(0.4),
                    queue: Some(1.0),
                    service_ms: Some(20.0),
                    rate: Some(15.0),
                    errored_rate: Some(0.5),
                });
                self.give(Input::Probed {
                    host,
                    for_load,
                    good: true,
                    load,
                });
            }
            Output::Solve { number, fleet } => {
                let plan = pondarch_weight_solver::solve(&fleet, Default::default());
                self.give(Input::Solved {
                    number,
                    plan: plan.map_err(|wrong| wrong.to_string()),
                });
            }
            _ => {}
        }
    }

    fn deliver(&mut self) {
        while let Some(n) = (0..2).find(|&n| !self.fronts[n].lines.is_empty()) {
            let front = &mut self.fronts[n];
            let Some((conn, line)) = front.lines.pop_front() else {
                continue;
            };
            if front.conn != Some(conn) {
                continue;
            }
            let mut answers = Vec::new();
            for command in command::parse_line(&line).into_iter().flatten() {
                let refused = self.refuses && Holding::is_order(&command);
                self.refuses &= !refused;
                answers.push(if refused {
                    "Not now.\n".into()
                } else {
                    front.holding.command(command)
                });
            }
            let proxy = n as u16;
            answers
                .into_iter()
                .for_each(|text| self.give(Input::Answer { proxy, conn, text }));
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis * 1_000;
        self.deliver();
        loop {
            let wake = (self.core.wake_at() - Time::default())
                .micros()
                .max(self.now + 1);
            if wake > end {
                break;
            }
            self.now = wake;
            self.give(Input::Tick);
            self.deliver();
        }
        self.now = end;
    }

    fn list(&mut self, hosts: Vec<HostEntry>) {
        self.version += 1;
        self.give(Input::List {
            version: Some(self.version),
            hosts,
        });
    }

    fn command(&mut self, line: &str) {
        self.give(Input::Command {
            caller: self.n,
            level: 2,
            line: line.into(),
        });
    }

    fn snapshot(&mut self) {
        let (epoch, n, at_us) = (self.epoch, self.n, self.now);
        let snapshot = Snapshot {
            epoch,
            n,
            at_us,
            boot: boot(at_us),
            known: self.core.remembered(),
        };
        assert!(
            self.log
                .snapshot(Time::from_micros(at_us), &snapshot.bytes()),
            "the disk works"
        );
    }

    fn operators(&mut self) {
        SHOWN.iter().for_each(|line| self.command(line));
        self.give(Input::Command {
            caller: 1,
            level: 0,
            line: "show servers state".into(),
        });
        self.command(
            "add server hosts/extra 127.0.0.99:80 weight 2; set server hosts/extra state ready",
        );
        self.command("prepare map zones; add map @1 zones extra arnhem; commit map @1 zones");
        self.command("set server hosts/host-2 addr 127.0.0.77 port 80");
        self.command("set server hosts/host-1 state drain");
        self.run(300);
        self.command("set server hosts/host-1 state ready");
        self.run(300);
    }

    /// Traffic in which one host is slow.
    fn solves(&mut self) {
        for _ in 0..8 {
            for front in &mut self.fronts {
                for backend in front.holding.backends.values_mut() {
                    for (name, server) in backend
                        .servers
                        .iter_mut()
                        .filter(|(_, server)| server.serves())
                    {
                        let ms = if name == "host-3" { 60 } else { 20 };
                        (server.total, server.sums.done) =
                            (server.total + 10, server.sums.done + 10);
                        server.sums.done_time += Duration::from_millis(10 * ms);
                        backend.reqs += 10;
                    }
                }
            }
            self.run(1_000);
        }
        self.give(Input::Solved {
            number: 999,
            plan: Err("no plan".into()),
        });
    }

    fn pushes(&mut self) {
        let (conn, run) = (51, 5);
        self.give(Input::SenderCame {
            conn,
            name: "front-0".into(),
            is: SenderIs::Proxy,
            run,
        });
        self.give(Input::SenderCame {
            conn: 52,
            name: "host-1".into(),
            is: SenderIs::Host,
            run,
        });
        self.give(Input::SenderCame {
            conn: 53,
            name: "nobody".into(),
            is: SenderIs::Proxy,
            run,
        });
        for number in 1..4 {
            let server = Some("host-0".to_string());
            let (done, done_us) = (number * 9, number * 90_000);
            let counted = Counted {
                backend: "proof".into(),
                server,
                done,
                done_us,
                ..Counted::default()
            };
            let reqs = Counted {
                backend: "proof".into(),
                reqs: done,
                ..Counted::default()
            };
            let own = Own {
                busy: Some(0.5),
                rate: Some(if number == 3 { -1.0 } else { 9.0 }),
                ..Own::default()
            };
            let report = |body| {
                Box::new(Report {
                    number,
                    sent_us: self.now,
                    body,
                    ..Report::default()
                })
            };
            let of_proxy = report(Body {
                counted: vec![counted, reqs],
                own: None,
            });
            let of_host = report(Body {
                counted: Vec::new(),
                own: Some(own),
            });
            self.give(Input::Pushed {
                conn,
                report: of_proxy,
            });
            self.give(Input::Pushed {
                conn: 52,
                report: of_host,
            });
            self.run(1_000);
        }
        self.give(Input::SenderLeft { conn });
    }

    fn names(&mut self) {
        use pondarch_dns_core::SecondaryEvent;
        for round in 0..3 {
            let view = self.core.view();
            let table = view
                .table_of(Some(ProxyId(2)), RequestClassId(0), 1)
                .map(|table| table.0);
            self.give(Input::AskedByName {
                proxy: Some(2),
                table,
                serial: view.serial,
            });
            if round == 1 {
                for heard in [
                    SecondaryEvent::Acknowledged,
                    SecondaryEvent::Queried(None),
                    SecondaryEvent::Transferred(view.serial),
                ] {
                    self.give(Input::Secondary { n: 0, heard });
                }
            }
            self.run(500);
        }
    }

    fn troubles(&mut self) {
        self.give(Input::Records(RecordsState {
            stopped: Some("no space".into()),
            lost: 0,
        }));
        self.give(Input::Records(RecordsState {
            stopped: None,
            lost: 3,
        }));
        self.give(Input::Memory {
            waiting: 10,
            records: 20,
            connections: 30,
            capped: 1,
        });
        self.give(Input::ListRefused {
            wrong: "hosts:3: it ends".into(),
        });
        self.give(Input::Probed {
            host: "host-0".into(),
            for_load: false,
            good: false,
            load: None,
        });
        if let Some(conn) = self.fronts[1].conn.take() {
            self.fronts[1].lines.clear();
            self.give(Input::Lost {
                proxy: 1,
                conn,
                why: "broke".into(),
            });
        }
        self.run(1_500);
    }

    /// A drain, a host gone, one that started anew, a new one, and a proxy that refuses a command.
    fn hosts_change(&mut self) {
        self.refuses = true;
        self.list(changed());
        self.run(1_000);
        // Changes come faster than messages may.
        for n in 0..4 {
            let state = if n % 2 == 0 { "drain" } else { "ready" };
            self.command(&format!("set server hosts/host-1 state {state}"));
            self.run(300);
        }
        self.command("show events");
    }
}
