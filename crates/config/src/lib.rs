//! Settings and the list of hosts, both Jsonnet files, read into typed and checked values.
//!
//! - `jsonnet`: from a file to JSON, and from JSON to a type, with errors that name file, line or key.
//! - `units`: spans with a unit and endpoints as they are written.
//! - `site`, `fronts`, `proxy`: what a steward is told of its site, and an obeying proxy.
//! - `plan`: a described fleet, for planning.
//! - `hosts`: the file that lists the hosts.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines, missing_docs)]

mod fronts;
pub mod hosts;
mod jsonnet;
pub mod plan;
pub mod proxy;
pub mod site;
pub mod units;

pub use hosts::{HostEntry, HostsFile, read_hosts};
pub use jsonnet::SettingsError;
pub use plan::{PlanSite, read_plan};
pub use proxy::{ProxySite, read_proxy};
pub use site::{Site, read_site, read_site_text, site_from_text};
pub use units::{Endpoint, Length};
