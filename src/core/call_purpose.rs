//! What the decision core awaits an answer for.

use crate::core::arena_keys::{AccountKey, ConnectionKey, EndpointKey, GroupKey, StatementKey};
use crate::core::clock_time::ClockTime;
use crate::core::group_record::GroupRecord;

/// The purpose of a call that has not been answered.
#[derive(Debug, Clone, PartialEq)]
pub enum CallPurpose {
    /// A statement runs on a connection.
    Statement {
        /// The statement.
        statement: StatementKey,
        /// The connection.
        connection: ConnectionKey,
    },
    /// An idle connection is tested.
    IdleTest {
        /// The connection.
        connection: ConnectionKey,
    },
    /// An endpoint is asked for its status, or told its role.
    Status {
        /// The endpoint.
        endpoint: EndpointKey,
        /// The status connection.
        connection: ConnectionKey,
        /// When the call was sent.
        sent: ClockTime,
    },
    /// A pulse went to a host.
    Pulse {
        /// Address of the host.
        address: String,
        /// When it was sent.
        sent: ClockTime,
    },
    /// A loan was asked for.
    Share {
        /// The account.
        account: AccountKey,
        /// Address of the peer.
        address: String,
        /// When it was asked for.
        asked: ClockTime,
    },
    /// A peer was asked whether it reaches a primary.
    PrimaryOpinion {
        /// The group.
        group: GroupKey,
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
        sent: ClockTime,
        /// The watermark it started from.
        after: u64,
    },
    /// The platform's list of hosts is read.
    HostList,
    /// The record of leaving hosts is to be swapped.
    LeavingSwap,
    /// A group's record is to be swapped.
    SwapRecord {
        /// The group.
        group: GroupKey,
        /// The new record.
        record: GroupRecord,
    },
    /// A group's record is read after a swap whose answer was lost.
    ReadRecord {
        /// The group.
        group: GroupKey,
    },
}
