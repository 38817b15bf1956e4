//! Entry point of the daemon `quetzaldeald`, which runs on each host.

use std::path::PathBuf;

use anyhow::{Context, Result};
use clap::{Arg, Command, value_parser};
use quetzaldeal::daemon::daemon_settings;
use quetzaldeal::daemon::escaped_logger;
use quetzaldeal::daemon::host_daemon;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

fn main() -> Result<()> {
    let matches = command().get_matches();
    let path: &PathBuf = matches.get_one("settings").context("option --settings is missing")?;
    let settings = daemon_settings::DaemonSettings::load(path)?;
    if matches.get_flag("check") {
        return Ok(());
    }
    init_logging(&settings)?;
    host_daemon::run(settings)
}

fn command() -> Command {
    Command::new("quetzaldeald")
        .about("Database proxy daemon for one host of a fleet")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help("Example:\n  quetzaldeald --settings /etc/quetzaldeal/host.yaml")
        .arg(
            Arg::new("settings")
                .long("settings")
                .short('s')
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Settings file of the host (YAML)"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(clap::ArgAction::SetTrue)
                .help("Validate the settings and exit"),
        )
}

fn init_logging(settings: &daemon_settings::DaemonSettings) -> Result<()> {
    let level = settings
        .log_level
        .parse()
        .context("field log_level: expected off, error, warn, info, debug or trace")?;
    let config = ConfigBuilder::new()
        .set_target_level(log::LevelFilter::Error)
        .set_thread_level(log::LevelFilter::Error)
        .set_time_format_rfc3339()
        .add_filter_allow_str("quetzaldeal")
        .build();
    let logger = TermLogger::new(level, config, TerminalMode::Stderr, ColorChoice::Never);
    escaped_logger::EscapedLogger::init(logger)
}
