//! What-if replay: replays the external inputs of a run, without its decisions, with other settings or another seed.
//!
//! - [`scenario`]: the file format of the external inputs.
//! - [`extract`]: extracts the scenario of a recorded run.
//! - [`replayer`]: replays a scenario through a core.
//! - [`result`]: summary of the core's decisions.
//! - `simulated_proxy`: in-memory proxies that the core connects to.

pub mod extract;
pub mod replayer;
pub mod result;
pub mod scenario;
mod simulated_proxy;

pub use extract::{ExtractedScenario, extract_scenario};
pub use replayer::replay_scenario;
pub use result::WhatIfResult;
pub use scenario::{ExternalInput, HostAttempts, Scenario, ScenarioEvent};
