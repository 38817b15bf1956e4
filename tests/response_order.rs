//! Tests of how responses are matched with the commands of a connection.

use quetzaldeal::core::endpoint_message;
use quetzaldeal::proxy::endpoint_command;
use quetzaldeal::proxy::endpoint_command::EndpointCommand;
use quetzaldeal::proxy::endpoint_command::EndpointFault;
use quetzaldeal::proxy::endpoint_command::EndpointResponse;
use quetzaldeal::proxy::endpoint_command::SessionPhase::{self, Failed, Idle, Open};
use quetzaldeal::proxy::response_match::ResponseMatch::{
    self, Plausible, Proven, Repeated, Unmatched,
};
use quetzaldeal::proxy::response_order;

const POINT: endpoint_message::LogPoint = endpoint_message::LogPoint { term: 1, position: 7 };

/// Turns each case into a test function that matches responses in turn and compares the outcomes.
macro_rules! cases {
    ($($name:ident: [$(($command:expr, $response:expr, $expected:expr)),* $(,)?];)*) => {
        $(
            #[test]
            fn $name() {
                let mut order = response_order::ResponseOrder::default();
                let steps: Vec<(Option<EndpointCommand>, EndpointResponse, ResponseMatch)> =
                    vec![$(($command, $response, $expected)),*];
                for (step, (command, response, expected)) in steps.into_iter().enumerate() {
                    let outcome = order.check(command.as_ref(), &response);
                    assert_eq!(outcome, expected, "step {step}: {command:?}, {response:?}");
                }
            }
        )*
    };
}

fn response(outcome: Result<&str, EndpointFault>, phase: SessionPhase) -> EndpointResponse {
    let outcome = outcome.map(str::to_owned);
    EndpointResponse { rows: Vec::new(), outcome, phase, position: Some(POINT), report: None }
}

fn signed(signature: &str, phase: SessionPhase) -> EndpointResponse {
    response(Ok(signature), phase)
}

fn with_row(mut response: EndpointResponse, row: &str) -> EndpointResponse {
    response.rows.push(row.to_owned());
    response
}

fn completed(phase: SessionPhase) -> EndpointResponse {
    response(Ok(endpoint_command::UNSIGNED), phase)
}

fn failed(fault: EndpointFault, phase: SessionPhase) -> EndpointResponse {
    response(Err(fault), phase)
}

fn status() -> EndpointResponse {
    let report = endpoint_command::EndpointStatus { primary: true, term: 1, position: POINT };
    EndpointResponse { report: Some(report), ..completed(Idle) }
}

/// Returns the response with a log position behind the others.
fn later(response: EndpointResponse) -> EndpointResponse {
    let position = Some(endpoint_message::LogPoint { position: POINT.position + 1, ..POINT });
    EndpointResponse { position, ..response }
}

fn read_after() -> Option<EndpointCommand> {
    let body = endpoint_command::StatementBody::Text("READ a".to_owned());
    Some(EndpointCommand::Run { id: "3".to_owned(), body, after: Some(POINT) })
}

fn run() -> Option<EndpointCommand> {
    let body = endpoint_command::StatementBody::Text("WRITE a b".to_owned());
    Some(EndpointCommand::Run { id: "1".to_owned(), body, after: None })
}

fn commit() -> Option<EndpointCommand> {
    Some(EndpointCommand::Commit { id: "2".to_owned() })
}

fn set() -> Option<EndpointCommand> {
    Some(EndpointCommand::Set { name: "a".to_owned(), value: "b".to_owned() })
}

fn begin() -> Option<EndpointCommand> {
    Some(EndpointCommand::Begin { read_only: false, after: None })
}

fn other_fault() -> EndpointFault {
    EndpointFault::Other { code: "FAILED".to_owned(), text: String::new() }
}

