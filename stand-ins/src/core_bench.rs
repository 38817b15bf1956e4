//! Drives a single decision core without I/O, to measure its processor time and memory.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use quetzaldeal::config::config_file;
use quetzaldeal::config::config_head;
use quetzaldeal::config::fleet_config;
use quetzaldeal::config::key_secret;
use quetzaldeal::core::clock_time;
use quetzaldeal::core::core_context;
use quetzaldeal::core::core_message;
use quetzaldeal::core::core_tuning;
use quetzaldeal::core::decision_core;
use quetzaldeal::core::endpoint_message;
use quetzaldeal::core::group_record;
use quetzaldeal::core::platform_message;

/// Name of the host that the core under test acts as.
const HOST: &str = "host-0";
const ACCOUNT: &str = "account-0";

/// Number of objects in a generated configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Data centres.
    pub data_centres: usize,
    /// Hosts.
    pub hosts: usize,
    /// Groups of three endpoints each.
    pub groups: usize,
    /// Client accounts with one key each.
    pub accounts: usize,
}

/// A decision core whose endpoints and platform reply at once; calls to peers get no reply.
#[derive(Debug)]
pub struct CoreBench {
    core: decision_core::DecisionCore,
    now: clock_time::ClockTime,
    entries: Vec<platform_message::StoreEntry>,
    revision: u64,
    key: String,
    pending_events: VecDeque<core_message::CoreEvent>,
    responses: u64,
}

impl CoreBench {
    /// Builds a core and applies a configuration of this size.
    ///
    /// # Errors
    ///
    /// Fails when the configuration cannot be built.
    pub fn new(size: FleetSize) -> Result<Self> {
        let identity = core_context::HostIdentity {
            name: HOST.to_owned(),
            data_centre: "centre-0".to_owned(),
            incarnation: 1,
            seeds: Vec::new(),
        };
        let tuning =
            core_tuning::CoreTuning { share_loans: false, ..core_tuning::CoreTuning::default() };
        let now = clock_time::ClockTime::from_millis(1_000);
        let core = decision_core::DecisionCore::new(identity, tuning, 1, now)?;
        let mut bench = Self {
            core,
            now,
            entries: Vec::new(),
            revision: 0,
            key: String::new(),
            pending_events: VecDeque::new(),
            responses: 0,
        };
        let secret = key_secret::KeySecret::generate("key-0", ACCOUNT);
        bench.key.clone_from(&secret.text);
        let mut config = build_config(size)?;
        config.keys.insert("key-0".to_owned(), secret.object);
        for group in config.groups.keys() {
            bench.put_record(group)?;
        }
        bench.publish(&config, 1)?;
        bench.run(Duration::from_secs(8));
        Ok(bench)
    }

    /// Publishes a configuration and returns the elapsed time until the core has applied it.
    ///
    /// # Errors
    ///
    /// Fails when the configuration cannot be encoded.
    pub fn publish(
        &mut self,
        config: &fleet_config::FleetConfig,
        version: u64,
    ) -> Result<Duration> {
        let parts = config_head::split_config(config)?;
        let head = config_head::ConfigHead {
            version,
            parts: parts.iter().map(|(hash, _)| hash.clone()).collect(),
            token_secret: b"secret".to_vec(),
            publish_id: version.to_string(),
            author: "bench".to_owned(),
            published_at_ms: 0,
        };
        for (hash, value) in parts {
            self.put_entry(config_head::part_key(&hash), value);
        }
        self.put_entry(config_head::head_key(), head.encode()?);
        let started = Instant::now();
        while self.core.context().config.version() != version {
            self.run(Duration::from_millis(100));
        }
        Ok(started.elapsed())
    }

    /// Advances the core's clock by `duration`, firing its timers, and returns the real time spent.
    pub fn run(&mut self, duration: Duration) -> Duration {
        let started = Instant::now();
        let end = self.now.after(duration);
        while let Some(wake) = self.core.next_timer().filter(|wake| *wake <= end) {
            self.now = self.now.max(wake);
            self.handle(core_message::CoreEvent::TimerFired);
        }
        self.now = end;
        started.elapsed()
    }

