//! Settings and lists of hosts: Jsonnet files that are read into typed and checked values.
//!
//! - `jsonnet`: evaluates a file to JSON and reads JSON into a type, with errors that name the file and the line or key.
//! - `units`: durations with a unit, and endpoints.
//! - `site`, `dns_and_event_log`: settings of a controller.
//! - `proxy`: settings of a proxy.
//! - `plan`: a fleet and its demand, for planning.
//! - `hosts`: the file that lists the hosts.
//!
//! Keys of settings differ from the names of the fields where the key predates the usual term; `serde(rename)` on the
//! field states its key.

// `SiteSettings::check` is one list of range checks, in the order of the settings.
#![allow(clippy::too_many_lines)]

mod dns_and_event_log;
pub mod hosts;
mod jsonnet;
pub mod plan;
pub mod proxy;
pub mod site;
pub mod units;

pub use hosts::{HostEntry, HostsFile, read_hosts};
pub use jsonnet::SettingsError;
pub use plan::{PlanSettings, read_plan};
pub use proxy::{ProxySettings, read_proxy};
pub use site::{SiteSettings, read_site, read_site_with_json, site_from_json};
pub use units::{DurationSetting, Endpoint};
