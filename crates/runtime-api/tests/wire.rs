//! Commands and replies are read as they were written, however the stream is split, and arbitrary input causes no
//! panic.

use bytes::{BufMut, BytesMut};
use pondarch_runtime_api::codec::{MAX_LINE_BYTES, MAX_REPLY_BYTES, framed_reply};
use pondarch_runtime_api::command::{WeightArgument, parse_line};
use pondarch_runtime_api::info::{Info, read_map, write_map};
use pondarch_runtime_api::stat::{self, AttemptTotals, RowType, StatRow};
use pondarch_runtime_api::state::{self, ServerState};
use pondarch_runtime_api::*;
use proptest::prelude::*;
use std::time::Duration;
use tokio_util::codec::Decoder;

fn name() -> impl Strategy<Value = String> {
    "[a-z][a-z0-9_.:-]{0,12}"
}

/// Words with characters that must be escaped.
fn word() -> impl Strategy<Value = String> {
    "[a-z0-9;\\\\ é]{1,12}".prop_filter(
        "spaces at the end of a command are not distinguished",
        |w| !w.trim().is_empty(),
    )
}

fn command() -> impl Strategy<Value = Command> {
    let server = || (name(), name()).prop_map(|(b, s)| ServerRef::new(&b, &s));
    let state = prop_oneof![
        Just(AdminState::Ready),
        Just(AdminState::Drain),
        Just(AdminState::Maint)
    ];
    let addr = || {
        (any::<[u8; 4]>(), 1..u16::MAX)
            .prop_map(|(ip, port)| std::net::SocketAddr::from((ip, port)))
    };
    let version = || prop::option::of(1..1000u64);
    prop_oneof![
        Just(Command::ShowInfo { json: false }),
        Just(Command::ShowStat { json: true }),
        Just(Command::Prompt(PromptMode::Interactive)),
        prop::option::of(name()).prop_map(Command::ShowServersState),
        prop::option::of(name()).prop_map(Command::ShowServersConn),
        (name(), version()).prop_map(|(map, version)| Command::ShowMap { map, version }),
        (name(), word()).prop_map(|(map, key)| Command::GetMap { map, key }),
        (name(), version(), word(), word()).prop_map(|(map, version, key, value)| {
            Command::AddMap {
                map,
                version,
                key,
                value,
            }
        }),
        (name(), word(), word()).prop_map(|(map, key, value)| Command::SetMap { map, key, value }),
        (name(), word()).prop_map(|(map, key)| Command::DelMap { map, key }),
        (name(), version()).prop_map(|(map, version)| Command::ClearMap { map, version }),
        name().prop_map(|map| Command::PrepareMap { map }),
        (name(), 1..1000u64).prop_map(|(map, version)| Command::CommitMap { map, version }),
        (server(), 0..=256u16)
            .prop_map(|(s, w)| Command::SetWeight(s, WeightArgument::Absolute(w))),
        (server(), state).prop_map(|(s, state)| Command::SetState(s, state)),
        (server(), addr()).prop_map(|(s, a)| Command::SetAddr(s, a.ip(), Some(a.port()))),
        (server(), addr(), prop::option::of(0..=256u16)).prop_map(|(server, addr, weight)| {
            Command::AddServer {
                server,
                addr,
                weight,
            }
        }),
        server().prop_map(Command::DelServer),
        server().prop_map(Command::GetWeight),
    ]
}

fn row() -> impl Strategy<Value = StatRow> {
    (
        name(),
        name(),
        any::<[u16; 8]>(),
        any::<bool>(),
        any::<[u32; 3]>(),
    )
        .prop_map(|(backend, server, counters, has_totals, totals)| {
            let [
                current,
                total,
                queued,
                denied,
                connect,
                response,
                five,
                weight,
            ] = counters.map(u64::from);
            StatRow {
                backend,
                server,
                row_type: RowType::Server,
                current_sessions: current,
                total_sessions: total,
                queued_requests: queued,
                denied_requests: denied,
                connect_errors: connect,
                response_errors: response,
                status: "UP".into(),
                weight,
                responses_by_status_class: [0, total, 0, 0, five],
                mean_response_time: Duration::from_millis(queued),
                addr: "127.0.0.1:80".into(),
                exact_totals: has_totals.then(|| AttemptTotals {
                    succeeded: totals[0].into(),
                    failed: totals[1].into(),
                    succeeded_duration: Duration::from_millis(totals[2].into()),
                }),
                ..StatRow::default()
            }
        })
}

/// All items that a decoder returns for these bytes in chunks of this size; the last is `None` after an error.
fn decoded<D: Decoder>(mut decoder: D, bytes: &[u8], chunk_size: usize) -> Vec<Option<D::Item>> {
    let (mut buffer, mut out) = (BytesMut::new(), Vec::new());
    for chunk in bytes.chunks(chunk_size.max(1)) {
        buffer.put_slice(chunk);
        loop {
            match decoder.decode(&mut buffer) {
                Ok(Some(item)) => out.push(Some(item)),
                Ok(None) => break,
                Err(_) => {
                    out.push(None);
                    return out;
                }
            }
        }
    }
    out
}

