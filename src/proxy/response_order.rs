//! Matches the responses on one connection to an endpoint with the commands sent on it.
//!
//! Responses carry no identifier of their command, and an endpoint may repeat one at any time. A
//! signature is unique, so a new one proves whose response it is, and that the responses to all
//! earlier commands have arrived. Responses without a signature are told apart by their form: the
//! first of a form on a connection cannot be a repeated one.

use crate::proxy::endpoint_command;
use crate::proxy::response_match;

/// Signatures remembered for one connection, after which it is not used for further requests.
const SIGNATURES_MAX: usize = 4_096;
/// Commands in succession without a proven response, after which the connection is not used either.
const UNPROVEN_MAX: usize = 64;

/// Responses that a connection has carried, as far as a later one may be mistaken for one of them.
#[derive(Debug)]
pub struct ResponseOrder {
    /// Hashes of the signatures received.
    signatures: Vec<u64>,
    /// Phases that completions without a signature and without a status have carried.
    completed_phases: Vec<endpoint_command::SessionPhase>,
    status_received: bool,
    fault_received: bool,
    /// Commands since the last proven response whose responses are only plausible.
    unproven: Vec<endpoint_command::EndpointCommand>,
    phase: endpoint_command::SessionPhase,
    retired: bool,
}

impl Default for ResponseOrder {
    fn default() -> Self {
        Self {
            signatures: Vec::new(),
            completed_phases: Vec::new(),
            status_received: false,
            fault_received: false,
            unproven: Vec::new(),
            phase: endpoint_command::SessionPhase::Idle,
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
    }

    /// Whether the response to the command could be proven to be its own.
    pub fn can_prove(&self, command: &endpoint_command::EndpointCommand) -> bool {
        match command {
            endpoint_command::EndpointCommand::Status
            | endpoint_command::EndpointCommand::StepDown { .. } => !self.status_received,
            _ => !self.completed_phases.contains(&self.expected_phase(command)),
        }
    }

    /// Matches a response with the command in flight; `None` if there is none.
    pub fn check(
        &mut self,
        command: Option<&endpoint_command::EndpointCommand>,
        response: &endpoint_command::EndpointResponse,
    ) -> response_match::ResponseMatch {
        let outcome = match &response.outcome {
            Err(fault) => self.check_fault(command, fault, response.phase),
            Ok(_) if response.is_greeting() => response_match::ResponseMatch::Repeated,
            Ok(_) if response.report.is_some() => self.check_status(command),
            Ok(signature) if response.is_signed() => {
                self.check_signature(command, signature, response.phase)
            }
            Ok(_) => self.check_completion(command, response.phase),
        };
        match outcome {
            response_match::ResponseMatch::Proven => {
                self.unproven.clear();
                self.phase = response.phase;
                // A repeated error could make a later refusal untrue.
                self.fault_received |= response.outcome.is_err();
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

    fn check_signature(
        &mut self,
        command: Option<&endpoint_command::EndpointCommand>,
        signature: &str,
        phase: endpoint_command::SessionPhase,
    ) -> response_match::ResponseMatch {
        let hash = xxhash_rust::xxh3::xxh3_64(signature.as_bytes());
        if self.signatures.contains(&hash) {
            return response_match::ResponseMatch::Repeated;
        }
        let expected = command
            .filter(|command| command.is_from_caller())
            .map(|command| self.expected_phase(command));
        if expected != Some(phase) {
            return response_match::ResponseMatch::Unmatched;
        }
        self.signatures.push(hash);
        response_match::ResponseMatch::Proven
    }

    fn check_status(
        &mut self,
        command: Option<&endpoint_command::EndpointCommand>,
    ) -> response_match::ResponseMatch {
        let requested = command.is_some_and(endpoint_command::EndpointCommand::requests_status);
        match (requested, std::mem::replace(&mut self.status_received, true)) {
            (true, false) => response_match::ResponseMatch::Proven,
            (false, true) => response_match::ResponseMatch::Repeated,
            _ => response_match::ResponseMatch::Unmatched,
        }
    }

    fn check_completion(
        &mut self,
        command: Option<&endpoint_command::EndpointCommand>,
        phase: endpoint_command::SessionPhase,
    ) -> response_match::ResponseMatch {
        let known = self.completed_phases.contains(&phase);
        let expected = command
            .filter(|command| !command.is_from_caller() && !command.requests_status())
            .is_some_and(|command| self.expected_phase(command) == phase);
        match (expected, known) {
            (true, true) => response_match::ResponseMatch::Plausible,
            (true, false) => {
                self.completed_phases.push(phase);
                response_match::ResponseMatch::Proven
            }
            (false, true) => response_match::ResponseMatch::Repeated,
            (false, false) => response_match::ResponseMatch::Unmatched,
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
