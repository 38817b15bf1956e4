//! Where requests were lost, read from the log lines of hosts.

use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Rows shown of each list.
const ROWS_MAX: usize = 12;
/// Seconds of a day.
const DAY_S: f64 = 86_400.0;

/// One request that was refused or failed.
#[derive(Debug, Clone, PartialEq)]
pub struct LostRequest {
    /// Seconds since the first line read.
    pub at: f64,
    /// Client account.
    pub account: String,
    /// Database that the caller named.
    pub database: String,
    /// Why.
    pub cause: String,
    /// Whether the host knew that the request had not run.
    pub not_run: bool,
    /// Time from its arrival to its answer, in milliseconds.
    pub held_ms: u64,
}

/// One thing that hosts began to believe.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetEvent {
    /// Seconds since the first line read.
    pub at: f64,
    /// What the line's `event` says.
    pub name: String,
}

/// What the lines of a fleet tell.
#[derive(Debug, Default)]
pub struct LossTable {
    /// Requests refused or failed, in the order of the lines.
    pub lost: Vec<LostRequest>,
    /// Changes of primary and of reach, in the order of the lines.
    pub events: Vec<FleetEvent>,
    first: Option<f64>,
    last: f64,
}

/// Events that may explain losses.
pub const TOLD_EVENTS: [&str; 7] = [
    "started",
    "change_begins",
    "primary_decided",
    "store_lost",
    "store_regained",
    "readiness",
    "config_in_force",
];

impl LossTable {
    /// Takes up one line; lines of other kinds are passed over.
    pub fn take(&mut self, line: &str) {
        let Some(time) = line.split_whitespace().find_map(seconds_of_day) else { return };
        let fields = fields_of(line);
        let Some(event) = fields.get("event") else { return };
        let at = self.place(time);
        if *event == "request_unserved" {
            let text = |name: &str| fields.get(name).copied().unwrap_or("-").to_owned();
            self.lost.push(LostRequest {
                at,
                account: text("account"),
                database: text("database"),
                cause: text("cause"),
                not_run: fields.get("fate") == Some(&"NotRun"),
                held_ms: fields.get("age_ms").and_then(|age| age.parse().ok()).unwrap_or(0),
            });
        } else if TOLD_EVENTS.contains(event) {
            self.events.push(FleetEvent { at, name: (*event).to_owned() });
        }
    }

    /// Returns the losses in whole seconds, by cause.
    pub fn by_second(&self) -> BTreeMap<&str, BTreeMap<i64, u64>> {
        let mut causes: BTreeMap<&str, BTreeMap<i64, u64>> = BTreeMap::new();
        for lost in &self.lost {
            let seconds = causes.entry(lost.cause.as_str()).or_default();
            *seconds.entry(lost.at.floor() as i64).or_default() += 1;
        }
        causes
    }

    /// Writes the losses by cause, account, database and second, the largest first.
    pub fn render(&self) -> String {
        let mut text = format!("{} requests refused or failed\n", self.lost.len());
        let fate = |lost: &LostRequest| if lost.not_run { "not run" } else { "may have run" };
        self.list(&mut text, "cause", |lost| format!("{}, {}", lost.cause, fate(lost)));
        self.list(&mut text, "cause and account", |lost| {
            format!("{} {}", lost.cause, lost.account)
        });
        self.list(&mut text, "cause and database", |lost| {
            format!("{} {}", lost.cause, lost.database)
        });
        self.list(&mut text, "second and cause", |lost| {
            format!("{:>5} s {}", lost.at.floor(), lost.cause)
        });
        text
    }

    fn list(&self, text: &mut String, title: &str, key: impl Fn(&LostRequest) -> String) {
        let mut rows: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        for lost in &self.lost {
            let row = rows.entry(key(lost)).or_default();
            row.0 += 1;
            row.1 += lost.held_ms;
        }
        let mut rows: Vec<(String, (u64, u64))> = rows.into_iter().collect();
        rows.sort_by_key(|(name, (count, _))| (std::cmp::Reverse(*count), name.clone()));
        // Writing to a string cannot fail.
        let _ = writeln!(text, "\nby {title}: requests, mean time held");
        for (name, (count, held)) in rows.iter().take(ROWS_MAX) {
            let _ = writeln!(text, "{count:>8} {:>6} ms  {name}", held / count);
        }
        if rows.len() > ROWS_MAX {
            let _ = writeln!(text, "         and {} more", rows.len() - ROWS_MAX);
        }
    }

    /// Returns a time of day as seconds since the first line; days may turn meanwhile.
    fn place(&mut self, time: f64) -> f64 {
        let first = *self.first.get_or_insert(time);
        let mut at = time - first;
        if at < -DAY_S / 2.0 {
            at += DAY_S;
        }
        self.last = self.last.max(at);
        at
    }

    /// Returns the seconds from the first line to the last.
    pub fn span(&self) -> f64 {
        self.last
    }
}

/// Returns the seconds of the day of a time such as `2026-01-02T03:04:05.6Z`.
fn seconds_of_day(word: &str) -> Option<f64> {
    let (_, time) = word.strip_suffix('Z')?.split_once('T')?;
    let mut parts = time.split(':').map(|part| part.parse::<f64>().ok());
    let (hours, minutes, seconds) = (parts.next()??, parts.next()??, parts.next()??);
    Some(hours * 3_600.0 + minutes * 60.0 + seconds)
}

fn fields_of(line: &str) -> BTreeMap<&str, &str> {
    line.split_whitespace().filter_map(|word| word.split_once('=')).collect()
}
