//! Load generator and caller checks, for demonstrations and measurements.

use std::io::Write as _;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use clap::{Arg, ArgMatches, Command, value_parser};
use quetzaldeal::daemon::http_call;
use stand_ins::caller_checks;
use stand_ins::load_plan::LoadPlan;
use stand_ins::load_run;
use stand_ins::path_cost;
use stand_ins::platform_program::COUNTS_PATH;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("session", matches)) => {
            let login = login(matches)?;
            caller_checks::check_session_handover(&login, text(matches, "other")?).await
        }
        Some(("gap", matches)) => {
            let seconds = matches.get_one("seconds").copied().unwrap_or(10);
            caller_checks::measure_write_gap(&login(matches)?, seconds).await
        }
        Some(("hold", matches)) => caller_checks::read_until_rejected(&login(matches)?).await,
        Some(("compare", matches)) => {
            path_cost::compare(&login(matches)?, text(matches, "direct")?).await
        }
        Some(("hop", _)) => path_cost::measure_ring_hop(),
        Some(("platform-calls", matches)) => {
            let client = http_call::client(CONNECT_TIMEOUT)?;
            let address = text(matches, "address")?;
            let counts: (u64, u64) =
                http_call::post_message(&client, address, COUNTS_PATH, &(), CONNECT_TIMEOUT)
                    .await?;
            Ok(writeln!(std::io::stdout(), "{}", counts.0 + counts.1)?)
        }
        Some(("run", matches)) => {
            let path = text(matches, "plan")?;
            let plan = std::fs::read_to_string(path).with_context(|| path.to_owned())?;
            let plan = LoadPlan::parse(&plan).with_context(|| path.to_owned())?;
            load_run::run(plan, matches.get_one::<String>("report").map(String::as_str)).await
        }
        _ => bail!("unknown command"),
    }
}

fn command() -> Command {
    let option = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).required(true).help(help)
    };
    let caller = |name: &'static str, about: &'static str| {
        Command::new(name)
            .about(about)
            .arg(option("address", "IP and port of a host's listener for callers"))
            .arg(option("account", "Client account"))
            .arg(option("key", "Key of the account"))
            .arg(option("service", "Service to log in to"))
            .arg(option("group", "Group that statements go to"))
    };
    Command::new("quetzaldeal-load")
        .about("Load generator and caller checks, for demonstrations and measurements")
        .subcommand_required(true)
        .subcommand(
            caller("session", "Write at one host, then read at another within the same session")
                .arg(option("other", "IP and port of another host's listener for callers")),
        )
        .subcommand(
            caller(
                "gap",
                "Write continuously and report the longest gap between acknowledged writes",
            )
            .arg(
                Arg::new("seconds")
                    .long("seconds")
                    .default_value("10")
                    .value_parser(value_parser!(u64))
                    .help("Duration in seconds"),
            ),
        )
        .subcommand(caller("hold", "Read on one connection until the key is rejected"))
        .subcommand(
            caller(
                "compare",
                "Compare reads through a host with reads sent directly to a database",
            )
            .arg(option("direct", "IP and port of the database")),
        )
        .subcommand(Command::new("hop").about("Measure the latency of a ring between two threads"))
        .subcommand(
            Command::new("platform-calls")
                .about("Print how many calls the stand-in platform has received")
                .arg(option("address", "IP and port of the platform")),
        )
        .subcommand(
            Command::new("run")
                .about("Offer the load of a plan and print the outcome of each account")
                .arg(option("plan", "YAML file with the plan"))
                .arg(Arg::new("report").long("report").help("YAML file to write the report to")),
        )
}

fn login(matches: &ArgMatches) -> Result<caller_checks::CallerLogin> {
    Ok(caller_checks::CallerLogin {
        address: text(matches, "address")?.to_owned(),
        account: text(matches, "account")?.to_owned(),
        key: text(matches, "key")?.to_owned(),
        service: text(matches, "service")?.to_owned(),
        group: text(matches, "group")?.to_owned(),
    })
}

fn text<'a>(matches: &'a ArgMatches, name: &str) -> Result<&'a str> {
    matches.get_one::<String>(name).map(String::as_str).with_context(|| format!("no {name}"))
}
