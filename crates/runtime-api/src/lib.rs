//! The runtime API, which follows that of HAProxy: the formats of server and client, without input or output.
//!
//! Source: the HAProxy management guide, chapters 9.1 (CSV format) and 9.3 (Unix socket commands). A line has one command
//! or several that are separated by `;`. Each reply ends with an empty line. `prompt` keeps the connection open.
//!
//! - `command`: commands as types, parsed and written, and the level that each one requires.
//! - `line_answers`: the answers to the commands of one line, with a limit on their size.
//! - `tokenizer`: splits a line into commands and a command into words.
//! - `codec`: framing for a server (lines in, replies out) and for a client (lines out, replies in).
//! - `stat`, `state`, `info`: the tables that `show stat`, `show servers state`, `show info` and `show map` print.

// `Command::parse` and its `Display` list all commands in one `match`. Commands, their fields and the columns of
// `show stat` have no docs where their name is that of the wire.
#![allow(clippy::too_many_lines, missing_docs)]

pub mod codec;
pub mod command;
pub mod info;
pub mod line_answers;
pub mod stat;
pub mod state;
mod tokenizer;

pub use codec::{ClientCodec, CodecError, ServerCodec, ServerFrame};
pub use command::{AdminState, Command, CommandError, Level, PromptMode, ServerRef};