    /// Opens the connections of callers `from` up to, but without, `to`.
    pub fn open_callers(&mut self, from: u64, to: u64) {
        for caller in from..to {
            let event = core_message::CoreEvent::CallerOpened {
                caller,
                account: ACCOUNT.to_owned(),
                key: self.key.clone(),
                service: "shop".to_owned(),
                settings: vec![("group".to_owned(), "group-0".to_owned())],
            };
            self.handle(event);
        }
    }

    /// Runs one caller's statements in sequence and returns the real time spent.
    pub fn statements(&mut self, caller: u64, count: u64, text: &str) -> Duration {
        let started = Instant::now();
        let responses = self.responses;
        for _ in 0..count {
            self.now = self.now.after(Duration::from_micros(300));
            self.handle(core_message::CoreEvent::StatementArrived {
                caller,
                text: text.to_owned(),
            });
        }
        let spent = started.elapsed();
        if self.responses - responses < count {
            log::warn!(
                "event=statements_unanswered responses={} statements={count}",
                self.responses - responses
            );
        }
        spent
    }

    /// Returns the core under test.
    pub fn core(&self) -> &decision_core::DecisionCore {
        &self.core
    }

    fn handle(&mut self, event: core_message::CoreEvent) {
        self.pending_events.push_back(event);
        while let Some(event) = self.pending_events.pop_front() {
            for action in self.core.handle(self.now, event) {
                self.execute_action(action);
            }
        }
    }

    fn execute_action(&mut self, action: core_message::CoreAction) {
        let event = match action {
            core_message::CoreAction::OpenConnection { connection, .. } => {
                core_message::CoreEvent::ConnectionOpened { connection, opened: true }
            }
            core_message::CoreAction::CallEndpoint { call, request, connection } => {
                let endpoint = self.core.context().connections[connection].endpoint;
                let context = self.core.context();
                let name = context.endpoints[endpoint].name.clone();
                let primary = name.rsplit_once('-').map(|(group, _)| format!("{group}-0"));
                let primary = primary.and_then(|name| context.endpoint_names.get(&name));
                let address = primary.map(|key| context.endpoints[*key].address.clone());
                let outcome = outcome(&request, name.ends_with("-0"), address);
                core_message::CoreEvent::EndpointResponded { call, outcome, reusable: true }
            }
            core_message::CoreAction::CallPeer { call, .. } => {
                core_message::CoreEvent::PeerReplied { call, reply: None }
            }
            core_message::CoreAction::CallPlatform { call, request } => {
                let reply = Some(self.platform_reply(&request));
                if matches!(request, platform_message::PlatformRequest::Watch { .. }) {
                    // The clock must advance for each watch: the core repeats a watch at once, and
                    // without progress of time the loop of events would not end.
                    self.now = self.now.after(Duration::from_millis(1));
                }
                core_message::CoreEvent::PlatformReplied { call, reply }
            }
            core_message::CoreAction::RespondToCaller { .. } => {
                self.responses += 1;
                return;
            }
            _ => return,
        };
        self.pending_events.push_back(event);
    }

    fn platform_reply(
        &self,
        request: &platform_message::PlatformRequest,
    ) -> platform_message::PlatformReply {
        match request {
            platform_message::PlatformRequest::Get { key } => {
                let entry = self.entries.iter().find(|entry| entry.key == *key);
                platform_message::PlatformReply::Value(entry.cloned())
            }
            platform_message::PlatformRequest::Watch { prefix, after, .. } => {
                let newer = |entry: &&platform_message::StoreEntry| {
                    entry.revision > *after && entry.key.starts_with(prefix.as_str())
                };
                let entries = self.entries.iter().filter(newer).cloned().collect();
                platform_message::PlatformReply::Changed { revision: self.revision, entries }
            }
            platform_message::PlatformRequest::Hosts => {
                platform_message::PlatformReply::Hosts(Vec::new())
            }
            platform_message::PlatformRequest::CompareSwap { .. } => {
                platform_message::PlatformReply::Conflict(None)
            }
        }
    }

