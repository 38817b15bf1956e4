//! The operators' command line `quetzaldeal`: its arguments, and what each subcommand does.

use std::fmt::Write as _;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::config::config_check;
use crate::config::config_file;
use crate::config::config_object;
use crate::config::fleet_config;
use crate::config::key_secret;
use crate::core::status_report;
use crate::daemon::http_call;
use crate::operator::config_diff;
use crate::operator::config_store;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the definition of the command line.
pub fn command() -> Command {
    let file = Arg::new("file")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Configuration file (YAML)");
    let name = Arg::new("name").required(true).help("Name of the object");
    let kind = Arg::new("kind")
        .required(true)
        .value_parser(["host", "endpoint", "data_centre"])
        .help("Kind of the object");
    let wait = Arg::new("wait")
        .long("wait")
        .action(ArgAction::SetTrue)
        .help("Wait until every host has applied the configuration, and list those that have not");
    let version = Arg::new("version")
        .long("version")
        .value_parser(value_parser!(u64))
        .help("Version to show [default: the published one]");
    let sub = |name: &'static str, about: &'static str| Command::new(name).about(about);
    Command::new("quetzaldeal")
        .about("Publishes and inspects the configuration of a fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .after_help(
            "Examples:\n  \
             quetzaldeal --platform 10.0.0.5:7000 show > fleet.yaml\n  \
             quetzaldeal --platform 10.0.0.5:7000 publish fleet.yaml --wait\n  \
             quetzaldeal --platform 10.0.0.5:7000 key new club-1 --account beekeepers-club\n  \
             quetzaldeal --platform 10.0.0.5:7000 drain data_centre lake-erie --wait",
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .global(true)
                .help("IP address and port of the platform's key-value service"),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .global(true)
                .default_value("operator")
                .help("Name of the author to record with the publication"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .global(true)
                .default_value("10")
                .value_parser(value_parser!(u64))
                .help("Seconds that `--wait` waits for the hosts"),
        )
        .subcommand(sub("check", "Validate a configuration file").arg(file.clone()))
        .subcommand(sub("diff", "Show what publishing a file would change").arg(file.clone()))
        .subcommand(sub("publish", "Validate and publish a file").arg(file).arg(wait.clone()))
        .subcommand(sub("show", "Print the published objects as YAML").arg(version))
        .subcommand(sub("history", "List the published versions, newest first"))
        .subcommand(
            sub("key", "Create and withdraw keys")
                .subcommand_required(true)
                .subcommand(
                    sub("new", "Create a key and publish its object; the key is shown only once")
                        .arg(name.clone())
                        .arg(
                            Arg::new("account")
                                .long("account")
                                .required(true)
                                .help("Account that the key authenticates"),
                        )
                        .arg(
                            Arg::new("print").long("print").action(ArgAction::SetTrue).help(
                                "Print the key and its object instead of publishing the object",
                            ),
                        ),
                )
                .subcommand(
                    sub("withdraw", "Remove a key from the published configuration")
                        .arg(name.clone())
                        .arg(wait.clone()),
                ),
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
        .subcommand(sub("status", "Show the status that each host reports"))
}

/// Runs the subcommand in `matches` and returns its output.
///
/// # Errors
///
/// Fails when the subcommand fails; the error names the object, field and value concerned.
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
        Some(("drain", matches)) => set_in_service(matches, false).await,
        Some(("restore", matches)) => set_in_service(matches, true).await,
        Some(("status", matches)) => status(matches).await,
        _ => bail!("unknown command"),
    }
}

async fn check(matches: &ArgMatches) -> Result<String> {
    let file = read_file(matches)?;
    let previous = match matches.get_one::<String>("platform") {
        Some(_) => store(matches)?.current().await?.map(|current| current.config),
        None => None,
    };
    let findings = config_check::check_config(&file.config, previous.as_ref());
    fail_on_findings(&findings)?;
    Ok(format!("{} objects, no errors\n", file.config.to_objects().len()))
}

