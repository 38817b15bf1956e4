//! Stand-ins for the scripts of the independent review: the platform, databases and callers as the
//! users' pages describe them. Standard library only.

pub mod database;
pub mod deployment;
pub mod fleet;
pub mod json;
pub mod record;
pub mod store;
