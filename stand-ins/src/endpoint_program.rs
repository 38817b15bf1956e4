//! Serves a [`DatabaseModel`] over PostgreSQL's wire protocol, with asynchronous replication and
//! limits on connections and concurrent statements.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::{Context, Result};
use async_trait::async_trait;
use futures::{Sink, stream};
use pgwire::api::auth::StartupHandler;
use pgwire::api::auth::noop::NoopStartupHandler;
use pgwire::api::query::SimpleQueryHandler;
use pgwire::api::results::{DataRowEncoder, FieldFormat, FieldInfo, QueryResponse, Response, Tag};
use pgwire::api::store::PortalStore;
use pgwire::api::{ClientInfo, ClientPortalStore, PgWireServerHandlers, Type};
use pgwire::error::{ErrorInfo, PgWireError, PgWireResult};
use pgwire::messages::PgWireBackendMessage;
use pgwire::tokio::process_socket;
use quetzaldeal::core::endpoint_message;
use quetzaldeal::daemon::endpoint_sql;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio_postgres::{NoTls, SimpleQueryMessage};

use crate::database_model::{ConnectionId, DatabaseModel, LogBatch};

/// Timeout of a replica's call to its primary; afterwards it reads again which primary to follow.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);
const CHANGES_PREFIX: &str = "SELECT * FROM quetzaldeal.changes(";
const AWAIT_PREFIX: &str = "SELECT * FROM quetzaldeal.await(";

/// Delays and limits of a stand-in database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointOptions {
    /// Interval between a replica's pulls from its primary.
    pub pull_interval: Duration,
    /// Duration of each batch of statements that is not a call of the proxy.
    pub statement_time: Duration,
    /// Duration of opening a connection.
    pub connect_time: Duration,
    /// Statements executed concurrently.
    pub slots: usize,
    /// Most connections accepted at the same time; further ones are closed at once.
    pub connections: usize,
}

/// A stand-in database that serves connections and replicates from its primary.
#[derive(Debug)]
pub struct EndpointProgram {
    model: Mutex<DatabaseModel>,
    options: EndpointOptions,
    slots: Semaphore,
    open_connections: AtomicUsize,
    next_connection: AtomicU64,
    log_changed: Notify,
}

impl EndpointProgram {
    /// Returns an empty database whose data set has the identity `copy`.
    pub fn new(copy: u64, options: EndpointOptions) -> Self {
        Self {
            model: Mutex::new(DatabaseModel::new(copy)),
            options,
            slots: Semaphore::new(options.slots),
            open_connections: AtomicUsize::new(0),
            next_connection: AtomicU64::new(1),
            log_changed: Notify::new(),
        }
    }

    /// Listens on `address` until the process ends.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound or the listener fails.
    pub async fn serve(self, address: &str) -> Result<()> {
        let program = Arc::new(self);
        let listener =
            TcpListener::bind(address).await.with_context(|| format!("cannot bind {address}"))?;
        tokio::spawn(program.clone().replicate());
        loop {
            let (socket, _) = listener.accept().await?;
            tokio::spawn(program.clone().serve_connection(socket));
        }
    }

    async fn serve_connection(self: Arc<Self>, socket: TcpStream) {
        drop(socket.set_nodelay(true));
        let open_connections = self.open_connections.fetch_add(1, Ordering::Relaxed);
        if open_connections < self.options.connections {
            tokio::time::sleep(self.options.connect_time).await;
            let id = self.next_connection.fetch_add(1, Ordering::Relaxed);
            let handler = Arc::new(ConnectionHandler { id, program: self.clone() });
            if let Err(error) = process_socket(socket, None, ConnectionHandlers { handler }).await {
                log::debug!("event=connection_failed connection={id} error={error}");
            }
            self.model().disconnect(id);
        }
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Pulls log entries from the primary that this endpoint follows, if any, until the process
    /// ends.
    async fn replicate(self: Arc<Self>) {
        loop {
            let status = self.model().status();
            let Some(address) = status.following else {
                tokio::time::sleep(self.options.pull_interval).await;
                continue;
            };
            if let Err(error) = self.pull_from(&address).await {
                log::debug!("event=replication_failed primary={address} error={error:#}");
                tokio::time::sleep(self.options.pull_interval).await;
            }
        }
    }

    async fn pull_from(&self, address: &str) -> Result<()> {
        let target: SocketAddr = address.parse()?;
        let mut config = tokio_postgres::Config::new();
        config.host(target.ip().to_string()).port(target.port()).user("replica").dbname("replica");
        let (client, connection) =
            tokio::time::timeout(PULL_TIMEOUT, config.connect(NoTls)).await??;
        let connection = tokio::spawn(connection);
        let pull_loop = async {
            loop {
                let status = self.model().status();
                if status.following.as_deref() != Some(address) {
                    return Ok(());
                }
                let ends = to_hex(&rmp_serde::to_vec(&self.model().term_ends())?);
                let query = format!("{CHANGES_PREFIX}{}, '{ends}')", status.adopted_term);
                let rows =
                    tokio::time::timeout(PULL_TIMEOUT, client.simple_query(&query)).await??;
                let row = rows.iter().find_map(|message| match message {
                    SimpleQueryMessage::Row(row) => row.get(0),
                    _ => None,
                });
                let batch: LogBatch = rmp_serde::from_slice(&from_hex(
                    row.context("the primary returned no row for a pull")?,
                )?)?;
                self.model().apply_batch(batch);
                self.log_changed.notify_waiters();
                tokio::time::sleep(self.options.pull_interval).await;
            }
        };
        let outcome = pull_loop.await;
        connection.abort();
        outcome
    }

    async fn execute_batch(&self, id: ConnectionId, batch: &str) -> PgWireResult<Vec<Response>> {
        if let Some(arguments) = batch.strip_prefix(CHANGES_PREFIX) {
            return self.changes(arguments);
        }
        let last_statement = batch.rsplit(";\n").next().unwrap_or_default();
        if let Some(arguments) = last_statement.strip_prefix(AWAIT_PREFIX) {
            self.wait_for_log_point(arguments).await;
        }
        // The proxy's own calls need no slot and take no statement time.
        let proxy_call = last_statement.starts_with(endpoint_sql::FUNCTION_QUERY);
        let _slot = if proxy_call { None } else { self.slots.acquire().await.ok() };
        if !proxy_call && !self.options.statement_time.is_zero() {
            tokio::time::sleep(self.options.statement_time).await;
        }
        let (results, problem) = self.model().execute(id, batch);
        let texts = batch.split(";\n");
        let results = results.iter().zip(texts).map(|(result, text)| to_response(result, text));
        let problem = problem
            .map(|problem| Response::Error(Box::new(error_info(&problem.code, &problem.message))));
        Ok(results.chain(problem).collect())
    }

    async fn wait_for_log_point(&self, arguments: &str) {
        let numbers: Vec<u64> = arguments
            .trim_end_matches(')')
            .split(',')
            .filter_map(|number| number.trim().parse().ok())
            .collect();
        let [term, position, wait_ms] = numbers[..] else { return };
        let point = endpoint_message::LogPoint { term, position };
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let log_changed = self.log_changed.notified();
            let status = self.model().status();
            if status.reached(point) || status.adopted_term > term {
                return;
            }
            if tokio::time::timeout_at(deadline, log_changed).await.is_err() {
                return;
            }
        }
    }