proptest! {
    #[test]
    fn commands_are_read_as_they_are_written(commands in prop::collection::vec(command(), 1..8)) {
        let line = commands.iter().map(Command::to_string).collect::<Vec<_>>().join("; ");
        let read: Result<Vec<Command>, _> = parse_line(&line).into_iter().collect();
        prop_assert_eq!(read, Ok(commands));
    }

    #[test]
    fn arbitrary_text_is_a_command_or_a_short_error(text in ".{0,300}") {
        for error in parse_line(&text).into_iter().filter_map(Result::err) {
            prop_assert!(error.to_string().len() < 1_000);
        }
    }

    #[test]
    fn codecs_accept_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..2_000), chunk_size in 1..64usize) {
        decoded(ServerCodec::default(), &bytes, chunk_size);
        decoded(ClientCodec::default(), &bytes, chunk_size);
    }

    /// Each reply is decoded once and in full, however the bytes are split.
    #[test]
    fn replies_are_framed(texts in prop::collection::vec("([a-z# ,.]{1,20}\n){0,4}", 1..6), chunk_size in 1..40usize) {
        let bytes: String = texts.iter().map(|text| framed_reply(text)).collect();
        let out = decoded(ClientCodec::default(), bytes.as_bytes(), chunk_size);
        let expected: Vec<Option<String>> = texts.iter().map(|text| Some(text.trim_end_matches('\n').to_string())).collect();
        prop_assert_eq!(out, expected);
    }

    #[test]
    fn stat_is_read_as_it_is_written(rows in prop::collection::vec(row(), 0..20)) {
        let text = stat::write(&rows);
        let read = stat::read(text.trim_end()).expect("stat");
        prop_assert_eq!(read, rows);
    }

    #[test]
    fn readers_of_replies_accept_arbitrary_text(text in "(# pxname,svname,type,stot\n|1\n# be_name srv_name\n|0x1 )?.{0,200}") {
        stat::read(&text).ok();
        state::read_state(&text).ok();
        read_map(&text);
        Info::read(&text);
    }

    #[test]
    fn state_is_read_as_it_is_written(names in prop::collection::btree_set(name(), 0..20), weight in 0..=256u16) {
        let states = [AdminState::Ready, AdminState::Drain, AdminState::Maint];
        let server = |(n, server): (usize, String)| ServerState {
            backend: "proof".into(),
            server,
            addr: ([127, 0, 0, 1], 8000 + n as u16).into(),
            state: states[n % 3],
            weight,
            connections_in_use: 0,
            seconds_since_change: n as u64,
        };
        let servers: Vec<ServerState> = names.into_iter().enumerate().map(server).collect();
        let read = state::read_state(state::write_state(&servers).trim_end());
        prop_assert_eq!(read, Ok(servers));
    }
}

#[test]
fn a_line_or_reply_over_the_limit_is_an_error() {
    let long_line = vec![b'a'; 4 * MAX_LINE_BYTES];
    let mut buffer = BytesMut::from(&long_line[..]);
    assert!(ServerCodec::default().decode(&mut buffer).is_err());
    let line = format!("{}\n", "a".repeat(MAX_LINE_BYTES));
    let out = decoded(ServerCodec::default(), line.as_bytes(), 1000);
    assert!(matches!(out[..], [Some(ServerFrame::Line(_))]));
    let long_reply = vec![b'a'; MAX_REPLY_BYTES + 2];
    assert!(
        ClientCodec::default()
            .decode(&mut BytesMut::from(&long_reply[..]))
            .is_err()
    );
}

#[test]
fn a_line_that_is_not_utf8_does_not_end_the_stream() {
    let out = decoded(ServerCodec::default(), b"show \xff info\nshow info\r\n", 3);
    let line = ServerFrame::Line("show info".into());
    assert_eq!(out, [Some(ServerFrame::NotUtf8), Some(line)]);
}

#[test]
fn prompts_before_replies_are_skipped() {
    let out = decoded(ClientCodec::default(), b"\n> one\n\n> \n> two\n\n", 1);
    assert_eq!(
        out,
        [
            Some(String::new()),
            Some("one".into()),
            Some(String::new()),
            Some("two".into())
        ]
    );
}

/// The peer is of another version: it has fewer columns, a new one, and none of this project.
#[test]
fn documented_columns_suffice() {
    let text = "# pxname,svname,scur,stot,econ,eresp,hrsp_5xx,type,rtime,new_one,\n\
        proof,host-1,2,42,3,2,5,2,80,x,\nproof,BACKEND,2,42,,,,1,,,";
    let rows = stat::read(text).expect("stat");
    let totals = AttemptTotals {
        succeeded: 30,
        failed: 10,
        succeeded_duration: Duration::from_millis(2_400),
    };
    assert_eq!(rows[0].attempt_totals(), totals);
    assert_eq!(rows[1].row_type, RowType::Backend);
    assert!(stat::read("Permission denied").is_err());
    let error = stat::read("# pxname,svname,stot\na,b,many").expect_err("not a counter");
    assert_eq!(
        error.to_string(),
        "'show stat', row 1: 'many' is no counter"
    );
}

#[test]
fn error_messages_name_the_fault() {
    let error = |text: &str| Command::parse(text).expect_err(text).to_string();
    assert_eq!(
        error("frobnicate"),
        "Unknown command: 'frobnicate'. Type 'help' for the list of commands."
    );
    assert_eq!(
        error("set server nobackend weight 1"),
        "Require 'backend/server', got 'nobackend'."
    );
    assert_eq!(
        error("set server a/b weight 257"),
        "Malformed weight '257': a whole number from 0 to 256, or 0 to 100 with '%'."
    );
    assert_eq!(
        error("set server a/b"),
        "'set server' needs 'addr', 'state' or 'weight'."
    );
    assert_eq!(error("show stat now"), "'show stat' takes no word 'now'.");
    assert_eq!(
        error("add server a/b localhost"),
        "Malformed address 'localhost'."
    );
    let map = write_map(
        [("k".to_string(), "v w".to_string())]
            .iter()
            .map(|(k, v)| (k, v)),
    );
    assert_eq!(
        read_map(map.trim_end()).map(|m| m["k"].clone()),
        Some("v w".into())
    );
}
