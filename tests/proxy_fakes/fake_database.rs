//! Fake database with a term and a log, as an endpoint of the proxy core.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use quetzaldeal::core::endpoint_message;
use quetzaldeal::proxy::endpoint_command;

/// One committed transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LogEntry {
    /// Position in the log.
    pub(crate) point: endpoint_message::LogPoint,
    /// Ids of the requests that wrote in it.
    pub(crate) requests: Vec<String>,
}

/// State of one connection at the database.
#[derive(Debug, Clone, Default)]
pub(crate) struct FakeSession {
    settings: BTreeMap<String, String>,
    prepared: BTreeSet<String>,
    transaction: Option<FakeTransaction>,
}

impl FakeSession {
    /// Returns the session settings.
    pub(crate) fn settings(&self) -> &BTreeMap<String, String> {
        &self.settings
    }

    /// Returns the ids of the requests that ran in the open transaction, if there is one.
    pub(crate) fn transaction_requests(&self) -> Option<&[String]> {
        self.transaction.as_ref().map(|transaction| transaction.requests.as_slice())
    }
}

#[derive(Debug, Clone, Default)]
struct FakeTransaction {
    read_only: bool,
    failed: bool,
    requests: Vec<String>,
    written_requests: Vec<String>,
}

/// What a command did, as far as the simulation checks it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StatementEffect {
    /// No read and no commit.
    Nothing,
    /// Read data.
    Read,
    /// Committed writes.
    Committed,
}

/// A fake database.
#[derive(Debug)]
pub(crate) struct FakeDatabase {
    /// Name of its group.
    pub(crate) group: String,
    /// Name of its data centre.
    pub(crate) data_centre: String,
    /// Whether its process is running.
    pub(crate) up: bool,
    /// Whether it acts as primary.
    pub(crate) primary: bool,
    /// Its term.
    pub(crate) term: u64,
    /// Committed transactions, oldest first.
    pub(crate) log: Vec<LogEntry>,
    /// Time that a command of a caller takes, in microseconds.
    pub(crate) execution_us: u64,
    /// Delay of the replication to this database, in microseconds.
    pub(crate) replication_lag_us: u64,
    /// Whether its registration says that it is draining.
    pub(crate) draining: bool,
    /// Whether it receives nothing from the primary.
    pub(crate) deaf: bool,
    /// Until when each of its slots is busy, in microseconds; empty if it runs everything at once.
    pub(crate) slots: Vec<u64>,
    /// Faults of the next commands of callers, which it does not run.
    pub(crate) rejections: VecDeque<endpoint_command::EndpointFault>,
    /// Faults of the next BEGIN commands.
    pub(crate) begin_rejections: VecDeque<endpoint_command::EndpointFault>,
}

/// Time for which a new connection occupies a slot, in microseconds.
const HANDSHAKE_US: u64 = 12_000;
/// Commands that wait for a slot; any more are rejected.
const SLOT_QUEUE_MAX: u64 = 24;

impl FakeDatabase {
    /// Returns the end of the log.
    pub(crate) fn position(&self) -> endpoint_message::LogPoint {
        let last = self.log.last().map(|entry| entry.point);
        last.unwrap_or(endpoint_message::LogPoint { term: 1, position: 0 })
    }

    /// Occupies the slot that is free first for the handshake of a new connection.
    pub(crate) fn occupy_for_handshake(&mut self, now: u64) {
        if let Some(slot) = self.slots.iter_mut().min() {
            *slot = now.max(*slot) + HANDSHAKE_US;
        }
    }

    /// Occupies the slot that is free first for a command. Returns when the command is done; `None`
    /// if too many commands wait.
    pub(crate) fn occupy_for_command(&mut self, now: u64) -> Option<u64> {
        let (count, execution_us) = (self.slots.len() as u64, self.execution_us);
        let Some(slot) = self.slots.iter_mut().min() else { return Some(now + execution_us) };
        let start = now.max(*slot);
        if (start - now) * count > execution_us * SLOT_QUEUE_MAX {
            return None;
        }
        *slot = start + execution_us;
        Some(*slot)
    }

    /// Returns whether the log holds `point`.
    pub(crate) fn holds(&self, point: endpoint_message::LogPoint) -> bool {
        point.position == 0 || self.log.iter().any(|entry| entry.point == point)
    }