    fn changes(&self, arguments: &str) -> PgWireResult<Vec<Response>> {
        let malformed = || sql_error("42601", "malformed arguments");
        let arguments = arguments.trim_end_matches(')');
        let (term, ends) = arguments.split_once(',').ok_or_else(malformed)?;
        let term: u64 = term.trim().parse().map_err(|_| malformed())?;
        let ends = from_hex(ends.trim().trim_matches('\'')).map_err(|_| malformed())?;
        let ends = rmp_serde::from_slice(&ends).map_err(|_| malformed())?;
        let batch = self.model().changes_after(term, &ends);
        let batch = batch.ok_or_else(|| {
            sql_error(endpoint_sql::STATE_WRONG_TERM, "not the primary of this term")
        })?;
        let bytes = rmp_serde::to_vec(&batch).map_err(|_| malformed())?;
        let result = endpoint_sql::SqlResult {
            columns: vec!["batch".to_owned()],
            rows: vec![vec![Some(to_hex(&bytes))]],
            affected: 1,
        };
        Ok(vec![to_response(&result, "SELECT")])
    }

    fn model(&self) -> std::sync::MutexGuard<'_, DatabaseModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug)]
struct ConnectionHandlers {
    handler: Arc<ConnectionHandler>,
}

impl PgWireServerHandlers for ConnectionHandlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
        self.handler.clone()
    }

    fn startup_handler(&self) -> Arc<impl StartupHandler> {
        self.handler.clone()
    }
}

#[derive(Debug)]
struct ConnectionHandler {
    id: ConnectionId,
    program: Arc<EndpointProgram>,
}

impl NoopStartupHandler for ConnectionHandler {}

#[async_trait]
impl SimpleQueryHandler for ConnectionHandler {
    async fn do_query<C>(&self, _client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        self.program.execute_batch(self.id, query).await
    }
}

fn to_response(result: &endpoint_sql::SqlResult, text: &str) -> Response {
    if result.columns.is_empty() {
        let verb = text.split_whitespace().next().unwrap_or("OK").to_ascii_uppercase();
        return Response::Execution(Tag::new(&verb).with_rows(result.affected as usize));
    }
    let field =
        |name: &String| FieldInfo::new(name.clone(), None, None, Type::TEXT, FieldFormat::Text);
    let fields = Arc::new(result.columns.iter().map(field).collect::<Vec<_>>());
    let mut encoder = DataRowEncoder::new(fields.clone());
    let rows: Vec<_> = result
        .rows
        .iter()
        .map(|row| {
            row.iter().try_for_each(|value| encoder.encode_field(value))?;
            Ok(encoder.take_row())
        })
        .collect();
    Response::Query(QueryResponse::new(fields, stream::iter(rows)))
}

fn sql_error(code: &str, message: &str) -> PgWireError {
    PgWireError::UserError(Box::new(error_info(code, message)))
}

fn error_info(code: &str, message: &str) -> ErrorInfo {
    ErrorInfo::new("ERROR".to_owned(), code.to_owned(), message.to_owned())
}

fn to_hex(bytes: &[u8]) -> String {
    quetzaldeal::config::key_secret::to_hex(bytes)
}

fn from_hex(text: &str) -> Result<Vec<u8>> {
    let digit =
        |index: usize| text.get(index..index + 2).context("odd number of hexadecimal digits");
    (0..text.len()).step_by(2).map(|index| Ok(u8::from_str_radix(digit(index)?, 16)?)).collect()
}
