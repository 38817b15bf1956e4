//! Drives one decision core by itself to measure what its parts cost.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use quetzaldeal::core::clock_time::ClockTime;
use quetzaldeal::core::core_context::HostIdentity;
use quetzaldeal::core::core_message::{CoreAction, CoreEvent};
use quetzaldeal::core::core_tuning::CoreTuning;
use quetzaldeal::core::decision_core::DecisionCore;
use quetzaldeal::core::endpoint_message::{
    AnswerBody, EndpointOutcome, EndpointRequest, EndpointStatus, LogPoint,
};
use quetzaldeal::core::group_record::{self, GroupRecord, TermPhase};
use quetzaldeal::core::platform_message::{PlatformReply, PlatformRequest, StoreEntry};
use quetzaldeal::world::config_head;
use quetzaldeal::world::key_secret::KeySecret;
use quetzaldeal::world::world_config::WorldConfig;
use quetzaldeal::world::world_file::WorldFile;

/// Name of the host that the bench plays.
const HOST: &str = "host-0";
const ACCOUNT: &str = "account-0";

/// Sizes of a world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorldSize {
    /// Data centres.
    pub centres: usize,
    /// Hosts.
    pub hosts: usize,
    /// Groups, of three endpoints each.
    pub groups: usize,
    /// Client accounts, each with a key.
    pub accounts: usize,
}

/// One decision core with endpoints and a platform that answer at once.
#[derive(Debug)]
pub struct CoreBench {
    core: DecisionCore,
    now: ClockTime,
    entries: Vec<StoreEntry>,
    revision: u64,
    key: String,
    open: VecDeque<CoreEvent>,
    answered: u64,
}

impl CoreBench {
    /// Builds a core with a configuration of this size in force.
    ///
    /// # Errors
    ///
    /// Fails when the configuration cannot be built.
    pub fn new(size: WorldSize) -> Result<Self> {
        let identity = HostIdentity {
            name: HOST.to_owned(),
            data_centre: "centre-0".to_owned(),
            incarnation: 1,
            seeds: Vec::new(),
        };
        let tuning = CoreTuning { share_loans: false, ..CoreTuning::default() };
        let now = ClockTime::from_millis(1_000);
        let core = DecisionCore::new(identity, tuning, 1, now)?;
        let mut bench = Self {
            core,
            now,
            entries: Vec::new(),
            revision: 0,
            key: String::new(),
            open: VecDeque::new(),
            answered: 0,
        };
        let secret = KeySecret::generate("key-0", ACCOUNT);
        bench.key.clone_from(&secret.text);
        let mut world = build_world(size)?;
        world.keys.insert("key-0".to_owned(), secret.object);
        for group in world.groups.keys() {
            bench.put_record(group)?;
        }
        bench.publish(&world, 1)?;
        bench.run(Duration::from_secs(8));
        Ok(bench)
    }

    /// Publishes a configuration and returns the time that the core takes to bring it into force.
    ///
    /// # Errors
    ///
    /// Fails when the configuration cannot be encoded.
    pub fn publish(&mut self, world: &WorldConfig, version: u64) -> Result<Duration> {
        let parts = config_head::split_world(world)?;
        let head = config_head::ConfigHead {
            version,
            parts: parts.iter().map(|(hash, _)| hash.clone()).collect(),
            token_secret: b"secret".to_vec(),
            publish_id: version.to_string(),
            author: "bench".to_owned(),
            published_at_ms: 0,
        };
        for (hash, value) in parts {
            self.put(config_head::part_key(&hash), value);
        }
        self.put(config_head::head_key(), head.encode()?);
        let started = Instant::now();
        while self.core.context().config.version() != version {
            self.run(Duration::from_millis(100));
        }
        Ok(started.elapsed())
    }

    /// Lets the core run for a span of its own time and returns the processor time that it took.
    pub fn run(&mut self, span: Duration) -> Duration {
        let started = Instant::now();
        let end = self.now.after(span);
        while let Some(wake) = self.core.next_wake().filter(|wake| *wake <= end) {
            self.now = self.now.max(wake);
            self.handle(CoreEvent::Woken);
        }
        self.now = end;
        started.elapsed()
    }

    /// Opens callers' connections.
    pub fn open_callers(&mut self, from: u64, to: u64) {
        for caller in from..to {
            let event = CoreEvent::CallerOpened {
                caller,
                account: ACCOUNT.to_owned(),
                key: self.key.clone(),
                service: "shop".to_owned(),
                settings: vec![("group".to_owned(), "group-0".to_owned())],
            };
            self.handle(event);
        }
    }

