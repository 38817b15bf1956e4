//! The operators' commands.

pub mod config_diff;
pub mod config_store;
pub mod operator_command;
