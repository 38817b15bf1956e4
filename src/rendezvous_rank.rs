//! Rendezvous hashing: an order of candidates that all hosts agree on without talking.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

use crate::world_config;

/// The most home hosts that one account has in one data centre.
pub const HOMES_PER_CENTRE_MAX: usize = 4;
/// The fewest tokens of burst that make a home share useful.
const HOME_BURST_LEAST: f64 = 2.0;

/// Returns the weight of `candidate` for `subject`; the highest comes first.
pub fn weight(subject: &str, candidate: &str) -> u64 {
    let seed = xxh3::xxh3_64(subject.as_bytes());
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// Sorts candidates for `subject`, the highest weight first.
pub fn rank<'a>(subject: &str, candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = candidates.into_iter().collect();
    ranked.sort_by_key(|candidate| (std::cmp::Reverse(weight(subject, candidate)), *candidate));
    ranked
}

/// Returns the hosts that hold home shares of an account with this burst.
///
/// Homes are spread over the data centres in service, and are no more than the burst feeds.
pub fn account_homes(world: &world_config::WorldConfig, account: &str, burst: f64) -> Vec<String> {
    let mut by_centre: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for host in world.hosts.values().filter(|host| world.host_in_service(&host.name)) {
        by_centre.entry(&host.data_centre).or_default().push(&host.name);
    }
    for hosts in by_centre.values_mut() {
        *hosts = rank(account, hosts.iter().copied());
    }
    let centres = rank(account, by_centre.keys().copied());
    let most = ((burst / HOME_BURST_LEAST) as usize).max(1);
    let mut homes = Vec::new();
    for round in 0..HOMES_PER_CENTRE_MAX {
        let next = centres.iter().filter_map(|centre| by_centre[centre].get(round));
        homes.extend(next.map(|host| (*host).to_owned()));
    }
    homes.truncate(most);
    homes
}
