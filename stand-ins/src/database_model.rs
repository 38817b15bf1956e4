//! Models a database of a group: a replicated log with terms, the tables built from it, and open
//! transactions.

use std::collections::HashMap;

use quetzaldeal::core::endpoint_message;
use quetzaldeal::daemon::endpoint_sql;
use serde::{Deserialize, Serialize};

use crate::sql_engine;
use crate::table_store;

/// Identifies a connection to the database.
pub type ConnectionId = u64;

/// A committed transaction in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term in which it was committed.
    pub term: u64,
    /// Changes in order; empty for the entry that starts a term.
    pub changes: Vec<table_store::TableChange>,
}

/// The last position of each term in a log, oldest first.
pub type TermEnds = Vec<endpoint_message::LogPoint>;

/// Part of the log that a primary sends to a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogBatch {
    /// The primary's term.
    pub term: u64,
    /// Number of leading entries that the replica keeps; it drops the later ones.
    pub keep: u64,
    /// Entries after `keep`.
    pub entries: Vec<LogEntry>,
}

/// Most entries in one batch.
const MAX_BATCH_ENTRIES: usize = 2_000;

/// A transaction in progress.
#[derive(Debug, Clone, Default)]
pub struct OpenTransaction {
    /// Uncommitted changes.
    pub changes: Vec<table_store::TableChange>,
    /// Whether a statement failed; COMMIT then rolls back.
    pub failed: bool,
    /// Whether a fence ended it; COMMIT then fails.
    pub fenced: bool,
    /// Whether writes are rejected.
    pub read_only: bool,
}

/// State of one database of a group.
#[derive(Debug, Clone)]
pub struct DatabaseModel {
    copy: u64,
    adopted_term: u64,
    primary: bool,
    following: Option<String>,
    log: Vec<LogEntry>,
    tables: table_store::TableStore,
    transactions: HashMap<ConnectionId, OpenTransaction>,
}

impl DatabaseModel {
    /// Returns an empty database whose data set has the identity `copy`.
    pub fn new(copy: u64) -> Self {
        Self {
            copy,
            adopted_term: 0,
            primary: false,
            following: None,
            log: Vec::new(),
            tables: table_store::TableStore::default(),
            transactions: HashMap::new(),
        }
    }

    /// Returns the status that the proxy reads.
    pub fn status(&self) -> endpoint_message::EndpointStatus {
        endpoint_message::EndpointStatus {
            copy: self.copy,
            adopted_term: self.adopted_term,
            log_term: self.log.last().map_or(0, |entry| entry.term),
            position: self.log.len() as u64,
            primary: self.primary,
            following: self.following.clone(),
        }
    }

    /// Returns all entries of the log.
    pub fn log(&self) -> &[LogEntry] {
        &self.log
    }

    /// Returns the committed tables.
    pub fn tables(&self) -> &table_store::TableStore {
        &self.tables
    }

    /// Runs a batch of statements in the open transaction, or else in an implicit one. Returns the
    /// results of the statements before the first that fails, and its error; an implicit
    /// transaction is then rolled back.
    pub fn execute(
        &mut self,
        connection: ConnectionId,
        batch: &str,
    ) -> (Vec<endpoint_sql::SqlResult>, Option<endpoint_sql::SqlError>) {
        sql_engine::execute(self, connection, batch)
    }

    /// Removes a connection; its open transaction is rolled back.
    pub fn disconnect(&mut self, connection: ConnectionId) {
        self.transactions.remove(&connection);
    }

    /// Returns a connection's open transaction.
    pub fn transaction(&mut self, connection: ConnectionId) -> Option<&mut OpenTransaction> {
        self.transactions.get_mut(&connection)
    }

    /// Opens a transaction on a connection.
    pub fn begin(&mut self, connection: ConnectionId) {
        self.transactions.insert(connection, OpenTransaction::default());
    }

    /// Removes and returns a connection's open transaction.
    pub fn take_transaction(&mut self, connection: ConnectionId) -> Option<OpenTransaction> {
        self.transactions.remove(&connection)
    }

