//! The daemons of a small deployment as separate processes, and their callers.

use std::fs::OpenOptions;
use std::io::{BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::database;

/// Command of the deploy file, from the root of the project.
const DAEMON: &str = "target/release/quetzaldeal-platformd";
const FRONT_PORT: u16 = 28_465;
const READY_PORT: u16 = 28_460;
const PEER_PORT: u16 = 27_560;

/// Returns a loopback address that no other case uses at the same time.
pub fn loopback(number: u8) -> IpAddr {
    let process = std::process::id();
    format!("127.{}.{}.{number}", 20 + process / 256 % 200, process % 256).parse().expect("address")
}

/// A daemon process, which is killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
    settings: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Place and zone of a daemon, and where it finds the platform.
#[derive(Debug, Clone)]
pub struct DaemonPlan {
    pub number: u8,
    pub zone: String,
    pub platform: SocketAddr,
    pub cloud: SocketAddr,
}

impl Daemon {
    /// Starts a daemon with settings like those of the small deployments.
    pub fn start(folder: &Path, plan: &DaemonPlan) -> Self {
        let ip = loopback(plan.number);
        let (zone, name) = (&plan.zone, format!("front-{}-{}", plan.zone, plan.number));
        let settings = format!(
            "node_name={name}\nrole=proxy\nmachine_class=front\nserves=front\nip={ip}\nzone={zone}\n\
             region=coast\nzones.east=coast\nzones.west=coast\nzones.north=coast\n\
             bind_addrs.front={ip}:{FRONT_PORT}\nbind_addrs.ready={ip}:{READY_PORT}\n\
             internal_ports={PEER_PORT},27575\nseed_nodes=\nbootstrap=true\nin_tolerance=false\n\
             limits.cpu_share=0.25\nlimits.cpu_speed=1\nlimits.memory_mb=260\n\
             limits.max_open_files=4300\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
             discovery=platform\nentry=vip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,recover,sql,tenants,quota,places,platform\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=4000\n\
             bounds.ack_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms=7000\nbounds.grace_s=6\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\nbounds.rollback_slack_ms=250\n\
             bounds.max_skew_ms=12000\nbounds.strict_revoke=false\nbounds.revoke_ms=5000\n\
             bounds.quota_window_s=5\nbounds.quota_over=0.1\nbounds.quota_slack=20\n\
             bounds.cold_overshoot=1.5\nbounds.cold_slack=5\nbounds.evacuation_ms=5000\n\
             bounds.recovery_s=12\nbounds.enforce_fencing=false\nbounds.thaw_slack_ms=300\n\
             platform.address={}\nplatform.form=kv\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.retention_s=20\nplatform.value_bytes=1048576\n\
             platform.ttl_min_ms=1000\ncloud.address={}\ncloud.rate_per_s=50.0\n\
             cloud.duties=promotion\ncloud.duty_per_s=50.0\n",
            plan.platform, plan.cloud
        );
        let path = folder.join(format!("{name}.conf"));
        std::fs::write(&path, settings).expect("settings file can be written");
        let child = spawn(&path);
        let at = |port| SocketAddr::new(ip, port);
        Self { name, front: at(FRONT_PORT), ready: at(READY_PORT), child, settings: path }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
    }

    /// Waits for the end of the process, and starts another one with the same settings.
    pub fn start_again(&mut self) {
        let _ = self.child.wait();
        self.child = spawn(&self.settings);
    }

    /// Whether the daemon answers its readiness check with 200.
    pub fn is_ready(&self) -> bool {
        let exchange = || -> Option<bool> {
            let mut stream = TcpStream::connect(self.ready).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            write!(stream, "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
            let mut start = [0; 12];
            stream.read_exact(&mut start).ok()?;
            Some(start.ends_with(b"200"))
        };
        exchange().unwrap_or(false)
    }
}

fn spawn(settings: &Path) -> Child {
    let log = OpenOptions::new().create(true).append(true).open(settings.with_extension("log"));
    let log = log.expect("log file");
    let kept = |name: &str| matches!(name, "PATH" | "HOME" | "LANG");
    Command::new(DAEMON)
        .env_clear()
        .envs(std::env::vars().filter(|(name, _)| kept(name)))
        .env("QUETZALDEAL_BOOT", settings)
        .stdin(Stdio::null())
        .stderr(log.try_clone().expect("log file"))
        .stdout(log)
        .spawn()
        .expect("the daemon is built")
}

/// Waits for a condition; `false` if it does not come true in time.
pub fn wait_for(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() >= limit {
            return false;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    true
}

/// Response to a caller's request.
#[derive(Debug, Clone)]
pub struct Response {
    pub rows: Vec<String>,
    /// Signature, or the error's code and text.
    pub outcome: Result<String, String>,
    pub state: String,
}

/// A caller's session.
#[derive(Debug)]
pub struct Caller {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Caller {
    /// Opens a session; `None` if the daemon refuses it.
    pub fn open(front: SocketAddr, database: &str, key: &str) -> Option<Self> {
        let stream = TcpStream::connect(front).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        write!(writer, "STARTUP {database} {key}\r\n").ok()?;
        let line = database::read_line(&mut reader)?;
        line.starts_with("READY").then_some(Self { writer, reader })
    }

    /// Sends a request and waits for its whole response; `None` if the connection ends before.
    pub fn query(&mut self, id: &str, text: &str) -> Option<Response> {
        write!(self.writer, "QUERY {id} {text}\r\n").ok()?;
        let (mut rows, mut outcome) = (Vec::new(), Err(String::new()));
        loop {
            let line = database::read_line(&mut self.reader)?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "DATAROW" => rows.push(rest.to_owned()),
                "COMPLETE" => outcome = Ok(rest.to_owned()),
                "ERROR" => outcome = Err(rest.to_owned()),
                _ => return Some(Response { rows, outcome, state: rest.to_owned() }),
            }
        }
    }
}

/// A new folder for settings and logs, which is removed when dropped unless the variable `KEEP` is
/// set.
#[derive(Debug)]
pub struct WorkFolder(pub PathBuf);

impl WorkFolder {
    /// Creates the folder.
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("quetzaldeal-case-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("temporary folder");
        Self(path)
    }
}

impl Drop for WorkFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
