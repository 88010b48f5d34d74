//! What-if replay: the external inputs of a run, without its decisions, replayed with other settings or another seed.
//!
//! - [`scenario`]: the external inputs as a file.
//! - [`extract`]: the scenario of a recorded run.
//! - [`replayer`]: a core that a scenario is given to.
//! - [`result`]: what the core decided, in figures.
//! - `simulated_proxy`: the proxies that the core talks to.

pub mod extract;
pub mod replayer;
pub mod result;
pub mod scenario;
mod simulated_proxy;

pub use extract::{ExtractedScenario, extract_scenario};
pub use replayer::replay_scenario;
pub use result::WhatIfResult;
pub use scenario::{ExternalInput, HostAttempts, Scenario, ScenarioEvent};
