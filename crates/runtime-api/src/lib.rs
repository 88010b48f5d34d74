//! The runtime API in the manner of HAProxy's socket, both ends, without any socket.
//!
//! Source: the HAProxy management guide, chapters 9.1 (CSV format) and 9.3 (Unix socket commands). One command a
//! line, `;` between several; each answer ends with an empty line; `prompt` keeps the connection open.
//!
//! - `command`: the commands as types, parsed and written; the level each one needs.
//! - `codec`: framing for a server (lines in, answers out) and for a client (lines out, answers in).
//! - `stat`, `state`, `info`: the tables that `show stat`, `show servers state`, `show info` and `show map` print.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines, missing_docs)]

pub mod codec;
pub mod command;
pub mod info;
pub mod stat;
pub mod state;
mod words;

pub use codec::{ClientCodec, CodecError, ServerCodec, ServerFrame};
pub use command::{AdminState, Command, CommandError, Level, PromptMode, ServerRef};
