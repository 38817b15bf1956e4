//! Collects refused and failed requests from the log lines of hosts and renders summary tables.

use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Most rows shown of each table.
const MAX_ROWS: usize = 12;
const DAY_S: f64 = 86_400.0;

/// One request that was refused or failed.
#[derive(Debug, Clone, PartialEq)]
pub struct LostRequest {
    /// Time in seconds since the first line read.
    pub at: f64,
    /// Client account.
    pub account: String,
    /// Database that the caller named.
    pub database: String,
    /// Group that serves the database.
    pub group: String,
    /// How far the request had come.
    pub phase: String,
    /// Cause that the host logged.
    pub cause: String,
    /// Whether the request is known not to have run.
    pub not_run: bool,
    /// Time from its arrival to its response, in milliseconds.
    pub age_ms: u64,
}

/// An event in a host's log that may explain losses.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetEvent {
    /// Time in seconds since the first line read.
    pub at: f64,
    /// Value of the line's field `event`.
    pub name: String,
}

/// Losses and events of a fleet, collected from log lines.
#[derive(Debug, Default)]
pub struct LossTable {
    /// Requests refused or failed, in the order of the lines.
    pub lost: Vec<LostRequest>,
    /// Events listed in [`CONTEXT_EVENTS`], in the order of the lines.
    pub events: Vec<FleetEvent>,
    first_s: Option<f64>,
    last_s: f64,
}

/// Names of the events that may explain losses.
pub const CONTEXT_EVENTS: [&str; 7] = [
    "started",
    "change_begins",
    "primary_decided",
    "store_lost",
    "store_regained",
    "readiness",
    "config_in_force",
];

impl LossTable {
    /// Adds the loss or event that a line reports; lines without a time or such an event are
    /// skipped.
    pub fn add_line(&mut self, line: &str) {
        let Some(time) = line.split_whitespace().find_map(seconds_of_day) else { return };
        let fields = parse_fields(line);
        let Some(event) = fields.get("event") else { return };
        let at = self.seconds_since_first_line(time);
        if *event == "request_unserved" {
            let text = |name: &str| fields.get(name).copied().unwrap_or("-").to_owned();
            self.lost.push(LostRequest {
                at,
                account: text("account"),
                database: text("database"),
                group: text("group"),
                phase: text("phase"),
                cause: text("cause"),
                not_run: fields.get("fate") == Some(&"NotRun"),
                age_ms: fields.get("age_ms").and_then(|age| age.parse().ok()).unwrap_or(0),
            });
        } else if CONTEXT_EVENTS.contains(event) {
            self.events.push(FleetEvent { at, name: (*event).to_owned() });
        }
    }

    /// Returns the number of losses by cause and by whole second since the first line.
    pub fn by_second(&self) -> BTreeMap<&str, BTreeMap<i64, u64>> {
        let mut causes: BTreeMap<&str, BTreeMap<i64, u64>> = BTreeMap::new();
        for lost in &self.lost {
            let seconds = causes.entry(lost.cause.as_str()).or_default();
            *seconds.entry(lost.at.floor() as i64).or_default() += 1;
        }
        causes
    }

    /// Returns tables of the losses by cause, account, database and second, largest counts first.
    pub fn render(&self) -> String {
        let mut text = format!("{} requests refused or failed\n", self.lost.len());
        let fate = |lost: &LostRequest| if lost.not_run { "not run" } else { "may have run" };
        self.write_list(&mut text, "cause", |lost| format!("{}, {}", lost.cause, fate(lost)));
        self.write_list(&mut text, "cause and account", |lost| {
            format!("{} {}", lost.cause, lost.account)
        });
        self.write_list(&mut text, "cause and database", |lost| {
            format!("{} {}", lost.cause, lost.database)
        });
        self.write_list(&mut text, "cause and group", |lost| {
            format!("{} {}", lost.cause, lost.group)
        });
        self.write_list(&mut text, "cause and phase", |lost| {
            format!("{} {}", lost.cause, lost.phase)
        });
        self.write_list(&mut text, "second and cause", |lost| {
            format!("{:>5} s {}", lost.at.floor(), lost.cause)
        });
        text
    }

    fn write_list(&self, text: &mut String, title: &str, key: impl Fn(&LostRequest) -> String) {
        let mut rows: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for lost in &self.lost {
            rows.entry(key(lost)).or_default().push(lost.age_ms);
        }
        let mut rows: Vec<(String, Vec<u64>)> = rows.into_iter().collect();
        rows.sort_by_key(|(name, ages)| (std::cmp::Reverse(ages.len()), name.clone()));
        // Writing to a string cannot fail.
        let _ = writeln!(text, "\nby {title}: requests, mean, middle and 90th percentile of age");
        for (name, ages) in rows.iter_mut().take(MAX_ROWS) {
            ages.sort_unstable();
            let mean = ages.iter().sum::<u64>() / ages.len() as u64;
            let (middle, high) = (percentile(ages, 50), percentile(ages, 90));
            let _ = writeln!(text, "{:>8} {mean:>6} {middle:>6} {high:>6} ms  {name}", ages.len());
        }
        if rows.len() > MAX_ROWS {
            let _ = writeln!(text, "         and {} more", rows.len() - MAX_ROWS);
        }
    }

    /// Converts a time of day to seconds since the first line. A time far before the first line is
    /// taken to be after midnight.
    fn seconds_since_first_line(&mut self, time: f64) -> f64 {
        let first_s = *self.first_s.get_or_insert(time);
        let mut at = time - first_s;
        if at < -DAY_S / 2.0 {
            at += DAY_S;
        }
        self.last_s = self.last_s.max(at);
        at
    }

    /// Returns the time from the first line to the last, in seconds.
    pub fn duration_s(&self) -> f64 {
        self.last_s
    }
}

/// Returns the value at or above a percentage of the sorted values; 0 if there are none.
fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}

/// Returns the seconds since midnight of a timestamp such as `2026-01-02T03:04:05.6Z`.
fn seconds_of_day(word: &str) -> Option<f64> {
    let (_, time) = word.strip_suffix('Z')?.split_once('T')?;
    let mut parts = time.split(':').map(|part| part.parse::<f64>().ok());
    let (hours, minutes, seconds) = (parts.next()??, parts.next()??, parts.next()??);
    Some(hours * 3_600.0 + minutes * 60.0 + seconds)
}

fn parse_fields(line: &str) -> BTreeMap<&str, &str> {
    line.split_whitespace().filter_map(|word| word.split_once('=')).collect()
}
