//! Writes log lines to standard output on a thread of its own.
//!
//! Logging never blocks: lines wait in a bounded queue, and lines that find it full are dropped and
//! counted.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::time::Duration;

use anyhow::{Context, Result};

/// Capacity of the queue, in lines.
const QUEUED_LINES_MAX: usize = 4_096;
/// Delay before queued lines are written, so that several go out in one write.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// Queues complete log lines for the writing thread.
#[derive(Debug)]
pub struct LogWriter {
    lines: mpsc::SyncSender<Vec<u8>>,
    line: Vec<u8>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the writing thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot start.
    pub fn start() -> Result<Self> {
        let (lines, queued) = mpsc::sync_channel(QUEUED_LINES_MAX);
        let dropped = Arc::new(AtomicU64::new(0));
        let drop_counter = dropped.clone();
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&queued, &drop_counter))
            .context("failed to start the log thread")?;
        Ok(Self { lines, line: Vec::new(), dropped })
    }
}

impl Write for LogWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n")
            && self.lines.try_send(std::mem::take(&mut self.line)).is_err()
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &mpsc::Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(first) = lines.recv() {
        std::thread::sleep(BATCH_DELAY);
        let mut text = first;
        while let Ok(line) = lines.try_recv() {
            text.extend_from_slice(&line);
        }
        let drop_count = dropped.swap(0, Ordering::Relaxed);
        if drop_count > 0 {
            text.extend_from_slice(
                format!("event=log_queue_full lines_dropped={drop_count}\n").as_bytes(),
            );
        }
        let mut output = io::stdout().lock();
        // A failed write, as when standard output is closed, cannot be reported anywhere else.
        let _ = output.write_all(&text).and_then(|()| output.flush());
    }
}
