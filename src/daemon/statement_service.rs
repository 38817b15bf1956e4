//! The service for callers' statements: a stack of Volo layers around the decision core.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Instant;

use motore::Service;
use motore::layer::Layer;

use crate::core::core_message;
use crate::daemon::caller_registry;
use crate::daemon::latency_histograms;

/// The sender of a statement.
#[derive(Debug, Clone)]
pub struct CallerContext {
    /// The connection that the statement arrived on.
    pub caller: core_message::CallerId,
    /// The client account of the connection.
    pub account: String,
}

/// The innermost service: passes statements to the decision core.
#[derive(Debug, Clone)]
pub struct CoreService {
    registry: Arc<caller_registry::CallerRegistry>,
}

impl CoreService {
    /// Creates a service that submits statements through `registry`.
    pub fn new(registry: Arc<caller_registry::CallerRegistry>) -> Self {
        Self { registry }
    }
}

impl Service<CallerContext, String> for CoreService {
    type Response = caller_registry::CallerResponse;
    type Error = Infallible;

    async fn call(
        &self,
        context: &mut CallerContext,
        text: String,
    ) -> Result<Self::Response, Self::Error> {
        let caller = context.caller;
        Ok(self
            .registry
            .submit(caller, core_message::CoreEvent::StatementArrived { caller, text })
            .await)
    }
}

/// Layer that records the latency of each statement by account.
#[derive(Debug, Clone)]
pub struct LatencyLayer {
    histograms: Arc<latency_histograms::LatencyHistograms>,
}

impl LatencyLayer {
    /// Creates a layer that records latencies in `histograms`.
    pub fn new(histograms: Arc<latency_histograms::LatencyHistograms>) -> Self {
        Self { histograms }
    }
}

impl<S> Layer<S> for LatencyLayer {
    type Service = LatencyService<S>;

    fn layer(self, inner: S) -> Self::Service {
        LatencyService { inner, histograms: self.histograms }
    }
}

/// Service that records the latency of each statement of the inner service.
#[derive(Debug, Clone)]
pub struct LatencyService<S> {
    inner: S,
    histograms: Arc<latency_histograms::LatencyHistograms>,
}

impl<S> Service<CallerContext, String> for LatencyService<S>
where
    S: Service<CallerContext, String> + Send + Sync,
{
    type Response = S::Response;
    type Error = S::Error;

    async fn call(
        &self,
        context: &mut CallerContext,
        text: String,
    ) -> Result<Self::Response, Self::Error> {
        let started = Instant::now();
        let response = self.inner.call(context, text).await;
        self.histograms.record(&context.account, started.elapsed());
        response
    }
}

/// The whole stack of services for statements of callers.
pub type StatementService = LatencyService<CoreService>;

/// Builds the stack of services.
pub fn build(
    registry: Arc<caller_registry::CallerRegistry>,
    histograms: Arc<latency_histograms::LatencyHistograms>,
) -> StatementService {
    LatencyLayer::new(histograms).layer(CoreService::new(registry))
}
