//! Failovers of a group whose commits are acknowledged only once a replica has received them. Run in
//! virtual time; the fakes report a promotion without an acknowledged write as a violation.

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use std::time::Duration;

use proxy_fakes::{PartitionSide, ProxyFleet, millis, read, write};
use quetzaldeal::core::endpoint_message;
use quetzaldeal::core::request_verdict;
use quetzaldeal::proxy::commit_bound;
use quetzaldeal::proxy::proxy_tuning;

/// Number of hosts of each fleet.
const HOSTS: usize = 4;

/// Declares a test for each name, which runs on a fleet with one synchronous replica that serves.
macro_rules! cases {
    ($($name:ident: $body:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let run: fn(&mut ProxyFleet) = $body;
                let mut fleet = start_fleet();
                run(&mut fleet);
                assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
            }
        )*
    };
}

fn start_fleet() -> ProxyFleet {
    let mut fleet = ProxyFleet::new(HOSTS, &[("large", 1_000.0, 1_000.0)], 1);
    fleet.replicate_synchronously(1);
    fleet.run(millis(2_000));
    fleet
}

/// Sends a write through every running host each 20 ms. Returns how many ran.
fn write_for(fleet: &mut ProxyFleet, duration_ms: u64) -> usize {
    let hosts: Vec<usize> = (0..HOSTS).filter(|host| fleet.alive(*host)).collect();
    let callers: Vec<(usize, u64)> =
        hosts.into_iter().map(|host| (host, fleet.open(host, "large", "strict"))).collect();
    let mut served = 0;
    for _ in 0..duration_ms / 20 {
        for (host, caller) in &callers {
            fleet.send(*host, *caller, write());
        }
        fleet.run(millis(20));
        for (host, caller) in &callers {
            while let Some(received) = fleet.take_response(*host, *caller) {
                served += usize::from(received.ran());
            }
        }
    }
    for (host, caller) in callers {
        fleet.close(host, caller);
    }
    served
}

/// Ends the processes of all hosts and starts new ones.
fn restart_hosts(fleet: &mut ProxyFleet) {
    for host in 0..HOSTS {
        fleet.kill_host(host);
    }
    fleet.run(millis(500));
    for host in 0..HOSTS {
        fleet.start_host(host, millis(0));
    }
}

/// Has only the primary and one replica hold the last commits, ends both and restarts all hosts.
fn lose_holders_and_restart_hosts(fleet: &mut ProxyFleet) {
    assert!(write_for(fleet, 500) > 0);
    fleet.set_deaf("db2", true);
    assert!(write_for(fleet, 1_500) > 0);
    fleet.crash("db0", true);
    fleet.crash("db1", true);
    restart_hosts(fleet);
    write_for(fleet, 4_000);
}

/// Lets the replica `deaf` miss the last commits, crashes the primary while `cut` holds them, and
/// brings all three back one after the other.
fn crash_primary_beside_deaf_replica(fleet: &mut ProxyFleet, cut: &str, deaf: &str) {
    let primary = fleet.primary_id();
    fleet.set_deaf(deaf, true);
    write_for(fleet, 700);
    fleet.crash(&primary, false);
    write_for(fleet, 1_500);
    fleet.bring_back(cut);
    write_for(fleet, 4_000);
    fleet.set_deaf(deaf, false);
    fleet.restart(&primary);
    assert!(write_for(fleet, 4_000) > 0);
}