async fn show_diff(matches: &ArgMatches) -> Result<String> {
    let file = read_file(matches)?;
    let current = store(matches)?.current().await?;
    let old = current.map(|current| current.config).unwrap_or_default();
    let changes = config_diff::diff(&old, &file.config);
    Ok(changes.iter().map(ToString::to_string).collect())
}

async fn publish_file(matches: &ArgMatches) -> Result<String> {
    let file = read_file(matches)?;
    let store = store(matches)?;
    let base = match file.base {
        Some(base) => base,
        None if store.current().await?.is_none() => 0,
        None => bail!(
            "the file does not name the version that it is based on; start from the output of \
             `show`, or add a document with `kind: base` and `version:`"
        ),
    };
    publish(matches, &store, &file.config, base).await
}

async fn publish(
    matches: &ArgMatches,
    store: &config_store::ConfigStore,
    config: &fleet_config::FleetConfig,
    base: u64,
) -> Result<String> {
    let author = matches.get_one::<String>("author").cloned().unwrap_or_default();
    match store.publish(config, base, &author).await? {
        config_store::PublishOutcome::Published { version } => {
            let mut text = format!("published version {version}\n");
            if has_flag(matches, "wait") {
                text.push_str(&wait_for_hosts(matches, config, version).await?);
            }
            Ok(text)
        }
        config_store::PublishOutcome::Unchanged { version } => {
            Ok(format!("no changes from version {version}; nothing was published\n"))
        }
        config_store::PublishOutcome::Invalid { findings } => {
            fail_on_findings(&findings)?;
            Ok(String::new())
        }
        config_store::PublishOutcome::Conflict { version, author, changes } => bail!(
            "conflict: version {version} was published by {author} since version {base}; \
             nothing was written. Its changes:\n{}Start again from the output of `show`.",
            changes.concat()
        ),
    }
}

async fn wait_for_hosts(
    matches: &ArgMatches,
    config: &fleet_config::FleetConfig,
    version: u64,
) -> Result<String> {
    let client = http_call::client(CONNECT_TIMEOUT)?;
    let started = Instant::now();
    let timeout = Duration::from_secs(matches.get_one("timeout").copied().unwrap_or(10));
    loop {
        let reports = config_store::query_hosts(&client, config).await;
        let behind: Vec<String> = reports
            .iter()
            .filter_map(|(host, report)| match report {
                Ok(report) if report.version >= version => None,
                Ok(report) => Some(format!("{host} (version {})", report.version)),
                Err(_) => Some(format!("{host} (no reply)")),
            })
            .collect();
        let in_force = reports.len() - behind.len();
        if behind.is_empty() {
            let passed = started.elapsed().as_millis();
            return Ok(format!("in force on {in_force} of {in_force} hosts after {passed} ms\n"));
        }
        if started.elapsed() > timeout {
            bail!(
                "version {version} is published, but in force on only {in_force} of {} hosts after \
                 {timeout:?}; not on: {}",
                reports.len(),
                behind.join(", ")
            );
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
    }
}

async fn show(matches: &ArgMatches) -> Result<String> {
    let store = store(matches)?;
    let requested = matches.get_one::<u64>("version").copied();
    let current = published(&store).await?;
    let (base, config) = match requested {
        Some(version) if version != current.head.version => {
            let head = store.earlier_head(version).await?;
            (version, store.load(&head).await?)
        }
        _ => (current.head.version, current.config),
    };
    config_file::ConfigFile { base: Some(base), config }.to_yaml()
}

async fn history(matches: &ArgMatches) -> Result<String> {
    const HISTORY_SHOWN: usize = 50;
    let heads = store(matches)?.history(HISTORY_SHOWN).await?;
    let mut text =
        format!("{:>8}  {:>14}  {:<20}  publication\n", "version", "time (unix ms)", "author");
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
    let name = argument(matches, "name")?;
    let account = argument(matches, "account")?;
    let secret = key_secret::KeySecret::generate(name, account);
    let shown = format!("key (shown once): {}\n", secret.text);
    if has_flag(matches, "print") {
        let object = serde_yaml_ng::to_string(&config_object::ConfigObject::Key(secret.object))?;
        return Ok(format!("# {shown}---\n{object}"));
    }
    let store = store(matches)?;
    let config_store::PublishedConfig { head, mut config, .. } = published(&store).await?;
    if config.keys.contains_key(name) {
        bail!(
            "key {name}: field name: already exists; withdraw the key first, or use another name"
        );
    }
    config.keys.insert(name.to_owned(), secret.object);
    let outcome = publish(matches, &store, &config, head.version).await?;
    Ok(format!("{outcome}{shown}"))
}

async fn key_withdraw(matches: &ArgMatches) -> Result<String> {
    let name = argument(matches, "name")?;
    let store = store(matches)?;
    let config_store::PublishedConfig { head, mut config, .. } = published(&store).await?;
    if config.keys.remove(name).is_none() {
        bail!("key {name}: field name: no such key is published");
    }
    publish(matches, &store, &config, head.version).await
}

async fn set_in_service(matches: &ArgMatches, in_service: bool) -> Result<String> {
    let name = argument(matches, "name")?;
    let kind = argument(matches, "kind")?;
    let store = store(matches)?;
    let config_store::PublishedConfig { head, mut config, .. } = published(&store).await?;
    let field = match kind {
        "host" => config.hosts.get_mut(name).map(|object| &mut object.in_service),
        "endpoint" => config.endpoints.get_mut(name).map(|object| &mut object.in_service),
        _ => config.centres.get_mut(name).map(|object| &mut object.in_service),
    };
    let field =
        field.with_context(|| format!("{kind} {name}: field name: no such object is published"))?;
    *field = in_service;
    publish(matches, &store, &config, head.version).await
}

async fn status(matches: &ArgMatches) -> Result<String> {
    let current = published(&store(matches)?).await?;
    let client = http_call::client(CONNECT_TIMEOUT)?;
    let reports = config_store::query_hosts(&client, &current.config).await;
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
            Err(_) => writeln!(text, "{host:<12} no reply")?,
        }
    }
    write_call_counts(&mut text, reports.values().flatten())?;
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

