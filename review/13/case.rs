//! A transaction has begun, and the operator drops its route before its first statement.

use std::time::Duration;

use lab::deployment::{self, Deployment, TENANT};
use lab::fleet::{Caller, Response};

/// Transactions, each on a route of its own.
const ROUNDS: usize = 5;
/// Pause of the client after BEGIN; the configuration allows 3 s.
const PAUSE: Duration = Duration::from_millis(1_500);

fn config(version: u64, dropped: usize) -> String {
    let kept = dropped..ROUNDS + 1;
    let routes: Vec<String> =
        kept.map(|number| deployment::route(&format!("desk{number}"), "primary")).collect();
    deployment::config(version, &routes, 0)
}

fn main() {
    let routes: Vec<String> =
        (0..=ROUNDS).map(|number| deployment::route(&format!("desk{number}"), "primary")).collect();
    let Some(fleet) = Deployment::start(&deployment::record_path(), &routes, 0) else {
        deployment::cannot_run("no fleet");
    };
    let record = &fleet.record;
    let mut served = 0;
    for round in 0..ROUNDS {
        let database = format!("desk{round}");
        let front = fleet.daemons[round % fleet.daemons.len()].front;
        let Some(mut caller) = Caller::open(front, &database, deployment::KEY) else {
            deployment::cannot_run("a session was refused");
        };
        record.note(&format!("client opens a session on {database} with the key of {TENANT}"));
        let mut ask = |id: String, text: &str| -> Option<Response> {
            record.note(&format!("client sends {id} {text}"));
            let response = caller.query(&id, text);
            record.note(&format!("client gets {id} {response:?}"));
            response
        };
        ask(format!("c{round}begin"), "BEGIN");
        if deployment::trouble() {
            let version = round as u64 + 2;
            fleet.store.put("op/config", &config(version, round + 1));
            record.note(&format!(
                "operator's version {version}, without {database}, is acknowledged"
            ));
        }
        std::thread::sleep(PAUSE);
        let write = ask(format!("c{round}write"), &format!("WRITE item{round} value{round}"));
        let commit = ask(format!("c{round}commit"), "COMMIT");
        let success = |response: &Response| response.outcome.is_ok();
        served += usize::from(
            write.as_ref().is_some_and(success) && commit.as_ref().is_some_and(success),
        );
    }
    let runs = fleet.group.runs();
    let foreign: Vec<_> =
        runs.iter().filter(|run| run.id.starts_with('c') && run.who != TENANT).collect();
    for run in &foreign {
        record.note(&format!("{} ran {} {:?} for {:?}", run.database, run.id, run.text, run.who));
    }
    let summary = format!(
        "transactions {ROUNDS}, served {served}, statements run for another than {TENANT}: {}",
        foreign.len()
    );
    record.note(&summary);
    println!("{summary}");
    let broken = !foreign.is_empty();
    drop(fleet);
    match (broken, served) {
        (true, _) => std::process::exit(1),
        (false, 0) if !deployment::trouble() => deployment::cannot_run("no transaction was served"),
        (false, _) => {}
    }
}
