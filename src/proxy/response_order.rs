//! Matches the responses on one connection to an endpoint with the commands sent on it.
//!
//! Responses carry no identifier of their command, and an endpoint may repeat one at any time. A
//! signature is unique, so a new one proves whose response it is, and that the responses to all
//! earlier commands have arrived. Responses without a signature are told apart by their form, which
//! includes the log position: the first of a form on a connection cannot be a repeated one.

use crate::core::endpoint_message;
use crate::proxy::endpoint_command;
use crate::proxy::response_match;

/// Signatures remembered for one connection, after which it is not used for further requests.
const SIGNATURES_MAX: usize = 4_096;
/// Commands in succession without a proven response, after which the connection is not used either.
const UNPROVEN_MAX: usize = 64;
/// Forms remembered of responses without a signature, after which the connection is not used either.
const FORMS_MAX: usize = 1_024;

type ResponseForm = (endpoint_command::SessionPhase, Option<endpoint_message::LogPoint>);

/// Responses that a connection has carried, as far as a later one may be mistaken for one of them.
#[derive(Debug)]
pub struct ResponseOrder {
    /// Hashes of the signatures received, and of the rows with them.
    signatures: Vec<(u64, u64)>,
    /// Forms of completions without a signature and without a status.
    completions: Vec<ResponseForm>,
    /// Hashes of the rows that held a status.
    statuses: Vec<u64>,
    /// Forms of faults with which the connection does not end.
    refusals: Vec<(endpoint_command::EndpointFault, ResponseForm)>,
    /// Whether an error was received with which the connection ends.
    fault_received: bool,
    /// Commands since the last proven response whose responses are only plausible.
    unproven: Vec<endpoint_command::EndpointCommand>,
    phase: endpoint_command::SessionPhase,
    /// Highest log position of the proven responses.
    position: Option<endpoint_message::LogPoint>,
    retired: bool,
}

impl Default for ResponseOrder {
    fn default() -> Self {
        Self {
            signatures: Vec::new(),
            completions: Vec::new(),
            statuses: Vec::new(),
            refusals: Vec::new(),
            fault_received: false,
            unproven: Vec::new(),
            phase: endpoint_command::SessionPhase::Idle,
            position: None,
            retired: false,
        }
    }
}

impl ResponseOrder {
    /// Whether the connection must not be used for further requests or transactions: the endpoint
    /// has repeated a response, or a repetition could no longer be recognised.
    pub fn retired(&self) -> bool {
        self.retired
            || self.fault_received
            || self.signatures.len() >= SIGNATURES_MAX
            || self.unproven.len() >= UNPROVEN_MAX
            || self.completions.len() + self.statuses.len() + self.refusals.len() >= FORMS_MAX
    }

    /// Whether the response to a BEGIN could be proven to be its own if the endpoint's log has
    /// reached `known`.
    pub fn can_begin(&self, known: endpoint_message::LogPoint) -> bool {
        let known = self.position.max(Some(known));
        let mut begun = self
            .completions
            .iter()
            .filter(|(phase, _)| *phase == endpoint_command::SessionPhase::Open);
        begun.all(|(_, position)| *position < known)
    }

    /// Whether the response to a command outside a transaction, other than a statement, could be
    /// proven to be its own if the endpoint's log has not grown.
    pub fn can_prove(&self, command: &endpoint_command::EndpointCommand) -> bool {
        let idle = endpoint_command::SessionPhase::Idle;
        match command.requests_status() {
            true => self.statuses.is_empty(),
            false => self.completions.iter().all(|(phase, _)| *phase != idle),
        }
    }

    /// Matches a response with the command in flight; `None` if there is none.
    pub fn check(
        &mut self,
        command: Option<&endpoint_command::EndpointCommand>,
        response: &endpoint_command::EndpointResponse,
    ) -> response_match::ResponseMatch {
        let outcome = match &response.outcome {
            Err(fault) if fault.ends_connection() => {
                self.check_fault(command, fault, response.phase)
            }
            Err(fault) => self.check_refusal(command, fault, (response.phase, response.position)),
            Ok(_) if response.is_greeting() => response_match::ResponseMatch::Repeated,
            Ok(_) if response.report.is_some() => self.check_status(command, response),
            Ok(signature) if response.is_signed() => {
                self.check_signature(command, signature, response)
            }
            Ok(_) => self.check_completion(command, (response.phase, response.position)),
        };
        match outcome {
            response_match::ResponseMatch::Proven => {
                self.unproven.clear();
                self.phase = response.phase;
                self.position = self.position.max(response.position);
                self.record_fault(response);
            }
            response_match::ResponseMatch::Plausible => {
                self.unproven.extend(command.cloned());
                self.phase = response.phase;
            }
            response_match::ResponseMatch::Repeated | response_match::ResponseMatch::Unmatched => {
                self.retired = true;
            }
        }
        outcome
    }

