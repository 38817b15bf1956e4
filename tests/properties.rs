//! Properties over random inputs and interleavings. A failure prints its seed.

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

/// Seed of every property, so that each run gives the same verdict; `PROPERTY_SEED` sets another.
const SEED: u64 = 20_261_204;
/// Random fleets tried; `PROPERTY_CASES` sets another number.
const FLEET_CASES: u32 = 24;
const SMALL_CASES: u32 = 256;

fn config(cases: u32) -> Config {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let seed = number("PROPERTY_SEED").unwrap_or(SEED);
    let cases = number("PROPERTY_CASES").map_or(cases, |cases: u64| cases as u32);
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}

/// Names each decoder that must take arbitrary bytes without a panic.
macro_rules! decoders {
    ($($name:ident => $decode:expr;)*) => {
        $(
            proptest! {
                #![proptest_config(config(SMALL_CASES))]
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
    decode_peer_message => |bytes| drop(rmp_serde::from_slice::<peer_message::PeerEnvelope>(bytes));
    decode_platform_reply => |bytes| drop(rmp_serde::from_slice::<platform_message::PlatformReply>(bytes));
    decode_platform_request => |bytes| drop(rmp_serde::from_slice::<platform_message::PlatformRequest>(bytes));
    decode_config_head => |bytes| drop(config_head::ConfigHead::decode(bytes));
    decode_config_part => |bytes| drop(config_head::join_parts([bytes]));
    decode_session_token => |bytes| {
        let text = String::from_utf8_lossy(bytes);
        assert!(session_token::SessionToken::verify(b"secret", "desk", &text).is_err());
    };
    decode_statement => |bytes| drop(statement_text::classify(&String::from_utf8_lossy(bytes)));
    decode_world_file => |bytes| drop(config_file::ConfigFile::parse(&String::from_utf8_lossy(bytes)));
}

proptest! {
    #![proptest_config(config(SMALL_CASES))]

    #[test]
    fn pulse_survives_encoding(
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
    fn token_opens_for_its_account_alone(term in any::<u64>(), position in any::<u64>()) {
        let mut token = session_token::SessionToken::default();
        token.advance("g1", endpoint_message::LogPoint { term, position });
        let text = token.sign(b"secret", "desk");
        prop_assert_eq!(session_token::SessionToken::verify(b"secret", "desk", &text).unwrap(), token);
        prop_assert!(session_token::SessionToken::verify(b"secret", "club", &text).is_err());
        prop_assert!(session_token::SessionToken::verify(b"other", "desk", &text).is_err());
    }

    /// The parts that all hosts may use never sum to more than the account's.
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
        for (asker, lender, passed, arrivals) in steps {
            now = now.after(std::time::Duration::from_millis(passed));
            bucket = (bucket + passed as f64 * 0.1).min(40.0);
            for _ in 0..arrivals {
                ledgers[asker].record_demand(now);
                bucket -= f64::from(u8::from(ledgers[asker].admit(now)));
            }
            prop_assert!(bucket > -1e-6, "over the account's share by {}", -bucket);
            if asker == lender {
                continue;
            }
            let Some(want) = ledgers[asker].shortage(now, arrivals as usize) else { continue };
            let grant: Option<share_ledger::ShareGrant> = ledgers[lender].lend(now, &asker.to_string(), want);
            // Some grants are lost on their way, others arrive late.
            if let Some(grant) = grant.filter(|_| arrivals % 5 != 4) {
                let arrived = now.after(std::time::Duration::from_millis(u64::from(arrivals) * 9));
                let asked = now;
                now = arrived;
                bucket = (bucket + f64::from(arrivals) * 0.9).min(40.0);
                ledgers[asker].borrow(now, asked, grant);
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

    /// A larger world is split into parts and joined again unchanged.
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

/// Something that happens to a fleet.
#[derive(Debug, Clone)]
enum FleetStep {
    Write { caller: usize },
    Read { caller: usize },
    Count { caller: usize },
    Transaction { caller: usize, commit: bool },
    Run { millis: u64 },
    KillHost { host: usize },
    PauseHost { host: usize },
    KillBase { base: usize },
    Cut { left: usize, right: usize },
    Heal,
    Outage { on: bool },
    LoseAnswer,
    Silence { base: usize },
    Lag { base: usize, millis: u64 },
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
        1 => (0..3_usize).prop_map(|base| FleetStep::KillBase { base }),
        2 => (0..4_usize, 0..4_usize).prop_map(|(left, right)| FleetStep::Cut { left, right }),
        2 => Just(FleetStep::Heal),
        1 => any::<bool>().prop_map(|on| FleetStep::Outage { on }),
        1 => Just(FleetStep::LoseAnswer),
        1 => (0..3_usize).prop_map(|base| FleetStep::Silence { base }),
        1 => (0..3_usize, 1..2_000_u64).prop_map(|(base, millis)| FleetStep::Lag { base, millis }),
        1 => (0..3_usize).prop_map(|centre| FleetStep::Drain { centre }),
    ]
}

proptest! {
    #![proptest_config(config(FLEET_CASES))]

    /// Whatever happens to a fleet, what must hold holds, and it settles when all is healed.
    #[test]
    fn fleet_keeps_its_promises(
        seed in any::<u64>(),
        steps in prop::collection::vec(fleet_step(), 20..60),
    ) {
        let faults = play(seed, &steps);
        prop_assert!(faults.is_empty(), "{faults:#?}");
    }
}

/// A fleet under random steps.
struct RandomFleet {
    fleet: FakeFleet,
    key: String,
    next: u64,
    /// Databases that lost their data; two of three would be beyond what is promised.
    killed: Option<String>,
}

fn play(seed: u64, steps: &[FleetStep]) -> Vec<String> {
    let centres: Vec<String> = ["a", "b", "c"].map(str::to_owned).to_vec();
    let built = fleet_world::build(&centres, 1, 1, &[("desk".to_owned(), 50.0, 50.0)]);
    let key = built.keys[0].1.clone();
    let mut fleet = FakeFleet::new(built.config, seed);
    fleet.truth.secrets = vec![key.clone()];
    fleet.run_ms(8_000);
    let mut random = RandomFleet { fleet, key, next: 0, killed: None };
    random.open_all();
    random.fleet.ask("caller-0", "INSERT INTO counters (id, n) VALUES ('c', 0)", 8_000);
    for step in steps {
        random.take(step);
    }
    random.settle();
    random.fleet.truth.faults
}

impl RandomFleet {
    fn take(&mut self, step: &FleetStep) {
        let bases = ["g1-1", "g1-2", "g1-3"];
        let hosts = ["a1", "b1", "c1"];
        match step {
            FleetStep::Write { caller } => {
                self.next += 1;
                let id = self.next;
                let text = format!("INSERT INTO orders (id, state) VALUES ('o{id}', 'new')");
                self.ask(*caller, &text);
            }
            FleetStep::Read { caller } => {
                let id = self.next.max(1);
                self.ask(*caller, &format!("SELECT state FROM orders WHERE id = 'o{id}'"));
            }
            FleetStep::Count { caller } => {
                self.ask(*caller, "UPDATE counters SET n = n + 1 WHERE id = 'c'");
            }
            FleetStep::Transaction { caller, commit } => {
                self.next += 1;
                let id = self.next;
                let insert = format!("INSERT INTO orders (id, state) VALUES ('o{id}', 'new')");
                if self.ask(*caller, "BEGIN") {
                    self.ask(*caller, &insert);
                    self.ask(*caller, if *commit { "COMMIT" } else { "ROLLBACK" });
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
            FleetStep::KillBase { base } if self.killed.is_none() => {
                self.fleet.kill(bases[*base]);
                self.killed = Some(bases[*base].to_owned());
            }
            FleetStep::KillBase { .. } => {}
            FleetStep::Cut { left, right } => {
                let place = |index: &usize| ["a", "b", "c", "platform"][*index];
                if left != right {
                    self.fleet.cut(place(left), place(right));
                }
            }
            FleetStep::Heal => self.fleet.heal_all(),
            FleetStep::Outage { on } => self.fleet.outage = *on,
            FleetStep::LoseAnswer => self.fleet.lose_answers += 1,
            FleetStep::Silence { base } => self.fleet.silence(bases[*base]),
            FleetStep::Lag { base, millis } => {
                self.fleet.bases.get_mut(bases[*base]).unwrap().lag_ms = *millis;
            }
            FleetStep::Drain { centre } => self.drain(*centre),
        }
        let FakeFleet { truth, platform, bases, .. } = &mut self.fleet;
        truth.check_logs(platform, bases);
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

    fn ask(&mut self, caller: usize, text: &str) -> bool {
        let name = format!("caller-{caller}");
        let gone = self.fleet.callers.get(&name).is_none_or(|caller| caller.closed);
        if gone {
            self.open(caller);
        }
        if !matches!(self.fleet.callers[&name].open, Some(Ok(()))) {
            self.fleet.close(&name);
            return false;
        }
        let answer = self.fleet.ask(&name, text, 6_000);
        let ran = answer.is_some();
        if !ran {
            self.fleet.close(&name);
        }
        ran
    }

    fn open_all(&mut self) {
        (0..4).for_each(|caller| self.open(caller));
    }

    /// Opens a caller's connection at a host of its own; its session starts afresh.
    fn open(&mut self, caller: usize) {
        let host = ["a1", "b1", "c1"][caller % 3];
        let name = format!("caller-{caller}");
        self.fleet.truth.must_see.remove(&name);
        let key = self.key.clone();
        self.fleet.open(&name, host, "desk", &key, &[("group", "g1".to_owned())]);
        self.fleet.run_ms(5);
    }

    /// Heals everything and checks that service is back and nothing is lost.
    fn settle(&mut self) {
        self.fleet.heal_all();
        self.fleet.outage = false;
        self.fleet.lose_answers = 0;
        let mut config = self.fleet.config.clone();
        config.centres.values_mut().for_each(|centre| centre.in_service = true);
        self.fleet.publish(config);
        for base in self.fleet.bases.values_mut() {
            base.lag_ms = 10;
        }
        self.fleet.run_ms(20_000);
        self.next += 1;
        let text = format!("INSERT INTO orders (id, state) VALUES ('o{}', 'new')", self.next);
        self.fleet.close("caller-0");
        self.open(0);
        let answer = self.fleet.ask("caller-0", &text, 8_000);
        let served = answer.as_ref().is_some_and(|(verdict, _)| verdict.sqlstate() == "00000");
        if !served {
            self.fleet.truth.faults.push(format!("no service after all was healed: {answer:?}"));
        }
        let FakeFleet { truth, platform, bases, .. } = &mut self.fleet;
        truth.check_logs(platform, bases);
        truth.check_settled(platform, bases);
    }
}
