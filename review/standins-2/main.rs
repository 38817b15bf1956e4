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
/// Time of a promotion.
const PROMOTION: Duration = Duration::from_millis(1_000);
/// Partition of a daemon from the platform.
const CUT: Duration = Duration::from_millis(2_350);
const READY_MAX: Duration = Duration::from_secs(20);

/// A fleet with its stand-ins.
struct Fleet {
    record: Arc<record::Record>,
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
        let group = database::Group::start(
            SERVICE,
            &ZONES,
            sync_replicas,
            PROMOTION,
            store.clone(),
            record.clone(),
        );
        let promoting = group.clone();
        let duties = http::serve(move |request| {
            let body = json::parse(&request.body);
            let token = request.header("Quetzaldeal-Fencing-Token").parse().unwrap_or(0);
            let holder = request.header("Quetzaldeal-Lease-Holder").to_owned();
            let status = promoting.promote(body.field("id").text(), &holder, token);
            Some((status, "{}".to_owned()))
        });
        store.put("op/config", &configuration(sync_replicas));
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

fn configuration(sync_replicas: usize) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"database\":\"orders\",\"service\":\"{SERVICE}\",\
         \"type\":\"primary\",\"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":1}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"max_connections\":21,\
         \"sync_replicas\":{sync_replicas}}}],\"limits\":{{\"tx_idle_ms\":3000}},\
         \"tenants\":[{{\"name\":\"tenant1\",\"api_keys\":[\"key1\"],\"rate_per_s\":400.0,\
         \"burst_size\":400.0}}]}}"
    )
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
