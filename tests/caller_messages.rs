//! Sends malformed messages to the listener for callers and records which statements arrive.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use std::sync::Arc;
use std::time::Duration;

use quetzaldeal::core::core_message::{CoreAction, CoreEvent};
use quetzaldeal::core::endpoint_message::ResponseBody;
use quetzaldeal::core::request_verdict::RequestVerdict;
use quetzaldeal::daemon::caller_registry::CallerRegistry;
use quetzaldeal::daemon::latency_histograms::LatencyHistograms;
use quetzaldeal::daemon::ring_channel::TaskReceiver;
use quetzaldeal::daemon::{caller_listener, statement_service};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

const RING_CAPACITY: usize = 64;
const READY_FOR_QUERY: u8 = b'Z';
const ERROR_RESPONSE: u8 = b'E';

/// Declares each test with the messages that a caller sends and the statements that may arrive.
macro_rules! message_tests {
    ($($name:ident: $messages:expr => $statements:expr, $errors:literal errors;)*) => {
        $(
            #[test]
            fn $name() {
                let runtime = tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build()
                    .unwrap();
                let sent = send($messages.concat());
                let sent = async { tokio::time::timeout(Duration::from_secs(10), sent).await };
                let (statements, errors) = runtime.block_on(sent).unwrap();
                let expected = $statements.map(str::to_owned);
                assert_eq!((statements, errors), (expected.to_vec(), $errors));
            }
        )*
    };
}

message_tests! {
    whole_messages_arrive_as_sent: [query(b"SELECT 1\0"), query("SELECT 'é\r\n;'\0".as_bytes())]
        => ["SELECT 1", "SELECT 'é\r\n;'"], 0 errors;
    statement_behind_a_zero_byte_is_not_run:
        [query(&[b"SELECT 1\0", &query(b"DELETE FROM orders\0")[..]].concat()), query(b"SELECT 2\0")]
        => ["SELECT 2"], 1 errors;
    message_without_end_does_not_reach_into_the_next:
        [query(b"SELECT 1"), query(b"SELECT 2\0")] => ["SELECT 2"], 1 errors;
    text_that_is_not_utf8_is_not_replaced:
        [query(b"SELECT '\xff'\0"), query(b"SELECT 2\0")] => ["SELECT 2"], 1 errors;
    statement_behind_a_parse_message_is_not_run:
        [message(b'P', &[b"\0SELECT 1\0\0\0", &message(b'S', b"")[..],
            &query(b"DELETE FROM orders\0")].concat()), message(b'S', b""), query(b"SELECT 2\0")]
        => ["SELECT 2"], 1 errors;
}

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[kind], &length[..], body].concat()
}

fn query(body: &[u8]) -> Vec<u8> {
    message(b'Q', body)
}

/// Logs in and sends messages; returns the statements that arrived and the number of errors.
async fn send(messages: Vec<u8>) -> (Vec<String>, usize) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let (sender, mut events) = TaskReceiver::channel(RING_CAPACITY);
    let registry = Arc::new(CallerRegistry::new(sender));
    let service =
        statement_service::build(registry.clone(), Arc::new(LatencyHistograms::default()));
    let stop = CancellationToken::new();
    let serve = {
        let (address, registry) = (address.clone(), registry.clone());
        async move { caller_listener::serve(&address, registry, service, stop).await }
    };
    tokio::spawn(serve);
    let (arrived_sender, mut arrived) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Some(event) = events.receive().await {
            match event {
                CoreEvent::CallerOpened { caller, .. } => {
                    registry.apply(CoreAction::AdmitCaller { caller });
                }
                CoreEvent::StatementArrived { caller, text } => {
                    arrived_sender.send(text).unwrap();
                    registry.apply(CoreAction::RespondToCaller {
                        caller,
                        verdict: RequestVerdict::ran(),
                        body: ResponseBody { tag: "SELECT".to_owned(), ..Default::default() },
                        in_transaction: false,
                    });
                }
                _ => {}
            }
        }
    });
    let mut socket = loop {
        match TcpStream::connect(&address).await {
            Ok(socket) => break socket,
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    };
    let startup = b"\x00\x03\x00\x00user\0desk\0database\0shop\0\0";
    let length = (startup.len() as u32 + 4).to_be_bytes();
    socket.write_all(&[&length[..], startup].concat()).await.unwrap();
    socket.write_all(&message(b'p', b"key\0")).await.unwrap();
    count_errors_until_ready(&mut socket).await;
    socket.write_all(&messages).await.unwrap();
    socket.write_all(&query(b"SELECT 'last'\0")).await.unwrap();
    let mut errors = 0;
    let mut statements = Vec::new();
    while statements.last().map(String::as_str) != Some("SELECT 'last'") {
        match count_errors_until_ready(&mut socket).await {
            Some(count) => errors += count,
            None => break,
        }
        while let Ok(text) = arrived.try_recv() {
            statements.push(text);
        }
    }
    assert_eq!(statements.pop().as_deref(), Some("SELECT 'last'"), "after {statements:?}");
    (statements, errors)
}

/// Counts the errors up to the next `ReadyForQuery`; `None` at the end of the stream.
async fn count_errors_until_ready(socket: &mut TcpStream) -> Option<usize> {
    let mut errors = 0;
    loop {
        let mut header = [0; 5];
        socket.read_exact(&mut header).await.ok()?;
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        let mut body = vec![0; length as usize - 4];
        socket.read_exact(&mut body).await.ok()?;
        match header[0] {
            READY_FOR_QUERY => return Some(errors),
            ERROR_RESPONSE => errors += 1,
            _ => {}
        }
    }
}
