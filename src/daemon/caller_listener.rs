//! Listens for callers and serves them over the PostgreSQL wire protocol.

use std::fmt::Debug;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use anyhow::{Context, Result};
use async_trait::async_trait;
use futures::{Sink, SinkExt, stream};
use motore::Service;
use pgwire::api::auth::{self, DefaultServerParameterProvider, StartupHandler};
use pgwire::api::portal::Portal;
use pgwire::api::query::{ExtendedQueryHandler, SimpleQueryHandler};
use pgwire::api::results::{DataRowEncoder, FieldFormat, FieldInfo, QueryResponse, Response, Tag};
use pgwire::api::stmt::NoopQueryParser;
use pgwire::api::store::PortalStore;
use pgwire::api::{
    ClientInfo, ClientPortalStore, METADATA_DATABASE, METADATA_USER, PgWireConnectionState,
    PgWireServerHandlers, Type,
};
use pgwire::error::{ErrorInfo, PgWireError, PgWireResult};
use pgwire::messages::extendedquery::Parse;
use pgwire::messages::startup::Authentication;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::core::core_message;
use crate::core::request_verdict;
use crate::daemon::caller_connection;
use crate::daemon::caller_registry;
use crate::daemon::statement_service;

/// Delay before a connection is closed, in which its last response is written.
const FLUSH_DELAY: Duration = Duration::from_millis(50);
/// Longest wait for connections to close when the host stops.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Prefix of the settings that callers may give in the startup options.
const SETTING_PREFIX: &str = "quetzaldeal.";
/// SQLSTATE `feature_not_supported`.
const STATE_NOT_SUPPORTED: &str = "0A000";

/// Accepts and serves callers at `address` until `stop` is cancelled and the open connections have
/// closed, or `CLOSE_TIMEOUT` is over.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve(
    address: &str,
    registry: Arc<caller_registry::CallerRegistry>,
    service: statement_service::StatementService,
    stop: CancellationToken,
) -> Result<()> {
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("failed to listen for callers at {address}"))?;
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((socket, _)) => {
                let connection =
                    serve_caller(socket, registry.clone(), service.clone(), stop.child_token());
                tokio::spawn(connection);
            }
            Err(error) => log::warn!("failed to accept a connection of a caller: {error}"),
        }
    }
    await_connections_closed(&registry).await;
    Ok(())
}

/// Waits until all connections have closed, at most `CLOSE_TIMEOUT`.
async fn await_connections_closed(registry: &caller_registry::CallerRegistry) {
    let started = tokio::time::Instant::now();
    while registry.open_count() > 0 && started.elapsed() < CLOSE_TIMEOUT {
        tokio::time::sleep(FLUSH_DELAY / 5).await;
    }
}

async fn serve_caller(
    socket: TcpStream,
    registry: Arc<caller_registry::CallerRegistry>,
    service: statement_service::StatementService,
    close: CancellationToken,
) {
    // Responses are small, so Nagle's algorithm would only delay them.
    drop(socket.set_nodelay(true));
    let caller = registry.register(close.clone());
    let handler = Arc::new(CallerHandler {
        caller,
        registry: registry.clone(),
        service,
        account: OnceLock::new(),
        parser: Arc::new(NoopQueryParser::new()),
    });
    let close_after_flush = async {
        close.cancelled().await;
        tokio::time::sleep(FLUSH_DELAY).await;
    };
    tokio::select! {
        ended = caller_connection::serve(socket, CallerHandlers { handler }) => {
            if let Err(error) = ended {
                log::debug!("connection of caller {caller} failed: {error}");
            }
        }
        () = close_after_flush => {}
    }
    registry.deregister(caller).await;
}

/// Gives `pgwire` the handlers of one caller's connection.
#[derive(Debug)]
struct CallerHandlers {
    handler: Arc<CallerHandler>,
}

impl PgWireServerHandlers for CallerHandlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
        self.handler.clone()
    }

    fn extended_query_handler(&self) -> Arc<impl ExtendedQueryHandler> {
        self.handler.clone()
    }

    fn startup_handler(&self) -> Arc<impl StartupHandler> {
        self.handler.clone()
    }
}

/// Handles the protocol messages of one caller's connection.
#[derive(Debug)]
struct CallerHandler {
    caller: core_message::CallerId,
    registry: Arc<caller_registry::CallerRegistry>,
    service: statement_service::StatementService,
    account: OnceLock<String>,
    parser: Arc<NoopQueryParser>,
}

impl CallerHandler {
    async fn run_statement(&self, text: &str) -> caller_registry::CallerResponse {
        let account = self.account.get().cloned().unwrap_or_default();
        let mut context = statement_service::CallerContext { caller: self.caller, account };
        match self.service.call(&mut context, text.to_owned()).await {
            Ok(response) => response,
            Err(never) => match never {},
        }
    }

    fn login_event(&self, client: &impl ClientInfo, key: &str) -> core_message::CoreEvent {
        let metadata = client.metadata();
        let field = |name: &str| metadata.get(name).cloned().unwrap_or_default();
        let account = field(METADATA_USER);
        // `pgwire` allows one login per connection, so the account is set only once.
        drop(self.account.set(account.clone()));
        core_message::CoreEvent::CallerOpened {
            caller: self.caller,
            account,
            key: key.to_owned(),
            service: field(METADATA_DATABASE),
            settings: startup_settings(&field("options")),
        }
    }
}

