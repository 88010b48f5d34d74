//! A run is recorded, its records are cut or spoilt anywhere, and what is recovered is held against a core that never died.

use pondarch_config::hosts::{HostEntry, HostState};
use pondarch_config::{Site, site_from_text};
use pondarch_controller::Time;
use pondarch_daemon_core::{Core, Input, Remembered};
use pondarch_event_log::disk::Trouble;
use pondarch_event_log::{Disk, Folder, Keep, Log, frame};
use pondarch_replay::replay::{Span, replay};
use pondarch_replay::scene::of_run;
use pondarch_replay::{Decision, Record, Snapshot, Start, play, recover};
use proptest::prelude::*;
use std::path::Path;

const START: u64 = 1_800_000_000_000_000;

fn settings(dns: bool) -> String {
    let dns = if dns {
        r#", "dns": {"zone": "pond.test", "listen": "127.0.0.1:0", "grace": "6 s"}"#
    } else {
        ""
    };
    format!(
        r#"{{"name": "s", "zones": ["ede", "arnhem"],
        "kinds": [{{"name": "proof", "response_target": "1 s", "client_timeout": "3 s", "benefit": 1, "repeats": "replayable"}}],
        "proxies": [{{"name": "front-0", "zone": "ede", "usual_rate": 5, "runtime": "unix:/front-0"}},
                    {{"name": "front-1", "zone": "ede", "usual_rate": 5, "runtime": "unix:/front-1"}}],
        "hosts_file": "hosts", "cold": {{"start_share": 0.2, "warm_within": "18 s"}},
        "channel": {{"lines_per_second": 4000, "most_waiting": 4000, "message_cap": 12, "message_window": "10 s"}}{dns}}}"#
    )
}

fn site(dns: bool) -> Site {
    site_from_text(&settings(dns)).expect("settings")
}

fn host(n: usize, state: HostState, started: Option<f64>) -> HostEntry {
    HostEntry {
        name: format!("host-{n}"),
        address: ([127, 0, 0, n as u8 + 1], 8000).into(),
        zone: ["ede", "arnhem"][n % 2].into(),
        rack: String::new(),
        machine: String::new(),
        weight: 1.0,
        cores: None,
        started,
        state,
    }
}

/// A run that is recorded: a core, and the log of it.
struct Run<D: Disk> {
    core: Core,
    log: Log<D>,
    epoch: u64,
    n: u64,
    now: u64,
    version: u64,
    /// What was known after each input, from the first on.
    known: Vec<Remembered>,
    gap: Option<(u64, u64)>,
}

fn keep(segment_bytes: u64) -> Keep {
    // Times here are not those of the files.
    let age = pondarch_event_log::keeping::ALWAYS;
    Keep {
        segment_bytes,
        all_bytes: 1 << 30,
        age,
        sure_within: std::time::Duration::from_millis(100),
    }
}

impl<D: Disk> Run<D> {
    fn start(disk: D, segment_bytes: u64, dns: bool, epoch: u64, now: u64) -> Run<D> {
        let core = Core::new(&site(dns), 7, 1, epoch, Time::from_micros(now));
        let log = Log::new(disk, keep(segment_bytes), epoch).expect("a folder");
        let mut run = Run {
            core,
            log,
            epoch,
            n: 0,
            now,
            version: 0,
            known: Vec::new(),
            gap: None,
        };
        let start = Start {
            program: "test".into(),
            settings: settings(dns),
            seed: 7,
            process: 1,
            epoch,
            at_us: now,
            boot: None,
        };
        let mut frames = Vec::new();
        frame::write(&mut frames, &Record::Start(Box::new(start)).bytes());
        run.log.write(Time::from_micros(now), 1, &frames);
        run
    }

    fn give(&mut self, input: Input) {
        self.n += 1;
        let (n, at) = (self.n, Time::from_micros(self.now));
        self.core.handle(at, input.clone());
        let decisions: Vec<Decision> = std::iter::from_fn(|| self.core.next_output())
            .map(Decision::of)
            .collect();
        let mut frames = Vec::new();
        if let Some((first, last)) = self.gap {
            frame::write(
                &mut frames,
                &Record::Gap {
                    first,
                    last,
                    why: "full".into(),
                }
                .bytes(),
            );
        }
        frame::write(
            &mut frames,
            &Record::Input {
                n,
                at_us: self.now,
                input,
            }
            .bytes(),
        );
        if !decisions.is_empty() {
            frame::write(&mut frames, &Record::Decided { n, decisions }.bytes());
        }
        if self.log.write(at, n, &frames) {
            self.gap = None;
        } else {
            self.gap = Some((self.gap.map_or(n, |(first, _)| first), n));
        }
        self.known.push(Remembered {
            at_us: self.now,
            ..self.core.remembered()
        });
    }

