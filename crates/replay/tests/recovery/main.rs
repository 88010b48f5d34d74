//! Recovery and replay of runs recorded by these tests: from intact files, from damaged files, and across a restart.

mod any_byte;
mod damaged_files;
mod harness;
mod restart;
