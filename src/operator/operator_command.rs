//! The operators' commands, by name.

use std::fmt::Write as _;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::core::status_report;
use crate::daemon::http_call;
use crate::operator::config_diff;
use crate::operator::config_store;
use crate::world::config_check;
use crate::world::key_secret;
use crate::world::world_config;
use crate::world::world_file;
use crate::world::world_object;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const WAIT_PAUSE: Duration = Duration::from_millis(100);

/// Builds the command line.
pub fn command() -> Command {
    let file = Arg::new("file").required(true).value_parser(value_parser!(PathBuf)).help("YAML");
    let name = Arg::new("name").required(true).help("Name of the object");
    let kind = Arg::new("kind")
        .required(true)
        .value_parser(["host", "endpoint", "data_centre"])
        .help("Kind of the object");
    let wait = Arg::new("wait")
        .long("wait")
        .action(ArgAction::SetTrue)
        .help("Wait until every host has it in force, and name those that have not");
    let version =
        Arg::new("version").long("version").value_parser(value_parser!(u64)).help("Version");
    let sub = |name: &'static str, about: &'static str| Command::new(name).about(about);
    Command::new("quetzaldeal")
        .about("Publishes and inspects the configuration of a fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .after_help(
            "Examples:\n  \
             quetzaldeal --platform 10.0.0.5:7000 show > world.yaml\n  \
             quetzaldeal --platform 10.0.0.5:7000 publish world.yaml --wait\n  \
             quetzaldeal --platform 10.0.0.5:7000 key new club-1 --account beekeepers-club\n  \
             quetzaldeal --platform 10.0.0.5:7000 drain data_centre lake-erie --wait",
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .global(true)
                .help("IP and port of the platform's key-value service"),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .global(true)
                .default_value("operator")
                .help("Name that the publication is recorded under"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .global(true)
                .default_value("10")
                .value_parser(value_parser!(u64))
                .help("Seconds to wait for hosts"),
        )
        .subcommand(sub("check", "Check a file as a whole").arg(file.clone()))
        .subcommand(sub("diff", "Show what a file would change").arg(file.clone()))
        .subcommand(sub("publish", "Check and publish a file").arg(file).arg(wait.clone()))
        .subcommand(sub("show", "Write the published objects as YAML").arg(version))
        .subcommand(sub("history", "List the publications, newest first"))
        .subcommand(
            sub("key", "Make and withdraw keys")
                .subcommand_required(true)
                .subcommand(
                    sub("new", "Make a key; it is shown once")
                        .arg(name.clone())
                        .arg(Arg::new("account").long("account").required(true).help("Account"))
                        .arg(
                            Arg::new("print")
                                .long("print")
                                .action(ArgAction::SetTrue)
                                .help("Only print the object; publish nothing"),
                        ),
                )
                .subcommand(sub("withdraw", "Withdraw a key").arg(name.clone()).arg(wait.clone())),
        )
        .subcommand(
            sub("drain", "Take an object out of service")
                .arg(kind.clone())
                .arg(name.clone())
                .arg(wait.clone()),
        )
        .subcommand(
            sub("restore", "Bring an object back into service").arg(kind).arg(name).arg(wait),
        )
        .subcommand(sub("status", "Show what each host reports"))
}

/// Runs the command that was given and returns its output.
///
/// # Errors
///
/// Says what failed, with the object, field and value at fault.
pub async fn run(matches: &ArgMatches) -> Result<String> {
    match matches.subcommand() {
        Some(("check", matches)) => check(matches).await,
        Some(("diff", matches)) => show_diff(matches).await,
        Some(("publish", matches)) => publish_file(matches).await,
        Some(("show", matches)) => show(matches).await,
        Some(("history", matches)) => history(matches).await,
        Some(("key", matches)) => match matches.subcommand() {
            Some(("new", matches)) => key_new(matches).await,
            Some(("withdraw", matches)) => key_withdraw(matches).await,
            _ => bail!("unknown command"),
        },
        Some(("drain", matches)) => set_service(matches, false).await,
        Some(("restore", matches)) => set_service(matches, true).await,
        Some(("status", matches)) => status(matches).await,
        _ => bail!("unknown command"),
    }
}

async fn check(matches: &ArgMatches) -> Result<String> {
    let file = read_file(matches)?;
    let previous = match matches.get_one::<String>("platform") {
        Some(_) => store(matches)?.current().await?.map(|current| current.world),
        None => None,
    };
    let findings = config_check::check_world(&file.world, previous.as_ref());
    refuse_findings(&findings)?;
    Ok(format!("{} objects, no faults\n", file.world.to_objects().len()))
}

async fn show_diff(matches: &ArgMatches) -> Result<String> {
    let file = read_file(matches)?;
    let current = store(matches)?.current().await?;
    let old = current.map(|current| current.world).unwrap_or_default();
    let changes = config_diff::diff(&old, &file.world);
    Ok(changes.iter().map(ToString::to_string).collect())
}

async fn publish_file(matches: &ArgMatches) -> Result<String> {
    let file = read_file(matches)?;
    let store = store(matches)?;
    let base = match file.base {
        Some(base) => base,
        None if store.current().await?.is_none() => 0,
        None => bail!(
            "the file does not say which version it was edited from; start from `show`, \
             or add a document with `kind: base` and `version:`"
        ),
    };
    publish(matches, &store, &file.world, base).await
}

async fn publish(
    matches: &ArgMatches,
    store: &config_store::ConfigStore,
    world: &world_config::WorldConfig,
    base: u64,
) -> Result<String> {
    let author = matches.get_one::<String>("author").cloned().unwrap_or_default();
    match store.publish(world, base, &author).await? {
        config_store::PublishOutcome::Published { version } => {
            let mut text = format!("published version {version}\n");
            if flag(matches, "wait") {
                text.push_str(&wait_for_hosts(matches, world, version).await?);
            }
            Ok(text)
        }
        config_store::PublishOutcome::Unchanged { version } => {
            Ok(format!("nothing differs from version {version}\n"))
        }
        config_store::PublishOutcome::Faulty { findings } => {
            refuse_findings(&findings)?;
            Ok(String::new())
        }
        config_store::PublishOutcome::Conflict { version, author, changes } => bail!(
            "conflict: version {version} was published by {author} since version {base}; \
             nothing was written. It changed:\n{}Start again from `show`.",
            changes.concat()
        ),
    }
}

async fn wait_for_hosts(
    matches: &ArgMatches,
    world: &world_config::WorldConfig,
    version: u64,
) -> Result<String> {
    let client = http_call::client(CONNECT_TIMEOUT)?;
    let started = Instant::now();
    let limit = Duration::from_secs(matches.get_one("timeout").copied().unwrap_or(10));
    loop {
        let reports = config_store::host_versions(&client, world).await;
        let behind: Vec<String> = reports
            .iter()
            .filter_map(|(host, report)| match report {
                Ok(report) if report.version >= version => None,
                Ok(report) => Some(format!("{host} (version {})", report.version)),
                Err(_) => Some(format!("{host} (no answer)")),
            })
            .collect();
        let in_force = reports.len() - behind.len();
        if behind.is_empty() {
            let passed = started.elapsed().as_millis();
            return Ok(format!("in force on {in_force} of {in_force} hosts after {passed} ms\n"));
        }
        if started.elapsed() > limit {
            bail!(
                "version {version} is published, and in force on {in_force} of {} hosts; \
                 not on: {}",
                reports.len(),
                behind.join(", ")
            );
        }
        tokio::time::sleep(WAIT_PAUSE).await;
    }
}

async fn show(matches: &ArgMatches) -> Result<String> {
    let store = store(matches)?;
    let wanted = matches.get_one::<u64>("version").copied();
    let current = published(&store).await?;
    let (base, world) = match wanted {
        Some(version) if version != current.head.version => {
            let head = store.earlier_head(version).await?;
            (version, store.load(&head).await?)
        }
        _ => (current.head.version, current.world),
    };
    world_file::WorldFile { base: Some(base), world }.to_yaml()
}

async fn history(matches: &ArgMatches) -> Result<String> {
    const HISTORY_SHOWN: usize = 50;
    let heads = store(matches)?.history(HISTORY_SHOWN).await?;
    let mut text = format!("{:>8}  {:>14}  {:<20}  publication\n", "version", "unix ms", "author");
    for head in heads {
        writeln!(
            text,
            "{:>8}  {:>14}  {:<20}  {}",
            head.version, head.published_at_ms, head.author, head.publish_id
        )?;
    }
    Ok(text)
}

async fn key_new(matches: &ArgMatches) -> Result<String> {
    let name = text(matches, "name")?;
    let account = text(matches, "account")?;
    let secret = key_secret::KeySecret::generate(name, account);
    let shown = format!("key (shown once): {}\n", secret.text);
    if flag(matches, "print") {
        let object = serde_yaml_ng::to_string(&world_object::WorldObject::Key(secret.object))?;
        return Ok(format!("# {shown}---\n{object}"));
    }
    let store = store(matches)?;
    let config_store::PublishedConfig { head, mut world, .. } = published(&store).await?;
    if world.keys.contains_key(name) {
        bail!("key {name}: field name: stands already; withdraw it first, or take another name");
    }
    world.keys.insert(name.to_owned(), secret.object);
    let outcome = publish(matches, &store, &world, head.version).await?;
    Ok(format!("{outcome}{shown}"))
}

async fn key_withdraw(matches: &ArgMatches) -> Result<String> {
    let name = text(matches, "name")?;
    let store = store(matches)?;
    let config_store::PublishedConfig { head, mut world, .. } = published(&store).await?;
    if world.keys.remove(name).is_none() {
        bail!("key {name}: field name: no such key is published");
    }
    publish(matches, &store, &world, head.version).await
}

async fn set_service(matches: &ArgMatches, in_service: bool) -> Result<String> {
    let name = text(matches, "name")?;
    let kind = text(matches, "kind")?;
    let store = store(matches)?;
    let config_store::PublishedConfig { head, mut world, .. } = published(&store).await?;
    let switch = match kind {
        "host" => world.hosts.get_mut(name).map(|object| &mut object.in_service),
        "endpoint" => world.endpoints.get_mut(name).map(|object| &mut object.in_service),
        _ => world.centres.get_mut(name).map(|object| &mut object.in_service),
    };
    let switch = switch.with_context(|| format!("{kind} {name}: no such object is published"))?;
    *switch = in_service;
    publish(matches, &store, &world, head.version).await
}

async fn status(matches: &ArgMatches) -> Result<String> {
    let current = published(&store(matches)?).await?;
    let client = http_call::client(CONNECT_TIMEOUT)?;
    let reports = config_store::host_versions(&client, &current.world).await;
    let mut text = format!("published version {}\n", current.head.version);
    writeln!(
        text,
        "{:<12} {:>7} {:>6} {:>8} {:>7} {:>10} {:>11}",
        "host", "version", "fresh", "leaving", "callers", "statements", "connections"
    )?;
    for (host, report) in &reports {
        match report {
            Ok(report) => writeln!(
                text,
                "{host:<12} {:>7} {:>6} {:>8} {:>7} {:>10} {:>11}",
                report.version,
                report.fresh,
                report.leaving,
                report.callers,
                report.statements,
                report.connections
            )?,
            Err(_) => writeln!(text, "{host:<12} no answer")?,
        }
    }
    write_control(&mut text, reports.values().flatten())?;
    writeln!(text, "\n{:<12} {:<12} {:>5} {:<14} state", "host", "group", "term", "primary")?;
    for report in reports.values().flatten() {
        for (group, status) in &report.groups {
            let primary = status.primary.as_deref().unwrap_or("-");
            let (host, term, state) = (&report.host, status.term, &status.failover);
            writeln!(text, "{host:<12} {group:<12} {term:>5} {primary:<14} {state}")?;
        }
    }
    writeln!(
        text,
        "\n{:<12} {:<16} {:>9} {:>9} {:>8} {:>7} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "host",
        "account",
        "admitted",
        "over rate",
        "not run",
        "unknown",
        "writes",
        "replica",
        "primary",
        "p50 us",
        "p99 us"
    )?;
    for report in reports.values().flatten() {
        for (account, counts) in &report.accounts {
            writeln!(
                text,
                "{:<12} {account:<16} {:>9} {:>9} {:>8} {:>7} {:>8} {:>8} {:>8} {:>8} {:>8}",
                report.host,
                counts.admitted,
                counts.over_rate,
                counts.not_run,
                counts.may_have_run,
                counts.writes,
                counts.replica_reads,
                counts.primary_reads,
                counts.p50_us,
                counts.p99_us
            )?;
        }
    }
    Ok(text)
}

fn write_control<'a>(
    text: &mut String,
    reports: impl Iterator<Item = &'a status_report::StatusReport>,
) -> Result<()> {
    writeln!(
        text,
        "\n{:<12} {:>14} {:>10} {:>12} {:>8}",
        "host", "platform calls", "peer calls", "share asks", "probes"
    )?;
    for status_report::StatusReport { host, control, .. } in reports {
        writeln!(
            text,
            "{host:<12} {:>14} {:>10} {:>12} {:>8}",
            control.platform_calls, control.peer_calls, control.loan_requests, control.probes
        )?;
    }
    Ok(())
}

async fn published(store: &config_store::ConfigStore) -> Result<config_store::PublishedConfig> {
    store.current().await?.context("nothing is published yet")
}

fn store(matches: &ArgMatches) -> Result<config_store::ConfigStore> {
    let address = matches.get_one::<String>("platform").context("give --platform IP:PORT")?;
    config_store::ConfigStore::new(address.clone())
}

fn read_file(matches: &ArgMatches) -> Result<world_file::WorldFile> {
    let path: &PathBuf = matches.get_one("file").context("no file")?;
    let text =
        std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
    world_file::WorldFile::parse(&text).with_context(|| path.display().to_string())
}

fn refuse_findings(findings: &[config_check::CheckFinding]) -> Result<()> {
    if findings.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = findings.iter().map(|finding| format!("  {finding}")).collect();
    bail!("{} faults; nothing was published:\n{}", findings.len(), lines.join("\n"))
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> Result<&'a str> {
    matches.get_one::<String>(name).map(String::as_str).with_context(|| format!("no {name}"))
}

fn flag(matches: &ArgMatches, name: &str) -> bool {
    matches!(matches.try_get_one::<bool>(name), Ok(Some(true)))
}
