//! Decides from where a host learns of changes in the store: from a watch of its own or from peers.
//!
//! Answers the load that hundreds of watches put on the store: each change would wake every host.

use std::time::Duration;

/// How long peers may report a later revision without delivering it.
const PEER_LAG_LIMIT: Duration = Duration::from_millis(1_000);

/// From where a host learns of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncSource {
    /// From a watch of its own that waits up to this long.
    Store(Duration),
    /// From peers that watch the store.
    Peers,
}

/// What the decision depends on.
#[derive(Debug, Clone, Copy)]
pub struct SyncInputs {
    /// Whether every host of the fleet watches the store, as in a small fleet.
    pub all_watch: bool,
    /// Whether this host is one of the few of its data centre that watch for the others.
    pub watcher: bool,
    /// Whether this host keeps short watches in a small fleet.
    pub short_watch: bool,
    /// Whether this host knows the store as of its own registration. Before that, peers may not know
    /// this host.
    pub registration_known: bool,
    /// Age of this host's knowledge of the store.
    pub age: Duration,
    /// How long peers have reported a later revision than this host knows.
    pub behind_for: Option<Duration>,
    /// Whether a peer could not deliver the changes that this host lacks.
    pub changes_missing: bool,
    /// Longest wait of a short watch.
    pub wait_short: Duration,
    /// Longest wait of any other watch.
    pub wait_long: Duration,
}

/// Returns from where the host learns of changes next.
pub fn choose(inputs: SyncInputs) -> SyncSource {
    if inputs.all_watch {
        let short = inputs.short_watch || inputs.behind_for.is_some();
        return SyncSource::Store(if short { inputs.wait_short } else { inputs.wait_long });
    }
    let peers_late = inputs.age >= peer_age_limit(inputs.wait_short)
        || inputs.behind_for.is_some_and(|duration| duration >= PEER_LAG_LIMIT)
        || inputs.changes_missing;
    if inputs.watcher || !inputs.registration_known || peers_late {
        return SyncSource::Store(relay_watch_wait(inputs.wait_short));
    }
    SyncSource::Peers
}

/// Returns the longest wait of a watch whose host passes the changes on. It limits the age of what
/// that host knows.
fn relay_watch_wait(wait_short: Duration) -> Duration {
    wait_short / 2
}

/// Returns the age of a host's knowledge of the store above which it asks the watchers of other data
/// centres, too. The wait of a watch and the interval between requests stay below it.
pub fn local_age_limit(wait_short: Duration) -> Duration {
    wait_short * 8 / 5
}

/// Returns the age of a host's knowledge of the store above which it watches the store itself.
fn peer_age_limit(wait_short: Duration) -> Duration {
    wait_short * 9 / 5
}
