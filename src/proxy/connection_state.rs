//! State of a connection from this host to an endpoint.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::core::arena_keys;
use crate::core::chart_cursor;
use crate::core::clock_time;
use crate::proxy::asked_lease;
use crate::proxy::endpoint_command;
use crate::proxy::response_order;

/// What a connection's pending commands are for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUser {
    /// A rollback before the connection is used again.
    Reset,
    /// A caller's request.
    Request(arena_keys::StatementKey),
    /// A probe of the primary.
    Probe,
    /// A lease of the pool that this host serves to the fleet.
    Lease(arena_keys::LeaseKey),
    /// A failover of the group, which requests the endpoint's status or gives it a command.
    Failover(arena_keys::GroupKey),
}

/// State of a connection from this host to an endpoint.
#[derive(Debug)]
pub struct ConnectionState {
    /// Endpoint that it connects to.
    pub endpoint: arena_keys::EndpointKey,
    /// Account named in the start-up message; `None` for this host's own use.
    pub account: Option<arena_keys::AccountKey>,
    /// Account that a pooled connection was opened for; `None` unless the connection is pooled.
    pub pool_account: Option<String>,
    /// Current state in the chart `endpoint_connection`.
    pub cursor: chart_cursor::ChartCursor,
    /// Its lease, if a serving host holds the connection; `None` if this host does.
    pub lease: Option<asked_lease::AskedLease>,
    /// Session settings in effect on the connection, by name.
    pub values: BTreeMap<String, String>,
    /// Names of the statements prepared on the connection.
    pub prepared: BTreeSet<String>,
    /// Session whose transaction the connection is reserved for.
    pub pinned: Option<arena_keys::CallerKey>,
    /// What the connection is in use for; `None` while it is idle or pinned.
    pub user: Option<ConnectionUser>,
    /// Commands to send after the one in flight.
    pub pending_commands: VecDeque<endpoint_command::EndpointCommand>,
    /// Responses received, with which later ones are matched.
    pub order: response_order::ResponseOrder,
    /// Command that awaits its response.
    pub in_flight: Option<endpoint_command::EndpointCommand>,
    /// When the command in flight was sent, or the connection began to open.
    pub sent: clock_time::ClockTime,
    /// When the connection last became idle or was pinned.
    pub idle_since: clock_time::ClockTime,
}

impl ConnectionState {
    /// Creates the state of a connection of this host's own that begins to open at `now`.
    pub fn new(
        endpoint: arena_keys::EndpointKey,
        account: Option<arena_keys::AccountKey>,
        cursor: chart_cursor::ChartCursor,
        now: clock_time::ClockTime,
    ) -> Self {
        Self {
            endpoint,
            account,
            pool_account: None,
            cursor,
            lease: None,
            values: BTreeMap::new(),
            prepared: BTreeSet::new(),
            pinned: None,
            user: None,
            pending_commands: VecDeque::new(),
            order: response_order::ResponseOrder::default(),
            in_flight: None,
            sent: now,
            idle_since: now,
        }
    }

    /// Whether the connection is open, unused and not pinned.
    pub fn idle(&self) -> bool {
        self.cursor.state() == "idle"
    }

    /// Whether a serving host holds the connection.
    pub fn leased(&self) -> bool {
        self.lease.is_some()
    }

    /// Whether the connection belongs to the pool that this host serves to the fleet.
    pub fn pooled(&self) -> bool {
        self.pool_account.is_some()
    }

    /// Whether the connection waits for the next command of an open transaction.
    pub fn in_transaction(&self) -> bool {
        self.cursor.state() == "pinned"
    }

    /// Whether the connection is still being opened, or its lease asked for.
    pub fn opening(&self) -> bool {
        self.cursor.state() == "opening"
    }
}
