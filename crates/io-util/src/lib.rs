//! I/O utilities shared by the programs.
//!
//! - [`clock`]: a monotonic clock.
//! - [`http_get`]: HTTP GET requests with a limit on the size of the response body.

pub mod clock;
pub mod http_get;

pub use clock::Clock;
pub use http_get::{ConnectionOption, GetError, GetResponse, StreamedResponse, get, start_get};
