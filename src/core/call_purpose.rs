//! What the decision core awaits an answer for.

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::core::group_record;

/// The purpose of a call that has not been answered.
#[derive(Debug, Clone, PartialEq)]
pub enum CallPurpose {
    /// A statement runs on a connection.
    Statement {
        /// The statement.
        statement: arena_keys::StatementKey,
        /// The connection.
        connection: arena_keys::ConnectionKey,
    },
    /// An idle connection is tested.
    IdleTest {
        /// The connection.
        connection: arena_keys::ConnectionKey,
    },
    /// An endpoint is asked for its status, or told its role.
    Status {
        /// The endpoint.
        endpoint: arena_keys::EndpointKey,
        /// The status connection.
        connection: arena_keys::ConnectionKey,
        /// When the call was sent.
        sent: clock_time::ClockTime,
    },
    /// A pulse went to a host.
    Heartbeat {
        /// Address of the host.
        address: String,
        /// When it was sent.
        sent: clock_time::ClockTime,
    },
    /// A loan was asked for.
    Share {
        /// The account.
        account: arena_keys::AccountKey,
        /// Address of the peer.
        address: String,
        /// When it was asked for.
        requested_at: clock_time::ClockTime,
    },
    /// A peer was asked whether it reaches a primary.
    PrimaryCheck {
        /// The group.
        group: arena_keys::GroupKey,
        /// Address of the peer.
        address: String,
        /// The term suspected.
        term: u64,
    },
    /// A part of the configuration was asked for.
    Part {
        /// The part's hash.
        hash: String,
    },
    /// The live records are watched.
    Watch {
        /// When the watch was sent.
        sent: clock_time::ClockTime,
        /// The watermark it started from.
        after: u64,
    },
    /// The platform's list of hosts is read.
    HostList,
    /// A live record is to be swapped; the feed tells whether it was.
    SwapLiveRecord,
    /// A group's record is to be swapped.
    SwapGroupRecord {
        /// The group.
        group: arena_keys::GroupKey,
        /// The new record.
        record: group_record::GroupRecord,
    },
    /// A group's record is read after a swap whose answer was lost.
    ReadGroupRecord {
        /// The group.
        group: arena_keys::GroupKey,
    },
}
