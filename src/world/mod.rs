//! Objects that operators publish, and their checks.

pub mod config_check;
pub mod config_head;
pub mod key_secret;
pub mod world_config;
pub mod world_file;
pub mod world_object;
