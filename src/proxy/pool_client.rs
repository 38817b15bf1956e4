//! Leases connections from serving hosts.

use crate::proxy::pool_message;
use crate::proxy::proxy_context;

/// Handles a reply of a serving host.
pub fn on_reply(
    _ctx: &mut proxy_context::ProxyContext,
    _address: &str,
    _reply: pool_message::PoolReply,
) {
}

/// Ends all leases on a link that was lost.
pub fn on_link_lost(_ctx: &mut proxy_context::ProxyContext, _address: &str) {}

/// Checks that the serving hosts of open leases respond.
pub fn on_tick(_ctx: &mut proxy_context::ProxyContext) {}
