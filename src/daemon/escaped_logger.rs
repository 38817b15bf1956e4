//! Escapes control characters in log messages: a line break in a text of a caller or database must
//! not start a new log line.

use std::fmt;

use anyhow::{Context, Result};
use simplelog::SharedLogger;

/// Logger that escapes control characters in messages and passes them to another logger.
pub struct EscapedLogger {
    logger: Box<dyn log::Log>,
}

impl EscapedLogger {
    /// Installs `logger` as the logger of the process, with escaped messages.
    ///
    /// # Errors
    ///
    /// Fails when the process has a logger already.
    pub fn init(logger: Box<dyn SharedLogger>) -> Result<()> {
        let level = logger.level();
        let escaped = Self { logger: logger.as_log() };
        log::set_boxed_logger(Box::new(escaped)).context("cannot initialise the logger")?;
        log::set_max_level(level);
        Ok(())
    }
}

impl fmt::Debug for EscapedLogger {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("EscapedLogger").finish_non_exhaustive()
    }
}

impl log::Log for EscapedLogger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        self.logger.enabled(metadata)
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let text = escape_controls(record.args().to_string());
        self.logger.log(
            &log::Record::builder()
                .metadata(record.metadata().clone())
                .module_path(record.module_path())
                .file(record.file())
                .line(record.line())
                .args(format_args!("{text}"))
                .build(),
        );
    }

    fn flush(&self) {
        self.logger.flush();
    }
}

fn escape_controls(text: String) -> String {
    if !text.contains(char::is_control) {
        return text;
    }
    let mut escaped = String::with_capacity(text.len() + 1);
    for character in text.chars() {
        match character.is_control() {
            true => escaped.extend(character.escape_default()),
            false => escaped.push(character),
        }
    }
    escaped
}
