//! Serves an endpoint's connections to the fleet.

use crate::proxy::pool_message;
use crate::proxy::proxy_context;

/// Handles a request of a host.
pub fn on_request(
    _ctx: &mut proxy_context::ProxyContext,
    _link: pool_message::LinkId,
    _request: pool_message::PoolRequest,
) {
}

/// Ends all leases of a link that ended.
pub fn on_link_closed(_ctx: &mut proxy_context::ProxyContext, _link: pool_message::LinkId) {}

/// Ends leases that are not used, and closes connections that have been idle for long.
pub fn on_tick(_ctx: &mut proxy_context::ProxyContext) {}