    fn snapshot(&mut self) {
        let known = self.core.remembered();
        self.known.push(Remembered {
            at_us: self.now,
            ..known.clone()
        });
        let snapshot = Snapshot {
            epoch: self.epoch,
            n: self.n,
            at_us: self.now,
            boot: None,
            known,
        };
        self.log
            .snapshot(Time::from_micros(self.now), &snapshot.bytes());
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
            caller: 1,
            level: 2,
            line: line.into(),
        });
    }
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Standing(usize, HostState),
    Restart(usize),
    Operator(usize),
    Ask,
    Noise(usize),
    Snapshot,
}

const LINES: [&str; 6] = [
    "set server hosts/host-2 state drain; set server hosts/host-2 weight 3",
    "set server hosts/host-2 state ready",
    "add server hosts/extra 127.0.0.99:80 weight 2; set server hosts/extra state ready",
    "del server hosts/extra",
    "set server hosts/host-1 addr 127.0.0.77 port 80",
    "prepare map zones; add map zones extra arnhem",
];

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        Just(HostState::Ready),
        Just(HostState::Drain),
        Just(HostState::Gone)
    ];
    prop_oneof![
        3 => (10..9_000u64).prop_map(Step::Wait),
        3 => (0..8usize, state).prop_map(|(n, state)| Step::Standing(n, state)),
        1 => (0..8usize).prop_map(Step::Restart),
        2 => (0..LINES.len()).prop_map(Step::Operator),
        2 => Just(Step::Ask),
        2 => (0..400usize).prop_map(Step::Noise),
        1 => Just(Step::Snapshot),
    ]
}

fn course<D: Disk>(run: &mut Run<D>, steps: &[Step]) {
    let mut hosts: Vec<HostEntry> = (0..8).map(|n| host(n, HostState::Ready, None)).collect();
    run.list(hosts.clone());
    for step in steps {
        run.now += 5_000;
        match step {
            Step::Wait(ms) => {
                run.now += ms * 1_000;
                run.give(Input::Tick);
            }
            Step::Standing(n, state) => {
                hosts[*n].state = *state;
                run.list(hosts.clone());
            }
            Step::Restart(n) => {
                hosts[*n].started = Some(run.now as f64 / 1e6);
                run.list(hosts.clone());
            }
            Step::Operator(n) => run.command(LINES[*n]),
            Step::Ask => {
                let view = run.core.view();
                let proxy = view.anonymous_proxies.first().map(|id| id.0);
                let table = view
                    .table_of(None, pondarch_controller::RequestClassId(0), 5)
                    .map(|table| table.0);
                run.give(Input::AskedByName {
                    proxy,
                    table,
                    serial: view.serial,
                });
            }
            Step::Noise(len) => {
                // Nothing that packs well.
                let mut chance = fastrand::Rng::with_seed(run.n);
                run.give(Input::ListRefused {
                    wrong: (0..*len).map(|_| chance.alphanumeric()).collect(),
                });
            }
            Step::Snapshot => run.snapshot(),
        }
    }
}

fn found(folder: &Path, dns: bool) -> pondarch_replay::Recovery {
    recover(&Folder::look(folder), &site(dns)).expect("the folder can be read")
}

