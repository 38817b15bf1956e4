//! Runs calls through the endpoint driver over a link that repeats answers of the endpoint.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

mod link_fakes;

use std::time::Duration;

use link_fakes::{EndpointDoor, LinkFault};
use quetzaldeal::core::endpoint_message::{
    EndpointOutcome, EndpointRequest, EndpointStatement, LogPoint, TransactionStep,
};

/// Declares each test with the fault of its link. Answers are counted from 0 after the login.
macro_rules! door_tests {
    ($($name:ident with $fault:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let runtime = tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build()
                    .unwrap();
                let test = async {
                    let mut door = EndpointDoor::open($fault).await;
                    let request = EndpointRequest::Promote { term: 1, min_point: LogPoint::default() };
                    assert!(matches!(door.call(request).await, EndpointOutcome::Status(_)));
                    let case = cases::$name(door);
                    tokio::time::timeout(Duration::from_secs(10), case).await.unwrap();
                };
                tokio::task::LocalSet::new().block_on(&runtime, test);
            }
        )*
    };
}

door_tests! {
    late_error_of_another_statement_does_not_refuse_a_write_that_ran
        with LinkFault::RepeatLate(3..4);
    late_rows_of_another_statement_are_not_returned with LinkFault::RepeatLate(1..3);
    late_status_is_not_taken_for_that_of_a_fence with LinkFault::RepeatLate(1..2);
    repeated_rows_are_not_taken_for_the_status with LinkFault::RepeatAtOnce(1);
    row_repeated_inside_an_answer_is_not_returned with LinkFault::RepeatMessage(3, b'D');
    result_repeated_inside_an_answer_is_not_returned with LinkFault::RepeatMessage(3, b'C');
    late_error_message_does_not_refuse_a_write_that_ran
        with LinkFault::RepeatMessageLate { answer: 3, kinds: b"E", calls_later: 1 };
    late_error_and_ready_message_do_not_refuse_a_write_that_ran
        with LinkFault::RepeatMessageLate { answer: 3, kinds: b"EZ", calls_later: 1 };
    late_error_is_not_returned_inside_a_transaction
        with LinkFault::RepeatMessageLate { answer: 3, kinds: b"EZ", calls_later: 2 };
    answer_to_no_request_closes_the_connection with LinkFault::RepeatAtOnce(2);
    error_without_a_mark_ends_its_connection with LinkFault::None;
    fatal_error_does_not_refuse_a_write_that_ran with LinkFault::Fatal(1);
    steady_link_serves_statements_and_transactions with LinkFault::None;
}

fn statement(step: TransactionStep, text: &str) -> EndpointRequest {
    EndpointRequest::Run(EndpointStatement {
        text: text.to_owned(),
        step,
        write_term: None,
        read_point: None,
        read_only: false,
        idempotency_key: None,
    })
}

fn single(text: &str) -> EndpointRequest {
    statement(TransactionStep::Single, text)
}

fn insert(id: &str) -> String {
    format!("INSERT INTO orders (id) VALUES ('{id}')")
}

fn first_value(outcome: &EndpointOutcome) -> Option<&str> {
    let EndpointOutcome::Ran { body, .. } = outcome else { panic!("{outcome:?}") };
    body.rows.first()?.first()?.as_deref()
}

mod cases {
    use super::*;

    pub(crate) async fn late_error_of_another_statement_does_not_refuse_a_write_that_ran(
        mut door: EndpointDoor,
    ) {
        let outcome = door.call(single(&insert("a"))).await;
        assert!(matches!(outcome, EndpointOutcome::Ran { .. }), "{outcome:?}");
        let outcome = door.call(single(&insert("a"))).await;
        assert!(matches!(outcome, EndpointOutcome::Refused { .. }), "{outcome:?}");
        let outcome = door.call(single(&insert("b"))).await;
        assert!(!matches!(outcome, EndpointOutcome::Refused { .. }), "{outcome:?}");
    }

    pub(crate) async fn late_error_message_does_not_refuse_a_write_that_ran(door: EndpointDoor) {
        late_error_of_another_statement_does_not_refuse_a_write_that_ran(door).await;
    }

    pub(crate) async fn late_error_and_ready_message_do_not_refuse_a_write_that_ran(
        door: EndpointDoor,
    ) {
        late_error_of_another_statement_does_not_refuse_a_write_that_ran(door).await;
    }

