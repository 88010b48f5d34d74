//! The controller's side of the runtime API of one proxy. No I/O and no clock: a session is given replies and returns
//! the lines to write.
//!
//! - [`integer_weights`]: a table's weights as whole numbers from 1 to 256.
//! - [`proxy_state`]: the state a proxy should have and the state it has.
//! - [`update`]: the commands that lead from one to the other, in an order that is safe wherever it is cut off.
//! - [`counters`]: counters of `show stat` as differences to the previous reading.
//! - [`session`]: one connection: reading the proxy's state, then updates and counters.

pub mod counters;
pub mod integer_weights;
pub mod proxy_state;
pub mod session;
pub mod update;

pub use proxy_state::{
    AppliedState, ClassMapping, DesiredLine, DesiredState, ProxyMapping, TableLines,
};
pub use session::{Session, SessionError, SessionEvent};
pub use update::{UpdateBatch, Urgency};
