//! Tests of the literal text of every message on the platform's wire: a rename in the code must not change it.

mod config;
mod registry;
mod relay;
mod report;
