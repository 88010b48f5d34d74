//! What the programs around a core have in common.
//!
//! - [`clock`]: time that never goes back.
//! - [`http_get`]: an HTTP GET request, with a bound on the response.

pub mod clock;
pub mod http_get;

pub use clock::Clock;
pub use http_get::{ConnectionOption, GetError, GetResponse, StreamedResponse, get, start_get};
