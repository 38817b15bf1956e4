//! Runs a stand-in for the platform's key-value service.

use anyhow::{Context, Result};
use clap::{Arg, Command};
use stand_ins::platform_program::PlatformProgram;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let matches = Command::new("stand-in-platform")
        .about("Stand-in for the platform's key-value service")
        .arg(Arg::new("address").long("address").required(true).help("IP and port to listen on"))
        .get_matches();
    let address: &String = matches.get_one("address").context("no address")?;
    PlatformProgram::default().serve(address).await
}
