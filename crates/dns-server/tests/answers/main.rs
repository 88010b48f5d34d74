//! Answers to encoded queries.

mod fixture;
mod names;
mod tables;
