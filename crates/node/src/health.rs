//! Liveness, readiness and metrics endpoints, which programs mount on their HTTP server.

use std::sync::Arc;

use crate::intake::ClientBudget;
use crate::shared::Shared;
use guava_telemetry::Metrics;

/// Response to a request for `/healthz`, `/readyz` or `/metrics`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: &'static str,
    /// Response body in the format of `content_type`.
    pub body: String,
}

/// Handle that answers health checks of the process; cheap to clone.
#[derive(Debug, Clone)]
pub struct Health {
    pub(crate) shared: Arc<Shared>,
    pub(crate) metrics: Metrics,
}

impl Health {
    /// Whether the process is ready to take requests; same as [`Runtime::ready`](crate::runtime::Runtime::ready).
    pub fn ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Budget for what the process holds for its clients.
    pub fn budget(&self) -> Arc<ClientBudget> {
        Arc::clone(&self.shared.budget)
    }

    /// Response for `path`, or `None` when `path` is not a health or metrics endpoint.
    pub fn answer(&self, path: &str) -> Option<HealthResponse> {
        match path {
            "/healthz" => Some(plain_text(200, "ok\n".to_owned())),
            "/readyz" if self.ready() => Some(plain_text(200, "ready\n".to_owned())),
            "/readyz" => Some(plain_text(503, format!("{}\n", self.not_ready_reason()))),
            "/metrics" => Some(HealthResponse {
                status: 200,
                content_type: guava_telemetry::TEXT_FORMAT,
                body: self.metrics.text(),
            }),
            _ => None,
        }
    }

    fn not_ready_reason(&self) -> &'static str {
        if self.shared.is_shutting_down() {
            "shutting down"
        } else if self.shared.is_configured() {
            "isolated"
        } else {
            "configuration has not arrived"
        }
    }
}

fn plain_text(status: u16, body: String) -> HealthResponse {
    HealthResponse {
        status,
        content_type: "text/plain; charset=utf-8",
        body,
    }
}
