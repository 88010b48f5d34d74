//! Weights under the capacity of hosts and the cost of crossing zones. No I/O and no clock.
//!
//! - `model`: a fleet and what is asked of it, with checks.
//! - `delay`: how waiting bends with load, as a piecewise-linear bound.
//! - `solve`: the linear program, and what it says of weights, shares let in and limits.
//! - `warm`: a solve that starts from the last one.
//! - `estimate`: speed, work and demand from the sums that a steward has.
//! - `guard`: what a cold host can bear, whatever a solver says.
//! - `steady`: bounded steps with hysteresis, so that tables do not flap.
//! - `planner`: when to solve, what to do with an answer, and which weights are in use.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines, missing_docs)]

pub mod delay;
pub mod estimate;
pub mod guard;
pub mod model;
pub mod planner;
pub mod solve;
pub mod steady;
pub mod warm;

pub use estimate::{Estimates, Listed, Seen};
pub use model::{Fleet, Host, Kind, ModelError, Table};
pub use planner::{Planner, Problem, Source};
pub use solve::{Plan, SolveError, Solver, solve};
pub use warm::{Start, Warm};
