//! quetzaldeal: a database proxy with session consistency.
//!
//! Two decision cores hold all policy and do no I/O: `core`, which `daemon` drives with sockets and
//! clocks, and `proxy`, for databases that keep their own terms and logs. Tests drive both with
//! fakes.

pub mod config;
pub mod core;
pub mod daemon;
pub mod operator;
pub mod proxy;
