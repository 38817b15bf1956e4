//! Runs the scripts under `tests/scenarios/` against simulated fleets of real decision cores.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod fleet_fakes;

use std::collections::HashMap;
use std::fmt::Write as _;

use datadriven::TestCase;
use fleet_fakes::FakeFleet;
use fleet_fakes::fleet_world;
use fleet_fakes::invariant_checker;
use quetzaldeal::config::config_file;
use quetzaldeal::core::request_verdict;

/// Seed of every core's random numbers.
const SEED: u64 = 7;
/// Longest wait for a response in virtual time, in milliseconds.
const RESPONSE_TIMEOUT_MS: u64 = 8_000;

/// Generates a test for each scenario file.
macro_rules! scenarios {
    ($($name:ident),* $(,)?) => {
        $(
            #[test]
            fn $name() {
                run_file(concat!("tests/scenarios/", stringify!($name), ".txt"));
            }
        )*
    };
}

scenarios! {
    access_changes,
    at_most_once,
    configuration,
    cut_off_centre,
    draining,
    fifteen_centres,
    idle_transaction,
    keys,
    leaving_list,
    leaving_with_a_copy_down,
    open_routes,
    overload,
    platform_outage,
    read_without_primary,
    read_your_writes,
    rebuilt_copy,
    replaced_primary,
    shares,
    silent_connections,
    starting_with_nothing,
    stated_age,
    transactions,
    unmatched_answers,
}

fn run_file(path: &str) {
    let mut run = ScenarioRun { fleet: None, keys: HashMap::new() };
    datadriven::walk(path, |file| file.run(|case| run.run_case(case)));
}

/// A run of one scenario file.
struct ScenarioRun {
    fleet: Option<FakeFleet>,
    keys: HashMap<String, String>,
}

impl ScenarioRun {
    /// Runs a directive and returns its output followed by the violations found, or `ok` if there
    /// are none.
    fn run_case(&mut self, case: &TestCase) -> String {
        let mut case = case.to_owned_case();
        let mut output = self.run_directive(&mut case);
        if let Some(fleet) = &mut self.fleet {
            fleet.checker.check_logs(&fleet.platform, &fleet.databases);
            for violation in std::mem::take(&mut fleet.checker.violations) {
                writeln!(output, "VIOLATION: {violation}").unwrap();
            }
        }
        if output.is_empty() { "ok\n".to_owned() } else { output }
    }

    fn run_directive(&mut self, case: &mut OwnedCase) -> String {
        if case.directive == "fleet" {
            return self.build(case);
        }
        let keys = self.keys.clone();
        let fleet = self.fleet.as_mut().expect("the first directive must be `fleet`");
        match case.directive.as_str() {
            "run" => fleet.run_ms(case.number("ms", 1_000)),
            "kill" => case.args["name"].iter().for_each(|name| fleet.kill(name)),
            "start" => case.args["name"].iter().for_each(|name| fleet.start(name)),
            "pause" => fleet.pause(&case.text("name")),
            "resume" => fleet.resume(&case.text("name")),
            "cut" => fleet.cut(&case.text("from"), &case.text("to")),
            "heal" if case.args.is_empty() => fleet.heal_all(),
            "heal" => fleet.heal(&case.text("from"), &case.text("to")),
            "unmatched_answers" => {
                fleet.databases.get_mut(&case.text("name")).unwrap().unmatched_answers =
                    case.number("count", 1) as u32
            }
            "unmatched_closes" => fleet.send_unmatched_answers(&case.text("name")),
            "hang_connections" => fleet.hang_connections(&case.text("name")),
            "lag" => {
                fleet.databases.get_mut(&case.text("name")).unwrap().replication_lag_ms =
                    case.number("ms", 10)
            }
            "latency" => {
                fleet.databases.get_mut(&case.text("name")).unwrap().statement_ms =
                    case.number("ms", 0)
            }
            "outage" => fleet.outage = case.text("on") == "true",
            "slow_platform" => fleet.platform_delay_ms = case.number("ms", 0),
            "lose_replies" => fleet.lose_replies = case.number("count", 1) as u32,
            "list" => fleet.list(&case.text("name"), case.text("leaving") == "true"),
            "stop" => fleet.drain(&case.text("name")),
            "publish" => return publish(fleet, &case.input),
            "open" => return open(fleet, case, &keys),
            "close" => fleet.close(&case.text("caller")),
            "execute" => return execute_statement(fleet, case),
            "send" => fleet.send(&case.text("caller"), case.input.trim()),
            "response" => return response(fleet, &case.text("caller")),
            "load" => return load(fleet, case, &keys),
            "primary" => return primary(fleet, &case.text("group")),
            "versions" => return versions(fleet),
            "fresh" => return fresh(fleet),
            "refusing" => return refusing(fleet),
            "quotas" => return quotas(fleet),
            "platform_calls" => return platform_calls(fleet, case),
            "settled" => {
                let FakeFleet { checker, platform, databases, .. } = fleet;
                checker.check_settled(platform, databases);
            }
            other => panic!("unknown directive {other}"),
        }
        String::new()
    }

