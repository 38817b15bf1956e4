//! An endpoint driver whose connection leads to a stand-in database over a faulty link.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use quetzaldeal::core::arena_keys::ConnectionKey;
use quetzaldeal::core::core_message::{CoreAction, CoreEvent};
use quetzaldeal::core::endpoint_message::{EndpointOutcome, EndpointRequest};
use quetzaldeal::daemon::daemon_settings::EndpointLogin;
use quetzaldeal::daemon::endpoint_driver;
use quetzaldeal::daemon::ring_channel::{RingSender, TaskReceiver};
use stand_ins::endpoint_program::{EndpointOptions, EndpointProgram};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

const RING_CAPACITY: usize = 64;
const READY_FOR_QUERY: u8 = b'Z';
const FATAL_ERROR: &[u8] = b"E\0\0\0\x23SFATAL\0VFATAL\0C57P02\0Mcrashed\0\0";

/// What a link does to the endpoint's answers, which are counted from 0 after the login.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum LinkFault {
    /// Nothing.
    None,
    /// Repeats an answer directly behind it.
    RepeatAtOnce(usize),
    /// Repeats answers ahead of the answer to the next call.
    RepeatLate(Range<usize>),
    /// Sends a fatal error in place of an answer and closes the connection.
    Fatal(usize),
    /// Repeats the last message of a kind inside an answer.
    RepeatMessage(usize, u8),
    /// Repeats the messages of some kinds of an answer ahead of the answer to a later call.
    RepeatMessageLate { answer: usize, kinds: &'static [u8], calls_later: usize },
}

/// Bytes that reach the host ahead of the answer to a later call.
#[derive(Default)]
struct LateAnswer {
    calls_later: usize,
    bytes: Vec<u8>,
}

impl LateAnswer {
    /// Counts a call and returns the bytes that are due with it.
    fn take_due(&mut self) -> Vec<u8> {
        self.calls_later = self.calls_later.saturating_sub(1);
        if self.calls_later == 0 { std::mem::take(&mut self.bytes) } else { Vec::new() }
    }
}

/// The driver of one connection.
pub(crate) struct EndpointDoor {
    actions: RingSender<CoreAction>,
    events: TaskReceiver<CoreEvent>,
    next_call: u64,
    reusable: bool,
}

impl EndpointDoor {
    /// Starts a database, the link to it and a driver, and opens a connection.
    pub(crate) async fn open(fault: LinkFault) -> Self {
        let endpoint = start_endpoint().await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        tokio::spawn(serve_link(listener, endpoint, fault));
        let (actions, receiver) = TaskReceiver::channel(RING_CAPACITY);
        let (sender, events) = TaskReceiver::channel(RING_CAPACITY);
        let login = EndpointLogin {
            user: "app".to_owned(),
            password: String::new(),
            database: "app".to_owned(),
        };
        let drive = endpoint_driver::drive(login, sender, receiver, CancellationToken::new());
        tokio::task::spawn_local(drive);
        let mut door = Self { actions, events, next_call: 0, reusable: true };
        let connection = ConnectionKey::default();
        door.actions.send(CoreAction::OpenConnection { connection, address }).await;
        let event = door.events.receive().await.unwrap();
        assert!(matches!(event, CoreEvent::ConnectionOpened { opened: true, .. }), "{event:?}");
        door
    }

    /// Makes a call and waits for its outcome.
    pub(crate) async fn call(&mut self, request: EndpointRequest) -> EndpointOutcome {
        let (call, connection) = (self.next_call, ConnectionKey::default());
        self.next_call += 1;
        self.actions.send(CoreAction::CallEndpoint { call, connection, request }).await;
        loop {
            match self.events.receive().await.unwrap() {
                CoreEvent::EndpointResponded { call: responded, outcome, reusable } => {
                    assert_eq!(responded, call);
                    self.reusable = reusable;
                    return outcome;
                }
                CoreEvent::ConnectionClosed { .. } => {}
                event => panic!("{event:?}"),
            }
        }
    }

    /// Whether the connection may carry another request after the last call.
    pub(crate) fn reusable(&self) -> bool {
        self.reusable
    }

    /// Waits until the connection is closed and returns whether an unmatched answer was the reason.
    pub(crate) async fn closed_by_unmatched_answer(&mut self) -> bool {
        match self.events.receive().await.unwrap() {
            CoreEvent::ConnectionClosed { unmatched, .. } => unmatched,
            event => panic!("{event:?}"),
        }
    }
}