cases! {
    // Guards against lost writes when the only replica that received them is draining: its answer
    // let the coordinator promote the other replica, which lacked them.
    answer_of_a_draining_replica_does_not_qualify_another: |fleet| {
        assert!(write_for(fleet, 500) > 0);
        fleet.set_deaf("db2", true);
        fleet.register("db1", true);
        assert!(write_for(fleet, 1_500) > 0);
        fleet.crash("db0", false);
        write_for(fleet, 3_000);
        fleet.set_deaf("db2", false);
        assert!(write_for(fleet, 6_000) > 0);
    };
    // Guards against lost writes after a restart of the coordinator: it took the only replica that was
    // still registered for all of them.
    restarted_coordinator_counts_replicas_whose_entries_lapsed: |fleet| {
        lose_holders_and_restart_hosts(fleet);
        fleet.restart("db0");
        fleet.restart("db1");
        fleet.set_deaf("db2", false);
        assert!(write_for(fleet, 6_000) > 0);
    };
    // The same where the missing endpoints return under new ids at their addresses.
    replicas_that_return_under_new_ids_are_counted: |fleet| {
        lose_holders_and_restart_hosts(fleet);
        fleet.rename("db1", "new1");
        fleet.restart("new1");
        fleet.set_deaf("db2", false);
        assert!(write_for(fleet, 6_000) > 0);
    };
    // Guards against failovers that wait for a replica that was lost long before.
    replica_lost_for_good_does_not_block_a_later_failover: |fleet| {
        fleet.crash("db1", true);
        assert!(write_for(fleet, 9_000) > 0);
        fleet.crash("db0", false);
        write_for(fleet, 4_000);
        assert_eq!(fleet.primary_id(), "db2");
        // Commits need a replica again.
        fleet.restart("db0");
        assert!(write_for(fleet, 4_000) > 0);
    };
    // Guards against failovers that wait for the databases of before a rolling replacement.
    rolling_replacement_does_not_block_a_later_failover: |fleet| {
        for (old, new) in [("db0", "db3"), ("db1", "db4"), ("db2", "db5")] {
            fleet.add_replica(new, "centre0");
            fleet.register(old, true);
            assert!(write_for(fleet, 5_000) > 0, "{old}");
            fleet.crash(old, true);
            assert!(write_for(fleet, 1_000) > 0, "{old}");
        }
        restart_hosts(fleet);
        write_for(fleet, 2_000);
        let primary = fleet.primary_id();
        fleet.crash(&primary, false);
        assert!(write_for(fleet, 6_000) > 0);
    };
}

