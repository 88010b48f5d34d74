//! Weights under the capacity of hosts and the cost of crossing zones. No I/O and no clock.
//!
//! - `model`: a fleet and what is asked of it, with checks.
//! - `delay`: how waiting bends with load, as a piecewise-linear bound.
//! - `solve`: the linear program, and what it says of weights, shares let in and limits.
//! - `guard`: what a cold host can bear, whatever a solver says.
//! - `steady`: bounded steps with hysteresis, so that tables do not flap.

pub mod delay;
pub mod guard;
pub mod model;
pub mod solve;
pub mod steady;

pub use model::{Demand, Fleet, Host, Kind, ModelError};
pub use solve::{Plan, SolveError, Solver, solve};
