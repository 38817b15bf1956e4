//! Property tests: random sequences of faults in a simulated fleet of proxy cores.
//!
//! `PROPERTY_SEED` sets the seed of the sequences and `PROPERTY_CASES` their number.

#[allow(dead_code, reason = "no test program uses all of the fakes")]
mod proxy_fakes;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proxy_fakes::{PartitionSide, ProxyFleet, read, write};
use proxy_fakes::{fake_store, fake_stutter};
use quetzaldeal::proxy::proxy_tuning;
use quetzaldeal::proxy::session_request;

const HOSTS: usize = 5;
const CASES_IN_CI: u32 = 24;
/// Rate and burst of the account whose callers exceed its rate.
const SMALL_RATE: f64 = 30.0;

/// A fault that is injected or ended.
#[derive(Debug, Clone)]
enum FaultStep {
    KillHost { host: usize, down_ms: u64 },
    StopHost { host: usize },
    CutHostFromStore { host: usize },
    CutHostFromPeers { host: usize },
    CutHostFromDatabase { host: usize, database: usize },
    Heal,
    CrashDatabase { database: usize, lapse: bool },
    RestartDatabase { database: usize },
    DrainDatabase { database: usize, on: bool },
    Evacuate { data_centre: usize, on: bool },
    DelayReplication { database: usize, millis: u64 },
    SetStoreMode { mode: fake_store::StoreMode },
    CompactStore,
    CopyStore,
    RestoreStore { away_ms: u64, rewritten_after_ms: u64 },
    LoseResponses { fraction: f64 },
    Reconfigure,
    KillAll { down_ms: u64 },
    FreezeHost { host: usize, millis: u64 },
    SlowHost { host: usize, millis: u64 },
    DenyHost { host: usize, denied: bool },
    ResetConnections { host: usize },
    SlowDatabase { database: usize, millis: u64 },
    ReduceRate { fraction: f64 },
    Wait { millis: u64 },
    LoseHost { host: usize },
    LeaveHost { host: usize },
    ReturnHosts,
    DeafenDatabase { database: usize, deaf: bool },
    CutOffDatabase { database: usize, millis: u64 },
    BringBackDatabase { database: usize },
    LeadRoute { elsewhere: bool },
    RepeatAnswers { database: usize, share: f64, delay_ms: u64 },
}

fn fault_step() -> impl Strategy<Value = FaultStep> {
    let host = 0..HOSTS;
    let database = 0..3_usize;
    prop_oneof![
        (host.clone(), 100..1_500_u64)
            .prop_map(|(host, down_ms)| FaultStep::KillHost { host, down_ms }),
        host.clone().prop_map(|host| FaultStep::StopHost { host }),
        host.clone().prop_map(|host| FaultStep::CutHostFromStore { host }),
        host.clone().prop_map(|host| FaultStep::CutHostFromPeers { host }),
        (host.clone(), database.clone())
            .prop_map(|(host, database)| FaultStep::CutHostFromDatabase { host, database }),
        (host.clone(), 200..6_000_u64)
            .prop_map(|(host, millis)| FaultStep::FreezeHost { host, millis }),
        (host.clone(), 0..400_u64).prop_map(|(host, millis)| FaultStep::SlowHost { host, millis }),
        (host.clone(), any::<bool>())
            .prop_map(|(host, denied)| FaultStep::DenyHost { host, denied }),
        host.prop_map(|host| FaultStep::ResetConnections { host }),
        (database.clone(), 1..900_u64)
            .prop_map(|(database, millis)| FaultStep::SlowDatabase { database, millis }),
        (0.3..1.0_f64).prop_map(|fraction| FaultStep::ReduceRate { fraction }),
        Just(FaultStep::Heal),
        (database.clone(), any::<bool>())
            .prop_map(|(database, lapse)| FaultStep::CrashDatabase { database, lapse }),
        database.clone().prop_map(|database| FaultStep::RestartDatabase { database }),
        (database.clone(), any::<bool>())
            .prop_map(|(database, on)| FaultStep::DrainDatabase { database, on }),
        (0..3_usize, any::<bool>())
            .prop_map(|(data_centre, on)| FaultStep::Evacuate { data_centre, on }),
        (database, 1..4_000_u64)
            .prop_map(|(database, millis)| FaultStep::DelayReplication { database, millis }),
        prop_oneof![
            Just(fake_store::StoreMode::Up),
            Just(fake_store::StoreMode::Unresponsive),
            Just(fake_store::StoreMode::DropsWriteReplies)
        ]
        .prop_map(|mode| FaultStep::SetStoreMode { mode }),
        Just(FaultStep::CompactStore),
        (0.0..0.1_f64).prop_map(|fraction| FaultStep::LoseResponses { fraction }),
        Just(FaultStep::Reconfigure),
        (100..2_000_u64).prop_map(|down_ms| FaultStep::KillAll { down_ms }),
        (200..2_500_u64).prop_map(|millis| FaultStep::Wait { millis }),
    ]
}

