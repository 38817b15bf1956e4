//! Summarises refused and failed requests from the logs of hosts.

use std::fs;
use std::io::{self, BufRead, Write};
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use clap::{Arg, ArgAction, Command, value_parser};
use stand_ins::loss_plot;
use stand_ins::loss_table;

/// Exit code for arguments or logs that cannot be used.
const EXIT_BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quetzaldeal-losses: {error:#}");
            ExitCode::from(EXIT_BAD_INPUT)
        }
    }
}

fn run() -> Result<()> {
    let matches = Command::new("quetzaldeal-losses")
        .about("Counts refused and failed requests by cause, account, database, group, phase and second")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(
            Arg::new("log")
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf))
                .help("Log files of hosts; standard input if none is given"),
        )
        .arg(
            Arg::new("svg")
                .long("svg")
                .value_parser(value_parser!(PathBuf))
                .help("SVG file to draw losses and events over time into"),
        )
        .get_matches();
    let mut table = loss_table::LossTable::default();
    let paths: Vec<&PathBuf> = matches.get_many("log").into_iter().flatten().collect();
    for path in &paths {
        let file = fs::File::open(path).with_context(|| format!("{}", path.display()))?;
        read(&mut table, io::BufReader::new(file))
            .with_context(|| format!("{}", path.display()))?;
    }
    if paths.is_empty() {
        read(&mut table, io::stdin().lock()).context("standard input")?;
    }
    if let Some(path) = matches.get_one::<PathBuf>("svg") {
        loss_plot::draw(&table, path)?;
    }
    io::stdout().write_all(table.render().as_bytes())?;
    Ok(())
}

/// Reads all lines. Invalid UTF-8 is replaced, so that one corrupt line does not hide the rest.
fn read(table: &mut loss_table::LossTable, mut reader: impl BufRead) -> Result<()> {
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes)? > 0 {
        table.add_line(&String::from_utf8_lossy(&bytes));
        bytes.clear();
    }
    Ok(())
}
