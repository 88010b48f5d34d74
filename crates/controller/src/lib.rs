//! pondarch: a table manager that assigns hosts to proxies.
//! `decide` holds every decision, `types` the data that goes in and comes out.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines, clippy::wildcard_imports, missing_docs)]

pub mod decide;
pub mod types;

pub use decide::Steward;
