//! Executes the core's actions on endpoints over the PostgreSQL wire protocol.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use tokio::sync::Mutex;
use tokio_postgres::error::Severity;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryStream};
use tokio_util::sync::CancellationToken;

use crate::core::arena_keys;
use crate::core::clock_time;
use crate::core::core_message;
use crate::core::endpoint_message;
use crate::daemon::batch_answer;
use crate::daemon::daemon_settings;
use crate::daemon::endpoint_sql;
use crate::daemon::marked_batch;
use crate::daemon::ring_channel;
use crate::proxy::log_limiter;

/// Longest time to open a connection and log in.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// An open connection to an endpoint. A call holds the client's lock until it has its outcome.
#[derive(Debug, Clone)]
struct OpenConnection {
    address: Rc<str>,
    client: Arc<Mutex<Client>>,
    close: CancellationToken,
    /// Whether an error was returned on it, which a bare error may repeat.
    error_returned: Rc<Cell<bool>>,
    /// Whether it must not carry another request.
    spent: Rc<Cell<bool>>,
}

type ConnectionTable = Rc<RefCell<HashMap<arena_keys::ConnectionKey, OpenConnection>>>;

/// State shared by the tasks of the endpoint thread.
#[derive(Debug, Clone)]
struct DriverContext {
    login: daemon_settings::EndpointLogin,
    events: Rc<ring_channel::RingSender<core_message::CoreEvent>>,
    connections: ConnectionTable,
    log: Rc<RefCell<log_limiter::LogLimiter>>,
    started: Instant,
    stop: CancellationToken,
}

impl DriverContext {
    /// Logs that an answer of an endpoint was dropped because it belongs to no request, or not to
    /// the request in its turn.
    fn log_unmatched(&self, address: &str, call: Option<core_message::CallId>) {
        let micros = self.started.elapsed().as_micros() as u64;
        let call = call.map_or_else(|| "none".to_owned(), |call| call.to_string());
        self.log.borrow_mut().write(clock_time::ClockTime::from_micros(micros), || {
            format!("event=answer_unmatched endpoint={address} call={call} connection=closed")
        });
    }
}

/// Executes actions until the core drops its sender. Must run in a `LocalSet`.
pub async fn drive(
    login: daemon_settings::EndpointLogin,
    events: ring_channel::RingSender<core_message::CoreEvent>,
    mut actions: ring_channel::TaskReceiver<core_message::CoreAction>,
    stop: CancellationToken,
) {
    let limiter = log_limiter::LogLimiter::new(clock_time::ClockTime::default());
    let context = DriverContext {
        login,
        events: Rc::new(events),
        connections: Rc::default(),
        log: Rc::new(RefCell::new(limiter)),
        started: Instant::now(),
        stop,
    };
    while let Some(action) = actions.receive().await {
        match action {
            core_message::CoreAction::OpenConnection { connection, address } => {
                tokio::task::spawn_local(open_connection(context.clone(), connection, address));
            }
            core_message::CoreAction::CloseConnection { connection } => {
                if let Some(open) = context.connections.borrow_mut().remove(&connection) {
                    open.close.cancel();
                }
            }
            core_message::CoreAction::CallEndpoint { call, connection, request } => {
                let open = context.connections.borrow().get(&connection).cloned();
                tokio::task::spawn_local(handle_call(context.clone(), open, call, request));
            }
            _ => {}
        }
    }
}

/// Opens a connection, serves it until it closes, and reports both to the core.
async fn open_connection(
    context: DriverContext,
    connection: arena_keys::ConnectionKey,
    address: String,
) {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect(&context.login, &address)).await;
    let (client, driver) = match connected {
        Ok(Ok(connected)) => connected,
        Ok(Err(error)) => {
            log::debug!("failed to connect to endpoint {address}: {error:#}");
            return context
                .events
                .send(core_message::CoreEvent::ConnectionOpened { connection, opened: false })
                .await;
        }
        Err(_) => {
            return context
                .events
                .send(core_message::CoreEvent::ConnectionOpened { connection, opened: false })
                .await;
        }
    };
    let client = Arc::new(Mutex::new(client));
    let close = context.stop.child_token();
    let open = OpenConnection {
        address: address.as_str().into(),
        client: client.clone(),
        close: close.clone(),
        error_returned: Rc::default(),
        spent: Rc::default(),
    };
    context.connections.borrow_mut().insert(connection, open);
    context
        .events
        .send(core_message::CoreEvent::ConnectionOpened { connection, opened: true })
        .await;
    let ended = tokio::select! {
        ended = driver => ended,
        () = close.cancelled() => return,
    };
    let unmatched = ended.as_ref().is_err_and(is_unmatched);
    if unmatched {
        context.log_unmatched(&address, None);
    } else if let Err(error) = ended {
        log::debug!("connection to endpoint {address} failed: {error}");
    }
    // Waits for the call in progress, so that its outcome reaches the core before the close event.
    drop(client.lock().await);
    context.connections.borrow_mut().remove(&connection);
    let event = core_message::CoreEvent::ConnectionClosed { connection, unmatched };
    context.events.send(event).await;
}

