//! One connection of this host to an endpoint.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::core::arena_keys;
use crate::core::chart_cursor;
use crate::core::clock_time;
use crate::proxy::endpoint_command;

/// Who waits for the answer to a link's last command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUser {
    /// Nobody: the link is being tidied up.
    Reset,
    /// A caller's job.
    Request(arena_keys::StatementKey),
    /// A ping of the primary.
    Probe,
    /// A change of primary that asks for status or gives an order.
    Failover(arena_keys::GroupKey),
}

/// One connection of this host to an endpoint.
#[derive(Debug)]
pub struct ConnectionState {
    /// The endpoint.
    pub endpoint: arena_keys::EndpointKey,
    /// The account that the endpoint was told; `None` for this host itself.
    pub account: Option<arena_keys::AccountKey>,
    /// Life cycle, by the chart `endpoint_connection`.
    pub cursor: chart_cursor::ChartCursor,
    /// Session values that the endpoint holds for the link.
    pub values: BTreeMap<String, String>,
    /// Names prepared on the link.
    pub prepared: BTreeSet<String>,
    /// The session whose transaction holds the link.
    pub pinned: Option<arena_keys::CallerKey>,
    /// Who uses the link now.
    pub user: Option<ConnectionUser>,
    /// Commands to send after the one under way.
    pub pending_commands: VecDeque<endpoint_command::EndpointCommand>,
    /// The command under way.
    pub in_flight: Option<endpoint_command::EndpointCommand>,
    /// When the command under way was sent, or the opening began.
    pub sent: clock_time::ClockTime,
    /// When the link was last given back.
    pub idle_since: clock_time::ClockTime,
}

impl ConnectionState {
    /// Whether the link can be used by anyone.
    pub fn idle(&self) -> bool {
        self.cursor.state() == "idle"
    }

    /// Whether the link is still being opened.
    pub fn opening(&self) -> bool {
        self.cursor.state() == "opening"
    }
}
