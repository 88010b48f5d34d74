//! Recovery and replay of runs that are recorded here: whole, damaged, and taken over by the next run.

mod any_byte;
mod damaged_files;
mod harness;
mod restart;
