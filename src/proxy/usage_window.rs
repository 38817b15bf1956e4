//! Arithmetic of the windows of usage reports. Times are microseconds of Unix time.

use std::time::Duration;

/// Returns the number of the window that `unix_us` lies in. The start belongs to the window, the end
/// to the next one.
pub fn number_at(unix_us: u64, length: Duration) -> u64 {
    unix_us / length_us(length)
}

/// Returns the start of a window in microseconds of Unix time.
pub fn start_us(window: u64, length: Duration) -> u64 {
    window.saturating_mul(length_us(length))
}

/// Returns the end of a window in microseconds of Unix time.
pub fn end_us(window: u64, length: Duration) -> u64 {
    start_us(window.saturating_add(1), length)
}

/// Returns whether a window had ended for at least `settling` by `unix_us`.
pub fn is_closed(window: u64, length: Duration, unix_us: u64, settling: Duration) -> bool {
    unix_us >= end_us(window, length).saturating_add(settling.as_micros() as u64)
}

fn length_us(length: Duration) -> u64 {
    (length.as_micros() as u64).max(1)
}
