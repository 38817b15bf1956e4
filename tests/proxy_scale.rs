//! Scenarios of a fleet in which few hosts are witnesses, in virtual time.

#[allow(dead_code, reason = "each test program uses its part of the fakes")]
mod proxy_fakes;

use std::time::Duration;

use proxy_fakes::fake_store;
use proxy_fakes::{Place, ProxyFleet, millis, read, write};
use quetzaldeal::core::request_verdict;
use quetzaldeal::proxy::witness_selection;

/// Hosts of the fleet: more than are all witnesses.
const HOSTS: usize = 24;

/// Rate and burst of the account that is held below its rate.
const MEDIUM_RATE: f64 = 240.0;

/// Names each case and runs it on a settled fleet.
macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ProxyFleet) = $body;
                let mut fleet = settled(HOSTS);
                run(&mut fleet);
                assert!(fleet.faults.is_empty(), "{:#?}", fleet.faults);
            }
        )*
    };
}

fn settled(hosts: usize) -> ProxyFleet {
    let accounts =
        [("large", 2_000.0, 2_000.0), ("medium", MEDIUM_RATE, MEDIUM_RATE), ("small", 20.0, 20.0)];
    let mut fleet = ProxyFleet::new(hosts, &accounts, 1);
    fleet.run(Duration::from_millis(2_500));
    fleet
}

/// Asks every host for a write and a read; returns how many of the answers were no success.
fn unserved(fleet: &mut ProxyFleet, hosts: &[usize], callers: &[u64]) -> usize {
    let mut count = 0;
    for host in hosts {
        for request in [write(), read()] {
            let answer = fleet.ask(*host, callers[*host], request);
            count += usize::from(!answer.is_some_and(|answer| answer.ran()));
        }
    }
    count
}

fn open_all(fleet: &mut ProxyFleet) -> Vec<u64> {
    (0..HOSTS).map(|host| fleet.open(host, "large", "strict")).collect()
}

/// Sends reads of one account at 200 a second, spread over the hosts; returns how many were sent and
/// how many of them were not run.
fn load_medium(fleet: &mut ProxyFleet, hosts: &[usize], seconds: u64) -> (usize, usize) {
    let callers: Vec<(usize, u64)> = (0..6)
        .flat_map(|_| hosts.to_vec())
        .map(|host| (host, fleet.open(host, "medium", "aged")))
        .collect();
    let (mut sent, mut refused) = (0, 0);
    for _ in 0..seconds * 50 {
        for _ in 0..4 {
            let (host, caller) = callers[sent % callers.len()];
            fleet.send(host, caller, read());
            sent += 1;
        }
        fleet.run(millis(20));
    }
    fleet.run(millis(500));
    for (host, caller) in callers {
        while let Some(answer) = fleet.take_answer(host, caller) {
            refused += usize::from(!answer.ran());
        }
    }
    (sent, refused)
}

fn witnesses(fleet: &ProxyFleet) -> Vec<usize> {
    (0..HOSTS).filter(|host| fleet.core(*host).context().is_witness()).collect()
}

/// Returns the hosts that are no witnesses.
fn plain_hosts(fleet: &ProxyFleet) -> Vec<usize> {
    (0..HOSTS).filter(|host| !fleet.core(*host).context().is_witness()).collect()
}

/// Returns the names of an account's home hosts.
fn homes(fleet: &ProxyFleet, account: &str) -> Vec<String> {
    let context = fleet.core(0).context();
    context.accounts[context.account_names[account]].homes.clone()
}

/// Time until a write is served again at a host, by asking every 20 ms.
fn gap(fleet: &mut ProxyFleet, host: usize, caller: u64) -> Duration {
    let start = fleet.now;
    while fleet.now - start < 30_000_000 {
        if unserved(fleet, &[host], &[caller; HOSTS]) == 0 {
            return Duration::from_micros(fleet.now - start);
        }
        fleet.run(millis(20));
    }
    panic!("no write was served for 30 s");
}

