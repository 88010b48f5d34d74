//! What crosses the wire: written and read again, cut in pieces, and fed with anything at all.

use bytes::{BufMut, BytesMut};
use pondarch_runtime_api::codec::{ANSWER_MOST, LINE_MOST, framed_answer};
use pondarch_runtime_api::command::{GivenWeight, parse_line};
use pondarch_runtime_api::info::{Info, read_map, write_map};
use pondarch_runtime_api::stat::{self, RowType, StatRow, Sums};
use pondarch_runtime_api::state::{self, ServerState};
use pondarch_runtime_api::*;
use proptest::prelude::*;
use std::time::Duration;
use tokio_util::codec::Decoder;

fn name() -> impl Strategy<Value = String> {
    "[a-z][a-z0-9_.:-]{0,12}"
}

/// Words with everything that must be guarded.
fn word() -> impl Strategy<Value = String> {
    "[a-z0-9;\\\\ é]{1,12}".prop_filter("a blank at the end is not told apart", |w| {
        !w.trim().is_empty()
    })
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
        (server(), 0..=256u16).prop_map(|(s, w)| Command::SetWeight(s, GivenWeight::Units(w))),
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
        .prop_map(|(backend, server, n, own, sums)| {
            let [
                current,
                total,
                queued,
                denied,
                connect,
                response,
                five,
                weight,
            ] = n.map(u64::from);
            StatRow {
                backend,
                server,
                of: RowType::Server,
                current,
                total,
                queued,
                denied,
                connect_errors: connect,
                response_errors: response,
                status: "UP".into(),
                weight,
                answers: [0, total, 0, 0, five],
                mean: Duration::from_millis(queued),
                addr: "127.0.0.1:80".into(),
                sums: own.then(|| Sums {
                    done: sums[0].into(),
                    errored: sums[1].into(),
                    done_time: Duration::from_millis(sums[2].into()),
                }),
                ..StatRow::default()
            }
        })
}

/// All that a decoder gives for these bytes, fed in pieces of this size.
fn decoded<D: Decoder>(mut decoder: D, bytes: &[u8], piece: usize) -> Vec<Option<D::Item>> {
    let (mut buffer, mut out) = (BytesMut::new(), Vec::new());
    for piece in bytes.chunks(piece.max(1)) {
        buffer.put_slice(piece);
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
    fn any_text_is_a_command_or_an_error(text in ".{0,300}") {
        for wrong in parse_line(&text).into_iter().filter_map(Result::err) {
            prop_assert!(wrong.to_string().len() < 1_000);
        }
    }

    #[test]
    fn any_bytes_pass_the_codecs(bytes in prop::collection::vec(any::<u8>(), 0..2_000), piece in 1..64usize) {
        decoded(ServerCodec::default(), &bytes, piece);
        decoded(ClientCodec::default(), &bytes, piece);
    }

    /// However the bytes fall into pieces, each answer comes out once and whole.
    #[test]
    fn answers_are_framed(texts in prop::collection::vec("([a-z# ,.]{1,20}\n){0,4}", 1..6), piece in 1..40usize) {
        let bytes: String = texts.iter().map(|text| framed_answer(text)).collect();
        let out = decoded(ClientCodec::default(), bytes.as_bytes(), piece);
        let due: Vec<Option<String>> = texts.iter().map(|text| Some(text.trim_end_matches('\n').to_string())).collect();
        prop_assert_eq!(out, due);
    }

    #[test]
    fn stat_is_read_as_it_is_written(rows in prop::collection::vec(row(), 0..20)) {
        let text = stat::write(&rows);
        let read = stat::read(text.trim_end()).expect("our own stat");
        prop_assert_eq!(read, rows);
    }

    #[test]
    fn any_text_as_stat_or_state_or_map(text in "(# pxname,svname,type,stot\n|1\n# be_name srv_name\n|0x1 )?.{0,200}") {
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
            used: 0,
            changed_s: n as u64,
        };
        let servers: Vec<ServerState> = names.into_iter().enumerate().map(server).collect();
        let read = state::read_state(state::write_state(&servers).trim_end());
        prop_assert_eq!(read, Ok(servers));
    }
}

#[test]
fn lines_too_long_end_the_stream_and_hold_no_more_than_they_must() {
    let long = vec![b'a'; 4 * LINE_MOST];
    let mut buffer = BytesMut::from(&long[..]);
    assert!(ServerCodec::default().decode(&mut buffer).is_err());
    let line = format!("{}\n", "a".repeat(LINE_MOST));
    let out = decoded(ServerCodec::default(), line.as_bytes(), 1000);
    assert!(matches!(out[..], [Some(ServerFrame::Line(_))]));
    let endless = vec![b'a'; ANSWER_MOST + 2];
    assert!(
        ClientCodec::default()
            .decode(&mut BytesMut::from(&endless[..]))
            .is_err()
    );
}

#[test]
fn bad_utf8_is_told_apart_and_the_stream_goes_on() {
    let out = decoded(ServerCodec::default(), b"show \xff info\nshow info\r\n", 3);
    let line = ServerFrame::Line("show info".into());
    assert_eq!(out, [Some(ServerFrame::Garbled), Some(line)]);
}

#[test]
fn prompts_before_answers_are_passed_over() {
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

/// A peer of another version: fewer columns, others behind, none of ours.
#[test]
fn a_plain_peer_is_read_by_the_documented_columns() {
    let text = "# pxname,svname,scur,stot,econ,eresp,hrsp_5xx,type,rtime,new_one,\n\
        proof,host-1,2,42,3,2,5,2,80,x,\nproof,BACKEND,2,42,,,,1,,,";
    let rows = stat::read(text).expect("stat");
    let sums = Sums {
        done: 30,
        errored: 10,
        done_time: Duration::from_millis(2_400),
    };
    assert_eq!(rows[0].ended(), sums);
    assert_eq!(rows[1].of, RowType::Backend);
    assert!(stat::read("Permission denied").is_err());
    let wrong = stat::read("# pxname,svname,stot\na,b,many").expect_err("no counter");
    assert_eq!(
        wrong.to_string(),
        "'show stat', row 1: 'many' is no counter"
    );
}

#[test]
fn messages_are_plain() {
    let wrong = |text: &str| Command::parse(text).expect_err(text).to_string();
    assert_eq!(
        wrong("frobnicate"),
        "Unknown command: 'frobnicate'. Type 'help' for the list of commands."
    );
    assert_eq!(
        wrong("set server nobackend weight 1"),
        "Require 'backend/server', got 'nobackend'."
    );
    assert_eq!(
        wrong("set server a/b weight 257"),
        "Malformed weight '257': a whole number from 0 to 256, or 0 to 100 with '%'."
    );
    assert_eq!(
        wrong("set server a/b"),
        "'set server' needs 'addr', 'state' or 'weight'."
    );
    assert_eq!(wrong("show stat now"), "'show stat' takes no word 'now'.");
    assert_eq!(
        wrong("add server a/b localhost"),
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
