//! The decision core of `quetzaldeal-platformd`: one host's proxy for databases that keep their own
//! terms and logs.
//!
//! Like `decision_core`, it maps events to actions and does no I/O, reads no clock and starts no
//! threads. An adapter converts a platform's wire formats to and from the typed messages of
//! `proxy_message`, `store_message` and `endpoint_command`.

pub mod account_use;
pub mod change_history;
pub mod change_relay;
pub mod config_patch;
pub mod connection_flow;
pub mod connection_state;
pub mod coordinator_election;
pub mod drain_rate;
pub mod endpoint_command;
pub mod endpoint_flow;
pub mod endpoint_view;
pub mod epoch_fence;
pub mod failover_flow;
pub mod group_view;
pub mod heartbeat_flow;
pub mod lease_delay;
pub mod lease_load;
pub mod lease_scheduler;
pub mod lease_state;
pub mod log_limiter;
pub mod member_view;
pub mod membership_flow;
pub mod peer_datagram;
pub mod pending_request;
pub mod placement_policy;
pub mod pool_client;
pub mod pool_endpoint;
pub mod pool_message;
pub mod pool_server;
pub mod pool_state;
pub mod position_history;
pub mod primary_release;
pub mod priority_class;
pub mod proxy_config;
pub mod proxy_context;
pub mod proxy_core;
pub mod proxy_message;
pub mod proxy_tuning;
pub mod rate_limiter;
pub mod relay_state;
pub mod request_flow;
pub mod response_flow;
pub mod session_flow;
pub mod session_request;
pub mod session_state;
pub mod shutdown_flow;
pub mod store_message;
pub mod store_record;
pub mod store_session;
pub mod store_sync;
pub mod sync_source;
pub mod waiting_lease;
pub mod witness_selection;
