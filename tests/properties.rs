//! Property tests over random inputs and random sequences of failures. A failure prints its seed.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod fleet_fakes;

use fleet_fakes::FakeFleet;
use fleet_fakes::fleet_world;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use quetzaldeal::config::config_file;
use quetzaldeal::config::config_head;
use quetzaldeal::core::clock_time;
use quetzaldeal::core::endpoint_message;
use quetzaldeal::core::peer_message;
use quetzaldeal::core::platform_message;
use quetzaldeal::core::session_token;
use quetzaldeal::core::share_ledger;
use quetzaldeal::core::statement_text;

/// Seed of every property, so that each run gives the same result; `PROPERTY_SEED` overrides it.
const SEED: u64 = 20_261_204;
/// Number of random fleets; `PROPERTY_CASES` overrides it.
const FLEET_CASES: u32 = 24;
/// Number of random inputs of the other properties; `PROPERTY_CASES` overrides it.
const INPUT_CASES: u32 = 256;

fn config(cases: u32) -> Config {
    let env_number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let seed = env_number("PROPERTY_SEED").unwrap_or(SEED);
    let cases = env_number("PROPERTY_CASES").map_or(cases, |cases: u64| cases as u32);
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}

/// Generates a test for each decoder: arbitrary bytes from the network or store must not make it
/// panic.
macro_rules! decoders {
    ($($name:ident => $decode:expr;)*) => {
        $(
            proptest! {
                #![proptest_config(config(INPUT_CASES))]
                #[test]
                fn $name(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
                    let decode: fn(&[u8]) = $decode;
                    decode(&bytes);
                }
            }
        )*
    };
}

decoders! {
    peer_message_decoding_never_panics =>
        |bytes| drop(rmp_serde::from_slice::<peer_message::PeerEnvelope>(bytes));
    platform_reply_decoding_never_panics =>
        |bytes| drop(rmp_serde::from_slice::<platform_message::PlatformReply>(bytes));
    platform_request_decoding_never_panics =>
        |bytes| drop(rmp_serde::from_slice::<platform_message::PlatformRequest>(bytes));
    config_head_decoding_never_panics => |bytes| drop(config_head::ConfigHead::decode(bytes));
    config_part_decoding_never_panics => |bytes| drop(config_head::join_parts([bytes]));
    arbitrary_session_token_is_rejected => |bytes| {
        let text = String::from_utf8_lossy(bytes);
        assert!(session_token::SessionToken::verify(b"secret", "desk", &text).is_err());
    };
    statement_classification_never_panics =>
        |bytes| drop(statement_text::classify(&String::from_utf8_lossy(bytes)));
    world_file_parsing_never_panics =>
        |bytes| drop(config_file::ConfigFile::parse(&String::from_utf8_lossy(bytes)));
}

