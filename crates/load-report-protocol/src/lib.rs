//! Load reports that proxies and hosts push to a controller over a stream.
//!
//! Each message is a length (u32, big-endian, at most 1 MiB) followed by MessagePack with field names, so that either end
//! may be newer: unknown fields are ignored and absent ones take their defaults. A sender identifies itself, is granted
//! credit for a number of reports, and gets one more for each report that was accepted. Without credit it sends nothing;
//! its next report still covers everything, as counters run from the start of the sender, not from the last report.
//!
//! - `message`: messages and their codec.
//! - `sender`: when a sender may send a report, without I/O.

pub mod message;
mod recorded_debug;
pub mod sender;

pub use message::{
    Codec, CodecError, Hello, HostMetrics, ProxyCounters, Report, ReportBody, SenderRole,
    ToController, ToSender,
};
pub use sender::ReportSender;
