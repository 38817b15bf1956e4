//! The record of a case: what was sent, answered and run, in order of time.

use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A file with a line for each event.
#[derive(Debug)]
pub struct Record {
    file: Mutex<std::fs::File>,
    started: Instant,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &Path) -> Self {
        let file = std::fs::File::create(path).expect("record file can be written");
        Self { file: Mutex::new(file), started: Instant::now() }
    }

    /// Adds a line with the time in milliseconds.
    pub fn note(&self, line: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>6} {line}", self.started.elapsed().as_millis());
    }
}