proptest! {
    #![proptest_config(config(INPUT_CASES))]

    #[test]
    fn heartbeat_survives_encoding(
        version in any::<u64>(),
        watermark in any::<u64>(),
        age in prop::option::of(any::<u64>()),
        centre_ages in prop::collection::vec(any::<u16>(), 0..16),
    ) {
        let heartbeat = peer_message::PeerHeartbeat {
            host: "a1".to_owned(),
            incarnation: 3,
            version,
            watermark,
            platform_age_ms: age,
            centre_ages,
            leaving: false,
            entries: Vec::new(),
        };
        let bytes = rmp_serde::to_vec(&heartbeat).unwrap();
        prop_assert_eq!(rmp_serde::from_slice::<peer_message::PeerHeartbeat>(&bytes).unwrap(), heartbeat);
    }

    #[test]
    fn token_verifies_for_its_account_and_secret_only(
        term in any::<u64>(),
        position in any::<u64>(),
    ) {
        let mut token = session_token::SessionToken::default();
        token.advance("g1", endpoint_message::LogPoint { term, position });
        let text = token.sign(b"secret", "desk");
        prop_assert_eq!(session_token::SessionToken::verify(b"secret", "desk", &text).unwrap(), token);
        prop_assert!(session_token::SessionToken::verify(b"secret", "club", &text).is_err());
        prop_assert!(session_token::SessionToken::verify(b"other", "desk", &text).is_err());
    }

    /// Guards against loans that let hosts exceed the account's rate and burst together: grants are
    /// lost or arrive late while tokens are spent on both sides. A bucket of the whole account is
    /// the reference.
    #[test]
    fn shares_are_conserved(
        steps in prop::collection::vec((0..4_usize, 0..4_usize, 0..400_u64, 0..12_u32), 1..120),
    ) {
        let mut now = clock_time::ClockTime::from_millis(10);
        let part = share_ledger::SharePart { rate: 25.0, burst: 10.0 };
        let mut ledgers: Vec<share_ledger::ShareLedger> = (0..4).map(|_| share_ledger::ShareLedger::new(now)).collect();
        for ledger in &mut ledgers {
            ledger.allocate(now, part);
            ledger.activate_at(now);
        }
        let mut bucket = 40.0_f64;
        for (borrower, lender, elapsed_ms, arrivals) in steps {
            now = now.after(std::time::Duration::from_millis(elapsed_ms));
            bucket = (bucket + elapsed_ms as f64 * 0.1).min(40.0);
            for _ in 0..arrivals {
                ledgers[borrower].record_demand(now);
                bucket -= f64::from(u8::from(ledgers[borrower].admit(now)));
            }
            prop_assert!(bucket > -1e-6, "over the account's rate and burst by {}", -bucket);
            if borrower == lender {
                continue;
            }
            let Some(want) = ledgers[borrower].shortage(now, arrivals as usize) else { continue };
            let grant: Option<share_ledger::ShareGrant> =
                ledgers[lender].lend(now, &borrower.to_string(), want);
            // Some grants are lost, others arrive late.
            if let Some(grant) = grant.filter(|_| arrivals % 5 != 4) {
                let arrived = now.after(std::time::Duration::from_millis(u64::from(arrivals) * 9));
                let requested_at = now;
                now = arrived;
                bucket = (bucket + f64::from(arrivals) * 0.9).min(40.0);
                ledgers[borrower].borrow(now, requested_at, grant);
            }
            let mut sum = share_ledger::SharePart::default();
            let mut tokens = 0.0;
            for ledger in &mut ledgers {
                tokens += ledger.tokens(now);
                sum = sum.plus(ledger.current());
            }
            prop_assert!(sum.rate < 100.0 + 1e-6, "rates sum to {}", sum.rate);
            prop_assert!(sum.burst < 40.0 + 1e-6, "bursts sum to {}", sum.burst);
            prop_assert!(tokens < bucket + 1e-6, "tokens sum to {tokens}, bucket holds {bucket}");
        }
    }

    /// Guards against objects that get lost when a configuration is stored in several parts.
    #[test]
    fn world_survives_splitting(accounts in 1..60_usize) {
        let accounts: Vec<(String, f64, f64)> =
            (0..accounts).map(|index| (format!("account-{index}"), 10.0, 20.0)).collect();
        let centres = ["a".to_owned(), "b".to_owned()];
        let config = fleet_world::build(&centres, 2, 3, &accounts).config;
        let parts = config_head::split_config(&config).unwrap();
        let joined = config_head::join_parts(parts.iter().map(|(_, bytes)| bytes.as_slice()));
        prop_assert_eq!(joined.unwrap(), config);
    }
}

/// A request, failure or change in a random sequence.
#[derive(Debug, Clone)]
enum FleetStep {
    Write { caller: usize },
    Read { caller: usize },
    Count { caller: usize },
    Transaction { caller: usize, commit: bool },
    Run { millis: u64 },
    KillHost { host: usize },
    PauseHost { host: usize },
    KillDatabase { database: usize },
    Cut { left: usize, right: usize },
    Heal,
    Outage { on: bool },
    LoseReply,
    HangConnections { database: usize },
    UnmatchedAnswers { database: usize, count: u32 },
    UnmatchedCloses { database: usize },
    Lag { database: usize, millis: u64 },
    Drain { centre: usize },
}