#[async_trait]
impl StartupHandler for CallerHandler {
    async fn on_startup<C>(
        &self,
        client: &mut C,
        message: PgWireFrontendMessage,
    ) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        match message {
            PgWireFrontendMessage::Startup(startup) => {
                auth::protocol_negotiation(client, &startup).await?;
                auth::save_startup_parameters_to_metadata(client, &startup);
                client.set_state(PgWireConnectionState::AuthenticationInProgress);
                let password_request = Authentication::CleartextPassword;
                client.send(PgWireBackendMessage::Authentication(password_request)).await?;
                Ok(())
            }
            PgWireFrontendMessage::PasswordMessageFamily(message) => {
                let key = message.into_password()?.password;
                let event = self.login_event(client, &key);
                let response = self.registry.submit(self.caller, event).await;
                if response.verdict.fate != request_verdict::RequestFate::Ran {
                    return Err(verdict_error(&response.verdict, "FATAL"));
                }
                auth::finish_authentication(client, &DefaultServerParameterProvider::default())
                    .await
            }
            _ => Ok(()),
        }
    }
}

#[async_trait]
impl SimpleQueryHandler for CallerHandler {
    async fn do_query<C>(&self, _client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let response = self.run_statement(query).await;
        query_response(response).map(|message| vec![message])
    }
}

#[async_trait]
impl ExtendedQueryHandler for CallerHandler {
    type Statement = String;
    type QueryParser = NoopQueryParser;

    fn query_parser(&self) -> Arc<Self::QueryParser> {
        self.parser.clone()
    }

    async fn on_parse<C>(&self, _client: &mut C, _message: Parse) -> PgWireResult<()>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        Err(not_supported())
    }

    async fn do_query<C>(
        &self,
        _client: &mut C,
        _portal: &Portal<Self::Statement>,
        _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        Err(not_supported())
    }
}

fn not_supported() -> PgWireError {
    let text = "prepared statements are not served; use the simple query protocol \
                (verdict: not run)";
    user_error("ERROR", STATE_NOT_SUPPORTED, text)
}

/// Returns the names and values of the `-c quetzaldeal.name=value` pairs in the startup options and
/// ignores all other options.
fn startup_settings(options: &str) -> Vec<(String, String)> {
    let words = options.split_whitespace();
    let assignments = words.filter_map(|word| {
        let word = word.strip_prefix("-c").unwrap_or(word);
        let (name, value) = word.strip_prefix(SETTING_PREFIX)?.split_once('=')?;
        Some((name.to_owned(), value.to_owned()))
    });
    assignments.collect()
}

/// Encodes a response for the wire: an error, a command tag, or rows in text format.
fn query_response(response: caller_registry::CallerResponse) -> PgWireResult<Response> {
    let caller_registry::CallerResponse { verdict, body, in_transaction } = response;
    if verdict.fate != request_verdict::RequestFate::Ran || verdict.sqlstate() != "00000" {
        return Err(verdict_error(&verdict, "ERROR"));
    }
    match body.tag.as_str() {
        "BEGIN" | "START" => return Ok(Response::TransactionStart(Tag::new("BEGIN"))),
        "COMMIT" | "END" => return Ok(Response::TransactionEnd(Tag::new("COMMIT"))),
        "ROLLBACK" | "ABORT" => return Ok(Response::TransactionEnd(Tag::new("ROLLBACK"))),
        _ => {}
    }
    if body.columns.is_empty() {
        let tag = Tag::new(&body.tag);
        let tag = match body.tag.as_str() {
            "INSERT" => tag.with_oid(0).with_rows(body.affected as usize),
            "UPDATE" | "DELETE" | "SELECT" => tag.with_rows(body.affected as usize),
            _ => tag,
        };
        log::trace!("responded with tag {}, in transaction: {in_transaction}", body.tag);
        return Ok(Response::Execution(tag));
    }
    let field =
        |name: &String| FieldInfo::new(name.clone(), None, None, Type::TEXT, FieldFormat::Text);
    let fields = Arc::new(body.columns.iter().map(field).collect::<Vec<_>>());
    let mut encoder = DataRowEncoder::new(fields.clone());
    let rows: Vec<_> = body
        .rows
        .iter()
        .map(|row| {
            row.iter().try_for_each(|value| encoder.encode_field(value))?;
            Ok(encoder.take_row())
        })
        .collect();
    Ok(Response::Query(QueryResponse::new(fields, stream::iter(rows))))
}

/// Encodes a verdict as an error whose detail field states whether the statement ran.
fn verdict_error(verdict: &request_verdict::RequestVerdict, severity: &str) -> PgWireError {
    let mut info =
        ErrorInfo::new(severity.to_owned(), verdict.sqlstate().to_owned(), verdict.message());
    info.detail = Some(verdict.detail());
    PgWireError::UserError(Box::new(info))
}

fn user_error(severity: &str, state: &str, text: &str) -> PgWireError {
    PgWireError::UserError(Box::new(ErrorInfo::new(
        severity.to_owned(),
        state.to_owned(),
        text.to_owned(),
    )))
}
