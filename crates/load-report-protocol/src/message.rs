//! Messages, and their codec.

use bytes::{BufMut, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::marker::PhantomData;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Version of the protocol. It is raised by a change that an older end could not handle.
pub const PROTOCOL_VERSION: u16 = 1;

/// Why a message could not be read or written.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The stream failed, or a message exceeds the size limit.
    #[error("the load report stream failed: {0}")]
    Io(#[from] std::io::Error),
    /// The bytes are not a message of this protocol.
    #[error("malformed load report message")]
    Malformed,
}

/// What kind of process sends reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SenderRole {
    /// A proxy, which reports its counters.
    Proxy,
    /// A host, which reports its own load.
    Host,
}

/// The first message of a sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version of the sender.
    pub version: u16,
    /// Name of the proxy or host.
    pub name: String,
    /// Whether it is a proxy or a host.
    #[serde(rename = "is")]
    pub role: SenderRole,
    /// Rises with each start of the sender.
    #[serde(rename = "run")]
    pub incarnation: u64,
}

/// A message from a sender to the controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToController {
    /// Identifies the sender.
    Hello(Hello),
    /// One load report.
    Report(Report),
}

/// A message from the controller to a sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToSender {
    /// Allows further reports.
    Credit {
        /// How many more reports may be sent.
        #[serde(rename = "more")]
        reports: u32,
        /// When the message was sent, in microseconds by the controller's clock.
        at_us: u64,
    },
    /// The sender is rejected.
    #[serde(rename = "Refused")]
    Rejected {
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// One report. Times are in microseconds by the sender's clock, unless stated otherwise.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Rises by one with each report period, also where no report was sent.
    pub number: u64,
    /// When the report was sent.
    pub sent_us: u64,
    /// Timestamp of the latest credit message that the sender had received, by the controller's clock; 0 if none.
    #[serde(default, rename = "word_us")]
    pub echo_us: u64,
    /// Time from the receipt of that credit message to the sending of this report; 0 if none was received.
    #[serde(default, rename = "had_us")]
    pub echo_delay_us: u64,
    /// What is reported.
    #[serde(default)]
    pub body: ReportBody,
}

/// What is reported.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportBody {
    /// Counters of a proxy.
    #[serde(default, rename = "counted")]
    pub counters: Vec<ProxyCounters>,
    /// Load of a host, as the host itself measures it.
    #[serde(default, rename = "own")]
    pub host_metrics: Option<HostMetrics>,
}

/// Counters of a proxy since it started: of one server of a backend or, without a server, of the backend.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ProxyCounters {
    /// Name of the backend.
    pub backend: String,
    /// Name of the server; none for the backend's own counters.
    #[serde(default)]
    pub server: Option<String>,
    /// Requests that arrived at the backend.
    #[serde(default, rename = "reqs")]
    pub requests: u64,
    /// Attempts that succeeded.
    #[serde(default, rename = "done")]
    pub succeeded: u64,
    /// Attempts that failed.
    #[serde(default, rename = "errored")]
    pub failed: u64,
    /// Total time of the attempts that succeeded, in microseconds.
    #[serde(default, rename = "done_us")]
    pub success_time_us: u64,
    /// Busy part of the host's cores, as its latest response reported it.
    #[serde(default, rename = "busy")]
    pub utilization: Option<f64>,
    /// Requests that wait at the host, as its latest response reported them.
    #[serde(default, rename = "waiting")]
    pub queue_length: Option<f64>,
}

/// Load of a host, as the host itself measures it.
#[derive(Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct HostMetrics {
    /// Busy part of all cores, 0 to 1.
    #[serde(default, rename = "busy")]
    pub utilization: Option<f64>,
    /// Requests that wait.
    #[serde(default, rename = "waiting")]
    pub queue_length: Option<f64>,
    /// Recent service time without waiting, in milliseconds.
    #[serde(default, rename = "service_ms")]
    pub service_time_ms: Option<f64>,
    /// Requests that ended, a second.
    #[serde(default, rename = "rate")]
    pub request_rate: Option<f64>,
    /// Requests that failed, a second.
    #[serde(default, rename = "errored_rate")]
    pub failure_rate: Option<f64>,
}

/// Reads messages of type `In` and writes messages of type `Out`.
#[derive(Debug)]
pub struct Codec<In, Out> {
    frames: LengthDelimitedCodec,
    direction: PhantomData<fn(Out) -> In>,
}

impl<In, Out> Default for Codec<In, Out> {
    fn default() -> Codec<In, Out> {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_MESSAGE_BYTES)
            .new_codec();
        Codec {
            frames,
            direction: PhantomData,
        }
    }
}

impl<In: DeserializeOwned, Out> Decoder for Codec<In, Out> {
    type Item = In;
    type Error = CodecError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<In>, CodecError> {
        match self.frames.decode(bytes)? {
            Some(frame) => rmp_serde::from_slice(&frame)
                .map(Some)
                .map_err(|_| CodecError::Malformed),
            None => Ok(None),
        }
    }
}

impl<In, Out: Serialize> Encoder<&Out> for Codec<In, Out> {
    type Error = CodecError;

    fn encode(&mut self, message: &Out, bytes: &mut BytesMut) -> Result<(), CodecError> {
        let mut writer = BytesMut::new().writer();
        rmp_serde::encode::write_named(&mut writer, message).map_err(|_| CodecError::Malformed)?;
        let frame: Bytes = writer.into_inner().freeze();
        Ok(self.frames.encode(frame, bytes)?)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    type ControllerCodec = Codec<ToController, ToSender>;
    type SenderCodec = Codec<ToSender, ToController>;

    #[test]
    fn reports_round_trip_and_tolerate_unknown_and_absent_fields() {
        let counters = ProxyCounters {
            backend: "proof".into(),
            server: Some("a".into()),
            succeeded: 7,
            ..ProxyCounters::default()
        };
        let report = Report {
            number: 3,
            sent_us: 9,
            echo_us: 0,
            echo_delay_us: 0,
            body: ReportBody {
                counters: vec![counters],
                host_metrics: None,
            },
        };
        let mut bytes = BytesMut::new();
        SenderCodec::default()
            .encode(&ToController::Report(report.clone()), &mut bytes)
            .expect("encodes");
        assert_eq!(
            ControllerCodec::default()
                .decode(&mut bytes)
                .expect("decodes"),
            Some(ToController::Report(report))
        );
        // A newer sender adds a field; an older one lacks some.
        #[derive(Serialize)]
        struct NewerReport {
            number: u64,
            sent_us: u64,
            unknown: bool,
        }
        let body = rmp_serde::to_vec_named(&std::collections::BTreeMap::from([(
            "Report",
            NewerReport {
                number: 4,
                sent_us: 8,
                unknown: true,
            },
        )]))
        .expect("encodes");
        let mut bytes = BytesMut::new();
        bytes.put_u32(body.len() as u32);
        bytes.extend(body);
        let decoded = ControllerCodec::default()
            .decode(&mut bytes)
            .expect("decodes");
        assert_eq!(
            decoded,
            Some(ToController::Report(Report {
                number: 4,
                sent_us: 8,
                ..Report::default()
            }))
        );
    }

    proptest! {
        #[test]
        fn arbitrary_bytes_give_an_error_or_wait_for_more(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let mut bytes = BytesMut::from(bytes.as_slice());
            let mut codec = ControllerCodec::default();
            while let Ok(Some(_)) = codec.decode(&mut bytes) {}
        }
    }
}