cases! {
    // Guards against lost writes when the primary counts a replica that only the hosts and the store do
    // not reach: it was forgotten, and the other replica promoted without what only that one had received.
    replica_cut_off_from_the_hosts_alone_is_still_counted: |fleet| {
        assert!(write_for(fleet, 500) > 0);
        fleet.cut_off("db1");
        assert!(write_for(fleet, 10_000) > 0);
        crash_primary_beside_deaf_replica(fleet, "db1", "db2");
    };
    // The same where the replica has announced that it leaves, and has not left.
    draining_replica_cut_off_is_still_counted: |fleet| {
        assert!(write_for(fleet, 500) > 0);
        fleet.register("db1", true);
        assert!(write_for(fleet, 1_000) > 0);
        fleet.cut_off("db1");
        assert!(write_for(fleet, 3_000) > 0);
        crash_primary_beside_deaf_replica(fleet, "db1", "db2");
    };
    // The same where the replica has ended as planned, and starts again while it is cut off.
    replica_that_starts_again_while_cut_off_is_still_counted: |fleet| {
        assert!(write_for(fleet, 500) > 0);
        fleet.register("db1", true);
        assert!(write_for(fleet, 1_000) > 0);
        fleet.crash("db1", true);
        assert!(write_for(fleet, 3_000) > 0);
        fleet.cut_off("db1");
        fleet.restart("db1");
        assert!(write_for(fleet, 3_000) > 0);
        crash_primary_beside_deaf_replica(fleet, "db1", "db2");
    };
    // The same for longer than hosts keep the registrations that were removed.
    replica_cut_off_for_minutes_is_still_counted: |fleet| {
        assert!(write_for(fleet, 500) > 0);
        fleet.cut_off("db1");
        fleet.run(millis(150_000));
        assert!(write_for(fleet, 1_000) > 0);
        crash_primary_beside_deaf_replica(fleet, "db1", "db2");
    };
    // The same across restarts of all hosts: before the replica is forgotten, and after.
    replica_cut_off_across_restarts_is_still_counted: |fleet| {
        assert!(write_for(fleet, 500) > 0);
        fleet.cut_off("db1");
        for wait_ms in [4_000, 1_500, 2_500, 9_000] {
            write_for(fleet, wait_ms);
            restart_hosts(fleet);
            fleet.run(millis(1_000));
        }
        assert!(write_for(fleet, 3_000) > 0);
        crash_primary_beside_deaf_replica(fleet, "db1", "db2");
    };
    // The same where each coordinator is replaced before or shortly after it has forgotten the replica.
    replica_cut_off_beside_failing_coordinators_is_still_counted: |fleet| {
        assert!(write_for(fleet, 500) > 0);
        fleet.cut_off("db1");
        write_for(fleet, 4_500);
        for round in 0..8 {
            let host = fleet.coordinator().unwrap_or_default();
            fleet.kill_host(host);
            write_for(fleet, 2_000 + 137 * round);
            fleet.start_host(host, millis(0));
            write_for(fleet, 600 + 91 * round);
        }
        assert!(write_for(fleet, 3_000) > 0);
        crash_primary_beside_deaf_replica(fleet, "db1", "db2");
    };
    // The same after a failover: the new primary counts the replica too.
    replica_cut_off_across_a_failover_is_still_counted: |fleet| {
        assert!(write_for(fleet, 500) > 0);
        fleet.cut_off("db1");
        assert!(write_for(fleet, 10_000) > 0);
        fleet.crash("db0", false);
        write_for(fleet, 3_000);
        fleet.restart("db0");
        assert!(write_for(fleet, 3_000) > 0);
        assert_eq!(fleet.primary_id(), "db2");
        crash_primary_beside_deaf_replica(fleet, "db1", "db0");
    };
    // The same for the second replica, once the first is back but lags behind.
    second_replica_cut_off_after_the_first_is_back_is_still_counted: |fleet| {
        assert!(write_for(fleet, 500) > 0);
        fleet.cut_off("db1");
        assert!(write_for(fleet, 10_000) > 0);
        fleet.bring_back("db1");
        write_for(fleet, 300);
        fleet.cut_off("db2");
        assert!(write_for(fleet, 3_000) > 0);
        crash_primary_beside_deaf_replica(fleet, "db2", "db1");
    };
    // The same once the second one was forgotten, too, and the first is cut off again.
    replicas_cut_off_by_turns_are_still_counted: |fleet| {
        assert!(write_for(fleet, 500) > 0);
        for round in 0..3 {
            for cut in ["db1", "db2"] {
                fleet.cut_off(cut);
                assert!(write_for(fleet, 8_000) > 0, "{cut} in round {round}");
                fleet.bring_back(cut);
                write_for(fleet, 400 * round);
            }
        }
        fleet.cut_off("db1");
        assert!(write_for(fleet, 8_000) > 0);
        crash_primary_beside_deaf_replica(fleet, "db1", "db2");
    };
    // Guards against a host that has not heard that a replica no longer counts: cut off from the store
    // and the coordinator, it goes on with the acknowledgement of the other hosts.
    host_cut_off_from_the_store_does_not_count_the_replica_either: |fleet| {
        assert!(write_for(fleet, 500) > 0);
        let coordinator = fleet.coordinator();
        let cut_host = (coordinator.unwrap_or_default() + 1) % HOSTS;
        fleet.partition(PartitionSide::Host(cut_host), PartitionSide::Store);
        if let Some(coordinator) = coordinator {
            fleet.partition(PartitionSide::Host(cut_host), PartitionSide::Host(coordinator));
        }
        fleet.cut_off("db1");
        assert!(write_for(fleet, 10_000) > 0);
        crash_primary_beside_deaf_replica(fleet, "db1", "db2");
    };
    // Guards against writes that run although no replica can confirm them, and end as timeouts.
    write_that_no_replica_can_confirm_is_refused_at_once: |fleet| {
        assert!(write_for(fleet, 500) > 0);
        fleet.cut_off("db1");
        assert!(write_for(fleet, 10_000) > 0);
        fleet.crash("db2", false);
        write_for(fleet, 2_000);
        let caller = fleet.open(0, "large", "strict");
        for _ in 0..10 {
            let sent_at = fleet.now;
            let received = fleet.send_and_wait(0, caller, write()).expect("an answer");
            assert_eq!(received.response.verdict.fate, request_verdict::RequestFate::NotRun);
            assert!(received.at - sent_at < 1_000, "refused after {} us", received.at - sent_at);
            assert!(fleet.send_and_wait(0, caller, read()).expect("an answer").ran());
            fleet.run(millis(50));
        }
        fleet.restart("db2");
        fleet.run(millis(1_000));
        assert!(fleet.send_and_wait(0, caller, write()).expect("an answer").ran());
    };
    // Guards against a pause in service while a replica is away: writes run within the route's target
    // latency, which is 250 ms, before and after its absence is noticed and when it is back.
    writes_run_in_time_while_a_replica_is_away: |fleet| {
        let caller = fleet.open(0, "large", "strict");
        for step in 0..400 {
            match step {
                50 => fleet.cut_off("db1"),
                300 => fleet.bring_back("db1"),
                _ => {}
            }
            let sent_at = fleet.now;
            let received = fleet.send_and_wait(0, caller, write()).expect("an answer");
            assert!(received.ran(), "write {step}: {:?}", received.response.verdict);
            assert!(received.at - sent_at < 250_000, "write {step}");
            fleet.run(millis(50));
        }
    };
}

