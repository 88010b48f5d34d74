//! Weights of hosts from their capacity, the demand and the cost of cross-zone work. No I/O and no clock.
//!
//! - `model`: a fleet and its demand, with validation.
//! - `latency`: how missed latency objectives rise with load, as a piecewise-linear bound.
//! - `solve`: the linear program, and the plan that follows from its solution.
//! - `warm_start`: a solver that reuses the last solution where it is still good enough.
//! - `estimator`: estimates of speed, work and demand from load reports.
//! - `guard`: limits the weights of hosts that are warming up, whatever a solver says.
//! - `smoothing`: bounded weight changes with a dead band, so that tables do not oscillate.
//! - `planner`: when to solve, what to do with a result, and which weights are in use.

pub mod estimator;
pub mod guard;
pub mod latency;
pub mod model;
pub mod planner;
mod recorded_debug;
pub mod smoothing;
pub mod solve;
pub mod warm_start;

pub use estimator::{Estimator, HostObservation, ListedHost};
pub use model::{Fleet, Host, ModelError, RequestClass, Table};
pub use planner::{Planner, Problem, WeightSource};
pub use solve::{Plan, SolveError, Solver, solve};
pub use warm_start::{PlanOrigin, WarmStartSolver};
