//! Purposes of the decision core's pending calls, by which their replies are dispatched.

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::core::group_record;

/// Purpose of a call that awaits its reply.
#[derive(Debug, Clone, PartialEq)]
pub enum CallPurpose {
    /// Runs a statement.
    Statement {
        /// Statement that runs.
        statement: arena_keys::StatementKey,
        /// Connection that it was sent on.
        connection: arena_keys::ConnectionKey,
    },
    /// Tests whether an idle connection still works.
    IdleTest {
        /// Connection that it was sent on.
        connection: arena_keys::ConnectionKey,
    },
    /// Reads an endpoint's status or changes its role.
    Status {
        /// Endpoint that was called.
        endpoint: arena_keys::EndpointKey,
        /// Control connection that the call was sent on.
        connection: arena_keys::ConnectionKey,
        /// When it was sent.
        sent: clock_time::ClockTime,
    },
    /// Sends a heartbeat to a peer.
    Heartbeat {
        /// Address of the peer.
        address: String,
        /// When it was sent.
        sent: clock_time::ClockTime,
    },
    /// Requests a loan of an account's rate from a peer.
    Share {
        /// Account that needs the loan.
        account: arena_keys::AccountKey,
        /// Address of the peer.
        address: String,
        /// When it was requested.
        requested_at: clock_time::ClockTime,
    },
    /// Asks a peer whether it can reach a group's primary.
    PrimaryCheck {
        /// Group concerned.
        group: arena_keys::GroupKey,
        /// Address of the peer.
        address: String,
        /// Term of the suspected primary.
        term: u64,
    },
    /// Fetches a part of the configuration.
    Part {
        /// Hash of the part.
        hash: String,
    },
    /// Watches the live records in the platform's store.
    Watch {
        /// When the watch was started.
        sent: clock_time::ClockTime,
        /// Revision after which changes are reported.
        after: u64,
    },
    /// Reads the platform's list of hosts.
    HostList,
    /// Compare-and-swap of a live record; the watch shows whether it succeeded.
    SwapLiveRecord,
    /// Compare-and-swap of a group's record.
    SwapGroupRecord {
        /// Group concerned.
        group: arena_keys::GroupKey,
        /// New record.
        record: group_record::GroupRecord,
    },
    /// Reads a group's record after a compare-and-swap whose reply was lost.
    ReadGroupRecord {
        /// Group concerned.
        group: arena_keys::GroupKey,
    },
}