fn write_call_counts<'a>(
    text: &mut String,
    reports: impl Iterator<Item = &'a status_report::StatusReport>,
) -> Result<()> {
    writeln!(
        text,
        "\n{:<12} {:>14} {:>10} {:>12} {:>8}",
        "host", "platform calls", "peer calls", "share calls", "probes"
    )?;
    for status_report::StatusReport { host, control, .. } in reports {
        writeln!(
            text,
            "{host:<12} {:>14} {:>10} {:>12} {:>8}",
            control.platform_calls, control.peer_calls, control.share_asks, control.probes
        )?;
    }
    Ok(())
}

async fn published(store: &config_store::ConfigStore) -> Result<config_store::PublishedConfig> {
    store.current().await?.context("no configuration is published yet")
}

fn store(matches: &ArgMatches) -> Result<config_store::ConfigStore> {
    let address =
        matches.get_one::<String>("platform").context("option --platform: expected IP:PORT")?;
    config_store::ConfigStore::new(address.clone())
}

fn read_file(matches: &ArgMatches) -> Result<config_file::ConfigFile> {
    let path: &PathBuf = matches.get_one("file").context("argument file is missing")?;
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("cannot read configuration file {}", path.display()))?;
    config_file::ConfigFile::parse(&text).with_context(|| path.display().to_string())
}

fn fail_on_findings(findings: &[config_check::CheckFinding]) -> Result<()> {
    if findings.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = findings.iter().map(|finding| format!("  {finding}")).collect();
    bail!("{} errors found; nothing was published:\n{}", findings.len(), lines.join("\n"))
}

fn argument<'a>(matches: &'a ArgMatches, name: &str) -> Result<&'a str> {
    matches
        .get_one::<String>(name)
        .map(String::as_str)
        .with_context(|| format!("argument {name} is missing"))
}

fn has_flag(matches: &ArgMatches, name: &str) -> bool {
    matches!(matches.try_get_one::<bool>(name), Ok(Some(true)))
}
