//! The configuration that operators publish: its objects, their checks, file format and encoding.

pub mod config_check;
pub mod config_file;
pub mod config_head;
pub mod config_object;
pub mod fleet_config;
pub mod key_secret;