    fn build(&mut self, case: &mut OwnedCase) -> String {
        let centres = case.args.remove("centres").unwrap_or_else(|| vec!["a".to_owned()]);
        let hosts = case.number("hosts", 1) as usize;
        let groups = case.number("groups", 1) as usize;
        let mut accounts = Vec::new();
        for line in case.input.lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            accounts.push((
                words[0].to_owned(),
                words[1].parse().unwrap(),
                words[2].parse().unwrap(),
            ));
        }
        let built = fleet_world::build(&centres, hosts, groups, &accounts);
        self.keys = built.keys.into_iter().collect();
        let mut fleet = FakeFleet::new(built.config, SEED);
        fleet.checker.secrets = self.keys.values().cloned().collect();
        fleet.run_ms(case.number("ready_ms", 8_000));
        self.fleet = Some(fleet);
        String::new()
    }
}

/// An owned copy of a directive, whose arguments can be removed.
struct OwnedCase {
    directive: String,
    args: HashMap<String, Vec<String>>,
    input: String,
}

trait ToOwnedCase {
    fn to_owned_case(&self) -> OwnedCase;
}

impl ToOwnedCase for TestCase {
    fn to_owned_case(&self) -> OwnedCase {
        OwnedCase {
            directive: self.directive.clone(),
            args: self.args.clone(),
            input: self.input.clone(),
        }
    }
}

impl OwnedCase {
    fn find(&self, name: &str) -> Option<String> {
        self.args.get(name).and_then(|values| values.first()).cloned()
    }

    fn text(&self, name: &str) -> String {
        self.find(name).unwrap_or_else(|| panic!("{}: no argument {name}", self.directive))
    }

    fn number(&self, name: &str, default: u64) -> u64 {
        self.find(name).map_or(default, |text| text.parse().unwrap())
    }
}

/// Publishes the current configuration with changes, one a line, and returns the findings if it is
/// rejected. Lines that aren't changes are added as YAML objects.
fn publish(fleet: &mut FakeFleet, changes: &str) -> String {
    let mut config = fleet.config.clone();
    let mut added = String::new();
    for line in changes.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["withdraw", key] => drop(config.keys.remove(*key)),
            ["move", key, account] => {
                config.keys.get_mut(*key).unwrap().account = (*account).to_owned()
            }
            ["allow", rule, accounts @ ..] => {
                config.rules.get_mut(*rule).unwrap().accounts =
                    accounts.iter().map(|account| (*account).to_owned()).collect();
            }
            ["drain", "centre", name] => config.centres.get_mut(*name).unwrap().in_service = false,
            ["restore", "centre", name] => config.centres.get_mut(*name).unwrap().in_service = true,
            ["drain", "endpoint", name] => {
                config.endpoints.get_mut(*name).unwrap().in_service = false
            }
            ["restore", "endpoint", name] => {
                config.endpoints.get_mut(*name).unwrap().in_service = true
            }
            ["drain", "host", name] => config.hosts.get_mut(*name).unwrap().in_service = false,
            ["share", name, rate, burst] => {
                let account = config.accounts.get_mut(*name).unwrap();
                account.rate = rate.parse().unwrap();
                account.burst = burst.parse().unwrap();
            }
            ["grace", name, millis] => {
                config.accounts.get_mut(*name).unwrap().cut_off_grace_ms = millis.parse().unwrap();
            }
            _ => added += &format!("{line}\n"),
        }
    }
    for object in config_file::ConfigFile::parse(&added).unwrap().config.to_objects() {
        config.insert(object).unwrap();
    }
    let findings = quetzaldeal::config::config_check::check_config(&config, Some(&fleet.config));
    if !findings.is_empty() {
        return findings.iter().map(|finding| format!("{finding}\n")).collect();
    }
    fleet.publish(config);
    String::new()
}

