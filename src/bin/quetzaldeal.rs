//! Entry point of the operators' command line `quetzaldeal`.

use std::io::Write as _;
use std::process::ExitCode;

use quetzaldeal::operator::operator_command;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let matches = operator_command::command().get_matches();
    match operator_command::run(&matches).await {
        Ok(text) => match std::io::stdout().write_all(text.as_bytes()) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::FAILURE,
        },
        Err(error) => {
            eprintln!("quetzaldeal: {error:#}");
            ExitCode::FAILURE
        }
    }
}
