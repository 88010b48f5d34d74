//! The literal text of each command and reply of the runtime API, which must not change when the code is renamed.

mod commands;
mod replies;