fn open(fleet: &mut FakeFleet, case: &OwnedCase, keys: &HashMap<String, String>) -> String {
    let caller = case.text("caller");
    let account = case.find("account").unwrap_or_default();
    let key = case.find("key").unwrap_or_else(|| keys.get(&account).cloned().unwrap_or_default());
    let mut settings = Vec::new();
    if let Some(group) = case.find("group") {
        settings.push(("group", group));
    }
    if let Some(other) = case.find("session_of") {
        let (_, body) = fleet
            .execute_statement(&other, "SHOW quetzaldeal.session", RESPONSE_TIMEOUT_MS)
            .unwrap();
        let token = body.rows[0][0].clone().unwrap();
        let seen = fleet.checker.must_see.get(&other).cloned().unwrap_or_default();
        fleet.checker.must_see.insert(caller.clone(), seen);
        settings.push(("session", token));
    }
    if let Some(token) = case.find("token") {
        settings.push(("session", token));
    }
    fleet.open(&caller, &case.text("host"), &account, &key, &settings);
    fleet.run_ms(5);
    match &fleet.callers[&caller].admission {
        Some(Ok(())) => String::new(),
        Some(Err(verdict)) => describe(verdict),
        None => "no response\n".to_owned(),
    }
}

fn execute_statement(fleet: &mut FakeFleet, case: &OwnedCase) -> String {
    let started = fleet.now;
    let timeout_ms = case.number("timeout_ms", RESPONSE_TIMEOUT_MS);
    let response = fleet.execute_statement(&case.text("caller"), case.input.trim(), timeout_ms);
    let elapsed_ms = fleet.now.since(started).as_millis() as u64;
    let retry = response.as_ref().and_then(|(verdict, _)| verdict.retry_after);
    let mut text = show_response(fleet, &case.text("caller"), response);
    if let Some(most) = case.find("max_retry_after_ms") {
        let most: u128 = most.parse().unwrap();
        let retry_ms = retry.map_or(0, |wait| wait.as_millis());
        if retry_ms == 0 || retry_ms > most {
            text += &format!("retry after {retry_ms} ms, expected 1 to {most} ms\n");
        }
    }
    if let Some(limit) = case.find("within_ms") {
        let limit: u64 = limit.parse().unwrap();
        if elapsed_ms > limit {
            text += &format!("response took {elapsed_ms} ms, expected at most {limit} ms\n");
        }
    }
    text
}

fn response(fleet: &mut FakeFleet, caller: &str) -> String {
    let response = fleet.callers.get_mut(caller).unwrap().response.take();
    show_response(fleet, caller, response)
}

fn show_response(
    fleet: &FakeFleet,
    caller: &str,
    response: Option<(
        request_verdict::RequestVerdict,
        quetzaldeal::core::endpoint_message::ResponseBody,
    )>,
) -> String {
    let Some((verdict, body)) = response else {
        let closed = fleet.callers[caller].closed;
        return if closed { "closed\n" } else { "no response\n" }.to_owned();
    };
    let mut text = describe(&verdict);
    for row in &body.rows {
        let values: Vec<&str> =
            row.iter().map(|value| value.as_deref().unwrap_or("NULL")).collect();
        text += &format!("row: {}\n", values.join(", "));
    }
    text
}

fn describe(verdict: &request_verdict::RequestVerdict) -> String {
    let fate = match verdict.fate {
        request_verdict::RequestFate::Ran => "ran",
        request_verdict::RequestFate::NotRun => "not run",
        request_verdict::RequestFate::MayHaveRun => "may have run",
    };
    let retry = if verdict.retry_after.is_some() { ", retry later" } else { "" };
    format!("{fate}: {}{retry}\n", verdict.message())
}

