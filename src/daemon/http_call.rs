//! Calls between our processes: HTTP with MessagePack bodies, on Volo.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo::net::Address;
use volo_http::body::BodyConversion;
use volo_http::client::{Client, ClientBuilder};
use volo_http::http::StatusCode;
use volo_http::server::Server;
use volo_http::server::route::{Router, post};

/// The largest body accepted, in bytes.
pub const BODY_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Makes a client for calls to any address.
///
/// # Errors
///
/// Fails when the client cannot be built.
pub fn client(connect_timeout: Duration) -> Result<Client> {
    let mut builder = ClientBuilder::new();
    builder.set_connect_timeout(connect_timeout);
    builder.build().context("cannot build the HTTP client")
}

/// Posts a message and reads the reply.
///
/// # Errors
///
/// Fails when there is no answer in time, when the answer is an error, or when it is malformed.
pub async fn post_message<Q: Serialize, A: DeserializeOwned>(
    client: &Client,
    address: &str,
    path: &str,
    message: &Q,
    timeout: Duration,
) -> Result<A> {
    let target: SocketAddr =
        address.parse().with_context(|| format!("address {address:?} is no IP and port"))?;
    let body = rmp_serde::to_vec(message)?;
    let request = client.post(format!("http://{address}{path}")).address(target).data(body);
    let response = tokio::time::timeout(timeout, request.send())
        .await
        .with_context(|| format!("{address} gave no answer within {} ms", timeout.as_millis()))?
        .with_context(|| format!("cannot reach {address}"))?;
    let status = response.status();
    let body = tokio::time::timeout(timeout, response.into_body().into_vec())
        .await
        .with_context(|| format!("{address} stopped answering"))??;
    if !status.is_success() {
        bail!("{address}{path} answered {status}: {}", String::from_utf8_lossy(&body));
    }
    rmp_serde::from_slice(&body).with_context(|| format!("{address}{path}: malformed answer"))
}

/// Reads a message from a request's body.
///
/// # Errors
///
/// The status and text to answer with, for a body that is too large or malformed.
pub fn read_message<Q: DeserializeOwned>(body: &[u8]) -> Result<Q, (StatusCode, String)> {
    if body.len() > BODY_MAX_BYTES {
        let text = format!("body of {} bytes; at most {BODY_MAX_BYTES}", body.len());
        return Err((StatusCode::PAYLOAD_TOO_LARGE, text));
    }
    rmp_serde::from_slice(body)
        .map_err(|error| (StatusCode::BAD_REQUEST, format!("malformed message: {error}")))
}

/// Writes a message as a response's body.
///
/// # Errors
///
/// The status and text to answer with, for a message that cannot be written.
pub fn write_message<A: Serialize>(message: &A) -> Result<Vec<u8>, (StatusCode, String)> {
    rmp_serde::to_vec(message)
        .map_err(|error| (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))
}

/// Serves message handlers by path until the process is told to stop.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub async fn serve(address: &str, router: Router) -> Result<()> {
    let address: SocketAddr =
        address.parse().with_context(|| format!("address {address:?} is no IP and port"))?;
    Server::new(router)
        .run(Address::from(address))
        .await
        .map_err(|error| anyhow::anyhow!("cannot serve at {address}: {error}"))
}

/// Adds a path whose handler takes and gives messages.
pub fn route_messages<Q, A, H, F>(router: Router, path: &str, handler: H) -> Router
where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Send + 'static,
    H: Fn(Q) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<A, (StatusCode, String)>> + Send + 'static,
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