/// Faults, of which every fourth copies the store or restores it from the last copy.
fn restore_step() -> impl Strategy<Value = FaultStep> {
    let times = (10..2_500_u64, 20..1_500_u64);
    let restore = times.prop_map(|(away_ms, rewritten_after_ms)| FaultStep::RestoreStore {
        away_ms,
        rewritten_after_ms,
    });
    prop_oneof![6 => fault_step(), 1 => Just(FaultStep::CopyStore), 1 => restore]
}

/// Faults, of which every third concerns hosts that leave for good, as planned or not, or return.
fn departure_step() -> impl Strategy<Value = FaultStep> {
    prop_oneof![
        6 => fault_step(),
        1 => (0..HOSTS).prop_map(|host| FaultStep::LeaveHost { host }),
        1 => (0..HOSTS).prop_map(|host| FaultStep::LoseHost { host }),
        1 => Just(FaultStep::ReturnHosts),
    ]
}

/// Faults, of which every fourth concerns a replica that receives nothing for a while.
fn replica_step() -> impl Strategy<Value = FaultStep> {
    let deafen = (0..3_usize, any::<bool>())
        .prop_map(|(database, deaf)| FaultStep::DeafenDatabase { database, deaf });
    prop_oneof![3 => departure_step(), 1 => deafen]
}

/// Faults, of which every fourth cuts a database off from the hosts and the store, but not from the other
/// databases, or ends that.
fn cut_step() -> impl Strategy<Value = FaultStep> {
    let cut_off = (0..3_usize, 0..12_000_u64)
        .prop_map(|(database, millis)| FaultStep::CutOffDatabase { database, millis });
    let bring_back = (0..3_usize).prop_map(|database| FaultStep::BringBackDatabase { database });
    prop_oneof![6 => replica_step(), 1 => cut_off, 1 => bring_back]
}

/// Faults, of which every fourth has the route that reads its own writes lead to another group, or back.
fn route_step() -> impl Strategy<Value = FaultStep> {
    let lead = any::<bool>().prop_map(|elsewhere| FaultStep::LeadRoute { elsewhere });
    prop_oneof![3 => replica_step(), 1 => lead]
}

/// Faults, of which every third has a database send a share of its answers twice.
fn stutter_step() -> impl Strategy<Value = FaultStep> {
    let share = prop_oneof![Just(0.02), Just(0.3), Just(1.0)];
    let repeat = (0..3_usize, share, 0..=300_u64).prop_map(|(database, share, delay_ms)| {
        FaultStep::RepeatAnswers { database, share, delay_ms }
    });
    prop_oneof![2 => replica_step(), 1 => repeat]
}

/// A fleet with callers that send requests throughout.
#[derive(Debug)]
struct LoadedFleet {
    fleet: ProxyFleet,
    copy: fake_store::StoreCopy,
    callers: Vec<(usize, u64)>,
    round: u64,
}

impl LoadedFleet {
    fn new(seed: u64, tuning: &proxy_tuning::ProxyTuning, sync_replicas: u32) -> Self {
        let accounts = [("large", 1_000.0, 1_000.0), ("small", SMALL_RATE, SMALL_RATE)];
        let mut fleet = ProxyFleet::with_tuning(HOSTS, &accounts, seed, tuning.clone());
        if sync_replicas > 0 {
            fleet.replicate_synchronously(sync_replicas);
        }
        fleet.run(Duration::from_millis(1_500));
        let copy = fleet.store.copy();
        let mut loaded = Self { fleet, copy, callers: Vec::new(), round: 0 };
        loaded.open_callers();
        loaded
    }

