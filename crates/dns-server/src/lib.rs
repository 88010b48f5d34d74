//! Answers to DNS queries from tables. Packets in, packets out; no I/O and no clock.
//!
//! - `zone`: which names there are, and what a query for them asks for.
//! - `view`: the tables as they are answered.
//! - `answerer`: from a query's packet to the reply's; `request` reads the one, `response` and `reply` write the other.
//! - `fitting`: an answer within its maximum size.
//! - `client`: queries, and what their answers say.
//! - `rows`, `journal`, `transfer`, `tsig`: zone transfers to secondaries, whole and by differences, signed.
//! - `secondary`: the secondary's side of transfers.

mod answerer;
pub mod client;
mod fitting;
mod journal;
mod reply;
mod request;
mod response;
mod rows;
pub mod secondary;
mod transfer;
mod tsig;
mod view;
mod zone;

pub use answerer::Answerer;
pub use reply::{Reply, Transport};
pub use rows::{AliasType, Row, zone_rows};
pub use transfer::ZoneTransfers;
pub use tsig::{KeyError, TsigKey};
pub use view::{TableHost, UNBOUND_TABLE, View};
pub use zone::{LabelOwner, Question, SourceNet, TableRef, Zone, ZoneError};