    /// Accepts a response that a serving host has matched. The host does not say whether one without
    /// a signature is proven.
    pub fn accept_matched(
        &mut self,
        response: &endpoint_command::EndpointResponse,
    ) -> response_match::ResponseMatch {
        self.record_fault(response);
        match response.outcome.is_err() || response.is_signed() {
            true => response_match::ResponseMatch::Proven,
            false => response_match::ResponseMatch::Plausible,
        }
    }

    fn record_fault(&mut self, response: &endpoint_command::EndpointResponse) {
        let fault = response.outcome.as_ref().err();
        self.fault_received |= fault.is_some_and(endpoint_command::EndpointFault::ends_connection);
    }

    fn check_signature(
        &mut self,
        command: Option<&endpoint_command::EndpointCommand>,
        signature: &str,
        response: &endpoint_command::EndpointResponse,
    ) -> response_match::ResponseMatch {
        let hash = xxhash_rust::xxh3::xxh3_64(signature.as_bytes());
        let rows = hash_rows(&response.rows);
        if let Some((_, known)) = self.signatures.iter().find(|(other, _)| *other == hash) {
            // Other rows may be those of the response in whose middle the repeated one came.
            return match *known == rows {
                true => response_match::ResponseMatch::Repeated,
                false => response_match::ResponseMatch::Unmatched,
            };
        }
        let expected = command
            .filter(|command| command.is_from_caller())
            .map(|command| self.expected_phase(command));
        if expected != Some(response.phase) {
            return response_match::ResponseMatch::Unmatched;
        }
        self.signatures.push((hash, rows));
        response_match::ResponseMatch::Proven
    }

    fn check_status(
        &mut self,
        command: Option<&endpoint_command::EndpointCommand>,
        response: &endpoint_command::EndpointResponse,
    ) -> response_match::ResponseMatch {
        let requested = command.is_some_and(endpoint_command::EndpointCommand::requests_status);
        let hash = hash_rows(&response.rows);
        let known = self.statuses.contains(&hash);
        if !known {
            self.statuses.push(hash);
        }
        match (requested, known) {
            (true, false) => response_match::ResponseMatch::Proven,
            (false, true) => response_match::ResponseMatch::Repeated,
            _ => response_match::ResponseMatch::Unmatched,
        }
    }

    fn check_completion(
        &mut self,
        command: Option<&endpoint_command::EndpointCommand>,
        form: ResponseForm,
    ) -> response_match::ResponseMatch {
        let known = self.completions.contains(&form);
        let expected = command
            .filter(|command| !command.is_from_caller() && !command.requests_status())
            .filter(|command| self.expected_phase(command) == form.0);
        match (expected, known) {
            // A statement behind a BEGIN that failed would run by itself.
            (Some(endpoint_command::EndpointCommand::Begin { .. }), true) => {
                response_match::ResponseMatch::Unmatched
            }
            (Some(_), true) => response_match::ResponseMatch::Plausible,
            (Some(_), false) => {
                self.completions.push(form);
                response_match::ResponseMatch::Proven
            }
            (None, true) => response_match::ResponseMatch::Repeated,
            (None, false) => response_match::ResponseMatch::Unmatched,
        }
    }

    /// Does the same for a fault that does not end the connection: the first of a form cannot be a
    /// repeated one.
    fn check_refusal(
        &mut self,
        command: Option<&endpoint_command::EndpointCommand>,
        fault: &endpoint_command::EndpointFault,
        form: ResponseForm,
    ) -> response_match::ResponseMatch {
        let known = self.refusals.iter().any(|(other, at)| other == fault && *at == form);
        let possible = command.is_some_and(|command| command.may_fail_with(fault, form.0));
        match (possible, known) {
            (true, false) => {
                self.refusals.push((fault.clone(), form));
                self.check_fault(command, fault, form.0)
            }
            (false, true) => response_match::ResponseMatch::Repeated,
            _ => response_match::ResponseMatch::Unmatched,
        }
    }

    /// The first error on a connection cannot be a repeated one, but it may belong to a command whose
    /// response was only plausible.
    fn check_fault(
        &self,
        command: Option<&endpoint_command::EndpointCommand>,
        fault: &endpoint_command::EndpointFault,
        phase: endpoint_command::SessionPhase,
    ) -> response_match::ResponseMatch {
        let proven = !self.fault_received
            && command.is_some_and(|command| command.may_fail_with(fault, phase))
            && !self.unproven.iter().any(|command| command.may_fail_with(fault, phase));
        match proven {
            true => response_match::ResponseMatch::Proven,
            false => response_match::ResponseMatch::Unmatched,
        }
    }

    fn expected_phase(
        &self,
        command: &endpoint_command::EndpointCommand,
    ) -> endpoint_command::SessionPhase {
        match command {
            endpoint_command::EndpointCommand::Begin { .. } => endpoint_command::SessionPhase::Open,
            endpoint_command::EndpointCommand::Commit { .. }
            | endpoint_command::EndpointCommand::Rollback => endpoint_command::SessionPhase::Idle,
            _ => self.phase,
        }
    }
}

fn hash_rows(rows: &[String]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for row in rows {
        hasher.update(&row.len().to_le_bytes());
        hasher.update(row.as_bytes());
    }
    hasher.digest()
}
