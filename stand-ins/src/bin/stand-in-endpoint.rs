//! Runs a stand-in for one database of a group.

use std::time::Duration;

use anyhow::{Context, Result};
use clap::{Arg, ArgMatches, Command, value_parser};
use stand_ins::endpoint_program::{EndpointOptions, EndpointProgram};

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let matches = command().get_matches();
    let address: &String = matches.get_one("address").context("no address")?;
    let millis =
        |name: &str| Ok::<_, anyhow::Error>(Duration::from_millis(number(&matches, name)?));
    let options = EndpointOptions {
        pull_interval: millis("lag-ms")?,
        statement_time: millis("work-ms")?,
        connect_time: millis("connect-ms")?,
        slots: number(&matches, "slots")? as usize,
        connections: number(&matches, "connections")? as usize,
    };
    EndpointProgram::new(rand::random(), options).serve(address).await
}

fn command() -> Command {
    let option = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64)).help(help)
    };
    Command::new("stand-in-endpoint")
        .about("Stand-in for one database of a group")
        .arg(Arg::new("address").long("address").required(true).help("IP and port to listen on"))
        .arg(option("lag-ms", "20", "Interval between a replica's pulls from its primary, in ms"))
        .arg(option("work-ms", "0", "Duration of each statement, in ms"))
        .arg(option("connect-ms", "10", "Duration of opening a connection, in ms"))
        .arg(option("slots", "3", "Statements executed concurrently"))
        .arg(option("connections", "20", "Most connections accepted at the same time"))
}

fn number(matches: &ArgMatches, name: &str) -> Result<u64> {
    matches.get_one::<u64>(name).copied().with_context(|| format!("no {name}"))
}
