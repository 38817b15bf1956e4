//! Executes the core's calls to the platform's key-value store.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use volo_http::client::Client;

use crate::core::core_message;
use crate::core::platform_message;
use crate::daemon::http_call;
use crate::daemon::ring_channel;

/// HTTP path of the platform's key-value store.
pub const PLATFORM_PATH: &str = "/v1/store";
/// Longest wait for a reply from the platform, on top of the wait that a watch requests.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Executes calls until the core drops its sender.
///
/// # Errors
///
/// Fails when the HTTP client cannot be built.
pub async fn drive(
    address: String,
    events: ring_channel::RingSender<core_message::CoreEvent>,
    mut actions: ring_channel::TaskReceiver<core_message::CoreAction>,
) -> Result<()> {
    let client = http_call::client(PLATFORM_TIMEOUT)?;
    let events = Arc::new(events);
    while let Some(action) = actions.receive().await {
        if let core_message::CoreAction::CallPlatform { call, request } = action {
            tokio::spawn(handle_call(
                client.clone(),
                address.clone(),
                events.clone(),
                call,
                request,
            ));
        }
    }
    Ok(())
}

/// Sends one request to the platform and returns the reply, without retries.
///
/// # Errors
///
/// Fails when no valid reply arrives; the request may have taken effect nevertheless.
pub async fn call(
    client: &Client,
    address: &str,
    request: &platform_message::PlatformRequest,
) -> Result<platform_message::PlatformReply> {
    let wait = match request {
        platform_message::PlatformRequest::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms),
        _ => Duration::ZERO,
    };
    let timeout = PLATFORM_TIMEOUT + wait;
    http_call::post_message(client, address, PLATFORM_PATH, request, timeout).await
}

/// Calls the platform and reports the reply, or its lack, to the core.
async fn handle_call(
    client: Client,
    address: String,
    events: Arc<ring_channel::RingSender<core_message::CoreEvent>>,
    id: core_message::CallId,
    request: platform_message::PlatformRequest,
) {
    let reply = call(&client, &address, &request).await;
    if let Err(error) = &reply {
        log::debug!("call to the platform failed: {error:#}");
    }
    events.send(core_message::CoreEvent::PlatformReplied { call: id, reply: reply.ok() }).await;
}