/// Guards against records that grow with each database that has left, and writes that wait for good.
#[test]
fn databases_that_left_are_dropped_from_the_records() {
    let tuning = proxy_tuning::ProxyTuning {
        lost_log_retention: Duration::from_secs(30),
        ..proxy_tuning::ProxyTuning::default()
    };
    let mut fleet = ProxyFleet::with_tuning(HOSTS, &[("large", 1_000.0, 1_000.0)], 1, tuning);
    fleet.replicate_synchronously(1);
    fleet.run(millis(2_000));
    for number in 3..13 {
        let (old, new) = (format!("db{}", number - 2), format!("db{number}"));
        fleet.add_replica(&new, "centre0");
        fleet.register(&old, true);
        assert!(write_for(&mut fleet, 500) > 0, "{old}");
        fleet.crash(&old, true);
        assert!(write_for(&mut fleet, 1_500) > 0, "{old}");
    }
    fleet.run(millis(60_000));
    assert!(write_for(&mut fleet, 500) > 0);
    let groups = &fleet.core(0).context().groups;
    let view = groups.values().find(|view| view.name == "orders").expect("the group");
    let stored = view.holders.stored.as_ref().expect("the record");
    assert_eq!(stored.holders.len(), 3, "{stored:?}");
    assert!(view.uncounted().is_empty(), "{:?}", view.uncounted());
    assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
}

/// Declares a test for each name: the known positions, the number of logs that may hold acknowledged
/// commits, the number of synchronous replicas and the position that is required.
macro_rules! bounds {
    ($($name:ident($positions:expr, $holders:expr, $sync_replicas:expr): $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let point = |position: u64| endpoint_message::LogPoint { term: 1, position };
                let positions: Vec<_> = $positions.into_iter().map(point).collect();
                let required =
                    commit_bound::required_position(&positions, $holders, $sync_replicas);
                let expected: Option<u64> = $expected;
                assert_eq!(required, expected.map(point));
            }
        )*
    };
}

bounds! {
    // Guards against a promotion while the logs that answered may all lack a commit.
    one_of_three_logs_does_not_suffice([7], 3, 1): None;
    // Guards against a candidate behind a log that answered but cannot be chosen.
    the_more_advanced_of_two_logs_is_required([7, 9], 3, 1): Some(9);
    // Guards against a planned failover that waits for commits which were not acknowledged.
    unacknowledged_commits_of_the_primary_are_not_required([9, 7, 8], 3, 1): Some(8);
    // Guards against a promotion without the commits of a fourth log that does not answer.
    two_of_four_logs_do_not_suffice([7, 9], 4, 1): None;
    // Guards against a wait for logs that cannot be the only ones with a commit.
    two_synchronous_replicas_allow_one_log_of_three([7], 3, 2): Some(7);
}
