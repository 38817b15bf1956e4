//! Tests of `quetzaldeal-losses`: from log lines to tables and a plot.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use stand_ins::loss_plot;
use stand_ins::loss_table;

const LINES: [&str; 6] = [
    "2026-01-02T23:59:59.5Z [INFO] event=started host=a1",
    "2026-01-02T23:59:59.9Z [INFO] event=request_unserved request=1 account=desk database=orders \
     phase=waiting attempts=0 age_ms=120 fate=NotRun cause=OverRate retry_ms=90",
    "0.1 a1 2026-01-03T00:00:00.5Z [INFO] event=request_unserved request=2 account=desk \
     database=orders age_ms=80 fate=NotRun cause=OverRate retry_ms=90",
    "2026-01-03T00:00:01.5Z [INFO] event=request_unserved request=3 account=club database=stock \
     age_ms=900 fate=MayHaveRun cause=ConnectionLost retry_ms=0",
    "2026-01-03T00:00:02.5Z [WARN] event=store_lost last_answer_ms=900",
    "a line of another program, event=request_unserved",
];

fn table() -> loss_table::LossTable {
    let mut table = loss_table::LossTable::default();
    LINES.iter().for_each(|line| table.add_line(line));
    table
}

#[test]
fn losses_are_counted_by_cause_and_second_across_midnight() {
    let table = table();
    assert_eq!(table.lost.len(), 3);
    assert_eq!(table.duration_s(), 3.0);
    let causes = table.by_second();
    assert_eq!(causes["OverRate"].iter().collect::<Vec<_>>(), [(&0, &1), (&1, &1)]);
    let text = table.render();
    assert!(text.contains("       2    100     80    120 ms  OverRate, not run\n"), "{text}");
    assert!(
        text.contains("       1    900    900    900 ms  ConnectionLost, may have run\n"),
        "{text}"
    );
    assert!(text.contains("       2    100     80    120 ms  OverRate desk\n"), "{text}");
    assert!(text.contains("       1    120    120    120 ms  OverRate waiting\n"), "{text}");
}

#[test]
fn unreadable_log_ends_with_one_line_and_code_2() {
    let program = env!("CARGO_BIN_EXE_quetzaldeal-losses");
    let output = std::process::Command::new(program).arg("/nowhere/a1.log").output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("/nowhere/a1.log"), "{text}");
}

#[test]
fn plot_names_causes_and_events() {
    let path = std::env::temp_dir().join(format!("losses-{}.svg", std::process::id()));
    loss_plot::draw(&table(), &path).unwrap();
    let page = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    for name in ["OverRate", "ConnectionLost", "store_lost"] {
        assert!(page.contains(name), "{name}");
    }
}

#[test]
fn plot_error_names_the_file() {
    let error = loss_plot::draw(&table(), std::path::Path::new("/nowhere/losses.svg"));
    assert!(format!("{:#}", error.unwrap_err()).contains("/nowhere/losses.svg"));
}
