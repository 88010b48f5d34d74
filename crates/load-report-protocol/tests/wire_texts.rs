//! The pushed messages as exact bytes: a length (four bytes, big-endian), then MessagePack with the fields' names. Each
//! literal is a message with its names as text, so that a renaming in the code must leave it as it is.

use bytes::BytesMut;
use pondarch_load_report_protocol::{
    Body, Codec, Counted, Hello, Own, Report, SenderIs, ToSender, ToSteward,
};
use tokio_util::codec::{Decoder, Encoder};

type Steward = Codec<ToSteward, ToSender>;
type Sender = Codec<ToSender, ToSteward>;

const HELLO_PROXY: &[u8] =
    b"\0\0\0\x2e\x81\xa5Hello\x84\xa7version\x01\xa4name\xa7front-0\xa2is\xa5Proxy\xa3run\xcd\x01\0";
const HELLO_HOST: &[u8] =
    b"\0\0\0\x27\x81\xa5Hello\x84\xa7version\x01\xa4name\xa3s-1\xa2is\xa4Host\xa3run\x02";
const COUNTED: &[u8] = b"\0\0\0\x96\x81\xa6Report\x85\xa6number\x03\xa7sent_us\x09\xa7word_us\x08\xa6had_us\x07\xa4body\
\x82\xa7counted\x91\x88\xa7backend\xa5proof\xa6server\xa1a\xa4reqs\x04\xa4done\x05\xa7errored\x06\xa7done_us\xcd\x03\xe8\
\xa4busy\xcb\x3f\xd0\0\0\0\0\0\0\xa7waiting\xcb\x3f\xf8\0\0\0\0\0\0\xa3own\xc0";
const OWN: &[u8] =
    b"\0\0\0\x8e\x81\xa6Report\x85\xa6number\x01\xa7sent_us\x02\xa7word_us\0\xa6had_us\0\xa4body\
\x82\xa7counted\x90\xa3own\x85\xa4busy\xcb\x3f\xd0\0\0\0\0\0\0\xa7waiting\xcb\x3f\xf8\0\0\0\0\0\0\
\xaaservice_ms\xcb\x40\0\0\0\0\0\0\0\xa4rate\xcb\x40\x08\0\0\0\0\0\0\xacerrored_rate\xc0";
const CREDIT: &[u8] = b"\0\0\0\x18\x81\xa6Credit\x82\xa4more\x02\xa5at_us\xcd\x03\x84";
const REFUSED: &[u8] = b"\0\0\0\x16\x81\xa7Refused\x81\xa3why\xa7unknown";

fn hello(name: &str, is: SenderIs, run: u64) -> ToSteward {
    ToSteward::Hello(Hello {
        version: 1,
        name: name.into(),
        is,
        run,
    })
}

fn counted() -> ToSteward {
    let counted = Counted {
        backend: "proof".into(),
        server: Some("a".into()),
        reqs: 4,
        done: 5,
        errored: 6,
        done_us: 1_000,
        busy: Some(0.25),
        waiting: Some(1.5),
    };
    let body = Body {
        counted: vec![counted],
        own: None,
    };
    ToSteward::Report(Report {
        number: 3,
        sent_us: 9,
        word_us: 8,
        had_us: 7,
        body,
    })
}

fn own() -> ToSteward {
    let (busy, waiting, service_ms) = (Some(0.25), Some(1.5), Some(2.0));
    let own = Own {
        busy,
        waiting,
        service_ms,
        rate: Some(3.0),
        errored_rate: None,
    };
    let body = Body {
        counted: vec![],
        own: Some(own),
    };
    ToSteward::Report(Report {
        number: 1,
        sent_us: 2,
        body,
        ..Report::default()
    })
}

/// As lower-case hex: what a failure shows.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn check_to_steward(message: ToSteward, expected: &[u8]) {
    let mut bytes = BytesMut::new();
    Sender::default()
        .encode(&message, &mut bytes)
        .expect("written");
    assert_eq!(hex(&bytes), hex(expected));
    let read = Steward::default()
        .decode(&mut BytesMut::from(expected))
        .expect("good bytes");
    assert!(read == Some(message));
}

fn check_to_sender(message: ToSender, expected: &[u8]) {
    let mut bytes = BytesMut::new();
    Steward::default()
        .encode(&message, &mut bytes)
        .expect("written");
    assert_eq!(hex(&bytes), hex(expected));
    let read = Sender::default()
        .decode(&mut BytesMut::from(expected))
        .expect("good bytes");
    assert!(read == Some(message));
}

#[test]
fn hello_of_a_proxy() {
    check_to_steward(hello("front-0", SenderIs::Proxy, 256), HELLO_PROXY);
}

#[test]
fn hello_of_a_host() {
    check_to_steward(hello("s-1", SenderIs::Host, 2), HELLO_HOST);
}

#[test]
fn report_of_a_proxy() {
    check_to_steward(counted(), COUNTED);
}

#[test]
fn report_of_a_host() {
    check_to_steward(own(), OWN);
}

#[test]
fn credit() {
    check_to_sender(
        ToSender::Credit {
            more: 2,
            at_us: 900,
        },
        CREDIT,
    );
}

#[test]
fn refusal() {
    check_to_sender(
        ToSender::Refused {
            why: "unknown".into(),
        },
        REFUSED,
    );
}

/// The least that a report must have; all else is empty.
#[test]
fn shortest_report() {
    let bytes = &b"\0\0\0\x1a\x81\xa6Report\x82\xa6number\x04\xa7sent_us\x08"[..];
    let read = Steward::default()
        .decode(&mut BytesMut::from(bytes))
        .expect("good bytes");
    let expected = Report {
        number: 4,
        sent_us: 8,
        ..Report::default()
    };
    assert!(read == Some(ToSteward::Report(expected)));
}

#[test]
fn malformed_messages() {
    for bytes in [
        &b"\0\0\0\x09\x81\xa6Greets\x80"[..],
        b"\0\0\0\x01\xc1",
        b"\0\0\0\x09\x81\xa6Report\x80",
    ] {
        let refusal = Steward::default()
            .decode(&mut BytesMut::from(bytes))
            .expect_err("bad bytes");
        assert_eq!(
            refusal.to_string(),
            "a message that cannot be read",
            "{}",
            hex(bytes)
        );
    }
    assert!(
        Steward::default()
            .decode(&mut BytesMut::from(&b"\0\x10\0\x01"[..]))
            .is_err()
    );
}