async fn start_endpoint() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let options = EndpointOptions {
        pull_interval: Duration::from_millis(50),
        statement_time: Duration::ZERO,
        connect_time: Duration::ZERO,
        slots: 3,
        connections: 20,
    };
    tokio::spawn(async move { EndpointProgram::new(1, options).serve(&address.to_string()).await });
    while TcpStream::connect(address).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    address
}

async fn serve_link(listener: TcpListener, endpoint: SocketAddr, fault: LinkFault) {
    let (host, _) = listener.accept().await.unwrap();
    let endpoint = TcpStream::connect(endpoint).await.unwrap();
    let (host_reader, host_writer) = host.into_split();
    let (endpoint_reader, endpoint_writer) = endpoint.into_split();
    let host_writer = Arc::new(tokio::sync::Mutex::new(host_writer));
    let late = Arc::new(Mutex::new(LateAnswer::default()));
    tokio::spawn(forward_requests(host_reader, endpoint_writer, host_writer.clone(), late.clone()));
    forward_answers(endpoint_reader, host_writer, late, fault).await;
}

/// Forwards the host's messages; late answers go to the host first.
async fn forward_requests(
    mut host: OwnedReadHalf,
    mut endpoint: OwnedWriteHalf,
    host_writer: Arc<tokio::sync::Mutex<OwnedWriteHalf>>,
    late: Arc<Mutex<LateAnswer>>,
) {
    let mut bytes = vec![0; 65_536];
    while let Ok(count @ 1..) = host.read(&mut bytes).await {
        let late = late.lock().unwrap().take_due();
        if !late.is_empty() && host_writer.lock().await.write_all(&late).await.is_err() {
            return;
        }
        if endpoint.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}

/// Forwards the endpoint's answers one by one, with the fault.
async fn forward_answers(
    mut endpoint: OwnedReadHalf,
    host: Arc<tokio::sync::Mutex<OwnedWriteHalf>>,
    late: Arc<Mutex<LateAnswer>>,
    fault: LinkFault,
) {
    read_answer(&mut endpoint, &host, true).await;
    let mut held = Vec::new();
    for index in 0.. {
        let Some(messages) = read_answer(&mut endpoint, &host, false).await else { return };
        let mut answer = messages.concat();
        match &fault {
            LinkFault::None => {}
            LinkFault::Fatal(replaced) => {
                if *replaced == index {
                    drop(host.lock().await.write_all(FATAL_ERROR).await);
                    drop(host.lock().await.shutdown().await);
                    return;
                }
            }
            LinkFault::RepeatAtOnce(repeated) => {
                if *repeated == index {
                    answer.extend_from_within(..);
                }
            }
            LinkFault::RepeatLate(range) => {
                if range.contains(&index) {
                    held.extend_from_slice(&answer);
                }
                if range.end == index + 1 {
                    let bytes = std::mem::take(&mut held);
                    *late.lock().unwrap() = LateAnswer { calls_later: 1, bytes };
                }
            }
            LinkFault::RepeatMessageLate { answer, kinds, calls_later } => {
                if *answer == index {
                    let repeated = messages.iter().filter(|message| kinds.contains(&message[0]));
                    let bytes = repeated.flatten().copied().collect();
                    *late.lock().unwrap() = LateAnswer { calls_later: *calls_later, bytes };
                }
            }
            LinkFault::RepeatMessage(repeated, kind) => {
                if *repeated == index {
                    let position = messages.iter().rposition(|message| message[0] == *kind);
                    let mut messages = messages.clone();
                    let position = position.expect("the answer has no message of this kind");
                    messages.insert(position, messages[position].clone());
                    answer = messages.concat();
                }
            }
        }
        if host.lock().await.write_all(&answer).await.is_err() {
            return;
        }
    }
}

/// Reads messages up to `ReadyForQuery`; those of the login are forwarded as they come.
async fn read_answer(
    endpoint: &mut OwnedReadHalf,
    host: &tokio::sync::Mutex<OwnedWriteHalf>,
    login: bool,
) -> Option<Vec<Vec<u8>>> {
    let mut messages: Vec<Vec<u8>> = Vec::new();
    while messages.last().is_none_or(|message| message[0] != READY_FOR_QUERY) {
        let mut message = vec![0; 5];
        endpoint.read_exact(&mut message).await.ok()?;
        let length = u32::from_be_bytes([message[1], message[2], message[3], message[4]]);
        message.resize(length as usize + 1, 0);
        endpoint.read_exact(&mut message[5..]).await.ok()?;
        if login {
            host.lock().await.write_all(&message).await.ok()?;
        }
        messages.push(message);
    }
    Some(messages)
}