    fn open_callers(&mut self) {
        for (host, caller) in std::mem::take(&mut self.callers) {
            self.fleet.close(host, caller);
        }
        for host in 0..HOSTS {
            for database in ["strict", "aged", "own"] {
                self.callers.push((host, self.fleet.open(host, "large", database)));
            }
            self.callers.push((host, self.fleet.open(host, "small", "strict")));
        }
    }

    /// Advances virtual time while the callers send requests every 20 ms.
    fn run(&mut self, millis: u64) {
        for step in 0..millis / 20 {
            for (number, (host, caller)) in self.callers.clone().into_iter().enumerate() {
                let request = match (self.round + number as u64) % 7 {
                    0 => write(),
                    1 if number % 4 == 2 => {
                        session_request::SessionRequest::Begin { read_only: false }
                    }
                    3 if number % 4 == 2 => session_request::SessionRequest::Commit,
                    _ => read(),
                };
                self.fleet.send(host, caller, request);
            }
            self.round += 1;
            self.fleet.run(Duration::from_millis(20));
            if step % 25 == 24 {
                self.open_callers();
            }
        }
    }

    fn restart_hosts(&mut self, hosts: &[usize], down_ms: u64) {
        for host in hosts {
            self.fleet.kill_host(*host);
        }
        self.run(down_ms);
        for host in hosts {
            self.fleet.start_host(*host, Duration::ZERO);
        }
    }

    fn return_hosts(&mut self) {
        for host in (0..HOSTS).filter(|host| !self.fleet.alive(*host)).collect::<Vec<_>>() {
            self.fleet.start_host(host, Duration::ZERO);
        }
    }

    /// Ends all faults but the absence of hosts, of which at least one runs.
    fn end_faults(&mut self) {
        self.fleet.heal_partitions();
        self.fleet.store.mode = fake_store::StoreMode::Up;
        self.fleet.response_loss = 0.0;
        self.fleet.stutters.clear();
        for host in 0..HOSTS {
            self.fleet.deny_host(host, false);
            self.fleet.slow_host(host, Duration::ZERO);
        }
        if (0..HOSTS).all(|host| !self.fleet.alive(host)) {
            self.fleet.start_host(0, Duration::ZERO);
        }
        for number in 0..3 {
            let id = format!("db{number}");
            if let Some(database) = self.fleet.databases.get_mut(&id) {
                database.execution_us = 5_000;
                database.replication_lag_us = 20_000;
            }
            self.fleet.evacuate(&format!("centre{number}"), false);
            self.fleet.restart(&id);
            self.fleet.set_deaf(&id, false);
        }
    }

    /// Returns the running hosts that serve no write within 20 s.
    fn hosts_without_service(&mut self) -> Vec<usize> {
        let mut hosts: Vec<usize> = (0..HOSTS).filter(|host| self.fleet.alive(*host)).collect();
        for _ in 0..20 {
            self.fleet.run(Duration::from_millis(1_000));
            let fleet = &mut self.fleet;
            hosts.retain(|host| {
                let caller = fleet.open(*host, "large", "strict");
                let refused = fleet.refusal(*host, caller).is_some();
                let received =
                    if refused { None } else { fleet.send_and_wait(*host, caller, write()) };
                !received.is_some_and(|received| received.ran())
            });
        }
        hosts
    }

