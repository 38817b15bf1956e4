//! Rendezvous hashing: ranks candidates in an order that all hosts compute alike without
//! coordination.

use std::collections::BTreeMap;

use xxhash_rust::xxh3;

use crate::config::fleet_config;

/// Maximum number of home hosts of one account in one data centre.
pub const HOMES_PER_CENTRE_MAX: usize = 4;
/// Minimum burst, in tokens, for which a further home share is useful.
const HOME_BURST_MIN: f64 = 2.0;

/// Returns the weight of `candidate` for `subject`; the highest weight ranks first.
pub fn weight(subject: &str, candidate: &str) -> u64 {
    let seed = xxh3::xxh3_64(subject.as_bytes());
    xxh3::xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// Sorts candidates by their weight for `subject`, highest first.
pub fn rank<'a>(subject: &str, candidates: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = candidates.into_iter().collect();
    ranked.sort_by_cached_key(|name| (std::cmp::Reverse(weight(subject, name)), *name));
    ranked
}

/// Adds names to a hash in the given order, each followed by a zero byte as separator.
pub fn hash_names(hasher: &mut xxh3::Xxh3, names: &[String]) {
    for name in names {
        hasher.update(name.as_bytes());
        hasher.update(&[0]);
    }
}

/// Hosts in service by data centre, among which home shares are allocated.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HomeMap {
    by_centre: BTreeMap<String, Vec<String>>,
}

impl HomeMap {
    /// Collects the hosts in service.
    pub fn new(config: &fleet_config::FleetConfig) -> Self {
        let mut by_centre: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for host in config.hosts.values().filter(|host| config.host_in_service(&host.name)) {
            by_centre.entry(host.data_centre.clone()).or_default().push(host.name.clone());
        }
        Self { by_centre }
    }

    /// Returns the home hosts of an account with the given burst.
    ///
    /// Home hosts are spread over the data centres in service. Their number is limited so that each
    /// gets a burst of at least two tokens.
    pub fn homes(&self, account: &str, burst: f64) -> Vec<String> {
        let best: BTreeMap<&str, Vec<&str>> = self
            .by_centre
            .iter()
            .map(|(centre, hosts)| (centre.as_str(), top_ranked(account, hosts)))
            .collect();
        let centres = rank(account, best.keys().copied());
        let homes_max = ((burst / HOME_BURST_MIN) as usize).max(1);
        let mut homes = Vec::new();
        for round in 0..HOMES_PER_CENTRE_MAX {
            let next = centres.iter().filter_map(|centre| best[centre].get(round));
            homes.extend(next.map(|host| (*host).to_owned()));
        }
        homes.truncate(homes_max);
        homes
    }
}

/// Returns the highest-ranked candidates, at most `HOMES_PER_CENTRE_MAX`, in the order of `rank`.
fn top_ranked<'a>(subject: &str, candidates: &'a [String]) -> Vec<&'a str> {
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
