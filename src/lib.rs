//! quetzaldeal: a database proxy with session consistency.
//!
//! The decision core (`decision_core`) holds all policy and does no I/O. The daemon drives it with
//! sockets and clocks; tests drive it with small fakes.

pub mod config;
pub mod core;
pub mod daemon;
pub mod operator;
pub mod proxy;
