//! Measures how resource use grows with the size of a deployment, and extrapolates to the design
//! size.

use std::io::Write as _;

use anyhow::{Context, Result};
use clap::{Arg, Command};
use stand_ins::capacity_sheet;
use stand_ins::capacity_slopes::{self, CapacitySlopes, FleetSample, MemorySlopes};

fn main() -> Result<()> {
    let option = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).required(true).help(help)
    };
    let file = |help: &'static str| Arg::new("file").required(true).help(help);
    let matches = Command::new("quetzaldeal-capacity")
        .about("Measures resource use per object and extrapolates it to the design size")
        .subcommand_required(true)
        .subcommand(
            Command::new("measure")
                .about("Measure the decision core and combine it with samples of fleets and memory")
                .arg(option("fleets", "YAML file with samples of idle fleets"))
                .arg(option("memory", "YAML file with bytes per object"))
                .arg(file("YAML file to write the slopes to")),
        )
        .subcommand(
            Command::new("memory")
                .about("Print the resident bytes of a process that holds COUNT objects of KIND")
                .arg(Arg::new("kind").required(true))
                .arg(Arg::new("count").required(true).value_parser(clap::value_parser!(usize))),
        )
        .subcommand(
            Command::new("sheet")
                .about("Print the capacity tables as Markdown")
                .arg(file("YAML file with the slopes")),
        )
        .get_matches();
    match matches.subcommand() {
        Some(("measure", matches)) => {
            let core = capacity_slopes::measure_core()?;
            let path = |name: &str| matches.get_one::<String>(name).context("no path given");
            let fleets: Vec<FleetSample> = serde_yaml_ng::from_str(&read(path("fleets")?)?)?;
            let memory: MemorySlopes = serde_yaml_ng::from_str(&read(path("memory")?)?)?;
            let text = serde_yaml_ng::to_string(&CapacitySlopes { core, memory, fleets })?;
            let path: &String = matches.get_one("file").context("no file")?;
            std::fs::write(path, text).with_context(|| format!("cannot write {path}"))
        }
        Some(("memory", matches)) => {
            let kind: &String = matches.get_one("kind").context("no kind")?;
            let count = matches.get_one::<usize>("count").copied().context("no count")?;
            let bytes = capacity_slopes::measure_memory(kind, count)?;
            Ok(writeln!(std::io::stdout(), "{bytes}")?)
        }
        Some(("sheet", matches)) => {
            let path: &String = matches.get_one("file").context("no file")?;
            let slopes: CapacitySlopes =
                serde_yaml_ng::from_str(&read(path)?).with_context(|| path.clone())?;
            let text = capacity_sheet::render(&slopes);
            Ok(std::io::stdout().write_all(text.as_bytes())?)
        }
        _ => Ok(()),
    }
}

fn read(path: &str) -> Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("cannot read {path}"))
}
