//! Decides which log position proves that an endpoint holds every acknowledged commit of a group
//! with synchronous replicas.

use crate::core::endpoint_message;

/// Returns the position from which on a log holds every acknowledged commit; `None` if the known
/// positions cannot tell.
///
/// `positions` are the ends of the logs that are known, out of `holders` logs that may hold
/// acknowledged commits. A commit is acknowledged once the primary and `sync_replicas` others hold
/// it, so all but `holders - sync_replicas - 1` logs hold it.
pub fn required_position(
    positions: &[endpoint_message::LogPoint],
    holders: usize,
    sync_replicas: usize,
) -> Option<endpoint_message::LogPoint> {
    if sync_replicas == 0 {
        return Some(endpoint_message::LogPoint::default());
    }
    let lacking = holders.saturating_sub(sync_replicas + 1);
    let mut ascending = positions.to_vec();
    ascending.sort();
    ascending.get(lacking).copied()
}
