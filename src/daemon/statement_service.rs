//! The way of a caller's statement through Volo services and layers, whichever door it came by.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Instant;

use motore::Service;
use motore::layer::Layer;

use crate::core::core_message;
use crate::daemon::caller_registry;
use crate::daemon::latency_histograms;

/// Who sends a statement.
#[derive(Debug, Clone)]
pub struct CallerContext {
    /// The door's number.
    pub caller: core_message::CallerId,
    /// The account.
    pub account: String,
}

/// The innermost service: asks the decision core.
#[derive(Debug, Clone)]
pub struct CoreService {
    registry: Arc<caller_registry::CallerRegistry>,
}

impl CoreService {
    /// Builds the service on a desk.
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

/// Adds the recording of each statement's latency to a service.
#[derive(Debug, Clone)]
pub struct LatencyLayer {
    histograms: Arc<latency_histograms::LatencyHistograms>,
}

impl LatencyLayer {
    /// Builds the layer on the book that latencies go to.
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

/// Records the latency of each statement.
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

/// The service that doors hand statements to.
pub type StatementService = LatencyService<CoreService>;

/// Builds the service with its layers.
pub fn build(
    registry: Arc<caller_registry::CallerRegistry>,
    histograms: Arc<latency_histograms::LatencyHistograms>,
) -> StatementService {
    LatencyLayer::new(histograms).layer(CoreService::new(registry))
}