/// The newest segment of a folder.
fn last_segment(folder: &Path) -> std::path::PathBuf {
    let name = pondarch_event_log::log::files(&Folder::look(folder))
        .expect("files")
        .0
        .pop()
        .expect("a segment");
    folder.join(name)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Killed at any byte of a write: what is recovered is what a core knew that never died, after one of its last
    /// inputs: the one that is last on record. Then the run that follows knows the same, and so does the one after.
    #[test]
    fn a_kill_at_any_byte_leaves_what_was_known_at_some_input(
        steps in prop::collection::vec(step(), 1..40), segment in 600u64..20_000, cut: prop::sample::Index, dns: bool,
    ) {
        let folder = tempfile::tempdir().expect("a folder");
        let mut run = Run::start(Folder::lock(folder.path()).expect("a lock"), segment, dns, START, START);
        course(&mut run, &steps);
        let known = std::mem::take(&mut run.known);
        run.log.end(Time::from_micros(run.now));
        let last = last_segment(folder.path());
        let bytes = std::fs::read(&last).expect("it can be read");
        std::fs::write(&last, &bytes[..cut.index(bytes.len() + 1)]).expect("written");
        let recovery = found(folder.path(), dns);
        prop_assert!(recovery.epoch == START || recovery.known.is_none());
        let Some(mut back) = recovery.known else { return Ok(()) };
        // By the last input that says something to be remembered; later ones move the time alone.
        let at = back.at_us;
        let same = known.iter().rev().find(|then| then.at_us == at);
        prop_assert!(same.is_some(), "nothing was known at {at}");
        let same = same.cloned().expect("one");
        // Serials go on where a view was made anew: never back.
        // The last decision may be the one thing that was cut off: the next run begins 100 higher.
        prop_assert!(back.serial + 100 >= same.serial);
        back.serial = same.serial;
        prop_assert_eq!(&back, &same);
        // The next run begins with it, and is killed before it wrote anything but that.
        let mut next = Run::start(Folder::lock(folder.path()).expect("a lock"), segment, dns, START + 1, at + 1_000);
        next.give(Input::Recovered(Box::new(same.clone())));
        next.log.end(Time::from_micros(next.now));
        let again = found(folder.path(), dns).known.expect("known");
        prop_assert_eq!((again.at_us, &again.list), (at + 1_000, &same.list));
        prop_assert!(again.serial >= same.serial);
    }

    /// Any byte of any file flipped: never a panic, never a state that was not, and what is wrong is named.
    #[test]
    fn a_flipped_byte_is_named_and_nothing_wrong_is_believed(
        steps in prop::collection::vec(step(), 5..40), file: prop::sample::Index, byte: prop::sample::Index, bit in 0u8..8,
    ) {
        let folder = tempfile::tempdir().expect("a folder");
        let mut run = Run::start(Folder::lock(folder.path()).expect("a lock"), 2_000, false, START, START);
        course(&mut run, &steps);
        let known = std::mem::take(&mut run.known);
        run.log.end(Time::from_micros(run.now));
        let (records, snapshots) = pondarch_event_log::log::files(&Folder::look(folder.path())).expect("files");
        let names: Vec<String> = records.into_iter().chain(snapshots).collect();
        let file = folder.path().join(&names[file.index(names.len())]);
        let mut bytes = std::fs::read(&file).expect("it can be read");
        let at = byte.index(bytes.len());
        bytes[at] ^= 1 << bit;
        std::fs::write(&file, &bytes).expect("written");
        let recovery = found(folder.path(), false);
        if let Some(back) = &recovery.known {
            // Records behind the broken one are read as well: what they say in full is believed, such as a whole list.
            let lists: Vec<_> = known.iter().flat_map(|then| then.hosts().iter().map(|host| &host.entry.name)).collect();
            prop_assert!(back.hosts().iter().all(|host| lists.contains(&&host.entry.name)));
        }
        replay(&Folder::look(folder.path()), Span::default()).ok();
    }

    /// What was recorded, played again, is the same; and one decision changed is found.
    #[test]
    fn a_run_replays_to_the_same_and_a_changed_decision_is_found(steps in prop::collection::vec(step(), 3..30), dns: bool) {
        let folder = tempfile::tempdir().expect("a folder");
        let mut run = Run::start(Folder::lock(folder.path()).expect("a lock"), 3_000, dns, START, START);
        course(&mut run, &steps);
        let inputs = run.n;
        run.log.end(Time::from_micros(run.now));
        let (runs, flaws) = replay(&Folder::look(folder.path()), Span::default()).expect("it can be read");
        prop_assert!(flaws.is_empty(), "{:?}", flaws);
        prop_assert_eq!((runs.len(), runs[0].inputs, &runs[0].differs, &runs[0].stopped), (1, inputs, &None, &None));
        let (scene, _) = of_run(&Folder::look(folder.path()), None).expect("a scene");
        let played = play::play(&scene, None, 3).expect("played");
        prop_assert_eq!(&played, &play::play(&scene, None, 3).expect("played"));
        prop_assert!(played.messages_most <= 12);
    }
}