    pub(crate) async fn late_error_is_not_returned_inside_a_transaction(mut door: EndpointDoor) {
        door.call(single(&insert("a"))).await;
        let outcome = door.call(single(&insert("a"))).await;
        assert!(matches!(outcome, EndpointOutcome::Refused { .. }), "{outcome:?}");
        let outcome = door.call(statement(TransactionStep::Begin, "BEGIN")).await;
        assert!(matches!(outcome, EndpointOutcome::Ran { .. }), "{outcome:?}");
        let outcome = door.call(statement(TransactionStep::InTransaction, &insert("b"))).await;
        assert!(!matches!(outcome, EndpointOutcome::Refused { .. }), "{outcome:?}");
    }

    pub(crate) async fn answer_to_no_request_closes_the_connection(mut door: EndpointDoor) {
        let outcome = door.call(single("SELECT 'first'")).await;
        assert_eq!(first_value(&outcome), Some("first"));
        assert!(door.closed_by_unmatched_answer().await);
    }

    pub(crate) async fn error_without_a_mark_ends_its_connection(mut door: EndpointDoor) {
        let outcome = door.call(single("SELEC 1")).await;
        let EndpointOutcome::Refused { sqlstate, .. } = outcome else { panic!("{outcome:?}") };
        assert_eq!(sqlstate, "42601");
        assert!(!door.reusable());
    }

    pub(crate) async fn late_rows_of_another_statement_are_not_returned(mut door: EndpointDoor) {
        let outcome = door.call(single("SELECT 'first'")).await;
        assert_eq!(first_value(&outcome), Some("first"));
        let outcome = door.call(single("SELECT 'second'")).await;
        assert!(!matches!(outcome, EndpointOutcome::Ran { .. }), "{outcome:?}");
    }

    pub(crate) async fn late_status_is_not_taken_for_that_of_a_fence(mut door: EndpointDoor) {
        door.call(EndpointRequest::Status).await;
        let outcome = door.call(EndpointRequest::Fence { term: 5 }).await;
        assert!(!matches!(outcome, EndpointOutcome::Status(_)), "{outcome:?}");
    }

    pub(crate) async fn repeated_rows_are_not_taken_for_the_status(mut door: EndpointDoor) {
        let outcome = door.call(single("SELECT 7, 7, 7, 7, 't', ''")).await;
        assert!(!matches!(outcome, EndpointOutcome::Ran { .. }), "{outcome:?}");
    }

    pub(crate) async fn row_repeated_inside_an_answer_is_not_returned(mut door: EndpointDoor) {
        door.call(single(&insert("a"))).await;
        let outcome = door.call(single("SELECT id FROM orders")).await;
        assert!(!matches!(outcome, EndpointOutcome::Ran { .. }), "{outcome:?}");
    }

    pub(crate) async fn result_repeated_inside_an_answer_is_not_returned(mut door: EndpointDoor) {
        door.call(single(&insert("a"))).await;
        let outcome = door.call(single("SELECT id FROM orders")).await;
        assert!(!matches!(outcome, EndpointOutcome::Ran { .. }), "{outcome:?}");
    }

    pub(crate) async fn fatal_error_does_not_refuse_a_write_that_ran(mut door: EndpointDoor) {
        let outcome = door.call(single(&insert("a"))).await;
        assert_eq!(outcome, EndpointOutcome::ConnectionLost);
    }

    pub(crate) async fn steady_link_serves_statements_and_transactions(mut door: EndpointDoor) {
        door.call(single(&insert("a"))).await;
        let steps = [
            (TransactionStep::Begin, "BEGIN".to_owned()),
            (TransactionStep::InTransaction, insert("kept")),
            (TransactionStep::Commit, "COMMIT -- now".to_owned()),
            (TransactionStep::Begin, "BEGIN".to_owned()),
            (TransactionStep::InTransaction, insert("dropped")),
        ];
        for (step, text) in steps {
            let outcome = door.call(statement(step, &text)).await;
            assert!(matches!(outcome, EndpointOutcome::Ran { .. }), "{text}: {outcome:?}");
        }
        let outcome = door.call(statement(TransactionStep::InTransaction, &insert("a"))).await;
        assert!(matches!(outcome, EndpointOutcome::Refused { .. }), "{outcome:?}");
        let outcome = door.call(statement(TransactionStep::Rollback, "ROLLBACK")).await;
        assert!(matches!(outcome, EndpointOutcome::Ran { .. }), "{outcome:?}");
        let outcome = door.call(single("SELECT count(*) FROM orders")).await;
        assert_eq!(first_value(&outcome), Some("2"));
        assert!(door.reusable());
    }
}
