//! A database with a term and a log, as an endpoint of the proxy core.

use std::collections::{BTreeMap, BTreeSet};

use quetzaldeal::core::endpoint_message;
use quetzaldeal::proxy::endpoint_command;

/// One committed transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LogEntry {
    /// Where it stands.
    pub(crate) point: endpoint_message::LogPoint,
    /// The requests that wrote in it.
    pub(crate) requests: Vec<String>,
}

/// One connection's state at the database.
#[derive(Debug, Clone, Default)]
pub(crate) struct FakeSession {
    values: BTreeMap<String, String>,
    prepared: BTreeSet<String>,
    open: Option<FakeTransaction>,
}

#[derive(Debug, Clone, Default)]
struct FakeTransaction {
    read_only: bool,
    failed: bool,
    has_writes: Vec<String>,
}

/// What a statement did, for the truth.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StatementEffect {
    /// Nothing that counts.
    Nothing,
    /// It read; the session values that it saw go with it.
    Read {
        /// The caller's request id.
        request: String,
        /// Values of the session at the database.
        values: BTreeMap<String, String>,
    },
    /// It committed writes.
    Committed,
}

/// A database.
#[derive(Debug)]
pub(crate) struct FakeDatabase {
    /// Group.
    pub(crate) group: String,
    /// Data centre.
    pub(crate) data_centre: String,
    /// Whether its process runs.
    pub(crate) up: bool,
    /// Whether it leads.
    pub(crate) primary: bool,
    /// Its term.
    pub(crate) term: u64,
    /// Its log.
    pub(crate) log: Vec<LogEntry>,
    /// Time for a read, write or commit, in microseconds.
    pub(crate) transaction: u64,
    /// Time that replication to it takes, in microseconds.
    pub(crate) lag: u64,
}

impl FakeDatabase {
    /// Returns the end of its log.
    pub(crate) fn position(&self) -> endpoint_message::LogPoint {
        let last = self.log.last().map(|entry| entry.point);
        last.unwrap_or(endpoint_message::LogPoint { term: 1, position: 0 })
    }

    /// Whether the log holds `point`.
    pub(crate) fn holds(&self, point: endpoint_message::LogPoint) -> bool {
        point.position == 0 || self.log.iter().any(|entry| entry.point == point)
    }

    /// Runs a command; returns the answer and what it did.
    pub(crate) fn run(
        &mut self,
        session: &mut FakeSession,
        command: endpoint_command::EndpointCommand,
    ) -> (endpoint_command::EndpointResponse, StatementEffect) {
        let mut effect = StatementEffect::Nothing;
        let outcome = self.outcome(session, command, &mut effect);
        let phase = match &mut session.open {
            None => endpoint_command::SessionPhase::Idle,
            Some(open) => {
                open.failed |= outcome.is_err();
                match open.failed {
                    true => endpoint_command::SessionPhase::Failed,
                    false => endpoint_command::SessionPhase::Open,
                }
            }
        };
        let report = endpoint_command::EndpointStatus {
            primary: self.primary,
            term: self.term,
            position: self.position(),
        };
        let answer = endpoint_command::EndpointResponse {
            rows: Vec::new(),
            outcome,
            phase,
            position: Some(self.position()),
            report: Some(report),
        };
        (answer, effect)
    }

    fn outcome(
        &mut self,
        session: &mut FakeSession,
        command: endpoint_command::EndpointCommand,
        effect: &mut StatementEffect,
    ) -> Result<String, endpoint_command::EndpointFault> {
        let signature = || Ok("signature".to_owned());
        match command {
            endpoint_command::EndpointCommand::Set { name, value } => {
                session.values.insert(name, value);
            }
            endpoint_command::EndpointCommand::Prepare { name, .. } => {
                session.prepared.insert(name);
            }
            endpoint_command::EndpointCommand::Discard => {
                session.values.clear();
                session.prepared.clear();
            }
            endpoint_command::EndpointCommand::Status => {}
            endpoint_command::EndpointCommand::StepDown { term } => {
                if term > self.term {
                    self.primary = false;
                }
            }
            endpoint_command::EndpointCommand::Begin { read_only, after } => {
                self.check(after, read_only)?;
                session.open = Some(FakeTransaction { read_only, ..FakeTransaction::default() });
            }
            endpoint_command::EndpointCommand::Rollback => session.open = None,
            endpoint_command::EndpointCommand::Commit { .. } => {
                let Some(open) = session.open.take() else {
                    return Err(other("MALFORMED"));
                };
                if !open.has_writes.is_empty() {
                    if !self.primary {
                        return Err(endpoint_command::EndpointFault::ReadOnly);
                    }
                    self.append(open.has_writes);
                    *effect = StatementEffect::Committed;
                }
                return signature();
            }
            endpoint_command::EndpointCommand::Run { id, body, after } => {
                if let endpoint_command::StatementBody::Prepared { name, .. } = &body
                    && !session.prepared.contains(name)
                {
                    return Err(endpoint_command::EndpointFault::UnknownStatement);
                }
                let reads = match &body {
                    endpoint_command::StatementBody::Text(text) => text.starts_with("READ"),
                    endpoint_command::StatementBody::Prepared { name, .. } => name.starts_with('r'),
                };
                let plain = session.open.as_ref().is_some_and(|open| !open.read_only);
                self.check(after, reads && !plain)?;
                if reads {
                    let values = session.values.clone();
                    *effect = StatementEffect::Read { request: id, values };
                } else if let Some(open) = &mut session.open {
                    open.has_writes.push(id);
                } else {
                    self.append(vec![id]);
                    *effect = StatementEffect::Committed;
                }
                return signature();
            }
        }
        Ok("-".to_owned())
    }

    fn check(
        &self,
        after: Option<endpoint_message::LogPoint>,
        reads: bool,
    ) -> Result<(), endpoint_command::EndpointFault> {
        if !reads && !self.primary {
            return Err(endpoint_command::EndpointFault::ReadOnly);
        }
        if after.is_some_and(|point| !self.holds(point)) {
            return Err(endpoint_command::EndpointFault::Lagging);
        }
        Ok(())
    }

    fn append(&mut self, requests: Vec<String>) {
        let position = self.position().position + 1;
        let point = endpoint_message::LogPoint { term: self.term, position };
        self.log.push(LogEntry { point, requests });
    }
}

fn other(code: &str) -> endpoint_command::EndpointFault {
    endpoint_command::EndpointFault::Other { code: code.to_owned(), text: String::new() }
}