    fn apply(&mut self, step: &FaultStep) {
        match *step {
            FaultStep::KillHost { host, down_ms } => self.restart_hosts(&[host], down_ms),
            FaultStep::KillAll { down_ms } => {
                let all: Vec<usize> = (0..HOSTS).collect();
                self.restart_hosts(&all, down_ms);
            }
            FaultStep::StopHost { host } => {
                self.fleet.stop_host(host);
                self.run(6_000);
                self.restart_hosts(&[host], 20);
            }
            FaultStep::CutHostFromStore { host } => {
                self.fleet.partition(PartitionSide::Host(host), PartitionSide::Store)
            }
            FaultStep::CutHostFromPeers { host } => {
                for peer in (0..HOSTS).filter(|peer| *peer != host) {
                    self.fleet.partition(PartitionSide::Host(host), PartitionSide::Host(peer));
                }
            }
            FaultStep::CutHostFromDatabase { host, database } => {
                self.fleet.partition(
                    PartitionSide::Host(host),
                    PartitionSide::Database(format!("db{database}")),
                );
            }
            FaultStep::Heal => self.fleet.heal_partitions(),
            FaultStep::CrashDatabase { database, lapse } => {
                self.fleet.crash(&format!("db{database}"), lapse);
            }
            FaultStep::RestartDatabase { database } => {
                self.fleet.restart(&format!("db{database}"));
            }
            FaultStep::DrainDatabase { database, on } => {
                self.fleet.register(&format!("db{database}"), on);
            }
            FaultStep::Evacuate { data_centre, on } => {
                self.fleet.evacuate(&format!("centre{data_centre}"), on);
            }
            FaultStep::DelayReplication { database, millis } => {
                if let Some(database) = self.fleet.databases.get_mut(&format!("db{database}")) {
                    database.replication_lag_us = millis * 1_000;
                }
            }
            FaultStep::SetStoreMode { mode } => self.fleet.store.mode = mode,
            FaultStep::CompactStore => self.fleet.compact_store(),
            FaultStep::CopyStore => self.copy = self.fleet.store.copy(),
            FaultStep::RestoreStore { away_ms, rewritten_after_ms } => {
                self.fleet.store.mode = fake_store::StoreMode::Unresponsive;
                self.run(away_ms);
                self.fleet.store.mode = fake_store::StoreMode::Up;
                self.fleet.store.restore(self.copy.clone());
                self.run(rewritten_after_ms);
                self.fleet.write_again();
            }
            FaultStep::LoseResponses { fraction } => self.fleet.response_loss = fraction,
            FaultStep::Reconfigure => {
                self.fleet
                    .reconfigure(|config| config.idle_transaction += Duration::from_millis(1));
            }
            FaultStep::FreezeHost { host, millis } => {
                self.fleet.freeze_host(host, Duration::from_millis(millis));
            }
            FaultStep::SlowHost { host, millis } => {
                self.fleet.slow_host(host, Duration::from_millis(millis));
            }
            FaultStep::DenyHost { host, denied } => self.fleet.deny_host(host, denied),
            FaultStep::ResetConnections { host } => self.fleet.reset_connections(host),
            FaultStep::SlowDatabase { database, millis } => {
                if let Some(database) = self.fleet.databases.get_mut(&format!("db{database}")) {
                    database.execution_us = millis * 1_000;
                }
            }
            FaultStep::ReduceRate { fraction } => {
                self.fleet.reconfigure(|config| {
                    if let Some(account) = config.accounts.get_mut("small") {
                        account.rate = SMALL_RATE * fraction;
                        account.burst = SMALL_RATE * fraction;
                    }
                });
            }
            FaultStep::Wait { millis } => self.run(millis),
            FaultStep::LoseHost { host } => self.fleet.kill_host(host),
            FaultStep::LeaveHost { host } => {
                self.fleet.stop_host(host);
                self.run(6_000);
                self.fleet.kill_host(host);
            }
            FaultStep::ReturnHosts => self.return_hosts(),
            FaultStep::RepeatAnswers { database, share, delay_ms } => {
                let stutter = fake_stutter::FakeStutter::up_to(share, delay_ms);
                self.fleet.stutters.insert(format!("db{database}"), stutter);
            }
            FaultStep::CutOffDatabase { database, millis } => {
                self.fleet.cut_off(&format!("db{database}"));
                self.run(millis);
            }
            FaultStep::LeadRoute { elsewhere } => {
                if !self.fleet.databases.contains_key("db10") {
                    self.fleet.add_group("archive", 10);
                }
                self.fleet.lead_route("own", if elsewhere { "archive" } else { "orders" });
            }
            FaultStep::BringBackDatabase { database } => {
                self.fleet.bring_back(&format!("db{database}"));
            }
            FaultStep::DeafenDatabase { database, deaf } => {
                self.fleet.set_deaf(&format!("db{database}"), deaf);
            }
        }
    }
}

