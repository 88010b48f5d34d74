//! Reports that proxies and hosts push to a steward over a stream.
//!
//! Each message is a length (u32, big-endian, 1 MiB at most) and MessagePack with the fields' names, so that either end may
//! be newer: fields it does not know are passed over, those that are absent are empty. A sender says who it is, is told how
//! many reports it may send, and gets one more for each that was taken. Without credit it sends none, and its next one
//! holds all: a report has what was counted since its sender started, not since the last one.
//!
//! - `message`: what is said, and the codec.
//! - `sender`: when a sender may send what, without I/O.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(missing_docs)]

pub mod message;
pub mod sender;

pub use message::{
    Body, Codec, Counted, Hello, Own, PushError, Report, SenderIs, ToSender, ToSteward,
};
pub use sender::Sender;