/// Whether a connection ended because an answer arrived on it while no request was outstanding.
/// Unlike a repeated error, the errors with which an endpoint closes a connection are fatal.
fn is_unmatched(error: &tokio_postgres::Error) -> bool {
    match error.as_db_error() {
        Some(error) => error.parsed_severity() == Some(Severity::Error),
        None => !error.is_closed() && std::error::Error::source(error).is_none(),
    }
}

async fn connect(
    login: &daemon_settings::EndpointLogin,
    address: &str,
) -> Result<(Client, impl Future<Output = Result<(), tokio_postgres::Error>> + use<>)> {
    let address: SocketAddr = address.parse().context("expected an IP address and port")?;
    let mut config = Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user(&login.user)
        .password(&login.password)
        .dbname(&login.database)
        .application_name("quetzaldeal")
        .keepalives_idle(KEEPALIVE_IDLE)
        .keepalives_interval(KEEPALIVE_INTERVAL);
    let (client, connection) = config.connect(NoTls).await?;
    Ok((client, connection))
}

/// Sends a request to an endpoint and reports the outcome to the core.
async fn handle_call(
    context: DriverContext,
    open: Option<OpenConnection>,
    call: core_message::CallId,
    request: endpoint_message::EndpointRequest,
) {
    let (outcome, reusable) = match open {
        Some(open) => {
            let outcome = send_request(&open, &request).await;
            if outcome == endpoint_message::EndpointOutcome::Unmatched {
                context.log_unmatched(&open.address, Some(call));
            }
            (outcome, !open.spent.get())
        }
        None => (endpoint_message::EndpointOutcome::NotSent, false),
    };
    let event = core_message::CoreEvent::EndpointResponded { call, outcome, reusable };
    context.events.send(event).await;
}

/// Sends a request on a connection and returns its outcome.
async fn send_request(
    open: &OpenConnection,
    request: &endpoint_message::EndpointRequest,
) -> endpoint_message::EndpointOutcome {
    let client = open.client.lock().await;
    if client.is_closed() {
        return endpoint_message::EndpointOutcome::NotSent;
    }
    let batch = marked_batch::MarkedBatch::for_request(request);
    let Ok(stream) = client.simple_query_raw(batch.text()).await else {
        return endpoint_message::EndpointOutcome::NotSent;
    };
    if !endpoint_sql::needs_status(request) {
        let answer = read_answer(&batch, stream).await;
        return outcome(open, request, answer, None);
    }
    // Both batches are sent at once to save a round trip; the endpoint runs them in order, so the
    // status is read after the statement.
    let status_request = endpoint_message::EndpointRequest::Status;
    let status_batch = marked_batch::MarkedBatch::for_request(&status_request);
    let status_stream = client.simple_query_raw(status_batch.text()).await;
    let answer = read_answer(&batch, stream).await;
    let status_answer = match status_stream {
        Ok(stream) => read_answer(&status_batch, stream).await,
        Err(_) => None,
    };
    outcome(open, request, answer, status_answer)
}

/// Returns the outcome of a request, given the answers to its batch and to the status batch after
/// it; `None` for an answer that was lost or not requested.
fn outcome(
    open: &OpenConnection,
    request: &endpoint_message::EndpointRequest,
    answer: Option<marked_batch::AnswerMatch>,
    status_answer: Option<marked_batch::AnswerMatch>,
) -> endpoint_message::EndpointOutcome {
    let status_unmatched = status_answer == Some(marked_batch::AnswerMatch::Unmatched);
    let status = match status_answer {
        Some(marked_batch::AnswerMatch::Belongs(Ok(results))) => {
            results.last().and_then(endpoint_sql::read_status)
        }
        _ => None,
    };
    let in_order = status.is_some() || !endpoint_sql::needs_status(request);
    open.spent.set(open.spent.get() || !in_order);
    match answer {
        None => endpoint_message::EndpointOutcome::ConnectionLost,
        Some(marked_batch::AnswerMatch::Unmatched) => endpoint_message::EndpointOutcome::Unmatched,
        Some(marked_batch::AnswerMatch::Belongs(Ok(_))) if status_unmatched => {
            endpoint_message::EndpointOutcome::Unmatched
        }
        Some(marked_batch::AnswerMatch::Belongs(results)) => {
            open.error_returned.set(open.error_returned.get() || results.is_err());
            endpoint_sql::outcome(request, results, status)
        }
        // An error without a mark is the batch's own if the status proves that no answer came in
        // between, or if there is no earlier error that it could repeat. The connection carries no
        // further request, so no later one is taken for this error's.
        Some(marked_batch::AnswerMatch::BareError(error)) => {
            open.spent.set(true);
            if status.is_some() || (in_order && !open.error_returned.get()) {
                endpoint_sql::outcome(request, Err(error), status)
            } else {
                endpoint_message::EndpointOutcome::Unmatched
            }
        }
    }
}

async fn read_answer(
    batch: &marked_batch::MarkedBatch,
    stream: SimpleQueryStream,
) -> Option<marked_batch::AnswerMatch> {
    batch_answer::BatchAnswer::read(stream).await.map(|answer| batch.check(answer))
}