cases! {
    new_signature_proves_the_response: [
        (run(), signed("s1", Idle), Proven),
        (run(), signed("s2", Idle), Proven),
    ];
    repeated_signature_is_no_response_to_the_next_statement: [
        (run(), signed("s1", Idle), Proven),
        (run(), signed("s1", Idle), Repeated),
        (run(), signed("s2", Idle), Proven),
    ];
    repeated_completion_is_no_response_to_a_statement: [
        (set(), completed(Idle), Proven),
        (run(), completed(Idle), Repeated),
        (run(), signed("s1", Idle), Proven),
    ];
    unsigned_completion_of_a_statement_is_not_accepted: [
        (run(), completed(Idle), Unmatched),
    ];
    start_up_response_is_no_response_to_a_command: [
        (set(), response(Ok(""), Idle), Repeated),
        (set(), completed(Idle), Proven),
    ];
    signature_in_the_wrong_phase_is_not_accepted: [
        (begin(), completed(Open), Proven),
        (run(), signed("s1", Idle), Unmatched),
    ];
    second_completion_of_a_form_proves_nothing: [
        (set(), completed(Idle), Proven),
        (set(), completed(Idle), Plausible),
        (Some(EndpointCommand::Discard), completed(Idle), Plausible),
    ];
    repeated_completion_is_no_response_to_begin: [
        (set(), completed(Idle), Proven),
        (begin(), completed(Idle), Repeated),
        (begin(), completed(Open), Proven),
        (run(), signed("s1", Open), Proven),
        (commit(), signed("s2", Idle), Proven),
    ];
    error_behind_a_plausible_response_may_belong_to_that_command: [
        (set(), completed(Idle), Proven),
        (set(), completed(Idle), Plausible),
        (run(), failed(other_fault(), Idle), Unmatched),
    ];
    refusal_that_only_the_statement_may_get_is_its_own: [
        (set(), completed(Idle), Proven),
        (set(), completed(Idle), Plausible),
        (run(), failed(EndpointFault::ReadOnly, Idle), Proven),
    ];
    begin_at_the_position_of_an_earlier_one_is_not_accepted: [
        (begin(), completed(Open), Proven),
        (run(), signed("s1", Open), Proven),
        (commit(), signed("s2", Idle), Proven),
        (begin(), completed(Open), Unmatched),
    ];
    begin_at_a_later_position_is_its_own: [
        (begin(), completed(Open), Proven),
        (commit(), signed("s1", Idle), Proven),
        (begin(), later(completed(Open)), Proven),
        (run(), failed(EndpointFault::ReadOnly, Failed), Proven),
    ];
    lagging_at_a_position_of_before_may_be_a_repeated_one: [
        (read_after(), failed(EndpointFault::Lagging, Idle), Proven),
        (run(), failed(EndpointFault::Lagging, Idle), Repeated),
        (read_after(), later(failed(EndpointFault::Lagging, Idle)), Proven),
        (read_after(), failed(EndpointFault::Lagging, Idle), Unmatched),
    ];
    second_error_of_a_connection_may_be_a_repeated_one: [
        (run(), failed(EndpointFault::ReadOnly, Idle), Proven),
        (run(), later(failed(EndpointFault::ReadOnly, Idle)), Unmatched),
    ];
    busy_at_a_position_of_before_may_be_a_repeated_one: [
        (run(), failed(EndpointFault::Busy, Idle), Proven),
        (set(), failed(EndpointFault::Busy, Idle), Repeated),
        (run(), later(failed(EndpointFault::Busy, Idle)), Proven),
        (run(), failed(EndpointFault::Busy, Idle), Unmatched),
    ];
    second_status_of_a_connection_may_be_a_repeated_one: [
        (Some(EndpointCommand::Status), status(), Proven),
        (run(), status(), Repeated),
        (run(), signed("s1", Idle), Proven),
        (Some(EndpointCommand::Status), status(), Unmatched),
    ];
    completion_without_a_status_is_no_response_to_a_status_request: [
        (set(), completed(Idle), Proven),
        (Some(EndpointCommand::Status), completed(Idle), Repeated),
        (Some(EndpointCommand::Status), status(), Proven),
    ];
    repeated_signature_with_other_rows_does_not_leave_the_rest_to_the_statement: [
        (run(), with_row(signed("s1", Idle), "a"), Proven),
        (run(), with_row(with_row(signed("s1", Idle), "b"), "a"), Unmatched),
    ];
    response_without_a_command_belongs_to_none: [
        (run(), signed("s1", Idle), Proven),
        (None, signed("s1", Idle), Repeated),
        (None, signed("s2", Idle), Unmatched),
        (None, failed(EndpointFault::Busy, Idle), Unmatched),
    ];
}

// Signatures that are forgotten could not be told from new ones.
#[test]
fn connection_is_retired_before_signatures_are_forgotten() {
    let mut order = response_order::ResponseOrder::default();
    let mut responses = 0;
    while !order.retired() {
        let response = signed(&format!("s{responses}"), Idle);
        assert_eq!(order.check(run().as_ref(), &response), Proven);
        responses += 1;
        assert!(responses <= 4_096);
    }
    assert_eq!(order.check(run().as_ref(), &signed("s0", Idle)), Repeated);
}

#[test]
fn unproven_commands_are_bounded() {
    let mut order = response_order::ResponseOrder::default();
    for _ in 0..65 {
        assert!(!order.retired());
        order.check(set().as_ref(), &completed(Idle));
    }
    assert!(order.retired());
}