#[test]
fn one_decision_that_differs_is_shown_with_its_input() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut run = Run::start(
        Folder::lock(folder.path()).expect("a lock"),
        1 << 20,
        false,
        START,
        START,
    );
    course(
        &mut run,
        &[Step::Wait(2_000), Step::Standing(3, HostState::Drain)],
    );
    run.log.end(Time::from_micros(run.now));
    let segment = last_segment(folder.path());
    let bytes = std::fs::read(&segment).expect("it can be read");
    let mut changed = bytes[..pondarch_event_log::segment::HEAD].to_vec();
    for record in pondarch_event_log::Segment::open(&bytes).expect("a segment") {
        let record = match Record::read(&record).expect("a record") {
            Record::Decided {
                n: 3,
                mut decisions,
            } => {
                decisions.remove(0);
                Record::Decided { n: 3, decisions }
            }
            other => other,
        };
        frame::write(&mut changed, &record.bytes());
    }
    std::fs::write(&segment, changed).expect("written");
    let (runs, _) = replay(&Folder::look(folder.path()), Span::default()).expect("it can be read");
    let difference = runs[0].differs.clone().expect("a difference");
    assert_eq!(difference.n, 3);
    assert!(matches!(difference.input, Input::List { .. }) && difference.now.is_some());
    let (runs, _) =
        replay(&Folder::look(folder.path()), Span { from: 4, to: 9 }).expect("it can be read");
    assert_eq!(runs[0].differs, None, "not asked for");
}

#[test]
fn a_missing_segment_and_a_newer_format_are_named_and_the_rest_is_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut run = Run::start(
        Folder::lock(folder.path()).expect("a lock"),
        4_000,
        false,
        START,
        START,
    );
    course(&mut run, &[const { Step::Noise(300) }; 30]);
    run.command("set server hosts/host-5 state drain");
    run.log.end(Time::from_micros(run.now));
    let (names, _) = pondarch_event_log::log::files(&Folder::look(folder.path())).expect("files");
    assert!(names.len() > 3, "{names:?}");
    std::fs::remove_file(folder.path().join(&names[1])).expect("removed");
    let mut newer = std::fs::read(folder.path().join(&names[2])).expect("read");
    newer[8] = 9;
    let crc = frame_crc(&newer[..28]);
    newer[28..32].copy_from_slice(&crc.to_le_bytes());
    std::fs::write(folder.path().join(&names[2]), newer).expect("written");
    let recovery = found(folder.path(), false);
    let text: Vec<String> = recovery
        .flaws
        .iter()
        .map(|flaw| format!("{}: {}", flaw.name, flaw.what))
        .collect();
    assert!(
        text.iter().any(|what| what.contains("format 9")),
        "{text:?}"
    );
    assert!(
        text.iter().any(|what| what.contains("are missing")),
        "{text:?}"
    );
    let drained = |host: &&pondarch_daemon_core::remembered::RememberedHost| {
        host.standing == HostState::Drain
    };
    assert_eq!(
        recovery
            .known
            .expect("known")
            .hosts()
            .iter()
            .filter(drained)
            .count(),
        1
    );
    let (runs, _) = replay(&Folder::look(folder.path()), Span::default()).expect("it can be read");
    assert!(
        runs[0]
            .stopped
            .as_ref()
            .is_some_and(|why| why.contains("missing")),
        "{:?}",
        runs[0].stopped
    );
}

/// The checksum of a head, as the format states it.
fn frame_crc(bytes: &[u8]) -> u32 {
    // CRC-32 by its definition: reversed polynomial, all ones before and after.
    !bytes.iter().fold(!0u32, |crc, byte| {
        (0..8).fold(crc ^ u32::from(*byte), |crc, _| {
            (crc >> 1) ^ (0xedb8_8320 & (crc & 1).wrapping_neg())
        })
    })
}

#[test]
fn a_full_disk_is_a_gap_that_is_named_and_writing_resumes() {
    let folder = tempfile::tempdir().expect("a folder");
    let disk = Trouble::over(Folder::lock(folder.path()).expect("a lock"));
    let mut run = Run::start(disk, 1 << 20, false, START, START);
    course(&mut run, &[Step::Wait(100)]);
    run.log.disk().room = Some(700);
    let full_from = run.n + 1;
    for n in 0..6 {
        run.now += 100_000;
        run.command(&format!("set server hosts/host-{n} state drain"));
    }
    assert!(run.gap.is_some(), "it is full");
    assert!(
        run.known
            .last()
            .is_some_and(|known| known.hosts()[5].standing == HostState::Drain),
        "deciding goes on"
    );
    run.log.disk().room = None;
    run.now += 2_000_000;
    run.command("set server hosts/host-6 state drain");
    run.snapshot();
    let known = run.known.last().cloned().expect("known");
    run.log.end(Time::from_micros(run.now));
    let recovery = found(folder.path(), false);
    assert_eq!(
        recovery.known.expect("known").list,
        known.list,
        "the snapshot after the gap has it all"
    );
    let (runs, _) = replay(&Folder::look(folder.path()), Span::default()).expect("it can be read");
    let stopped = runs[0].stopped.clone().expect("it stops");
    assert!(
        runs[0].inputs < full_from + 6 && runs[0].differs.is_none(),
        "{stopped}"
    );
}

