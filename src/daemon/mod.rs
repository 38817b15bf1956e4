//! The I/O of `quetzaldeald`: threads, sockets and timers that drive the decision core.

pub mod batch_answer;
pub mod caller_connection;
pub mod caller_listener;
pub mod caller_registry;
pub mod core_driver;
pub mod daemon_settings;
pub mod endpoint_driver;
pub mod endpoint_sql;
pub mod escaped_logger;
pub mod host_daemon;
pub mod http_call;
pub mod latency_histograms;
pub mod log_writer;
pub mod marked_batch;
pub mod metrics_driver;
pub mod peer_driver;
pub mod platform_driver;
pub mod ring_channel;
pub mod statement_service;
