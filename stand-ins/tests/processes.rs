//! Runs a small fleet of real processes under signals, injected faults and malformed input.
//!
//! The daemon and the operators' command line must be built: run with `cargo test --workspace`.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod process_fleet;

use std::io::Write as _;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use process_fleet::ProcessFleet;
use stand_ins::caller_checks::{first_value, is_not_run};
use stand_ins::fault_message::PlatformFaults;
use tokio_postgres::Client;

/// Time within which a write must be acknowledged again after a fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(17);
/// Time after which a withdrawn key must no longer work.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(7);

/// Declares each test with the first port of its fleet. Ports differ, so tests can run in parallel.
macro_rules! fleet_tests {
    ($($name:ident at $port:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let runtime = tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build()
                    .unwrap();
                runtime.block_on(cases::$name(ProcessFleet::start($port)));
            }
        )*
    };
}

fleet_tests! {
    driver_is_served at 21000;
    killed_primary_is_replaced at 21100;
    frozen_primary_is_replaced at 21200;
    frozen_host_wakes_to_a_withdrawn_key at 21300;
    platform_may_freeze at 21400;
    lost_answer_is_recognised at 21500;
    racing_operators_conflict at 21600;
    garbage_harms_nothing at 21700;
    stopping_host_cuts_no_request at 21800;
}

async fn write(client: &Client, id: &str) -> Result<(), tokio_postgres::Error> {
    let insert = format!("INSERT INTO orders (id, state) VALUES ('{id}', 'new')");
    client.simple_query(&insert).await.map(|_| ())
}

