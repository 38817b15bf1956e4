//! Serves a [`platform_model::PlatformModel`] over HTTP, with injected faults.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::Result;
use quetzaldeal::core::platform_message;
use quetzaldeal::daemon::http_call;
use quetzaldeal::daemon::platform_driver::PLATFORM_PATH;
use tokio::sync::Notify;
use volo_http::http::StatusCode;
use volo_http::server::route::Router;

use crate::fault_message;
use crate::platform_model;

/// HTTP path that returns the counts of calls.
pub const COUNTS_PATH: &str = "/v1/counts";
/// How long a withheld reply keeps the connection open before it fails.
const OUTAGE_REPLY_DELAY: Duration = Duration::from_secs(30);

/// The stand-in for the platform's key-value service.
#[derive(Debug, Default)]
pub struct PlatformProgram {
    model: Mutex<platform_model::PlatformModel>,
    faults: Mutex<fault_message::PlatformFaults>,
    store_changed: Notify,
}

type PlatformResult = Result<platform_message::PlatformReply, (StatusCode, String)>;

impl PlatformProgram {
    /// Listens on `address` until the process ends.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn serve(self, address: &str) -> Result<()> {
        let program = Arc::new(self);
        http_call::serve(address, || Self::router(&program)).await
    }

    fn router(program: &Arc<Self>) -> Router {
        let store = program.clone();
        let router = http_call::route_messages(Router::new(), PLATFORM_PATH, move |request| {
            let program = store.clone();
            async move { program.handle_request(request).await }
        });
        let counts = program.clone();
        let router = http_call::route_messages(router, COUNTS_PATH, move |(): ()| {
            let platform_model::CallCounts { reads, writes } = counts.model().counts();
            async move { Ok((reads, writes)) }
        });
        let program = program.clone();
        http_call::route_messages(router, fault_message::FAULT_PATH, move |faults| {
            *program.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
            async move { Ok(()) }
        })
    }

    async fn handle_request(&self, request: platform_message::PlatformRequest) -> PlatformResult {
        let faults = self.faults();
        if faults.outage {
            return self.withhold_reply().await;
        }
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        if let platform_message::PlatformRequest::Watch { prefix, after, wait_ms } = &request {
            return self.watch(&request, prefix, *after, Duration::from_millis(*wait_ms)).await;
        }
        let reply = self.model().handle(&request);
        if matches!(reply, Some(platform_message::PlatformReply::Swapped { .. })) {
            self.store_changed.notify_waiters();
            if self.consume_lost_reply() {
                return self.withhold_reply().await;
            }
        }
        reply.ok_or((StatusCode::BAD_REQUEST, "no answer".to_owned()))
    }

    async fn watch(
        &self,
        request: &platform_message::PlatformRequest,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> PlatformResult {
        let deadline = tokio::time::Instant::now() + wait;
        let mut reply = self.model().handle(request);
        loop {
            if self.faults().outage {
                return self.withhold_reply().await;
            }
            if let Some(reply) = reply {
                return Ok(reply);
            }
            let store_changed = self.store_changed.notified();
            reply = self.model().changes(prefix, after);
            if reply.is_none() && tokio::time::timeout_at(deadline, store_changed).await.is_err() {
                return Ok(self.model().snapshot(prefix, after));
            }
        }
    }

    async fn withhold_reply(&self) -> PlatformResult {
        tokio::time::sleep(OUTAGE_REPLY_DELAY).await;
        Err((StatusCode::SERVICE_UNAVAILABLE, "outage".to_owned()))
    }

    fn consume_lost_reply(&self) -> bool {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let lost = faults.lose_replies > 0;
        faults.lose_replies = faults.lose_replies.saturating_sub(1);
        lost
    }

    fn faults(&self) -> fault_message::PlatformFaults {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn model(&self) -> std::sync::MutexGuard<'_, platform_model::PlatformModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
