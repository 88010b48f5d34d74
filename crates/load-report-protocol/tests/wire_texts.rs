//! Messages as exact bytes: a length (four bytes, big-endian), then MessagePack with field names. The literals hold the
//! names on the wire, so that a rename in the code cannot change them.

use bytes::BytesMut;
use pondarch_load_report_protocol::{
    Codec, Hello, HostMetrics, ProxyCounters, Report, ReportBody, SenderRole, ToController,
    ToSender,
};
use tokio_util::codec::{Decoder, Encoder};

type ControllerCodec = Codec<ToController, ToSender>;
type SenderCodec = Codec<ToSender, ToController>;

const HELLO_PROXY: &[u8] =
    b"\0\0\0\x2e\x81\xa5Hello\x84\xa7version\x01\xa4name\xa7front-0\xa2is\xa5Proxy\xa3run\xcd\x01\0";
const HELLO_HOST: &[u8] =
    b"\0\0\0\x27\x81\xa5Hello\x84\xa7version\x01\xa4name\xa3s-1\xa2is\xa4Host\xa3run\x02";
const PROXY_REPORT: &[u8] = b"\0\0\0\x96\x81\xa6Report\x85\xa6number\x03\xa7sent_us\x09\xa7word_us\x08\xa6had_us\x07\xa4body\
\x82\xa7counted\x91\x88\xa7backend\xa5proof\xa6server\xa1a\xa4reqs\x04\xa4done\x05\xa7errored\x06\xa7done_us\xcd\x03\xe8\
\xa4busy\xcb\x3f\xd0\0\0\0\0\0\0\xa7waiting\xcb\x3f\xf8\0\0\0\0\0\0\xa3own\xc0";
const HOST_REPORT: &[u8] =
    b"\0\0\0\x8e\x81\xa6Report\x85\xa6number\x01\xa7sent_us\x02\xa7word_us\0\xa6had_us\0\xa4body\
\x82\xa7counted\x90\xa3own\x85\xa4busy\xcb\x3f\xd0\0\0\0\0\0\0\xa7waiting\xcb\x3f\xf8\0\0\0\0\0\0\
\xaaservice_ms\xcb\x40\0\0\0\0\0\0\0\xa4rate\xcb\x40\x08\0\0\0\0\0\0\xacerrored_rate\xc0";
const CREDIT: &[u8] = b"\0\0\0\x18\x81\xa6Credit\x82\xa4more\x02\xa5at_us\xcd\x03\x84";
const REJECTION: &[u8] = b"\0\0\0\x16\x81\xa7Refused\x81\xa3why\xa7unknown";

fn hello(name: &str, role: SenderRole, incarnation: u64) -> ToController {
    ToController::Hello(Hello {
        version: 1,
        name: name.into(),
        role,
        incarnation,
    })
}

fn proxy_report() -> ToController {
    let counters = ProxyCounters {
        backend: "proof".into(),
        server: Some("a".into()),
        requests: 4,
        succeeded: 5,
        failed: 6,
        success_time_us: 1_000,
        utilization: Some(0.25),
        queue_length: Some(1.5),
    };
    let body = ReportBody {
        counters: vec![counters],
        host_metrics: None,
    };
    ToController::Report(Report {
        number: 3,
        sent_us: 9,
        echo_us: 8,
        echo_delay_us: 7,
        body,
    })
}

fn host_report() -> ToController {
    let (utilization, queue_length, service_time_ms) = (Some(0.25), Some(1.5), Some(2.0));
    let host_metrics = HostMetrics {
        utilization,
        queue_length,
        service_time_ms,
        request_rate: Some(3.0),
        failure_rate: None,
    };
    let body = ReportBody {
        counters: vec![],
        host_metrics: Some(host_metrics),
    };
    ToController::Report(Report {
        number: 1,
        sent_us: 2,
        body,
        ..Report::default()
    })
}

/// Lower-case hex, for readable assertion failures.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn check_to_controller(message: ToController, expected: &[u8]) {
    let mut bytes = BytesMut::new();
    SenderCodec::default()
        .encode(&message, &mut bytes)
        .expect("encodes");
    assert_eq!(hex(&bytes), hex(expected));
    let decoded = ControllerCodec::default()
        .decode(&mut BytesMut::from(expected))
        .expect("decodes");
    assert!(decoded == Some(message));
}

fn check_to_sender(message: ToSender, expected: &[u8]) {
    let mut bytes = BytesMut::new();
    ControllerCodec::default()
        .encode(&message, &mut bytes)
        .expect("encodes");
    assert_eq!(hex(&bytes), hex(expected));
    let decoded = SenderCodec::default()
        .decode(&mut BytesMut::from(expected))
        .expect("decodes");
    assert!(decoded == Some(message));
}

#[test]
fn hello_from_a_proxy() {
    check_to_controller(hello("front-0", SenderRole::Proxy, 256), HELLO_PROXY);
}

#[test]
fn hello_from_a_host() {
    check_to_controller(hello("s-1", SenderRole::Host, 2), HELLO_HOST);
}

#[test]
fn report_from_a_proxy() {
    check_to_controller(proxy_report(), PROXY_REPORT);
}

#[test]
fn report_from_a_host() {
    check_to_controller(host_report(), HOST_REPORT);
}

#[test]
fn credit() {
    check_to_sender(
        ToSender::Credit {
            reports: 2,
            at_us: 900,
        },
        CREDIT,
    );
}

#[test]
fn rejection() {
    check_to_sender(
        ToSender::Rejected {
            reason: "unknown".into(),
        },
        REJECTION,
    );
}

/// Only the required fields; all others take their defaults.
#[test]
fn minimal_report() {
    let bytes = &b"\0\0\0\x1a\x81\xa6Report\x82\xa6number\x04\xa7sent_us\x08"[..];
    let decoded = ControllerCodec::default()
        .decode(&mut BytesMut::from(bytes))
        .expect("decodes");
    let expected = Report {
        number: 4,
        sent_us: 8,
        ..Report::default()
    };
    assert!(decoded == Some(ToController::Report(expected)));
}

#[test]
fn malformed_messages() {
    for bytes in [
        &b"\0\0\0\x09\x81\xa6Greets\x80"[..],
        b"\0\0\0\x01\xc1",
        b"\0\0\0\x09\x81\xa6Report\x80",
    ] {
        let error = ControllerCodec::default()
            .decode(&mut BytesMut::from(bytes))
            .expect_err("malformed bytes");
        assert_eq!(
            error.to_string(),
            "malformed load report message",
            "{}",
            hex(bytes)
        );
    }
    assert!(
        ControllerCodec::default()
            .decode(&mut BytesMut::from(&b"\0\x10\0\x01"[..]))
            .is_err()
    );
}
