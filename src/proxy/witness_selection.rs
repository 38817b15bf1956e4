//! Selection of the witnesses: the hosts whose acknowledgements let others use a primary while the
//! store is unreachable.
//!
//! In a small fleet every host is a witness. In a larger one only a few are, spread over the data
//! centres, so that heartbeat traffic grows linearly with the number of hosts instead of
//! quadratically.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::core::clock_time;
use crate::core::rendezvous_rank;
use crate::proxy::epoch_fence;
use crate::proxy::proxy_context;
use crate::proxy::store_revision;

/// Time after which hosts that may still use a past witness set are assumed to be lost for good;
/// longer than any expected partition between data centres.
pub const PAST_SET_RETENTION: Duration = Duration::from_secs(2 * 3_600);

/// A past witness set that a host cut off from the store may still use.
#[derive(Debug)]
pub struct PastWitnesses {
    /// Names of the witnesses.
    pub hosts: Vec<String>,
    /// Store revision at which the set was superseded: a host that knows the store up to it uses a
    /// later set.
    pub superseded_revision: store_revision::StoreRevision,
    /// When the set was superseded.
    pub superseded_at: clock_time::ClockTime,
    /// Since when most of its witnesses are known to use a later set.
    pub majority_left_since: Option<clock_time::ClockTime>,
}

/// The current witness set and past ones.
#[derive(Debug, Default)]
pub struct WitnessState {
    /// Names of the current witnesses.
    pub hosts: Vec<String>,
    /// Hash of their names.
    pub hash: u64,
    /// Past sets that may still be in use.
    pub past: Vec<PastWitnesses>,
    /// Index in `hosts` of the witness that the next heartbeat goes to.
    pub next_index: usize,
}

/// Updates the witness set after the roster may have changed.
pub fn update_witnesses(ctx: &mut proxy_context::ProxyContext) {
    let centre_of = |host: &String| match ctx.members.get(host) {
        Some(member) => member.record.data_centre.clone(),
        None => ctx.identity.data_centre.clone(),
    };
    let hosts: Vec<(String, String)> =
        ctx.roster.keys().map(|host| (host.clone(), centre_of(host))).collect();
    let chosen = choose(&hosts, ctx.tuning.witnesses_all, ctx.tuning.witnesses);
    if chosen == ctx.witnesses.hosts {
        return;
    }
    log::info!("event=witnesses hosts={} of={}", chosen.join(","), hosts.len());
    let mut hasher = xxh3::Xxh3::new();
    rendezvous_rank::hash_names(&mut hasher, &chosen);
    ctx.witnesses.hash = hasher.digest();
    let hosts = std::mem::replace(&mut ctx.witnesses.hosts, chosen);
    // A single host never holds a quorum lease, because its own acknowledgement alone does not
    // count.
    if hosts.len() > 1 {
        ctx.witnesses.past.push(PastWitnesses {
            hosts,
            superseded_revision: ctx.store.revision.unwrap_or_default(),
            superseded_at: ctx.now,
            majority_left_since: None,
        });
    }
}

/// Removes past sets that no host can use any more.
///
/// An acknowledgement counts only between hosts that use the same set. Once most witnesses of a set
/// use a later one, no majority of it is left; quorum leases obtained before remain valid for their
/// duration.
pub fn expire_past_sets(ctx: &mut proxy_context::ProxyContext) {
    let validity = ctx.tuning.quorum_lease + ctx.tuning.lease_margin;
    let mut past = std::mem::take(&mut ctx.witnesses.past);
    past.retain_mut(|set| {
        let uses_later_set = |host: &String| match ctx.members.get(host) {
            _ if *host == ctx.identity.host || epoch_fence::has_departed(ctx, host) => true,
            Some(member) => member.store_revision >= set.superseded_revision,
            None => false,
        };
        if set.majority_left_since.is_none() && is_majority(&set.hosts, uses_later_set) {
            set.majority_left_since = Some(ctx.now);
        }
        let majority_left =
            set.majority_left_since.is_some_and(|since| ctx.now.since(since) >= validity);
        !majority_left && ctx.now.since(set.superseded_at) < PAST_SET_RETENTION
    });
    ctx.witnesses.past = past;
}

/// Returns whether a condition holds for more than half of the hosts.
pub fn is_majority(hosts: &[String], holds: impl Fn(&String) -> bool) -> bool {
    hosts.iter().filter(|host| holds(host)).count() * 2 > hosts.len()
}

/// Returns the names of the witnesses, sorted, out of hosts given with their data centres.
///
/// Up to `all` hosts, every one is a witness. Out of more, `count` are chosen from the data centres
/// in turn. A host that joins or leaves changes at most one of them, unless its data centre joins
/// or leaves with it.
pub fn choose(hosts: &[(String, String)], all: usize, count: usize) -> Vec<String> {
    if hosts.len() <= all {
        return hosts.iter().map(|(host, _)| host.clone()).collect();
    }
    let mut centres: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (host, centre) in hosts {
        centres.entry(centre).or_default().push(host);
    }
    let ranked: Vec<Vec<&str>> =
        centres.into_values().map(|hosts| rendezvous_rank::rank("witness", hosts)).collect();
    let rounds = ranked.iter().map(Vec::len).max().unwrap_or(0);
    let in_turn = (0..rounds).flat_map(|round| ranked.iter().filter_map(move |one| one.get(round)));
    let mut chosen: Vec<String> = in_turn.take(count).map(|host| (*host).to_owned()).collect();
    chosen.sort();
    chosen
}
