//! Packets in, packets out.

mod fixture;
mod names;
mod tables;