cases! {
    all_hosts_serve_soon_after_the_start: |fleet| {
        assert!((0..HOSTS).all(|host| fleet.ready(host)));
        let callers = open_all(fleet);
        let hosts: Vec<usize> = (0..HOSTS).collect();
        assert_eq!(unserved(fleet, &hosts, &callers), 0);
        assert_eq!(witnesses(fleet).len(), 5);
    };
    a_silent_store_stops_no_host: |fleet| {
        let callers = open_all(fleet);
        let hosts: Vec<usize> = (0..HOSTS).collect();
        assert_eq!(unserved(fleet, &hosts, &callers), 0);
        fleet.store.mood = fake_store::StoreMood::Silent;
        fleet.run(millis(1_000));
        for _ in 0..8 {
            assert_eq!(unserved(fleet, &hosts, &callers), 0);
            fleet.run(millis(1_000));
        }
    };
    a_host_that_the_store_alone_turns_away_serves_on: |fleet| {
        let callers = open_all(fleet);
        let plain = plain_hosts(fleet)[0];
        assert_eq!(unserved(fleet, &[plain], &callers), 0);
        fleet.cut(Place::Host(plain), Place::Store);
        fleet.run(millis(3_000));
        assert_eq!(unserved(fleet, &[plain], &callers), 0);
        // It follows a change of primary by the witnesses' words.
        fleet.register("db0", true);
        let gap = gap(fleet, plain, callers[plain]);
        assert!(gap < Duration::from_secs(5), "{gap:?}");
    };
    a_crashed_primary_is_replaced_though_two_witnesses_die_with_it: |fleet| {
        let callers = open_all(fleet);
        let plain = plain_hosts(fleet)[0];
        assert_eq!(unserved(fleet, &[plain], &callers), 0);
        for host in &witnesses(fleet)[..2] {
            fleet.kill_host(*host);
        }
        fleet.crash("db0", true);
        let gap = gap(fleet, plain, callers[plain]);
        assert!(gap < Duration::from_secs(17), "{gap:?}");
        assert_ne!(fleet.leader(), "db0");
    };
    a_host_cut_off_from_all_stops_using_a_replaced_primary: |fleet| {
        let callers = open_all(fleet);
        let plain = plain_hosts(fleet)[0];
        let other = *plain_hosts(fleet).last().unwrap();
        fleet.cut(Place::Host(plain), Place::Store);
        for peer in (0..HOSTS).filter(|peer| *peer != plain) {
            fleet.cut(Place::Host(plain), Place::Host(peer));
            fleet.cut(Place::Host(peer), Place::Database("db0".to_owned()));
        }
        let start = fleet.now;
        while fleet.now - start < 12_000_000 {
            fleet.send(plain, callers[plain], write());
            fleet.send(plain, callers[plain], read());
            fleet.ask(other, callers[other], write());
            fleet.run(millis(20));
        }
        assert_ne!(fleet.leader(), "db0");
        assert_eq!(unserved(fleet, &[other], &callers), 0);
    };
    an_account_below_its_rate_is_served_though_datagrams_get_lost: |fleet| {
        fleet.lost_datagrams = 0.02;
        let hosts: Vec<usize> = (0..HOSTS).collect();
        let (sent, refused) = load_medium(fleet, &hosts, 20);
        assert!(refused * 1_000 < sent, "{refused} of {sent} refused");
    };
    an_account_below_its_rate_is_served_while_some_hosts_hear_of_no_change: |fleet| {
        for host in &plain_hosts(fleet)[..6] {
            fleet.deny_host(*host, true);
        }
        fleet.reconfigure(|config| config.idle_transaction += millis(1));
        let hosts: Vec<usize> = (0..HOSTS).collect();
        let (sent, refused) = load_medium(fleet, &hosts, 5);
        assert!(refused * 1_000 < sent, "{refused} of {sent} refused");
    };
    an_account_below_its_rate_is_served_while_homes_are_cut_off: |fleet| {
        let homes = homes(fleet, "medium");
        assert_eq!(homes.len(), 12);
        let number = |name: &String| {
            (0..HOSTS).find(|host| fleet.core(*host).context().identity.host == *name)
        };
        let cut: Vec<usize> = homes[..2].iter().filter_map(number).collect();
        for host in &cut {
            for peer in (0..HOSTS).filter(|peer| peer != host) {
                fleet.cut(Place::Host(*host), Place::Host(peer));
            }
        }
        let others: Vec<usize> = (0..HOSTS).filter(|host| !cut.contains(host)).collect();
        // Ten of twelve shares are left for five sixths of the rate.
        let (sent, refused) = load_medium(fleet, &others, 5);
        assert!(refused * 20 < sent, "{refused} of {sent} refused");
    };
    callers_who_come_back_after_all_hosts_died_find_tokens: |fleet| {
        let hosts: Vec<usize> = (0..HOSTS).collect();
        load_medium(fleet, &hosts, 2);
        for host in &hosts {
            fleet.kill_host(*host);
        }
        fleet.run(millis(1_000));
        for host in &hosts {
            fleet.start_host(*host, Duration::ZERO);
        }
        while !hosts.iter().all(|host| fleet.ready(*host)) {
            fleet.run(millis(10));
        }
        // All come at once.
        let callers: Vec<(usize, u64)> = (0..8)
            .flat_map(|_| &hosts)
            .map(|host| (*host, fleet.open(*host, "medium", "strict")))
            .collect();
        for (host, caller) in &callers {
            fleet.send(*host, *caller, read());
        }
        fleet.run(millis(600));
        let mut served = 0;
        for (host, caller) in callers {
            let answer = fleet.take_answer(host, caller);
            served += usize::from(answer.is_some_and(|answer| answer.ran()));
        }
        // What accrues at the rate from the start of the hosts until the answers.
        assert!(served >= 168, "{served} served");
    };
    watches_that_the_store_forgot_are_opened_again: |fleet| {
        fleet.run(millis(1_000));
        fleet.store.forget_watches();
        fleet.reconfigure(|config| config.keys.clear());
        // The configuration has to be in force within 3 s.
        fleet.run(millis(2_900));
        for host in 0..HOSTS {
            let caller = fleet.open(host, "large", "aged");
            assert!(fleet.greeting(host, caller).is_some(), "host {host}");
        }
    };
    a_host_whose_own_watch_is_forgotten_learns_from_peers_that_it_is_behind: |fleet| {
        let plain = plain_hosts(fleet)[0];
        fleet.run(millis(1_000));
        fleet.store.forget_host(plain);
        fleet.reconfigure(|config| config.keys.clear());
        fleet.run(millis(2_000));
        let caller = fleet.open(plain, "large", "aged");
        assert!(fleet.greeting(plain, caller).is_some());
    };
    hosts_at_rest_call_the_store_for_their_leases_alone: |fleet| {
        fleet.run(millis(5_000));
        let before = fleet.sum(|counts| counts.store_calls);
        fleet.run(millis(10_000));
        let rate = (fleet.sum(|counts| counts.store_calls) - before) as f64 / 10.0 / HOSTS as f64;
        // A renewal each 350 ms; three short watches and the duty's renewal are shared by all.
        assert!(rate < 1.0 / 0.35 + 0.3, "{rate} calls a second and host");
    };
    a_refusal_by_a_host_without_a_share_says_when_a_token_comes: |fleet| {
        let homes = homes(fleet, "small");
        let named = |host: &usize| homes.contains(&fleet.core(*host).context().identity.host);
        let host = (0..HOSTS).find(|host| !named(host)).unwrap();
        let callers: Vec<u64> = (0..60).map(|_| fleet.open(host, "small", "strict")).collect();
        for caller in &callers {
            fleet.send(host, *caller, read());
        }
        fleet.run(millis(500));
        let mut told = 0;
        for caller in callers {
            let Some(answer) = fleet.take_answer(host, caller) else { continue };
            let verdict = answer.answer.verdict;
            if verdict.fate == request_verdict::RequestFate::NotRun {
                let wait = verdict.retry_after.unwrap();
                assert!(wait >= millis(50) && wait <= millis(1_500), "{wait:?}");
                told += 1;
            }
        }
        assert!(told > 20, "{told} refused");
    };
    a_small_account_is_served_at_any_host: |fleet| {
        let callers: Vec<u64> = (0..HOSTS).map(|host| fleet.open(host, "small", "strict")).collect();
        fleet.run(millis(1_000));
        for host in 0..HOSTS {
            assert_eq!(unserved(fleet, &[host], &callers), 0, "host {host}");
            fleet.run(millis(150));
        }
    };
}