fn fleet_step() -> impl Strategy<Value = FleetStep> {
    prop_oneof![
        6 => (0..4_usize).prop_map(|caller| FleetStep::Write { caller }),
        4 => (0..4_usize).prop_map(|caller| FleetStep::Read { caller }),
        4 => (0..4_usize).prop_map(|caller| FleetStep::Count { caller }),
        2 => (0..4_usize, any::<bool>())
            .prop_map(|(caller, commit)| FleetStep::Transaction { caller, commit }),
        6 => (1..3_000_u64).prop_map(|millis| FleetStep::Run { millis }),
        1 => (0..3_usize).prop_map(|host| FleetStep::KillHost { host }),
        1 => (0..3_usize).prop_map(|host| FleetStep::PauseHost { host }),
        1 => (0..3_usize).prop_map(|database| FleetStep::KillDatabase { database }),
        2 => (0..4_usize, 0..4_usize).prop_map(|(left, right)| FleetStep::Cut { left, right }),
        2 => Just(FleetStep::Heal),
        1 => any::<bool>().prop_map(|on| FleetStep::Outage { on }),
        1 => Just(FleetStep::LoseReply),
        1 => (0..3_usize).prop_map(|database| FleetStep::HangConnections { database }),
        1 => (0..3_usize, 1..6_u32)
            .prop_map(|(database, count)| FleetStep::UnmatchedAnswers { database, count }),
        1 => (0..3_usize).prop_map(|database| FleetStep::UnmatchedCloses { database }),
        1 => (0..3_usize, 1..2_000_u64)
            .prop_map(|(database, millis)| FleetStep::Lag { database, millis }),
        1 => (0..3_usize).prop_map(|centre| FleetStep::Drain { centre }),
    ]
}

