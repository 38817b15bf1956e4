//! Which hosts are witnesses: those whose words let others use a primary while the store is silent.
//!
//! In a small fleet every host is one. In a large one a few are, spread over the data centres, so
//! that what hosts tell each other grows with the hosts and not with their square.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::core::clock_time;
use crate::core::rendezvous_rank;
use crate::proxy::proxy_context;

/// Time after which hosts that may go by an old set are held to be lost for good: longer than data
/// centres stay apart.
pub const PAST_SET_RETENTION: Duration = Duration::from_secs(2 * 3_600);

/// A set of witnesses that a host which is cut off may still go by.
#[derive(Debug)]
pub struct PastWitnesses {
    /// Names.
    pub hosts: Vec<String>,
    /// A host whose knowledge of the store reaches this revision goes by a later set.
    pub until: u64,
    /// When it was superseded.
    pub superseded: clock_time::ClockTime,
    /// Since when most of its hosts are known to go by a later set.
    pub left_since: Option<clock_time::ClockTime>,
}

/// The witnesses in force, and those of before.
#[derive(Debug, Default)]
pub struct WitnessState {
    /// Names of the witnesses in force.
    pub hosts: Vec<String>,
    /// Identifies the set.
    pub number: u64,
    /// Earlier sets that may still count somewhere.
    pub past: Vec<PastWitnesses>,
    /// The witness that is asked next, by its place among `hosts`.
    pub turn: usize,
}

/// Chooses the witnesses anew after the roster may have changed.
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
    ctx.witnesses.number = hasher.digest();
    let hosts = std::mem::replace(&mut ctx.witnesses.hosts, chosen);
    // One host has nobody's word but its own, which does not count.
    if hosts.len() > 1 {
        ctx.witnesses.past.push(PastWitnesses {
            hosts,
            until: ctx.store.revision.unwrap_or(0),
            superseded: ctx.now,
            left_since: None,
        });
    }
}

/// Forgets sets that nobody can go by any more.
///
/// Words count only between hosts that go by the same set. Once most of a set's hosts go by a later
/// one, the others find no majority of it; words given before last a little longer.
pub fn expire_past_sets(ctx: &mut proxy_context::ProxyContext) {
    let lasts = ctx.tuning.quorum_lease + ctx.tuning.lease_margin;
    let mut past = std::mem::take(&mut ctx.witnesses.past);
    past.retain_mut(|set| {
        let moved = |host: &String| match ctx.members.get(host) {
            _ if *host == ctx.identity.host => true,
            Some(member) => member.store_revision >= set.until,
            None => false,
        };
        if set.left_since.is_none() && is_majority(&set.hosts, moved) {
            set.left_since = Some(ctx.now);
        }
        let left = set.left_since.is_some_and(|since| ctx.now.since(since) >= lasts);
        !left && ctx.now.since(set.superseded) < PAST_SET_RETENTION
    });
    ctx.witnesses.past = past;
}

/// Whether something holds for more than half of the hosts.
pub fn is_majority(hosts: &[String], holds: impl Fn(&String) -> bool) -> bool {
    hosts.iter().filter(|host| holds(host)).count() * 2 > hosts.len()
}

/// Returns the witnesses among hosts with their data centres, sorted by name.
///
/// Up to `all` hosts all are witnesses. Of more, `count` are, taken from the data centres in turn;
/// a host that comes or goes changes at most one of them, unless its data centre does, too.
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
