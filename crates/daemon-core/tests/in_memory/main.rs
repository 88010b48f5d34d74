//! The core against proxies in memory.

mod hard_cases;
mod names;
mod operators;
mod pushes;
mod recorded_names;
mod replay;
mod town;
mod weights;
mod wire_texts;