    /// Runs a command; returns the response and the effect of the command. `signature` is that of
    /// the response if it is signed.
    pub(crate) fn run(
        &mut self,
        session: &mut FakeSession,
        command: endpoint_command::EndpointCommand,
        signature: &str,
    ) -> (endpoint_command::EndpointResponse, StatementEffect) {
        let mut effect = StatementEffect::Nothing;
        let reports = matches!(
            command,
            endpoint_command::EndpointCommand::Status
                | endpoint_command::EndpointCommand::StepDown { .. }
        );
        let outcome = self.execute(session, command, signature, &mut effect);
        let mut response = self.respond(session, outcome);
        if effect == StatementEffect::Read {
            response.rows = vec![format!("row {signature}")];
        }
        if reports {
            let (term, position) = (self.term, self.position());
            let role = if self.primary { "primary" } else { "replica" };
            response.rows =
                vec![format!("{role} {term} {}.{} 0 0 0 0", position.term, position.position)];
            response.report =
                Some(endpoint_command::EndpointStatus { primary: self.primary, term, position });
        }
        (response, effect)
    }

    /// Rejects a command without running it.
    pub(crate) fn reject(
        &self,
        session: &mut FakeSession,
        fault: endpoint_command::EndpointFault,
    ) -> endpoint_command::EndpointResponse {
        self.respond(session, Err(fault))
    }

    fn respond(
        &self,
        session: &mut FakeSession,
        outcome: Result<String, endpoint_command::EndpointFault>,
    ) -> endpoint_command::EndpointResponse {
        let phase = match &mut session.transaction {
            None => endpoint_command::SessionPhase::Idle,
            Some(transaction) => {
                transaction.failed |= outcome.is_err();
                match transaction.failed {
                    true => endpoint_command::SessionPhase::Failed,
                    false => endpoint_command::SessionPhase::Open,
                }
            }
        };
        let position = Some(self.position());
        endpoint_command::EndpointResponse {
            rows: Vec::new(),
            outcome,
            phase,
            position,
            report: None,
        }
    }

    fn execute(
        &mut self,
        session: &mut FakeSession,
        command: endpoint_command::EndpointCommand,
        signature: &str,
        effect: &mut StatementEffect,
    ) -> Result<String, endpoint_command::EndpointFault> {
        let ends_transaction = matches!(
            command,
            endpoint_command::EndpointCommand::Rollback
                | endpoint_command::EndpointCommand::Commit { .. }
        );
        let failed = session.transaction.as_ref().is_some_and(|transaction| transaction.failed);
        if failed && !ends_transaction {
            return Err(other_fault("MALFORMED"));
        }
        match command {
            endpoint_command::EndpointCommand::Set { name, value } => {
                session.settings.insert(name, value);
            }
            endpoint_command::EndpointCommand::Prepare { name, .. } => {
                session.prepared.insert(name);
            }
            endpoint_command::EndpointCommand::Discard => {
                session.settings.clear();
                session.prepared.clear();
            }
            endpoint_command::EndpointCommand::Status => {}
            endpoint_command::EndpointCommand::StepDown { term } => {
                if term > self.term {
                    self.primary = false;
                }
            }
            endpoint_command::EndpointCommand::Begin { read_only, after } => {
                if session.transaction.is_some() {
                    return Err(other_fault("MALFORMED"));
                }
                self.check_role_and_log(after, read_only)?;
                session.transaction =
                    Some(FakeTransaction { read_only, ..FakeTransaction::default() });
            }
            endpoint_command::EndpointCommand::Rollback => session.transaction = None,
            endpoint_command::EndpointCommand::Commit { .. } => {
                let Some(transaction) = session.transaction.take() else {
                    return Err(other_fault("MALFORMED"));
                };
                if transaction.failed {
                    return Err(other_fault("ABORTED"));
                }
                if !transaction.written_requests.is_empty() {
                    if !self.primary {
                        return Err(endpoint_command::EndpointFault::ReadOnly);
                    }
                    self.append(transaction.written_requests);
                    *effect = StatementEffect::Committed;
                }
                return Ok(signature.to_owned());
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
                let in_write_transaction =
                    session.transaction.as_ref().is_some_and(|transaction| !transaction.read_only);
                self.check_role_and_log(after, reads && !in_write_transaction)?;
                if let Some(transaction) = &mut session.transaction {
                    transaction.requests.push(id.clone());
                }
                if reads {
                    *effect = StatementEffect::Read;
                } else if let Some(transaction) = &mut session.transaction {
                    transaction.written_requests.push(id);
                } else {
                    self.append(vec![id]);
                    *effect = StatementEffect::Committed;
                }
                return Ok(signature.to_owned());
            }
        }
        Ok("-".to_owned())
    }

    fn check_role_and_log(
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

fn other_fault(code: &str) -> endpoint_command::EndpointFault {
    endpoint_command::EndpointFault::Other { code: code.to_owned(), text: String::new() }
}