    /// Appends changes to the log as one entry; without changes, nothing is appended.
    ///
    /// # Errors
    ///
    /// Fails if there are changes and this endpoint is not the primary.
    pub fn commit(
        &mut self,
        changes: Vec<table_store::TableChange>,
    ) -> Result<(), endpoint_sql::SqlError> {
        if changes.is_empty() {
            return Ok(());
        }
        if !self.primary {
            return Err(error(endpoint_sql::STATE_WRONG_TERM, "this endpoint is not the primary"));
        }
        self.append(LogEntry { term: self.adopted_term, changes });
        Ok(())
    }

    /// Adopts `term` if it is newer: ends the role as primary or replica and fails open
    /// transactions.
    pub fn fence(&mut self, term: u64) {
        if term <= self.adopted_term {
            return;
        }
        self.adopted_term = term;
        self.primary = false;
        self.following = None;
        for transaction in self.transactions.values_mut() {
            transaction.fenced = true;
        }
    }

    /// Becomes the primary of `term`, if no newer term is adopted and the log has reached
    /// `min_point`.
    pub fn promote(&mut self, term: u64, min_point: endpoint_message::LogPoint) {
        let already_primary = self.primary && self.adopted_term == term;
        if term < self.adopted_term || already_primary || !self.status().reached(min_point) {
            return;
        }
        self.fence(term);
        self.primary = true;
        self.following = None;
        self.append(LogEntry { term, changes: Vec::new() });
    }

    /// Follows the primary of `term` at `address`, if no newer term is adopted.
    pub fn follow(&mut self, term: u64, address: &str) {
        if term < self.adopted_term || (self.primary && term == self.adopted_term) {
            return;
        }
        self.fence(term);
        self.following = Some(address.to_owned());
    }

    /// Returns the last position of each term in the log.
    pub fn term_ends(&self) -> TermEnds {
        let mut ends: TermEnds = Vec::new();
        for (index, entry) in self.log.iter().enumerate() {
            let position = index as u64 + 1;
            match ends.last_mut() {
                Some(end) if end.term == entry.term => end.position = position,
                _ => ends.push(endpoint_message::LogPoint { term: entry.term, position }),
            }
        }
        ends
    }

    /// Returns the next entries for a replica whose log has these term ends, or `None` unless this
    /// endpoint is the primary of `term`.
    pub fn changes_after(&self, term: u64, ends: &TermEnds) -> Option<LogBatch> {
        if !self.primary || self.adopted_term != term {
            return None;
        }
        let keep = common_prefix(&self.term_ends(), ends);
        let entries =
            self.log.iter().skip(keep as usize).take(MAX_BATCH_ENTRIES).cloned().collect();
        Some(LogBatch { term, keep, entries })
    }

    /// Applies a batch from the primary of the adopted term.
    ///
    /// Entries that diverge from the primary's log are dropped in the same step as the new ones are
    /// appended, so the log never becomes shorter than the prefix that both logs share.
    pub fn apply_batch(&mut self, batch: LogBatch) {
        let current = self.adopted_term == batch.term && !self.primary;
        if !current || batch.keep > self.log.len() as u64 {
            return;
        }
        if batch.keep < self.log.len() as u64 {
            self.log.truncate(batch.keep as usize);
            self.tables = table_store::TableStore::default();
            for entry in &self.log {
                entry.changes.iter().for_each(|change| self.tables.apply(change));
            }
        }
        for entry in batch.entries {
            self.append(entry);
        }
    }

    fn append(&mut self, entry: LogEntry) {
        entry.changes.iter().for_each(|change| self.tables.apply(change));
        self.log.push(entry);
    }
}

/// Returns an error with an SQLSTATE code.
pub fn error(code: &str, message: &str) -> endpoint_sql::SqlError {
    endpoint_sql::SqlError { code: code.to_owned(), message: message.to_owned() }
}

/// Returns the length of the longest common prefix of two logs.
fn common_prefix(left: &TermEnds, right: &TermEnds) -> u64 {
    let mut shared = 0;
    for (left, right) in left.iter().zip(right) {
        if left.term != right.term {
            break;
        }
        shared = left.position.min(right.position);
        if left.position != right.position {
            break;
        }
    }
    shared
}
