//! pondarch: a table manager that assigns hosts to proxies.
//! `decide` holds every decision, `types` the data that goes in and comes out.

pub mod decide;
pub mod types;

pub use decide::Steward;
