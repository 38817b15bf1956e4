//! Link between a host and a serving host.

use std::collections::VecDeque;

use quetzaldeal::proxy::pool_message;

/// Link between a host and a serving host. Messages arrive in the order in which they were sent.
#[derive(Debug)]
pub(crate) struct FakeLink {
    /// Number and incarnation of the host that opened it.
    pub(crate) client: (usize, u64),
    /// Number and incarnation of the serving host.
    pub(crate) server: (usize, u64),
    /// Requests under way.
    pub(crate) requests: VecDeque<pool_message::PoolRequest>,
    /// Replies under way.
    pub(crate) replies: VecDeque<pool_message::PoolReply>,
    /// Whether a request was sent.
    pub(crate) used: bool,
    /// Whether a message was lost, so that nothing arrives any more.
    pub(crate) silent: bool,
    /// Whether it has ended for the host that opened it.
    pub(crate) client_left: bool,
    /// Whether it has ended for the serving host.
    pub(crate) server_left: bool,
}

impl FakeLink {
    /// Creates a link on which nothing was sent.
    pub(crate) fn new(client: (usize, u64), server: (usize, u64)) -> Self {
        Self {
            client,
            server,
            requests: VecDeque::new(),
            replies: VecDeque::new(),
            used: false,
            silent: false,
            client_left: false,
            server_left: false,
        }
    }
}
