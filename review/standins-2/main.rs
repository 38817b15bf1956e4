//! Scenarios of the review: the project's daemons as processes, with stand-ins of the platform, the
//! databases and the callers.
//!
//! Usage: `scenarios NAME RECORD`. Exits with 1 if a rule was broken, 0 if it held, and 2 if the
//! scenario could not run. With `TROUBLE=0` there is no disruption.

mod caller;
mod database;
mod host;
mod http;
mod json;
mod link;
mod record;
mod store;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["lake-erie", "lake-huron", "lake-michigan"];
/// Zone of each daemon.
const HOST_ZONES: [usize; 7] = [0, 0, 0, 1, 1, 2, 2];
const SERVICE: &str = "ledger";
/// A further service, to which a route may lead.
const OTHER_SERVICE: &str = "archive";
/// Time of a promotion.
const PROMOTION: Duration = Duration::from_millis(1_000);
/// Partition of a daemon from the platform.
const CUT: Duration = Duration::from_millis(2_350);
/// Time within which a version has to be in force: `config_apply_ms`.
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const READY_MAX: Duration = Duration::from_secs(20);

/// A fleet with its stand-ins.
struct Fleet {
    record: Arc<record::Record>,
    store: Arc<store::Store>,
    group: Arc<database::Group>,
    hosts: Vec<host::Host>,
    /// Links of each daemon to the platform.
    links: Vec<Arc<link::Link>>,
    stop: Arc<AtomicBool>,
    callers: Vec<std::thread::JoinHandle<()>>,
    folder: PathBuf,
    trouble: bool,
    started: Instant,
}

impl Fleet {
    /// Starts a fleet; `None` if it does not get ready.
    fn start(sync_replicas: usize, record: Arc<record::Record>) -> Option<Self> {
        let store = store::Store::start();
        let store_address = store.serve();
        let start = |name| {
            let (store, record) = (store.clone(), record.clone());
            database::Group::start(name, &ZONES, sync_replicas, PROMOTION, store, record)
        };
        let (group, other) = (start(SERVICE), start(OTHER_SERVICE));
        let groups = [group.clone(), other.clone()];
        let duties = http::serve(move |request| {
            let body = json::parse(&request.body);
            let token = request.header("Quetzaldeal-Fencing-Token").parse().unwrap_or(0);
            let holder = request.header("Quetzaldeal-Lease-Holder").to_owned();
            let named = body.field("service").text();
            let status = match groups.iter().find(|group| group.name == named) {
                Some(group) => group.promote(body.field("id").text(), &holder, token),
                None => 409,
            };
            Some((status, "{}".to_owned()))
        });
        let config = Configuration { sync_replicas, ..Configuration::default() };
        store.put("op/config", &config.text());
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let links: Vec<Arc<link::Link>> = HOST_ZONES.iter().map(|_| Arc::default()).collect();
        let hosts: Vec<host::Host> = HOST_ZONES
            .iter()
            .enumerate()
            .map(|(index, zone)| {
                let number = index as u8 + 1;
                let (store, duties) =
                    (links[index].serve(store_address), links[index].serve(duties));
                host::Host::start(number, ZONES[*zone], &ZONES, store, duties, &folder)
            })
            .collect();
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let fleet = Self {
            record,
            store,
            group,
            hosts,
            links,
            stop: Arc::default(),
            callers: Vec::new(),
            folder,
            trouble,
            started: Instant::now(),
        };
        if !host::wait_until_ready(&fleet.hosts, READY_MAX) {
            fleet.record.note("the daemons did not get ready");
            return None;
        }
        Some(fleet)
    }

    /// Starts callers that write on the primary route. The time of the scenario counts from now.
    fn start_writers(&mut self, count: usize, pause: Duration) {
        for number in 0..count {
            let mut hosts: Vec<SocketAddr> = self.hosts.iter().map(|host| host.callers).collect();
            hosts.rotate_left(number % self.hosts.len());
            let (group, record) = (self.group.clone(), self.record.clone());
            let name = format!("c{number}");
            let stop = self.stop.clone();
            let route = "orders";
            self.callers.push(caller::start_writer(name, hosts, route, pause, group, record, stop));
        }
        self.started = Instant::now();
        self.record.note("traffic starts");
    }

    /// Waits until `seconds` after the start of traffic.
    fn wait_until(&self, seconds: f64) {
        let at = self.started + Duration::from_secs_f64(seconds);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
    }

    /// Ends the callers and the daemons.
    fn end(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for caller in std::mem::take(&mut self.callers) {
            drop(caller.join());
        }
        self.hosts.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            drop(std::fs::remove_dir_all(&self.folder));
        } else {
            println!("logs in {}", self.folder.display());
        }
    }
}

