//! Rendezvous hashing: an order of candidates that all hosts agree on without talking.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

use crate::world::world_config;

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
    ranked.sort_by_cached_key(|name| (std::cmp::Reverse(weight(subject, name)), *name));
    ranked
}

/// Adds names to a digest, in their order and kept apart.
pub fn hash_names(hasher: &mut xxh3::Xxh3, names: &[String]) {
    for name in names {
        hasher.update(name.as_bytes());
        hasher.update(&[0]);
    }
}

/// The hosts in service by data centre: what home shares are dealt to.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HomeMap {
    by_centre: BTreeMap<String, Vec<String>>,
}

impl HomeMap {
    /// Collects the hosts in service.
    pub fn new(world: &world_config::WorldConfig) -> Self {
        let mut by_centre: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for host in world.hosts.values().filter(|host| world.host_in_service(&host.name)) {
            by_centre.entry(host.data_centre.clone()).or_default().push(host.name.clone());
        }
        Self { by_centre }
    }

    /// Returns the hosts that hold home shares of an account with this burst.
    ///
    /// Homes are spread over the data centres in service, and are no more than the burst feeds.
    pub fn homes(&self, account: &str, burst: f64) -> Vec<String> {
        let best: BTreeMap<&str, Vec<&str>> = self
            .by_centre
            .iter()
            .map(|(centre, hosts)| (centre.as_str(), highest(account, hosts)))
            .collect();
        let centres = rank(account, best.keys().copied());
        let most = ((burst / HOME_BURST_LEAST) as usize).max(1);
        let mut homes = Vec::new();
        for round in 0..HOMES_PER_CENTRE_MAX {
            let next = centres.iter().filter_map(|centre| best[centre].get(round));
            homes.extend(next.map(|host| (*host).to_owned()));
        }
        homes.truncate(most);
        homes
    }
}

/// Returns the few highest of many candidates, in the order of `rank`.
fn highest<'a>(subject: &str, candidates: &'a [String]) -> Vec<&'a str> {
    let seed = xxh3::xxh3_64(subject.as_bytes());
    let mut best: Vec<(u64, &str)> = Vec::new();
    for candidate in candidates {
        let weight = xxh3::xxh3_64_with_seed(candidate.as_bytes(), seed);
        let position = best.partition_point(|(other, name)| {
            (*other, std::cmp::Reverse(*name)) > (weight, std::cmp::Reverse(candidate.as_str()))
        });
        best.insert(position, (weight, candidate));
        best.truncate(HOMES_PER_CENTRE_MAX);
    }
    best.into_iter().map(|(_, name)| name).collect()
}
