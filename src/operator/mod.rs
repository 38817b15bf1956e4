//! The operators' command line, and what it needs to publish and compare configurations.

pub mod config_diff;
pub mod config_store;
pub mod operator_command;