    /// Sends statements of one caller, one after the other, and returns the time that they took.
    pub fn statements(&mut self, caller: u64, count: u64, text: &str) -> Duration {
        let started = Instant::now();
        let answered = self.answered;
        for _ in 0..count {
            self.now = self.now.after(Duration::from_micros(300));
            self.handle(CoreEvent::StatementArrived { caller, text: text.to_owned() });
        }
        let spent = started.elapsed();
        if self.answered - answered < count {
            log::warn!("{} of {count} statements answered", self.answered - answered);
        }
        spent
    }

    /// Returns the core's context.
    pub fn core(&self) -> &DecisionCore {
        &self.core
    }

    fn handle(&mut self, event: CoreEvent) {
        self.open.push_back(event);
        while let Some(event) = self.open.pop_front() {
            for action in self.core.handle(self.now, event) {
                self.answer(action);
            }
        }
    }

    fn answer(&mut self, action: CoreAction) {
        let event = match action {
            CoreAction::OpenConnection { connection, .. } => {
                CoreEvent::ConnectionOpened { connection, opened: true }
            }
            CoreAction::CallEndpoint { call, request, connection } => {
                let endpoint = self.core.context().connections[connection].endpoint;
                let context = self.core.context();
                let name = context.endpoints[endpoint].name.clone();
                let primary = name.rsplit_once('-').map(|(group, _)| format!("{group}-0"));
                let primary = primary.and_then(|name| context.endpoint_names.get(&name));
                let address = primary.map(|key| context.endpoints[*key].address.clone());
                let outcome = outcome(&request, name.ends_with("-0"), address);
                CoreEvent::EndpointAnswered { call, outcome }
            }
            CoreAction::CallPeer { call, .. } => CoreEvent::PeerAnswered { call, reply: None },
            CoreAction::CallPlatform { call, request } => {
                let reply = Some(self.platform(&request));
                if matches!(request, PlatformRequest::Watch { .. }) {
                    // A watch is answered when it has waited, or else the core would spin.
                    self.now = self.now.after(Duration::from_millis(1));
                }
                CoreEvent::PlatformAnswered { call, reply }
            }
            CoreAction::AnswerCaller { .. } => {
                self.answered += 1;
                return;
            }
            _ => return,
        };
        self.open.push_back(event);
    }

    fn platform(&self, request: &PlatformRequest) -> PlatformReply {
        match request {
            PlatformRequest::Get { key } => {
                let entry = self.entries.iter().find(|entry| entry.key == *key);
                PlatformReply::Value(entry.cloned())
            }
            PlatformRequest::Watch { prefix, after, .. } => {
                let newer = |entry: &&StoreEntry| {
                    entry.revision > *after && entry.key.starts_with(prefix.as_str())
                };
                let entries = self.entries.iter().filter(newer).cloned().collect();
                PlatformReply::Changed { revision: self.revision, entries }
            }
            PlatformRequest::Hosts => PlatformReply::Hosts(Vec::new()),
            PlatformRequest::CompareSwap { .. } => PlatformReply::Conflict(None),
        }
    }

    fn put(&mut self, key: String, value: Vec<u8>) {
        self.revision += 1;
        self.entries.retain(|entry| entry.key != key);
        self.entries.push(StoreEntry { key, revision: self.revision, value });
    }

    fn put_record(&mut self, group: &str) -> Result<()> {
        let names = (0..3).map(|index| format!("{group}-{index}"));
        let record = GroupRecord {
            term: 1,
            phase: TermPhase::Serving,
            primary: format!("{group}-0"),
            proposer: "bench".to_owned(),
            start: LogPoint { term: 0, position: 0 },
            copies: names.map(|name| (name, 1)).collect(),
        };
        let value = rmp_serde::to_vec(&record).context("record")?;
        self.put(group_record::record_key(group), value);
        Ok(())
    }
}

/// Builds a world of this size.
///
/// # Errors
///
/// Fails when the world's text is malformed.
pub fn build_world(size: WorldSize) -> Result<WorldConfig> {
    let mut text = String::new();
    for centre in 0..size.centres {
        text += &format!("---\nkind: data_centre\nname: centre-{centre}\n");
    }
    for host in 0..size.hosts {
        let centre = host % size.centres;
        let (high, low) = (host / 250, host % 250);
        text += &format!(
            "---\nkind: host\nname: host-{host}\ndata_centre: centre-{centre}\n\
             address: 10.1.{high}.{low}:7000\n"
        );
    }
    for group in 0..size.groups {
        for index in 0..3 {
            let centre = (group + index) % size.centres;
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
    Ok(WorldFile::parse(&text)?.world)
}

fn outcome(request: &EndpointRequest, primary: bool, address: Option<String>) -> EndpointOutcome {
    let status = EndpointStatus {
        copy: 1,
        adopted_term: 1,
        log_term: 1,
        position: 100,
        primary,
        following: address.filter(|_| !primary),
    };
    match request {
        EndpointRequest::Run(_) => EndpointOutcome::Ran { body: AnswerBody::default(), status },
        _ => EndpointOutcome::Status(status),
    }
}