fn run_history(
    seed: u64,
    steps: &[FaultStep],
    tuning: &proxy_tuning::ProxyTuning,
    sync_replicas: u32,
) -> Result<(), TestCaseError> {
    let mut loaded = LoadedFleet::new(seed, tuning, sync_replicas);
    for step in steps {
        loaded.apply(step);
        loaded.run(300);
        loaded.fleet.check_samples();
        loaded.fleet.check_reports();
        prop_assert!(
            loaded.fleet.violations.is_empty(),
            "violations with seed {seed} after {step:?}: {:#?}",
            loaded.fleet.violations.iter().take(4).collect::<Vec<_>>()
        );
    }
    loaded.end_faults();
    let unserved = loaded.hosts_without_service();
    prop_assert!(unserved.is_empty(), "seed {seed}: no write served on hosts {unserved:?}");
    let window = 5.0;
    let most = loaded.fleet.max_executions_within("small", Duration::from_secs(5)) as f64;
    let bound = (SMALL_RATE * window + SMALL_RATE) * 1.1 + 20.0;
    prop_assert!(
        most <= bound,
        "seed {seed}: {most} operations of account small in 5 s, expected at most {bound}"
    );
    Ok(())
}

/// Declares a test for each name, the faults of its histories, the number of synchronous replicas
/// and the tuning of its fleet.
macro_rules! properties {
    ($($name:ident($step:expr, $sync_replicas:expr): $tuning:expr;)*) => {
        $(
            #[test]
            fn $name() {
                check_guarantees($step, &$tuning, $sync_replicas);
            }
        )*
    };
}

fn few_witnesses() -> proxy_tuning::ProxyTuning {
    proxy_tuning::ProxyTuning { witnesses_all: 2, witnesses: 3, ..Default::default() }
}

properties! {
    guarantees_hold_under_random_faults(fault_step(), 0): proxy_tuning::ProxyTuning::default();
    guarantees_hold_with_few_witnesses(fault_step(), 0): few_witnesses();
    guarantees_hold_over_restores_of_the_store(restore_step(), 0):
        proxy_tuning::ProxyTuning::default();
    guarantees_hold_over_restores_with_few_witnesses(restore_step(), 0): few_witnesses();
    guarantees_hold_while_hosts_leave(departure_step(), 0): proxy_tuning::ProxyTuning::default();
    guarantees_hold_with_synchronous_replicas(replica_step(), 1):
        proxy_tuning::ProxyTuning::default();
    guarantees_hold_while_replicas_are_cut_off(cut_step(), 1):
        proxy_tuning::ProxyTuning::default();
    guarantees_hold_while_replicas_are_cut_off_with_few_witnesses(cut_step(), 1): few_witnesses();
    guarantees_hold_while_routes_change(route_step(), 0): proxy_tuning::ProxyTuning::default();
    guarantees_hold_while_answers_are_repeated(stutter_step(), 0):
        proxy_tuning::ProxyTuning::default();
    guarantees_hold_while_answers_are_repeated_with_synchronous_replicas(stutter_step(), 1):
        proxy_tuning::ProxyTuning::default();
    guarantees_hold_while_answers_are_repeated_to_serving_hosts(stutter_step(), 0):
        proxy_tuning::ProxyTuning { serving_below: 100.0, ..few_witnesses() };
    guarantees_hold_with_serving_hosts(replica_step(), 0):
        proxy_tuning::ProxyTuning { serving_below: 100.0, ..few_witnesses() };
}

/// Checks the guarantees under random faults in random order: no stale read, no answer of another
/// request, no acknowledgement of a write that the primary lacks, no write reported as not run
/// although it was committed, none committed twice, no statement with the settings of another session or on another account's
/// connection, and no account over its rate. After the faults, every host serves writes again.
fn check_guarantees(
    step: impl Strategy<Value = FaultStep>,
    tuning: &proxy_tuning::ProxyTuning,
    sync_replicas: u32,
) {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seed = number("PROPERTY_SEED").unwrap_or(1);
    let cases = number("PROPERTY_CASES").map_or(CASES_IN_CI, |cases| cases as u32);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let histories = (any::<u64>(), prop::collection::vec(step, 1..12));
    let outcome =
        runner.run(&histories, |(seed, steps)| run_history(seed, &steps, tuning, sync_replicas));
    if let Err(error) = outcome {
        panic!("{error}");
    }
}
