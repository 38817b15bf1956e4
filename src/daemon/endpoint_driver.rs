//! Executes the core's actions on endpoints over the PostgreSQL wire protocol.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::sync::Mutex;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};
use tokio_util::sync::CancellationToken;

use crate::core::arena_keys;
use crate::core::core_message;
use crate::core::endpoint_message;
use crate::daemon::daemon_settings;
use crate::daemon::endpoint_sql;
use crate::daemon::ring_channel;

/// Longest time to open a connection and log in.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// An open connection to an endpoint. A call holds the client's lock until it has its outcome.
#[derive(Debug, Clone)]
struct OpenConnection {
    client: Arc<Mutex<Client>>,
    close: CancellationToken,
}

type ConnectionTable = Rc<RefCell<HashMap<arena_keys::ConnectionKey, OpenConnection>>>;

/// State shared by the tasks of the endpoint thread.
#[derive(Debug, Clone)]
struct DriverContext {
    login: daemon_settings::EndpointLogin,
    events: Rc<ring_channel::RingSender<core_message::CoreEvent>>,
    connections: ConnectionTable,
    stop: CancellationToken,
}

/// Executes actions until the core drops its sender. Must run in a `LocalSet`.
pub async fn drive(
    login: daemon_settings::EndpointLogin,
    events: ring_channel::RingSender<core_message::CoreEvent>,
    mut actions: ring_channel::TaskReceiver<core_message::CoreAction>,
    stop: CancellationToken,
) {
    let context =
        DriverContext { login, events: Rc::new(events), connections: Rc::default(), stop };
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
    let open = OpenConnection { client: client.clone(), close: close.clone() };
    context.connections.borrow_mut().insert(connection, open);
    context
        .events
        .send(core_message::CoreEvent::ConnectionOpened { connection, opened: true })
        .await;
    tokio::select! {
        ended = driver => {
            if let Err(error) = ended {
                log::debug!("connection to endpoint {address} failed: {error}");
            }
        }
        () = close.cancelled() => return,
    }
    // Waits for the call in progress, so that its outcome reaches the core before the close event.
    drop(client.lock().await);
    context.connections.borrow_mut().remove(&connection);
    context.events.send(core_message::CoreEvent::ConnectionClosed { connection }).await;
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
    let outcome = match open {
        Some(open) => send_request(&open, &request).await,
        None => endpoint_message::EndpointOutcome::NotSent,
    };
    context.events.send(core_message::CoreEvent::EndpointResponded { call, outcome }).await;
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
    let batch = endpoint_sql::batch(request);
    if !endpoint_sql::needs_status_batch(request) {
        return match client.simple_query(&batch).await {
            Ok(messages) => endpoint_sql::outcome(request, Ok(group_by_statement(messages)), None),
            Err(_) => endpoint_message::EndpointOutcome::ConnectionLost,
        };
    }
    let status_batch = endpoint_sql::status_batch();
    // Both batches are sent at once to save a round trip; the endpoint runs them in order, so the
    // status is read after the statement.
    let (results, status) =
        tokio::join!(client.simple_query(&batch), client.simple_query(&status_batch));
    let status: Option<endpoint_message::EndpointStatus> = status
        .ok()
        .and_then(|messages| endpoint_sql::read_status(group_by_statement(messages).last()?));
    let results = match results {
        Ok(messages) => Ok(group_by_statement(messages)),
        Err(error) => match error.as_db_error() {
            Some(error) => Err(endpoint_sql::SqlError {
                code: error.code().code().to_owned(),
                message: error.message().to_owned(),
            }),
            None => return endpoint_message::EndpointOutcome::ConnectionLost,
        },
    };
    endpoint_sql::outcome(request, results, status)
}

/// Groups the messages of a batch into one result per statement.
fn group_by_statement(messages: Vec<SimpleQueryMessage>) -> Vec<endpoint_sql::SqlResult> {
    let mut results = Vec::new();
    let mut current = endpoint_sql::SqlResult::default();
    for message in messages {
        match message {
            SimpleQueryMessage::RowDescription(columns) => {
                current.columns = columns.iter().map(|column| column.name().to_owned()).collect();
            }
            SimpleQueryMessage::Row(row) => {
                let values = (0..row.len()).map(|index| row.get(index).map(str::to_owned));
                current.rows.push(values.collect());
            }
            SimpleQueryMessage::CommandComplete(affected) => {
                current.affected = affected;
                results.push(std::mem::take(&mut current));
            }
            _ => {}
        }
    }
    results
}
