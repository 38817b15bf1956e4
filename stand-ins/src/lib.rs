//! Stand-ins for what surrounds quetzaldeal: the databases and the platform's key-value service.
//!
//! The models hold the behaviour without I/O, so that tests drive them in virtual time; the
//! programs put sockets around the same models. Nothing here is linked into the daemon.

pub mod caller_checks;
pub mod capacity_sheet;
pub mod capacity_slopes;
pub mod core_bench;
pub mod database_model;
pub mod endpoint_program;
pub mod fault_message;
pub mod load_plan;
pub mod load_run;
pub mod loss_plot;
pub mod loss_table;
pub mod path_cost;
pub mod platform_model;
pub mod platform_program;
pub mod sql_engine;
pub mod table_store;
