//! A small deployment: the platform, one group of databases and three daemons in three zones.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::database::{Group, GroupPlan};
use crate::fleet::{self, Daemon, DaemonPlan, WorkFolder, loopback};
use crate::json::Json;
use crate::record::Record;
use crate::store::{self, Store};

/// Zones of the deployment; each has a database and a daemon.
pub const ZONES: [&str; 3] = ["east", "west", "north"];
/// Service of the databases.
pub const SERVICE: &str = "ledger";
/// The only tenant.
pub const TENANT: &str = "harbour";
/// Key of the tenant.
pub const KEY: &str = "k3yof7harbour";

const PLATFORM_PORT: u16 = 28_466;
const DATABASE_PORT: u16 = 28_080;
/// Time within which the daemons have to become ready.
const START_LIMIT: Duration = Duration::from_secs(20);

/// A running deployment. Dropping it ends the daemons.
#[derive(Debug)]
pub struct Deployment {
    pub store: Arc<Store>,
    pub group: Arc<Group>,
    pub daemons: Vec<Daemon>,
    pub record: Arc<Record>,
    _folder: WorkFolder,
}

/// Returns a route of the configuration.
pub fn route(database: &str, kind: &str) -> String {
    format!(
        "{{\"name\":\"r-{database}\",\"database\":\"{database}\",\"prefix\":\"/\",\"type\":\"{kind}\",\
         \"timeout_ms\":800,\"target_latency_ms\":150,\"priority\":1,\"service\":\"{SERVICE}\",\
         \"max_attempts\":2,\"max_staleness_ms\":2500,\"public\":false}}"
    )
}

/// Returns a configuration with these routes.
pub fn config(version: u64, routes: &[String], sync_replicas: usize) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"max_connections\":21,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0,\"sync_replicas\":{sync_replicas}}}],\
         \"limits\":{{\"tx_idle_ms\":3000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"rate_per_s\":125,\"burst_size\":125}}]}}",
        routes.join(",")
    )
}

impl Deployment {
    /// Starts everything and waits until all daemons are ready; `None` if they do not become so.
    pub fn start(record_path: &Path, routes: &[String], sync_replicas: usize) -> Option<Self> {
        Self::start_at(record_path, routes, sync_replicas, 0)
    }

    /// Does the same with a store that counts its changes from `revision` on.
    pub fn start_at(
        record_path: &Path,
        routes: &[String],
        sync_replicas: usize,
        revision: u64,
    ) -> Option<Self> {
        let record = Arc::new(Record::create(record_path));
        let folder = WorkFolder::create();
        let at = |number, port| SocketAddr::new(loopback(number), port);
        let (platform, cloud) = (at(200, PLATFORM_PORT), at(201, PLATFORM_PORT));
        let store = Store::start(revision);
        store.serve(platform);
        store.put("op/config", &config(1, routes, sync_replicas));
        let plan = GroupPlan {
            service: SERVICE.to_owned(),
            sync_replicas,
            max_connections: 21,
            lag: Duration::from_millis(20),
            work: Duration::from_millis(5),
            promotion: Duration::from_millis(1_000),
            heartbeat: Duration::from_millis(1_200),
        };
        let places: Vec<(&str, SocketAddr, &str)> = [("i-a", 101), ("i-b", 102), ("i-c", 103)]
            .into_iter()
            .zip(ZONES)
            .map(|((id, number), zone)| (id, at(number, DATABASE_PORT), zone))
            .collect();
        let group = Group::start(plan, &places, store.clone(), record.clone());
        let (promoted, noted) = (group.clone(), record.clone());
        store::serve_http(cloud, move |request| {
            let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
            let id = Json::parse(&request.body).map(|body| body.text("id")).unwrap_or_default();
            let holder = header("quetzaldeal-lease-holder");
            let token = header("quetzaldeal-fencing-token");
            noted.note(&format!(
                "platform receives the promotion of {id} by {holder}, token {token}"
            ));
            (promoted.promote(&id), "{}".to_owned())
        });
        let plans = ZONES.into_iter().zip(1..).map(|(zone, number)| DaemonPlan {
            number,
            zone: zone.to_owned(),
            platform,
            cloud,
        });
        let daemons: Vec<Daemon> = plans.map(|plan| Daemon::start(&folder.0, &plan)).collect();
        let started = fleet::wait_for(START_LIMIT, || daemons.iter().all(Daemon::is_ready));
        if !started {
            eprintln!("the daemons did not become ready");
            return None;
        }
        // Traffic starts some seconds after the machines.
        std::thread::sleep(Duration::from_secs(2));
        record.note("all daemons are ready");
        Some(Self { store, group, daemons, record, _folder: folder })
    }
}

/// Returns whether the disruption of the case is to be made.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns the path of the record, which is the program's argument.
pub fn record_path() -> std::path::PathBuf {
    std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned()).into()
}

/// Ends a case that could not run. Unwinds, so that the daemons are ended.
pub fn cannot_run(cause: &str) -> ! {
    eprintln!("the case could not run: {cause}");
    std::panic::resume_unwind(Box::new("could not run"))
}
