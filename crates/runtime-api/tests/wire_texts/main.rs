//! The literal text of each command and each answer of the runtime API: a renaming in the code must leave it as it is.

mod answers;
mod commands;
