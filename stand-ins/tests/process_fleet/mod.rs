//! Starts a small fleet as separate processes and stops it when the test ends.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use quetzaldeal::daemon::http_call;
use stand_ins::caller_checks::CallerLogin;
use stand_ins::fault_message::{FAULT_PATH, PlatformFaults};
use tokio_postgres::Client;

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const HOSTS: [&str; 3] = ["a1", "b1", "c1"];

/// A fleet of three data centres with a host and an endpoint each, and the stand-in platform.
pub(crate) struct ProcessFleet {
    port: u16,
    folder: PathBuf,
    children: BTreeMap<String, Child>,
    key: String,
}

impl ProcessFleet {
    /// Starts the processes on ports from `port` upwards and publishes the first configuration.
    pub(crate) fn start(port: u16) -> Self {
        let folder =
            std::env::temp_dir().join(format!("quetzaldeal-{}-{port}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut fleet = Self { port, folder, children: BTreeMap::new(), key: String::new() };
        let platform = fleet.address(0);
        fleet.spawn("platform", sibling("stand-in-platform"), &["--address", &platform]);
        for index in 0..3 {
            let address = fleet.address(10 + index);
            let name = format!("g1-{}", index + 1);
            fleet.spawn(
                &name,
                sibling("stand-in-endpoint"),
                &["--address", &address, "--lag-ms", "5"],
            );
        }
        for (index, host) in HOSTS.iter().enumerate() {
            let settings = fleet.file(&format!("{host}.yaml"), &fleet.settings(index));
            fleet.spawn(host, sibling("quetzaldeald"), &["--settings", &settings]);
        }
        fleet.publish_first();
        fleet
    }

    /// Connects a caller to a host, and retries until the host accepts it.
    pub(crate) async fn caller(&self, host: usize, session: Option<&str>) -> Client {
        let started = Instant::now();
        loop {
            match self.try_caller(host, session).await {
                Ok(client) => return client,
                Err(error) => {
                    assert!(
                        started.elapsed() < READY_TIMEOUT,
                        "host {host} accepted no caller: {error:#}"
                    )
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub(crate) async fn try_caller(
        &self,
        host: usize,
        session: Option<&str>,
    ) -> anyhow::Result<Client> {
        let login = CallerLogin {
            address: self.address(30 + host as u16),
            account: "desk".to_owned(),
            key: self.key.clone(),
            service: "shop".to_owned(),
            group: "g1".to_owned(),
        };
        login.connect(session).await
    }

    /// Runs the operators' command line; returns its output, or standard error if it fails.
    pub(crate) fn operator(&self, arguments: &[&str]) -> Result<String, String> {
        let platform = self.address(0);
        let output = Command::new(sibling("quetzaldeal"))
            .args(["--platform", &platform])
            .args(arguments)
            .output()
            .unwrap();
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        if output.status.success() { Ok(text(&output.stdout)) } else { Err(text(&output.stderr)) }
    }

    /// Returns the endpoint that the hosts report as the primary of the group.
    pub(crate) fn primary(&self) -> String {
        let status = self.operator(&["status"]).unwrap();
        let words = status.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let mut rows = words.filter(|words| words.get(1) == Some(&"g1") && words[3] != "-");
        rows.next().unwrap_or_else(|| panic!("no primary in {status}"))[3].to_owned()
    }

    pub(crate) async fn set_faults(&self, faults: PlatformFaults) {
        let client = http_call::client(POLL_INTERVAL).unwrap();
        let address = self.address(0);
        let reply =
            http_call::post_message(&client, &address, FAULT_PATH, &faults, READY_TIMEOUT).await;
        let (): () = reply.unwrap();
    }

    pub(crate) fn signal(&self, name: &str, signal: &str) {
        let pid = self.children[name].id().to_string();
        let sent = Command::new("kill").args([&format!("-{signal}"), &pid]).status().unwrap();
        assert!(sent.success());
    }

    pub(crate) fn kill(&mut self, name: &str) {
        self.children.get_mut(name).unwrap().kill().unwrap();
    }

    /// Waits for a process to end and returns its exit code, or `None` on a timeout or a signal.
    pub(crate) fn wait(&mut self, name: &str) -> Option<i32> {
        let child = self.children.get_mut(name).unwrap();
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if let Some(status) = child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Writes a file to the fleet's temporary folder and returns its path.
    pub(crate) fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_string_lossy().into_owned()
    }

    /// Returns all addresses that processes of the fleet listen on.
    pub(crate) fn all_addresses(&self) -> Vec<String> {
        [0, 10, 11, 12, 20, 21, 22, 30, 31, 32].map(|offset| self.address(offset)).to_vec()
    }

    fn address(&self, offset: u16) -> String {
        format!("127.0.0.1:{}", self.port + offset)
    }

    fn settings(&self, index: usize) -> String {
        let centre = &HOSTS[index][..1];
        let offset = index as u16;
        format!(
            "host: {}\ndata_centre: {centre}\ncallers: {}\npeers: {}\nplatform: {}\n\
             seeds: [\"{}\", \"{}\", \"{}\"]\nfleet_secret: test\n\
             endpoint_login: {{user: app, database: app}}\n",
            HOSTS[index],
            self.address(30 + offset),
            self.address(20 + offset),
            self.address(0),
            self.address(20),
            self.address(21),
            self.address(22),
        )
    }

    fn publish_first(&mut self) {
        let mut config = String::new();
        for (index, host) in HOSTS.iter().enumerate() {
            let centre = &host[..1];
            let (peer, base) = (self.address(20 + index as u16), self.address(10 + index as u16));
            let endpoint = index + 1;
            config += &format!(
                "---\nkind: data_centre\nname: {centre}\n\
                 ---\nkind: host\nname: {host}\ndata_centre: {centre}\naddress: {peer}\n\
                 ---\nkind: endpoint\nname: g1-{endpoint}\ndata_centre: {centre}\n\
                 address: {base}\nslots: 3\nconnections: 20\n"
            );
        }
        config += "---\nkind: group\nname: g1\nendpoints:\n- g1-1\n- g1-2\n- g1-3\n\
                  ---\nkind: service\nname: shop\ngroups: [g1]\n\
                  ---\nkind: account\nname: desk\nrate: 200\nburst: 400\n\
                  ---\nkind: rule\nname: shop\nservice: shop\naccounts: [desk]\naccess: write\n";
        let key = self.operator(&["key", "new", "desk-1", "--account", "desk", "--print"]).unwrap();
        self.key = key.lines().next().unwrap().rsplit(' ').next().unwrap().to_owned();
        let path = self.file("world.yaml", &format!("{config}{key}"));
        self.operator(&["publish", &path, "--wait"]).unwrap();
    }

    fn spawn(&mut self, name: &str, program: PathBuf, arguments: &[&str]) {
        let log = std::fs::File::create(self.folder.join(format!("{name}.log"))).unwrap();
        let child = Command::new(&program)
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| panic!("cannot start {}: {error}", program.display()));
        self.children.insert(name.to_owned(), child);
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            drop(child.kill());
            drop(child.wait());
        }
        if !std::thread::panicking() {
            drop(std::fs::remove_dir_all(&self.folder));
        }
    }
}

/// Returns the path of a program built into the same folder as the stand-ins.
fn sibling(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_stand-in-platform")).with_file_name(name)
}