/// Sends reads of one account to some hosts at a steady rate and checks the percentage that ran.
///
/// The reads go round the callers, one host after another with `host_by_host`.
fn load(fleet: &mut FakeFleet, case: &OwnedCase, keys: &HashMap<String, String>) -> String {
    let account = case.text("account");
    let hosts = case.args["hosts"].clone();
    let (rate, millis) = (case.number("rate", 100), case.number("ms", 1_000));
    let callers = case.number("callers", 20);
    let mut names = Vec::new();
    let host_by_host = case.args.contains_key("host_by_host");
    let pairs = |index: u64| hosts.iter().map(move |host| (host, index));
    let mut connections: Vec<(&String, u64)> = (0..callers).flat_map(pairs).collect();
    if host_by_host {
        connections.sort();
    }
    {
        for (host, index) in connections {
            let name = format!("load-{account}-{host}-{index}");
            fleet.open(&name, host, &account, &keys[&account], &[("group", "g1".to_owned())]);
            names.push(name);
        }
    }
    fleet.run_ms(5);
    let (mut offered, mut ran, mut refused) = (0_u64, 0_u64, 0_u64);
    let mut next = 0;
    for step in 0..=millis + 2_000 {
        let due = if step <= millis { step * rate / 1_000 } else { offered };
        while offered < due {
            let free = (0..names.len()).map(|turn| (next + turn) % names.len());
            let mut free = free.filter(|index| fleet.callers[&names[*index]].sent.is_none());
            let Some(index) = free.next() else { break };
            fleet.send(&names[index], "SELECT state FROM orders WHERE id = 'none'");
            next = index + 1;
            offered += 1;
        }
        fleet.run_ms(1);
        for name in &names {
            let caller = fleet.callers.get_mut(name).unwrap();
            if let Some((verdict, _)) = caller.response.take() {
                caller.sent = None;
                match verdict.fate {
                    request_verdict::RequestFate::Ran => ran += 1,
                    _ => refused += 1,
                }
            }
        }
    }
    for name in &names {
        fleet.close(name);
    }
    let percent = ran * 100 / offered.max(1);
    if case.args.contains_key("show") {
        return format!("offered {offered}, ran {ran}, refused {refused}\n");
    }
    let (least, most) = (case.number("min_percent", 0), case.number("max_percent", 100));
    if percent < least || percent > most {
        return format!(
            "{ran} of {offered} ran, {refused} refused: {percent} %, expected {least} to {most} %\n"
        );
    }
    String::new()
}

fn primary(fleet: &FakeFleet, group: &str) -> String {
    match invariant_checker::read_record(&fleet.platform, group) {
        Some(record) => format!("term {} {:?} {}\n", record.term, record.phase, record.primary),
        None => "none\n".to_owned(),
    }
}

/// Advances time and checks how often the platform is called meanwhile.
fn platform_calls(fleet: &mut FakeFleet, case: &OwnedCase) -> String {
    let millis = case.number("ms", 10_000);
    let before = fleet.platform.counts();
    fleet.run_ms(millis);
    let after = fleet.platform.counts();
    let rate = (after.reads + after.writes - before.reads - before.writes) * 1_000 / millis;
    let most = case.number("max_per_second", u64::MAX);
    if rate > most {
        format!("{rate} platform calls per second, expected at most {most}\n")
    } else {
        String::new()
    }
}

/// Checks for each endpoint that the connection limits of all hosts together leave two connections
/// for its replicas.
fn quotas(fleet: &FakeFleet) -> String {
    let mut text = String::new();
    for object in fleet.config.endpoints.values() {
        let cores = fleet.hosts.values().filter_map(|host| host.core.as_ref());
        let quota = |core: &quetzaldeal::core::decision_core::DecisionCore| {
            let context = core.context();
            context.endpoints[context.endpoint_names[&object.name]].connection_limit + 1
        };
        let sum: usize = cores.map(quota).sum();
        if sum + 2 > object.connections as usize {
            writeln!(
                text,
                "{}: hosts may open {sum} of {} connections, expected two fewer at most",
                object.name, object.connections
            )
            .unwrap();
        }
    }
    text
}

/// Counts the hosts that can confirm their configuration and those that run the newest version.
/// Names the endpoints that hosts count as refusing connections.
fn refusing(fleet: &FakeFleet) -> String {
    let mut lines = String::new();
    for (host, state) in &fleet.hosts {
        let Some(core) = &state.core else { continue };
        let endpoints = core.context().endpoints.values();
        for endpoint in endpoints.filter(|endpoint| endpoint.refusing_since.is_some()) {
            lines += &format!("{host}: {}\n", endpoint.name);
        }
    }
    if lines.is_empty() { "none\n".to_owned() } else { lines }
}

fn fresh(fleet: &FakeFleet) -> String {
    let cores = fleet.hosts.values().filter_map(|host| host.core.as_ref());
    let fresh = cores.clone().filter(|core| core.context().config_fresh(0)).count();
    let newest = cores.clone().filter(|core| core.context().config.version() == fleet.version);
    let (newest, all) = (newest.count(), cores.count());
    format!("{fresh} fresh and {newest} at the newest version, of {all}\n")
}

fn versions(fleet: &FakeFleet) -> String {
    let mut text = String::new();
    for (name, host) in &fleet.hosts {
        let Some(core) = &host.core else { continue };
        writeln!(text, "{name} {}", core.context().config.version()).unwrap();
    }
    text
}