    fn put_entry(&mut self, key: String, value: Vec<u8>) {
        self.revision += 1;
        self.entries.retain(|entry| entry.key != key);
        self.entries.push(platform_message::StoreEntry { key, revision: self.revision, value });
    }

    fn put_record(&mut self, group: &str) -> Result<()> {
        let names = (0..3).map(|index| format!("{group}-{index}"));
        let record = group_record::GroupRecord {
            term: 1,
            phase: group_record::TermPhase::Serving,
            primary: format!("{group}-0"),
            proposer: "bench".to_owned(),
            start: endpoint_message::LogPoint { term: 0, position: 0 },
            copies: names.map(|name| (name, 1)).collect(),
        };
        let value = rmp_serde::to_vec(&record).context("cannot encode the group record")?;
        self.put_entry(group_record::record_key(group), value);
        Ok(())
    }
}

/// Builds a configuration of this size.
///
/// # Errors
///
/// Fails when the generated YAML is malformed.
pub fn build_config(size: FleetSize) -> Result<fleet_config::FleetConfig> {
    let mut text = String::new();
    for centre in 0..size.data_centres {
        text += &format!("---\nkind: data_centre\nname: centre-{centre}\n");
    }
    for host in 0..size.hosts {
        let centre = host % size.data_centres;
        let (high, low) = (host / 250, host % 250);
        text += &format!(
            "---\nkind: host\nname: host-{host}\ndata_centre: centre-{centre}\n\
             address: 10.1.{high}.{low}:7000\n"
        );
    }
    for group in 0..size.groups {
        for index in 0..3 {
            let centre = (group + index) % size.data_centres;
            let (high, low) = (group / 250, group % 250);
            text += &format!(
                "---\nkind: endpoint\nname: group-{group}-{index}\n\
                 data_centre: centre-{centre}\naddress: 10.{}.{high}.{low}:5432\n\
                 slots: 3\nconnections: 20\n",
                index + 2
            );
        }
        text += &format!(
            "---\nkind: group\nname: group-{group}\n\
             endpoints: [group-{group}-0, group-{group}-1, group-{group}-2]\n"
        );
    }
    let groups: Vec<String> = (0..size.groups).map(|group| format!("group-{group}")).collect();
    text += &format!("---\nkind: service\nname: shop\ngroups: [{}]\n", groups.join(", "));
    let mut names = Vec::new();
    for account in 0..size.accounts {
        text += &format!(
            "---\nkind: account\nname: account-{account}\nrate: 10000000\nburst: 100000000\n\
             ---\nkind: key\nname: key-{account}\naccount: account-{account}\n\
             salt: \"00112233445566778899aabbccddeeff\"\nhash: \"{:064x}\"\n",
            account
        );
        names.push(format!("account-{account}"));
    }
    text += &format!(
        "---\nkind: rule\nname: shop\nservice: shop\naccess: write\naccounts: [{}]\n",
        names.join(", ")
    );
    Ok(config_file::ConfigFile::parse(&text)?.config)
}

fn outcome(
    request: &endpoint_message::EndpointRequest,
    primary: bool,
    address: Option<String>,
) -> endpoint_message::EndpointOutcome {
    let status = endpoint_message::EndpointStatus {
        copy: 1,
        adopted_term: 1,
        log_term: 1,
        position: 100,
        primary,
        following: address.filter(|_| !primary),
    };
    match request {
        endpoint_message::EndpointRequest::Run(_) => endpoint_message::EndpointOutcome::Ran {
            body: endpoint_message::ResponseBody::default(),
            status: Some(status),
        },
        _ => endpoint_message::EndpointOutcome::Status(status),
    }
}
