//! Answers DNS queries from tables and transfers the zone to secondaries. Takes and returns packets; no I/O and no
//! clock.
//!
//! - `zone`: the names of the zone and what each stands for.
//! - `view`: the tables, bindings and host addresses that answers are made from.
//! - `answerer`: turns the packet of a query into a reply; `request` reads the query, `response` and `reply` write the
//!   reply.
//! - `fitting`: limits an answer to its maximum size.
//! - `client`: the client's side: encodes queries and decodes answers.
//! - `rows`, `journal`, `transfer`, `tsig`: signed zone transfers to secondaries, as a whole or as differences.
//! - `secondary`: the secondary's side of zone transfers.

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