proptest! {
    #![proptest_config(config(FLEET_CASES))]

    /// Guards against lost acknowledged writes, double writes, two primaries and overused shares
    /// under random sequences of failures, and against a fleet that doesn't serve again after they
    /// end.
    #[test]
    fn guarantees_hold_under_random_failures(
        seed in any::<u64>(),
        steps in prop::collection::vec(fleet_step(), 20..60),
    ) {
        let violations = run_steps(seed, &steps);
        prop_assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// A fleet that executes random steps.
struct RandomFleet {
    fleet: FakeFleet,
    key: String,
    /// Number of the last order that was inserted.
    last_order: u64,
    /// The database that lost its data. At most one of three is killed: no acknowledged write is
    /// guaranteed to survive the loss of two.
    killed_database: Option<String>,
}

/// Runs a fleet through the steps and returns the violations found.
fn run_steps(seed: u64, steps: &[FleetStep]) -> Vec<String> {
    let centres: Vec<String> = ["a", "b", "c"].map(str::to_owned).to_vec();
    let built = fleet_world::build(&centres, 1, 1, &[("desk".to_owned(), 50.0, 50.0)]);
    let key = built.keys[0].1.clone();
    let mut fleet = FakeFleet::new(built.config, seed);
    fleet.checker.secrets = vec![key.clone()];
    fleet.run_ms(8_000);
    let mut random = RandomFleet { fleet, key, last_order: 0, killed_database: None };
    random.open_all();
    random.fleet.execute_statement(
        "caller-0",
        "INSERT INTO counters (id, n) VALUES ('c', 0)",
        8_000,
    );
    for step in steps {
        random.apply(step);
    }
    random.recover_and_check();
    random.fleet.checker.violations
}

impl RandomFleet {
    fn apply(&mut self, step: &FleetStep) {
        let databases = ["g1-1", "g1-2", "g1-3"];
        let hosts = ["a1", "b1", "c1"];
        match step {
            FleetStep::Write { caller } => {
                self.last_order += 1;
                let id = self.last_order;
                let text = format!("INSERT INTO orders (id, state) VALUES ('o{id}', 'new')");
                self.execute_statement(*caller, &text);
            }
            FleetStep::Read { caller } => {
                let id = self.last_order.max(1);
                self.execute_statement(
                    *caller,
                    &format!("SELECT state FROM orders WHERE id = 'o{id}'"),
                );
            }
            FleetStep::Count { caller } => {
                self.execute_statement(*caller, "UPDATE counters SET n = n + 1 WHERE id = 'c'");
            }
            FleetStep::Transaction { caller, commit } => {
                self.last_order += 1;
                let id = self.last_order;
                let insert = format!("INSERT INTO orders (id, state) VALUES ('o{id}', 'new')");
                if self.execute_statement(*caller, "BEGIN") {
                    self.execute_statement(*caller, &insert);
                    self.execute_statement(*caller, if *commit { "COMMIT" } else { "ROLLBACK" });
                }
            }
            FleetStep::Run { millis } => self.fleet.run_ms(*millis),
            FleetStep::KillHost { host } => {
                self.fleet.kill(hosts[*host]);
                self.fleet.run_ms(200);
                self.fleet.start(hosts[*host]);
            }
            FleetStep::PauseHost { host } => {
                self.fleet.pause(hosts[*host]);
                self.fleet.run_ms(2_500);
                self.fleet.resume(hosts[*host]);
            }
            FleetStep::KillDatabase { database } if self.killed_database.is_none() => {
                self.fleet.kill(databases[*database]);
                self.killed_database = Some(databases[*database].to_owned());
            }
            FleetStep::KillDatabase { .. } => {}
            FleetStep::Cut { left, right } => {
                let place = |index: &usize| ["a", "b", "c", "platform"][*index];
                if left != right {
                    self.fleet.cut(place(left), place(right));
                }
            }
            FleetStep::Heal => self.fleet.heal_all(),
            FleetStep::Outage { on } => self.fleet.outage = *on,
            FleetStep::LoseReply => self.fleet.lose_replies += 1,
            FleetStep::HangConnections { database } => {
                self.fleet.hang_connections(databases[*database])
            }
            FleetStep::UnmatchedAnswers { database, count } => {
                let database = self.fleet.databases.get_mut(databases[*database]).unwrap();
                database.unmatched_answers = *count;
            }
            FleetStep::UnmatchedCloses { database } => {
                self.fleet.send_unmatched_answers(databases[*database]);
            }
            FleetStep::Lag { database, millis } => {
                self.fleet.databases.get_mut(databases[*database]).unwrap().replication_lag_ms =
                    *millis;
            }
            FleetStep::Drain { centre } => self.drain(*centre),
        }
        let FakeFleet { checker, platform, databases, .. } = &mut self.fleet;
        checker.check_logs(platform, databases);
    }

    /// Takes one data centre out of service, or brings the one that is out back.
    fn drain(&mut self, centre: usize) {
        if self.fleet.outage {
            return;
        }
        let mut config = self.fleet.config.clone();
        let out = config.centres.values_mut().find(|centre| !centre.in_service);
        match out {
            Some(out) => out.in_service = true,
            None => {
                let name = ["a", "b", "c"][centre];
                config.centres.get_mut(name).unwrap().in_service = false;
            }
        }
        self.fleet.publish(config);
    }

    /// Executes a caller's statement on an open connection and returns whether it got a response;
    /// without one the connection is closed.
    fn execute_statement(&mut self, caller: usize, text: &str) -> bool {
        let name = format!("caller-{caller}");
        let must_open = self.fleet.callers.get(&name).is_none_or(|caller| caller.closed);
        if must_open {
            self.open(caller);
        }
        if !matches!(self.fleet.callers[&name].admission, Some(Ok(()))) {
            self.fleet.close(&name);
            return false;
        }
        let response = self.fleet.execute_statement(&name, text, 6_000);
        let responded = response.is_some();
        if !responded {
            self.fleet.close(&name);
        }
        responded
    }

    fn open_all(&mut self) {
        (0..4).for_each(|caller| self.open(caller));
    }

    /// Opens a caller's connection with a new session; callers are spread over the hosts.
    fn open(&mut self, caller: usize) {
        let host = ["a1", "b1", "c1"][caller % 3];
        let name = format!("caller-{caller}");
        self.fleet.checker.must_see.remove(&name);
        let key = self.key.clone();
        self.fleet.open(&name, host, "desk", &key, &[("group", "g1".to_owned())]);
        self.fleet.run_ms(5);
    }

    /// Ends all failures, then checks that writes are served and no acknowledged write is lost.
    fn recover_and_check(&mut self) {
        self.fleet.heal_all();
        self.fleet.outage = false;
        self.fleet.lose_replies = 0;
        let mut config = self.fleet.config.clone();
        config.centres.values_mut().for_each(|centre| centre.in_service = true);
        self.fleet.publish(config);
        for database in self.fleet.databases.values_mut() {
            database.replication_lag_ms = 10;
        }
        self.fleet.run_ms(20_000);
        self.last_order += 1;
        let text = format!("INSERT INTO orders (id, state) VALUES ('o{}', 'new')", self.last_order);
        self.fleet.close("caller-0");
        self.open(0);
        let response = self.fleet.execute_statement("caller-0", &text, 8_000);
        let served = response.as_ref().is_some_and(|(verdict, _)| verdict.sqlstate() == "00000");
        if !served {
            self.fleet.checker.violations.push(format!(
                "a write after the end of all failures was not served: {response:?}"
            ));
        }
        let FakeFleet { checker, platform, databases, .. } = &mut self.fleet;
        checker.check_logs(platform, databases);
        checker.check_settled(platform, databases);
    }
}
