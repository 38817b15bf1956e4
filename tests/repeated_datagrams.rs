//! Tests of a fleet in which every datagram between hosts arrives twice, in virtual time.

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use std::time::Duration;

use proxy_fakes::{ProxyFleet, millis, read};
use quetzaldeal::proxy::config_patch;
use quetzaldeal::proxy::peer_datagram;
use quetzaldeal::proxy::proxy_config;
use quetzaldeal::proxy::proxy_tuning;
use quetzaldeal::proxy::store_message;

/// Hosts of the fleet: twice the home hosts of an account.
const HOSTS: usize = 24;
/// Rate and burst of the account, in requests and requests per second.
const RATE: f64 = 240.0;

/// Declares a test for each name, which runs on a fleet that serves already and whose datagrams
/// arrive again after the time given.
macro_rules! cases {
    ($($name:ident: $repeat:expr, $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ProxyFleet) = $body;
                let mut fleet = ProxyFleet::new(HOSTS, &[("medium", RATE, RATE)], 1);
                fleet.run(millis(4_000));
                fleet.datagram_repeat = Some($repeat);
                run(&mut fleet);
                assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
            }
        )*
    };
}

/// Sends reads at three times the account's rate to hosts that have to ask others for tokens, and
/// checks that no more run than its quota allows.
fn check_quota(fleet: &mut ProxyFleet) {
    let tuning = proxy_tuning::ProxyTuning::default();
    let context = fleet.core(0).context();
    let homes = context.accounts[context.account_names["medium"]].homes.clone();
    let is_home = |host: &usize| homes.contains(&fleet.core(*host).context().identity.host);
    let others: Vec<usize> = (0..HOSTS).filter(|host| !is_home(host)).collect();
    let callers: Vec<(usize, u64)> =
        others.iter().map(|host| (*host, fleet.open(*host, "medium", "aged"))).collect();
    let start = fleet.now;
    let mut sent = 0;
    while fleet.now < start + 2 * tuning.quota_window.as_micros() as u64 {
        for _ in 0..RATE as usize * 3 / 100 {
            let (host, caller) = callers[sent % callers.len()];
            fleet.send(host, caller, read());
            sent += 1;
        }
        fleet.run(millis(10));
    }
    let limit = RATE * tuning.quota_window.as_secs_f64() + RATE;
    let limit = limit * (1.0 + tuning.quota_overshoot) + tuning.quota_slack;
    let most = fleet.max_executions_within("medium", tuning.quota_window);
    assert!(most as f64 <= limit, "{most} ran within {:?}, allowed {limit}", tuning.quota_window);
}

/// Sends reads at five sixths of the account's rate to all hosts, and checks that fewer than one in a
/// thousand is refused.
fn check_service(fleet: &mut ProxyFleet) {
    let callers: Vec<u64> = (0..HOSTS).map(|host| fleet.open(host, "medium", "aged")).collect();
    let (mut sent, mut refused) = (0, 0);
    for _ in 0..10_000 / 20 {
        for _ in 0..RATE as usize * 5 / 6 / 50 {
            fleet.send(sent % HOSTS, callers[sent % HOSTS], read());
            sent += 1;
        }
        fleet.run(millis(20));
    }
    fleet.run(millis(500));
    for (host, caller) in callers.into_iter().enumerate() {
        while let Some(received) = fleet.take_response(host, caller) {
            refused += usize::from(!received.ran());
        }
    }
    assert!(refused * 1_000 < sent, "{refused} of {sent} refused");
}

cases! {
    tokens_of_a_reply_repeated_at_once_are_spent_once: Duration::ZERO, check_quota;
    tokens_of_a_reply_repeated_during_the_next_search_are_spent_once: millis(3), check_quota;
    tokens_of_a_reply_repeated_late_are_spent_once: millis(300), check_quota;
    request_for_tokens_repeated_at_once_spends_tokens_once: Duration::ZERO, check_service;
    request_for_tokens_repeated_late_spends_tokens_once: millis(300), check_service;
}

/// Guards against a process that takes over a configuration which a peer had offered to the process
/// before it, after that configuration was replaced.
#[test]
fn configuration_offered_to_the_process_before_is_not_taken() {
    let mut fleet = ProxyFleet::new(HOSTS, &[("medium", RATE, RATE)], 1);
    fleet.run(millis(4_000));
    let peer = fleet.core(0).context();
    let empty = proxy_config::ProxyConfig::default();
    let offer = peer_datagram::ConfigOffer {
        host: peer.identity.host.clone(),
        revision: peer.store.known[&store_message::ItemSubject::Config],
        current_at: peer.store.revision.unwrap(),
        config: config_patch::ConfigPatch::between(&empty, fleet.published()),
        echo_incarnation: 1,
    };
    fleet.reconfigure(|config| config.accounts.clear());
    fleet.run(millis(4_000));
    fleet.kill_host(1);
    fleet.start_host(1, Duration::ZERO);
    while fleet.core(1).context().config.is_none() {
        let offer = Box::new(offer.clone());
        fleet.deliver_datagram(1, peer_datagram::PeerDatagram::ConfigOffer(offer));
        fleet.run(Duration::from_micros(100));
    }
    let version = fleet.core(1).context().config.as_ref().map(|config| config.version);
    assert_eq!(version, Some(fleet.published().version));
}
