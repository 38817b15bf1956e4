//! The decision core of `quetzaldeal-platformd`: one host's proxy for databases that keep their own
//! terms and logs.
//!
//! Like `decision_core`, it maps events to actions and does no I/O, reads no clock and starts no
//! threads. An adapter converts a platform's wire formats to and from the typed messages of
//! `proxy_message`, `store_message` and `endpoint_command`.

pub mod answer_flow;
pub mod change_flow;
pub mod change_record;
pub mod decision_log;
pub mod duty_flow;
pub mod endpoint_command;
pub mod endpoint_flow;
pub mod endpoint_view;
pub mod feed_flow;
pub mod fence_policy;
pub mod group_view;
pub mod job_state;
pub mod link_flow;
pub mod link_state;
pub mod member_flow;
pub mod member_view;
pub mod operation_flow;
pub mod peer_datagram;
pub mod placement_policy;
pub mod proxy_config;
pub mod proxy_context;
pub mod proxy_core;
pub mod proxy_message;
pub mod proxy_tuning;
pub mod quota_flow;
pub mod sample_log;
pub mod session_flow;
pub mod session_request;
pub mod session_state;
pub mod shutdown_flow;
pub mod stop_flow;
pub mod store_message;
pub mod store_session;
pub mod tenure_flow;
pub mod witness_policy;
