//! Calls between hosts, operators and the platform: HTTP with MessagePack bodies, built on Volo.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use volo::net::incoming::DefaultIncoming;
use volo_http::body::BodyConversion;
use volo_http::client::{Client, ClientBuilder};
use volo_http::http::StatusCode;
use volo_http::server::Server;
use volo_http::server::route::{Router, post};

/// Largest request body accepted, in bytes.
pub const BODY_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Creates an HTTP client for calls to any address.
///
/// # Errors
///
/// Fails when the client cannot be built.
pub fn client(connect_timeout: Duration) -> Result<Client> {
    let mut builder = ClientBuilder::new();
    builder.set_connect_timeout(connect_timeout);
    builder.build().context("failed to build the HTTP client")
}

/// Posts a message and returns the decoded reply.
///
/// # Errors
///
/// Fails when the headers, or after them the body, do not arrive within `timeout`, and when the
/// reply has an error status or is malformed.
pub async fn post_message<M: Serialize, R: DeserializeOwned>(
    client: &Client,
    address: &str,
    path: &str,
    message: &M,
    timeout: Duration,
) -> Result<R> {
    let target: SocketAddr = address
        .parse()
        .with_context(|| format!("address {address:?}: expected an IP address and port"))?;
    let body = rmp_serde::to_vec(message)?;
    let request = client.post(format!("http://{address}{path}")).address(target).data(body);
    let response = tokio::time::timeout(timeout, request.send())
        .await
        .with_context(|| format!("{address} did not reply within {} ms", timeout.as_millis()))?
        .with_context(|| format!("failed to reach {address}"))?;
    let status = response.status();
    let body = tokio::time::timeout(timeout, response.into_body().into_vec())
        .await
        .with_context(|| format!("{address} did not send its whole reply in time"))??;
    if !status.is_success() {
        bail!("{address}{path} returned {status}: {}", String::from_utf8_lossy(&body));
    }
    rmp_serde::from_slice(&body).with_context(|| format!("{address}{path}: malformed reply"))
}

/// Decodes a message from a request body.
///
/// # Errors
///
/// Returns the HTTP status and text to respond with when the body is too large or malformed.
pub fn read_message<M: DeserializeOwned>(body: &[u8]) -> Result<M, (StatusCode, String)> {
    if body.len() > BODY_MAX_BYTES {
        let text = format!("body of {} bytes; at most {BODY_MAX_BYTES}", body.len());
        return Err((StatusCode::PAYLOAD_TOO_LARGE, text));
    }
    rmp_serde::from_slice(body)
        .map_err(|error| (StatusCode::BAD_REQUEST, format!("malformed message: {error}")))
}

/// Encodes a message as a response body.
///
/// # Errors
///
/// Returns the HTTP status and text to respond with when the message cannot be encoded.
pub fn write_message<R: Serialize>(message: &R) -> Result<Vec<u8>, (StatusCode, String)> {
    rmp_serde::to_vec(message)
        .map_err(|error| (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))
}

/// Serves the paths of a router until the process receives a stop signal.
///
/// The library ends a server at SIGHUP as well, which here means changed settings. Another one then
/// accepts on the same listener, while the first completes its calls.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve(address: &str, router: impl Fn() -> Router) -> Result<()> {
    let address: SocketAddr = address
        .parse()
        .with_context(|| format!("address {address:?}: expected an IP address and port"))?;
    let failed = || format!("failed to serve at {address}");
    let listener = TcpListener::bind(address).await.with_context(failed)?;
    let listener = listener.into_std().with_context(failed)?;
    let mut hangups = signal(SignalKind::hangup()).with_context(failed)?;
    loop {
        let clone = listener.try_clone().with_context(failed)?;
        let incoming = DefaultIncoming::from(TcpListener::from_std(clone).with_context(failed)?);
        let server = tokio::spawn(Server::new(router()).run(incoming));
        tokio::select! {
            // A hangup ends the server, too, so it is looked for first.
            biased;
            _ = hangups.recv() => log::info!("event=http_server_replaced address={address}"),
            served = server => {
                let served = served.with_context(failed)?;
                return served.map_err(|error| anyhow::anyhow!("{}: {error}", failed()));
            }
        }
    }
}

/// Adds a POST path whose handler receives a decoded message and returns the reply to encode.
pub fn route_messages<M, R, H, F>(router: Router, path: &str, handler: H) -> Router
where
    M: DeserializeOwned + Send + 'static,
    R: Serialize + Send + 'static,
    H: Fn(M) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<R, (StatusCode, String)>> + Send + 'static,
{
    let respond = move |body: Bytes| {
        let handler = handler.clone();
        async move {
            let message = read_message(&body)?;
            let reply = handler(message).await?;
            write_message(&reply)
        }
    };
    router.route(path, post(respond))
}
