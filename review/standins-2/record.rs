//! What a scenario saw: its events with their times, and the rules that were broken.

use std::sync::Mutex;
use std::time::Instant;

/// The record of one scenario.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
    broken: Mutex<Vec<String>>,
}

impl Record {
    /// Creates an empty record whose times count from now.
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Mutex::default(), broken: Mutex::default() }
    }

    /// Adds a line with the present time.
    pub fn note(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        self.lines.lock().expect("no thread panics").push(format!("{at:8.3} s  {line}"));
    }

    /// Adds a line that says which rule was broken.
    pub fn broken(&self, line: &str) {
        self.note(&format!("BROKEN {line}"));
        self.broken.lock().expect("no thread panics").push(line.to_owned());
    }

    /// Returns how often a rule was broken.
    pub fn broken_count(&self) -> usize {
        self.broken.lock().expect("no thread panics").len()
    }

    /// Returns the record as text.
    pub fn text(&self) -> String {
        let mut text = self.lines.lock().expect("no thread panics").join("\n");
        text.push('\n');
        text
    }
}