#[test]
fn what_hosts_tell_each_other_grows_with_their_number() {
    let at_rest = |hosts: usize| {
        let mut fleet = settled(hosts);
        fleet.run(millis(3_000));
        let before = fleet.sum(|counts| counts.datagrams);
        fleet.run(millis(4_000));
        (fleet.sum(|counts| counts.datagrams) - before) as f64 / 4.0 / hosts as f64
    };
    let (fewer, more) = (at_rest(24), at_rest(48));
    // A question and its answer four times a second, and what witnesses tell each other besides.
    assert!(fewer < 12.0 && more < 10.0, "{fewer} and {more} datagrams a second and host");
}

#[test]
fn a_host_that_comes_or_goes_changes_one_witness_at_most() {
    let mut hosts: Vec<(String, String)> =
        (0..60).map(|number| (format!("host{number}"), format!("centre{}", number % 3))).collect();
    let mut before = witness_selection::choose(&hosts, 9, 5);
    while hosts.len() > 12 {
        hosts.remove(hosts.len() * 7 / 11);
        let after = witness_selection::choose(&hosts, 9, 5);
        let kept = after.iter().filter(|host| before.contains(host)).count();
        assert!(after.len() == 5 && kept >= 4, "{before:?} and {after:?}");
        let centre =
            |host: &&String| hosts.iter().find(|(name, _)| name == *host).unwrap().1.clone();
        let centres: std::collections::BTreeSet<String> =
            after.iter().map(|host| centre(&host)).collect();
        assert_eq!(centres.len(), 3);
        before = after;
    }
}