/// Writes rows until one is acknowledged and returns the time that it took.
async fn write_until_acknowledged(client: &Client, name: &str) -> Duration {
    let started = Instant::now();
    for attempt in 0.. {
        if write(client, &format!("{name}-{attempt}")).await.is_ok() {
            break;
        }
        assert!(
            started.elapsed() < RECOVERY_TIMEOUT,
            "no write was acknowledged within {RECOVERY_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    started.elapsed()
}

async fn count(client: &Client) -> Option<String> {
    first_value(client, "SELECT count(*) FROM orders").await.unwrap()
}

fn code(error: &tokio_postgres::Error) -> String {
    error.code().map(|code| code.code().to_owned()).unwrap_or_default()
}

mod cases {
    use super::*;

    /// A PostgreSQL driver can resume sessions and use transactions, and unsupported requests fail
    /// without being run.
    pub(crate) async fn driver_is_served(fleet: ProcessFleet) {
        let client = fleet.caller(0, None).await;
        write_until_acknowledged(&client, "first").await;
        let session = first_value(&client, "SHOW quetzaldeal.session").await.unwrap().unwrap();
        let resumed = fleet.caller(1, Some(&session)).await;
        assert_eq!(count(&resumed).await.as_deref(), Some("1"));

        client.simple_query("BEGIN").await.unwrap();
        write(&client, "kept").await.unwrap();
        resumed.simple_query("BEGIN").await.unwrap();
        write(&resumed, "dropped").await.unwrap();
        resumed.simple_query("ROLLBACK").await.unwrap();
        client.simple_query("COMMIT").await.unwrap();
        assert_eq!(count(&client).await.as_deref(), Some("2"));

        let error = client.prepare("SELECT state FROM orders WHERE id = $1").await.unwrap_err();
        assert_eq!(code(&error), "0A000");
        let error = client.simple_query("SELECT quetzaldeal.fence(9)").await.unwrap_err();
        assert!(is_not_run(&error), "{error:?}");
        let error = client.simple_query("SELECT 1; SELECT 2").await.unwrap_err();
        assert!(is_not_run(&error), "{error:?}");
        assert_eq!(count(&client).await.as_deref(), Some("2"));
    }

    /// Writes succeed again after the primary is killed, and no acknowledged write is lost.
    pub(crate) async fn killed_primary_is_replaced(mut fleet: ProcessFleet) {
        let client = fleet.caller(0, None).await;
        write_until_acknowledged(&client, "before").await;
        let before = count(&client).await;
        fleet.kill(&fleet.primary());
        write_until_acknowledged(&client, "after").await;
        let after: u64 = count(&client).await.unwrap().parse().unwrap();
        assert!(after > before.unwrap().parse().unwrap());
    }

    /// A primary that is replaced while frozen must not accept writes of its old term when it
    /// resumes.
    pub(crate) async fn frozen_primary_is_replaced(fleet: ProcessFleet) {
        let client = fleet.caller(0, None).await;
        write_until_acknowledged(&client, "before").await;
        let primary = fleet.primary();
        fleet.signal(&primary, "STOP");
        write_until_acknowledged(&client, "during").await;
        fleet.signal(&primary, "CONT");
        let seen = count(&client).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        write(&client, "last").await.unwrap();
        let now: u64 = count(&client).await.unwrap().parse().unwrap();
        assert_eq!(now, seen.unwrap().parse::<u64>().unwrap() + 1);
    }

    /// A host that was frozen while a key was withdrawn must reject the key on its open connections
    /// as soon as it resumes, before it has read the new configuration.
    pub(crate) async fn frozen_host_wakes_to_a_withdrawn_key(fleet: ProcessFleet) {
        let client = fleet.caller(2, None).await;
        write_until_acknowledged(&client, "before").await;
        fleet.signal("c1", "STOP");
        fleet.operator(&["key", "withdraw", "desk-1"]).unwrap();
        tokio::time::sleep(WITHDRAWAL_TIMEOUT).await;
        fleet.signal("c1", "CONT");
        let response = client.simple_query("SELECT count(*) FROM orders").await;
        assert!(response.is_err(), "the host served a key withdrawn while it was frozen");
        assert!(fleet.try_caller(0, None).await.is_err());
    }

    /// Writes continue while the platform gives no replies, and a failover succeeds once it replies
    /// again.
    pub(crate) async fn platform_may_freeze(mut fleet: ProcessFleet) {
        let client = fleet.caller(1, None).await;
        write_until_acknowledged(&client, "before").await;
        fleet.signal("platform", "STOP");
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(9) {
            let id = format!("during-{}", started.elapsed().as_millis());
            write(&client, &id).await.unwrap();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        fleet.signal("platform", "CONT");
        fleet.kill(&fleet.primary());
        write_until_acknowledged(&client, "after").await;
    }

    /// A write to the platform whose reply is lost has taken effect: the retry must recognise it
    /// instead of reporting a conflict or publishing twice.
    pub(crate) async fn lost_answer_is_recognised(fleet: ProcessFleet) {
        let faults = PlatformFaults { lose_replies: 1, ..PlatformFaults::default() };
        fleet.set_faults(faults).await;
        // The first write of a publication stores a part of the configuration, so the lost reply is
        // that of the part; the operator's command must retry and still publish once.
        let output = fleet.operator(&["key", "new", "desk-2", "--account", "desk"]).unwrap();
        assert!(output.contains("published version 2"), "{output}");
        fleet.set_faults(PlatformFaults { lose_replies: 3, ..faults }).await;
        let output = fleet.operator(&["key", "withdraw", "desk-2"]).unwrap();
        assert!(output.contains("published version 3"), "{output}");
        let history = fleet.operator(&["history"]).unwrap();
        assert_eq!(history.lines().count(), 4, "{history}");
    }

    /// Of two publications based on the same version the second must fail, and malformed
    /// configurations are rejected with the name of the field.
    pub(crate) async fn racing_operators_conflict(fleet: ProcessFleet) {
        let shown = fleet.operator(&["show"]).unwrap();
        let first = fleet.file("first.yaml", &shown.replace("rate: 200", "rate: 150"));
        let second = fleet.file("second.yaml", &shown.replace("burst: 400", "burst: 300"));
        let output = fleet.operator(&["publish", &first, "--wait"]).unwrap();
        assert!(output.contains("in force on 3 of 3 hosts"), "{output}");
        let error = fleet.operator(&["publish", &second]).unwrap_err();
        assert!(error.contains("conflict: version 2"), "{error}");
        assert!(error.contains("+ rate: 150"), "{error}");
        let dangling = shown.replace("version: 1", "version: 2").replace("- g1-2", "- nowhere");
        let third = fleet.file("third.yaml", &dangling);
        let error = fleet.operator(&["publish", &third]).unwrap_err();
        assert!(error.contains("group g1: field endpoints: \"nowhere\""), "{error}");
        let unknown = fleet.file("fourth.yaml", "kind: account\nname: x\nrat: 3\n");
        let error = fleet.operator(&["check", &unknown]).unwrap_err();
        assert!(error.contains("unknown field `rat`"), "{error}");
    }

    /// Malformed bytes on any listener and statements over the size limit must not disturb other
    /// callers.
    pub(crate) async fn garbage_harms_nothing(fleet: ProcessFleet) {
        let client = fleet.caller(0, None).await;
        write_until_acknowledged(&client, "before").await;
        for address in fleet.all_addresses() {
            for garbage in [
                &b"\x00\x00\x00\x08\x00\x00\x00\x00"[..],
                b"POST /v1/peer HTTP/1.1\r\n\
                content-length: 5\r\n\r\n\xc1\xc1\xc1\xc1\xc1",
                &[0xff; 4_096],
            ] {
                if let Ok(mut stream) = TcpStream::connect(&address) {
                    drop(stream.write_all(garbage));
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let long = "x".repeat(1_100_000);
        let error = client.simple_query(&format!("SELECT '{long}'")).await.unwrap_err();
        assert!(is_not_run(&error));
        write(&client, "after").await.unwrap();
        assert_eq!(count(&client).await.as_deref(), Some("2"));
    }

    /// A host that receives SIGTERM closes idle connections at once but lets open transactions
    /// commit before it exits.
    pub(crate) async fn stopping_host_cuts_no_request(mut fleet: ProcessFleet) {
        let client = fleet.caller(0, None).await;
        write_until_acknowledged(&client, "before").await;
        let idle = fleet.caller(0, None).await;
        client.simple_query("BEGIN").await.unwrap();
        write(&client, "within").await.unwrap();
        fleet.signal("a1", "TERM");
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(idle.is_closed(), "an idle connection stayed open");
        client.simple_query("COMMIT").await.unwrap();
        let code = fleet.wait("a1");
        assert_eq!(code, Some(0), "the daemon did not exit with status 0");
        let other = fleet.caller(1, None).await;
        assert_eq!(count(&other).await.as_deref(), Some("2"));
    }
}