/// What the versions of the configuration differ in.
struct Configuration {
    version: u64,
    sync_replicas: usize,
    /// Service of the route `own`, which reads its own writes.
    own_service: &'static str,
    /// Keys of the accounts `tenant1` and `tenant2`.
    keys: [&'static str; 2],
}

impl Default for Configuration {
    fn default() -> Self {
        let keys = ["\"key1\"", "\"key2\""];
        Self { version: 7, sync_replicas: 0, own_service: SERVICE, keys }
    }
}

impl Configuration {
    fn text(&self) -> String {
        let route = |name: &str, service: &str, kind: &str| {
            format!(
                "{{\"database\":\"{name}\",\"service\":\"{service}\",\"type\":\"{kind}\",\
                 \"timeout_ms\":800,\"target_latency_ms\":250,\"priority\":1,\
                 \"max_staleness_ms\":2500}}"
            )
        };
        let service = |name: &str| {
            let sync_replicas = self.sync_replicas;
            format!(
                "{{\"name\":\"{name}\",\"max_connections\":21,\"sync_replicas\":{sync_replicas}}}"
            )
        };
        let tenant = |name: &str, keys: &str| {
            format!(
                "{{\"name\":\"{name}\",\"api_keys\":[{keys}],\"rate_per_s\":400.0,\
                 \"burst_size\":400.0}}"
            )
        };
        format!(
            "{{\"version\":{},\"routes\":[{},{}],\"services\":[{},{}],\
             \"limits\":{{\"tx_idle_ms\":3000}},\"tenants\":[{},{}]}}",
            self.version,
            route("orders", SERVICE, "primary"),
            route("own", self.own_service, "read_your_writes"),
            service(SERVICE),
            service(OTHER_SERVICE),
            tenant("tenant1", self.keys[0]),
            tenant("tenant2", self.keys[1]),
        )
    }
}

/// A synchronous replica is cut off from all machines, but not from its primary, for 12 s. Meanwhile
/// the other replica receives nothing, and the primary crashes.
fn lost_commits(record: Arc<record::Record>) -> Option<()> {
    let mut fleet = Fleet::start(1, record)?;
    fleet.start_writers(7, Duration::from_millis(60));
    let (primary, cut, deaf) = (0, 1, 2);
    if fleet.trouble {
        fleet.wait_until(2.0);
        fleet.group.cut(cut, true);
        fleet.wait_until(12.4);
        fleet.group.deafen(deaf, true);
        fleet.wait_until(13.0);
        fleet.group.crash(primary, true);
        fleet.wait_until(14.0);
        fleet.group.cut(cut, false);
        fleet.wait_until(18.9);
        fleet.group.deafen(deaf, false);
        fleet.wait_until(20.0);
        fleet.group.crash(primary, false);
    }
    fleet.wait_until(22.0);
    fleet.end();
    Some(())
}

/// The coordinator is partitioned from the platform for a while, as its promotion is on its way.
fn stale_token(record: Arc<record::Record>) -> Option<()> {
    let mut fleet = Fleet::start(0, record)?;
    fleet.start_writers(7, Duration::from_millis(60));
    fleet.wait_until(3.0);
    let primary = fleet.group.primary();
    if fleet.trouble {
        for link in &fleet.links {
            link.set_trap("POST /promotion", CUT);
        }
    }
    fleet.group.crash(primary, true);
    let mut trapped = None;
    while trapped.is_none() && fleet.trouble && fleet.started.elapsed() < Duration::from_secs(8) {
        std::thread::sleep(Duration::from_millis(5));
        trapped = fleet
            .links
            .iter()
            .position(|link| link.trapped_at.lock().expect("no thread panics").is_some());
    }
    if let Some(index) = trapped {
        for link in &fleet.links {
            link.clear_trap();
        }
        let name = &fleet.hosts[index].name;
        let ms = CUT.as_millis();
        fleet.record.note(&format!("{name} is partitioned from the platform for {ms} ms"));
    }
    fleet.wait_until(10.0);
    fleet.group.crash(primary, false);
    fleet.wait_until(12.0);
    fleet.end();
    Some(())
}

/// A route leads to another service for a second, while a replica of the first one receives nothing.
fn stale_route(record: Arc<record::Record>) -> Option<()> {
    let fleet = Fleet::start(0, record)?;
    let mut version = 7;
    for round in 0..2 {
        std::thread::sleep(Duration::from_secs(3));
        let deaf = 1;
        if fleet.trouble {
            fleet.group.deafen(deaf, true);
        }
        std::thread::sleep(Duration::from_millis(200));
        // The daemons of the zone in which the deaf replica is.
        let near: Vec<&host::Host> =
            fleet.hosts.iter().filter(|host| host.name.contains(ZONES[deaf])).collect();
        let mut sessions = Vec::new();
        for (index, host) in near.iter().cycle().take(6).enumerate() {
            let mut session = caller::Session::open(host.callers, "own", "key1")?;
            let id = format!("r{round}s{index}-first");
            let outcome = session.query(&id, "WRITE item1 data")?;
            fleet.record.note(&format!("{id} gets {outcome}"));
            if outcome.starts_with("COMPLETE ") {
                sessions.push((session, index, id));
            }
        }
        for service in [OTHER_SERVICE, SERVICE] {
            version += 1;
            let own_service = if fleet.trouble { service } else { SERVICE };
            let config = Configuration { version, own_service, ..Configuration::default() };
            fleet.store.put("op/config", &config.text());
            fleet.record.note(&format!("version {version}: own leads to {own_service}"));
            std::thread::sleep(Duration::from_millis(400));
            if service == SERVICE {
                continue;
            }
            for (session, index, _) in &mut sessions {
                let id = format!("r{round}s{index}-second");
                let outcome = session.query(&id, "WRITE item2 data")?;
                fleet.record.note(&format!("{id} gets {outcome}"));
            }
        }
        for read in 0..4 {
            for (session, index, first) in &mut sessions {
                let id = format!("r{round}s{index}-read{read}");
                fleet.group.expect(&id, std::slice::from_ref(first));
                let outcome = session.query(&id, "READ item1")?;
                fleet.record.note(&format!("{id} gets {outcome}"));
            }
        }
        std::thread::sleep(Duration::from_secs(3));
        if fleet.trouble {
            fleet.group.deafen(deaf, false);
        }
    }
    fleet.end();
    Some(())
}

/// A key moves from one tenant to another while its client has a transaction open.
fn moved_key(record: Arc<record::Record>) -> Option<()> {
    let fleet = Fleet::start(0, record)?;
    std::thread::sleep(Duration::from_secs(3));
    let mut session = caller::Session::open(fleet.hosts[0].callers, "orders", "key1")?;
    session.query("begin", "BEGIN")?;
    session.query("write0", "WRITE item0 data")?;
    let mut published = Instant::now();
    if fleet.trouble {
        let keys = ["", "\"key1\",\"key2\""];
        let config = Configuration { version: 8, keys, ..Configuration::default() };
        fleet.store.put("op/config", &config.text());
        published = Instant::now();
        fleet.record.note("version 8: key1 belongs to tenant2");
    }
    for number in 1..=6 {
        std::thread::sleep(Duration::from_secs(1));
        let id = format!("write{number}");
        let outcome = session.query(&id, &format!("WRITE item{number} data"))?;
        let account = fleet.group.account_of(&id).unwrap_or_default();
        fleet.record.note(&format!("{id} gets {outcome}"));
        let holder = if fleet.trouble { "tenant2" } else { "tenant1" };
        if published.elapsed() > CONFIG_APPLY && !account.is_empty() && account != holder {
            fleet.record.broken(&format!(
                "UNASKED: {id} ran for {account}, while {holder} has held its client's key for {} ms",
                published.elapsed().as_millis()
            ));
        }
    }
    let outcome = session.query("commit", "COMMIT")?;
    fleet.record.note(&format!("commit gets {outcome}"));
    fleet.end();
    Some(())
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, path] = arguments.as_slice() else {
        eprintln!("usage: scenarios NAME RECORD");
        return ExitCode::from(2);
    };
    let record = Arc::new(record::Record::new());
    let ran = match name.as_str() {
        "lost_commits" => lost_commits(record.clone()),
        "stale_token" => stale_token(record.clone()),
        "stale_route" => stale_route(record.clone()),
        "moved_key" => moved_key(record.clone()),
        _ => None,
    };
    let broken = record.broken_count();
    let summary = match (ran, broken) {
        (None, _) => "could not run".to_owned(),
        (Some(()), 0) => "no rule broken".to_owned(),
        (Some(()), count) => format!("a rule was broken {count} times"),
    };
    record.note(&summary);
    println!("{name}: {summary}");
    if let Err(error) = std::fs::write(path, record.text()) {
        eprintln!("cannot write {path}: {error}");
        return ExitCode::from(2);
    }
    match (ran, broken) {
        (None, _) => ExitCode::from(2),
        (Some(()), 0) => ExitCode::SUCCESS,
        (Some(()), _) => ExitCode::from(1),
    }
}
