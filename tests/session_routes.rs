//! Reads of sessions whose route leads to several groups, and back. Run in virtual time; the fakes report
//! a read on a log that lacks a write of the read's own session as a violation.

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use proxy_fakes::{ProxyFleet, millis, read, write};
use quetzaldeal::proxy::commit_points;
use quetzaldeal::proxy::session_request;
use slotmap::SlotMap;

/// A host in the data centre of the replicas that receive nothing.
const HOST: usize = 1;
/// The replicas of the two groups in that data centre.
const NEAR_REPLICA: &str = "db1";
const OTHER_NEAR_REPLICA: &str = "db11";

/// Declares a test for each name, which runs on a fleet with the groups `orders` and `archive`.
macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ProxyFleet) = $body;
                let mut fleet = ProxyFleet::new(4, &[("large", 1_000.0, 1_000.0)], 1);
                fleet.add_group("archive", 10);
                fleet.run(millis(2_500));
                run(&mut fleet);
                assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
            }
        )*
    };
}

fn begin(read_only: bool) -> session_request::SessionRequest {
    session_request::SessionRequest::Begin { read_only }
}

/// Sends a request that must run.
fn run(fleet: &mut ProxyFleet, caller: u64, request: session_request::SessionRequest) {
    let received = fleet.send_and_wait(HOST, caller, request);
    let received = received.unwrap_or_else(|| panic!("no answer within 3 s"));
    assert!(received.ran(), "{:?}", received.response.verdict);
}

/// Has the route of the sessions lead to a group, and waits until the hosts know.
fn lead(fleet: &mut ProxyFleet, group: &str) {
    fleet.lead_route("own", group);
    fleet.run(millis(150));
}

/// Sends reads for 800 ms, within which a write may be missing from those of other sessions.
fn read_for_a_while(fleet: &mut ProxyFleet, caller: u64) {
    for _ in 0..16 {
        run(fleet, caller, read());
        fleet.run(millis(40));
    }
}

cases! {
    // Guards against reads that miss a write of their session, after its route led to another group in
    // which it wrote, too.
    write_before_a_route_led_elsewhere_is_read: |fleet| {
        let caller = fleet.open(HOST, "large", "own");
        fleet.set_deaf(NEAR_REPLICA, true);
        run(fleet, caller, write());
        lead(fleet, "archive");
        run(fleet, caller, write());
        lead(fleet, "orders");
        read_for_a_while(fleet, caller);
    };
    // The same in both groups, with many changes.
    writes_before_many_changes_of_the_route_are_read: |fleet| {
        let caller = fleet.open(HOST, "large", "own");
        for round in 0..6 {
            fleet.set_deaf(NEAR_REPLICA, round % 2 == 0);
            fleet.set_deaf(OTHER_NEAR_REPLICA, round % 3 == 0);
            for group in ["archive", "orders", "archive", "orders"] {
                lead(fleet, group);
                run(fleet, caller, read());
                run(fleet, caller, write());
                run(fleet, caller, read());
            }
        }
    };
    // The same where the write is the end of a transaction that began before the change.
    transaction_across_a_change_of_the_route_is_read: |fleet| {
        let caller = fleet.open(HOST, "large", "own");
        fleet.set_deaf(NEAR_REPLICA, true);
        run(fleet, caller, begin(false));
        run(fleet, caller, write());
        lead(fleet, "archive");
        run(fleet, caller, session_request::SessionRequest::Commit);
        run(fleet, caller, write());
        lead(fleet, "orders");
        run(fleet, caller, begin(true));
        run(fleet, caller, read());
        run(fleet, caller, session_request::SessionRequest::Commit);
        read_for_a_while(fleet, caller);
    };
    // The same where the route is removed and put back meanwhile.
    write_before_a_route_was_removed_is_read: |fleet| {
        let caller = fleet.open(HOST, "large", "own");
        fleet.set_deaf(NEAR_REPLICA, true);
        run(fleet, caller, write());
        lead(fleet, "archive");
        run(fleet, caller, write());
        let mut route = None;
        fleet.reconfigure(|config| route = config.routes.remove("own"));
        fleet.run(millis(150));
        let refused = fleet.send_and_wait(HOST, caller, read()).expect("an answer");
        assert!(!refused.ran());
        let mut route = route.expect("the route");
        route.group = "orders".to_owned();
        fleet.reconfigure(|config| drop(config.routes.insert("own".to_owned(), route)));
        fleet.run(millis(150));
        read_for_a_while(fleet, caller);
    };
    // The same where the group gets another name, and its former one again: its databases keep their
    // logs, and the hosts what they know of the group.
    write_before_a_group_was_renamed_is_read: |fleet| {
        let caller = fleet.open(HOST, "large", "own");
        run(fleet, caller, read());
        fleet.set_deaf(NEAR_REPLICA, true);
        fleet.rename_group("orders", "ledger");
        fleet.run(millis(500));
        run(fleet, caller, write());
        fleet.rename_group("ledger", "orders");
        fleet.run(millis(150));
        read_for_a_while(fleet, caller);
    };
    // The same where the group gets another primary meanwhile, which has the write.
    write_before_a_failover_is_read: |fleet| {
        let caller = fleet.open(HOST, "large", "own");
        fleet.set_deaf(NEAR_REPLICA, true);
        run(fleet, caller, write());
        fleet.run(millis(100));
        lead(fleet, "archive");
        run(fleet, caller, write());
        fleet.crash("db0", false);
        fleet.run(millis(3_000));
        assert_eq!(fleet.primary_id(), "db2");
        lead(fleet, "orders");
        read_for_a_while(fleet, caller);
    };
    // Guards against reads that all go to the primary once a route has led elsewhere.
    replicas_that_have_the_writes_serve_reads: |fleet| {
        let caller = fleet.open(HOST, "large", "own");
        for group in ["archive", "orders"] {
            lead(fleet, group);
            run(fleet, caller, write());
        }
        fleet.run(millis(100));
        let before = fleet.core(HOST).context().counts.replica_reads;
        read_for_a_while(fleet, caller);
        assert!(fleet.core(HOST).context().counts.replica_reads > before);
    };
}

/// Guards against reads that miss a write because the session has committed in too many groups to keep
/// the points of all: the primary serves those of groups without a point.
#[test]
fn groups_without_a_kept_point_are_read_from_the_primary() {
    let mut keys = SlotMap::with_key();
    let groups: Vec<_> = (0..40).map(|_| keys.insert(())).collect();
    let mut points = commit_points::CommitPoints::default();
    let point = |position: u64| quetzaldeal::core::endpoint_message::LogPoint { term: 1, position };
    assert_eq!(points.in_group(groups[0]), commit_points::OwnCommits::None);
    for (number, group) in groups.iter().enumerate() {
        points.record(*group, Some(point(number as u64)));
        points.record(groups[0], Some(point(100 + number as u64)));
    }
    assert_eq!(points.groups().count(), 16);
    assert_eq!(points.in_group(groups[0]), commit_points::OwnCommits::Until(point(139)));
    assert_eq!(points.in_group(groups[39]), commit_points::OwnCommits::Until(point(39)));
    assert_eq!(points.in_group(groups[1]), commit_points::OwnCommits::Unknown);
    points.record(groups[39], None);
    assert_eq!(points.in_group(groups[39]), commit_points::OwnCommits::Unknown);
}
