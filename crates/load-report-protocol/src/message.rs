//! Messages, and their codec.

use bytes::{BufMut, Bytes, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::marker::PhantomData;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Longest message, in bytes.
const LONGEST: usize = 1 << 20;
/// Rises where an older end could not go on.
pub const VERSION: u16 = 1;

#[derive(Debug, Error)]
pub enum PushError {
    #[error("the stream: {0}")]
    Io(#[from] std::io::Error),
    #[error("a message that cannot be read")]
    Garbled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SenderIs {
    Proxy,
    Host,
}

/// The first message of a sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub version: u16,
    pub name: String,
    pub is: SenderIs,
    /// Tells its starts apart; rises with each.
    pub run: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToSteward {
    Hello(Hello),
    Report(Report),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToSender {
    /// So many more reports may be sent. `at_us`: when this was said, by the steward's clock.
    Credit {
        more: u32,
        at_us: u64,
    },
    Refused {
        why: String,
    },
}

/// One report. Times in microseconds by the sender's clock, unless said otherwise.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Rises by one with each period, also where a report was not sent.
    pub number: u64,
    pub sent_us: u64,
    /// The newest word of the steward that the sender had, by the steward's clock, and how long it had had it; 0, 0: none.
    #[serde(default)]
    pub word_us: u64,
    #[serde(default)]
    pub had_us: u64,
    #[serde(default)]
    pub body: Body,
}

/// What is reported.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Body {
    /// A proxy's counters.
    #[serde(default)]
    pub counted: Vec<Counted>,
    /// A host's word on itself.
    #[serde(default)]
    pub own: Option<Own>,
}

/// A proxy's counters since it started: of a backend's server, or, without a server, of the backend.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counted {
    pub backend: String,
    #[serde(default)]
    pub server: Option<String>,
    /// Reqs that came to the backend.
    #[serde(default)]
    pub reqs: u64,
    #[serde(default)]
    pub done: u64,
    #[serde(default)]
    pub errored: u64,
    /// Time that those done took, all together.
    #[serde(default)]
    pub done_us: u64,
    /// What the host said of its load in its last answer: busy part of its cores, reqs waiting.
    #[serde(default)]
    pub busy: Option<f64>,
    #[serde(default)]
    pub waiting: Option<f64>,
}

/// What a host says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Own {
    #[serde(default)]
    pub busy: Option<f64>,
    #[serde(default)]
    pub waiting: Option<f64>,
    #[serde(default)]
    pub service_ms: Option<f64>,
    #[serde(default)]
    pub rate: Option<f64>,
    #[serde(default)]
    pub errored_rate: Option<f64>,
}

/// Reads `In` and writes `Out`.
#[derive(Debug)]
pub struct Codec<In, Out> {
    frames: LengthDelimitedCodec,
    of: PhantomData<fn(Out) -> In>,
}

impl<In, Out> Default for Codec<In, Out> {
    fn default() -> Codec<In, Out> {
        let frames = LengthDelimitedCodec::builder()
            .max_frame_length(LONGEST)
            .new_codec();
        Codec {
            frames,
            of: PhantomData,
        }
    }
}

impl<In: DeserializeOwned, Out> Decoder for Codec<In, Out> {
    type Item = In;
    type Error = PushError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<In>, PushError> {
        match self.frames.decode(bytes)? {
            Some(frame) => rmp_serde::from_slice(&frame)
                .map(Some)
                .map_err(|_| PushError::Garbled),
            None => Ok(None),
        }
    }
}

impl<In, Out: Serialize> Encoder<&Out> for Codec<In, Out> {
    type Error = PushError;

    fn encode(&mut self, message: &Out, bytes: &mut BytesMut) -> Result<(), PushError> {
        let mut out = BytesMut::new().writer();
        rmp_serde::encode::write_named(&mut out, message).map_err(|_| PushError::Garbled)?;
        let frame: Bytes = out.into_inner().freeze();
        Ok(self.frames.encode(frame, bytes)?)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    type Steward = Codec<ToSteward, ToSender>;
    type Far = Codec<ToSender, ToSteward>;

    #[test]
    fn what_is_written_is_read_also_by_an_older_or_newer_end() {
        let counted = Counted {
            backend: "proof".into(),
            server: Some("a".into()),
            done: 7,
            ..Counted::default()
        };
        let report = Report {
            number: 3,
            sent_us: 9,
            word_us: 0,
            had_us: 0,
            body: Body {
                counted: vec![counted],
                own: None,
            },
        };
        let mut bytes = BytesMut::new();
        Far::default()
            .encode(&ToSteward::Report(report.clone()), &mut bytes)
            .expect("written");
        assert_eq!(
            Steward::default().decode(&mut bytes).expect("read"),
            Some(ToSteward::Report(report))
        );
        // A newer end has a field more, an older one lacks some.
        #[derive(Serialize)]
        struct Newer {
            number: u64,
            sent_us: u64,
            sealed: bool,
        }
        let body = rmp_serde::to_vec_named(&std::collections::BTreeMap::from([(
            "Report",
            Newer {
                number: 4,
                sent_us: 8,
                sealed: true,
            },
        )]))
        .expect("written");
        let mut bytes = BytesMut::new();
        bytes.put_u32(body.len() as u32);
        bytes.extend(body);
        let read = Steward::default().decode(&mut bytes).expect("read");
        assert_eq!(
            read,
            Some(ToSteward::Report(Report {
                number: 4,
                sent_us: 8,
                ..Report::default()
            }))
        );
    }

    proptest! {
        #[test]
        fn any_bytes_are_an_error_or_wait_for_more(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let mut bytes = BytesMut::from(bytes.as_slice());
            let mut codec = Steward::default();
            while let Ok(Some(_)) = codec.decode(&mut bytes) {}
        }
    }
}
