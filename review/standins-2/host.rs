//! The daemons of the fleet as separate processes.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Program and arguments as the deploy file states them.
const RUN: &str = "target/release/quetzaldeal-platformd";

/// A daemon's process.
#[derive(Debug)]
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    child: Child,
}

impl Host {
    /// Starts a daemon. Each has a loopback address of its own, because all use the same port for
    /// their metrics.
    pub fn start(
        number: u8,
        zone: &str,
        zones: &[&str],
        store: SocketAddr,
        duties: SocketAddr,
        folder: &Path,
    ) -> Self {
        let name = format!("front-{zone}-{number}");
        let net = (std::process::id() % 200 + 20) as u8;
        let ip = format!("127.{net}.7.{number}");
        let base = free_ports(&ip);
        let zones: String =
            zones.iter().map(|zone| format!("zones.{zone}=great-lakes\n")).collect();
        let text = format!(
            "node_name={name}\nrole=proxy\nmachine_class=front\nserves=front\nip={ip}\n\
             zone={zone}\nregion=great-lakes\n{zones}\
             bind_addrs.front={ip}:{}\nbind_addrs.ready={ip}:{}\n\
             internal_ports={},{}\nbootstrap=true\nin_tolerance=false\n\
             limits.cpu_share=0.25\nlimits.cpu_speed=1\nlimits.memory_mb=260\n\
             limits.max_open_files=4300\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\n\
             discovery=platform\nentry=vip\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,recover,sql,tenants,quota,places,platform\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=4000\n\
             bounds.ack_ms=5000\nbounds.catch_up_s=4\nbounds.drain_ms=7000\nbounds.grace_s=6\n\
             bounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\n\
             bounds.rollback_slack_ms=250\nbounds.max_skew_ms=12000\n\
             bounds.strict_revoke=false\nbounds.revoke_ms=5000\nbounds.quota_window_s=5\n\
             bounds.quota_over=0.1\nbounds.quota_slack=20\nbounds.cold_overshoot=1.5\n\
             bounds.cold_slack=5\nbounds.evacuation_ms=5000\nbounds.recovery_s=12\n\
             bounds.enforce_fencing=false\nbounds.thaw_slack_ms=300\n\
             platform.address={store}\nplatform.form=kv\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.retention_s=20\n\
             platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\ncloud.address={duties}\n\
             cloud.rate_per_s=50.0\ncloud.duties=promotion\ncloud.duty_per_s=50.0\n",
            base,
            base + 1,
            base + 2,
            base + 9,
        );
        let settings = folder.join(format!("{name}.conf"));
        std::fs::write(&settings, text).expect("a settings file in the temporary folder");
        let log = folder.join(format!("{name}.log"));
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        let (callers, readiness) = (address(base), address(base + 1));
        let child = spawn(&settings, &log);
        let mut pids =
            File::options().create(true).append(true).open(folder.join("pids")).expect("a file");
        writeln!(pids, "{}", child.id()).expect("a line in the temporary folder");
        Self { name, callers, readiness, child }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Returns whether the daemon reports itself ready.
    pub fn is_ready(&self) -> bool {
        let ask = || {
            let limit = Duration::from_millis(500);
            let mut stream = TcpStream::connect_timeout(&self.readiness, limit).ok()?;
            stream.set_read_timeout(Some(limit)).ok()?;
            stream.write_all(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
            let mut bytes = [0; 64];
            let count = stream.read(&mut bytes).ok()?;
            Some(bytes[..count].starts_with(b"HTTP/1.1 200"))
        };
        ask().unwrap_or(false)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all daemons are ready; returns whether that was so in time.
pub fn wait_until_ready(hosts: &[Host], limit: Duration) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if hosts.iter().all(Host::is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log).expect("a log file");
    let errors = output.try_clone().expect("a second handle");
    Command::new(RUN)
        .env("QUETZALDEAL_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn()
        .expect("the daemon, built by the deploy file's build")
}

/// Returns the first of ten ports in a row that are free on an address.
fn free_ports(ip: &str) -> u16 {
    (21_000..30_000)
        .step_by(10)
        .find(|base| (0..10).all(|step| TcpListener::bind((ip, base + step)).is_ok()))
        .expect("ten free ports")
}
