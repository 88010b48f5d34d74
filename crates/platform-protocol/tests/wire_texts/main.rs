//! The literal text of every message that crosses the platform's wire: a renaming in the code must leave it as it is.

mod config;
mod registry;
mod relay;
mod report;