/// A clock that went back by ten minutes while the steward was down, and one that went on by ten.
#[test]
fn times_that_are_known_follow_a_clock_that_jumped() {
    let mut core = Core::new(&site(false), 7, 1, START, Time::from_micros(START));
    let give = |core: &mut Core, at: u64, input| {
        core.handle(Time::from_micros(at), input);
        while core.next_output().is_some() {}
    };
    let hosts: Vec<_> = (0..8).map(|n| host(n, HostState::Ready, None)).collect();
    give(
        &mut core,
        START,
        Input::List {
            version: Some(1),
            hosts: hosts.clone(),
        },
    );
    let mut later = hosts;
    later.push(host(8, HostState::Ready, None));
    later[2].state = HostState::Drain;
    give(
        &mut core,
        START + 5_000_000,
        Input::List {
            version: Some(2),
            hosts: later,
        },
    );
    let known = core.remembered();
    for jump in [-600_000_000i64, 600_000_000] {
        // 3 s later by the machine's own count.
        let now = (START as i64 + 8_000_000 + jump) as u64;
        let moved = known.clone().by_clock(now, 3_000_000);
        let of = |n: usize| moved.hosts()[n].clone();
        assert_eq!(
            now - of(2).told_away_us.expect("told"),
            3_000_000,
            "the drain was told 3 s ago"
        );
        assert_eq!(
            now - of(8).started_us,
            3_000_000,
            "the host is 3 s old, and cold"
        );
        assert_eq!(of(0).started_us, 0, "this one has long run");
    }
}

/// The list says that another process has the name: the old one was known to the run that died.
#[test]
fn a_host_replaced_under_its_name_while_the_steward_was_down_is_cold() {
    let mut first = Core::new(&site(false), 7, 1, START, Time::from_micros(START));
    let hosts: Vec<_> = (0..8).map(|n| host(n, HostState::Ready, None)).collect();
    first.handle(
        Time::from_micros(START),
        Input::List {
            version: Some(4),
            hosts: hosts.clone(),
        },
    );
    let known = first.remembered();
    let at = START + 60_000_000;
    let mut next = Core::new(&site(false), 9, 2, START + 1, Time::from_micros(at));
    next.handle(Time::from_micros(at), Input::Recovered(Box::new(known)));
    let mut later = hosts;
    later[3].address.set_port(9_000);
    later[4].started = Some((at - 2_000_000) as f64 / 1e6);
    next.handle(
        Time::from_micros(at + 10),
        Input::List {
            version: Some(5),
            hosts: later.clone(),
        },
    );
    let started = |core: &Core, n: usize| core.remembered().hosts()[n].started_us;
    assert_eq!(
        (started(&next, 3), started(&next, 4), started(&next, 5)),
        (at + 10, at - 2_000_000, 0)
    );
    // An older copy of the file is refused also over a restart.
    next.handle(
        Time::from_micros(at + 20),
        Input::List {
            version: Some(3),
            hosts: Vec::new(),
        },
    );
    assert_eq!(next.remembered().hosts().len(), 8);
}

/// The list was lost in a gap, and what is on record tells of no host: no list has come, and what proxies hold stands.
#[test]
fn records_without_a_host_are_no_list() {
    let mut core = Core::new(&site(false), 7, 1, START, Time::from_micros(START));
    core.handle(Time::from_micros(START), Input::Recovered(Box::default()));
    let mut now = START;
    let mut give = |core: &mut Core, input: Input| {
        now += 50_000;
        core.handle(Time::from_micros(now), input);
        while core.next_output().is_some() {}
    };
    give(
        &mut core,
        Input::Command {
            caller: 1,
            level: 3,
            line: "help".into(),
        },
    );
    for _ in 0..100 {
        give(&mut core, Input::Tick);
    }
    let hosts = (0..8).map(|n| host(n, HostState::Ready, None)).collect();
    give(
        &mut core,
        Input::List {
            version: Some(1),
            hosts,
        },
    );
    assert_eq!(core.remembered().hosts().len(), 8);
}
