//! Stand-ins for the systems that quetzaldeal depends on, the databases and the platform's
//! key-value service, and the tools that load and measure a fleet.
//!
//! The models do no I/O, so that tests can drive them in virtual time; the programs serve the same
//! models over sockets. Nothing here is linked into the daemon.

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
