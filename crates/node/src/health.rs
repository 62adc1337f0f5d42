//! Liveness, readiness and metrics for programs to mount on their HTTP server.

use std::sync::Arc;

use crate::shared::Shared;
use guava_telemetry::Metrics;

/// Answer to a request for `/healthz`, `/readyz` or `/metrics`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: &'static str,
    /// Body.
    pub body: String,
}

/// Handle that answers for the process; cheap to clone.
#[derive(Debug, Clone)]
pub struct Health {
    pub(crate) shared: Arc<Shared>,
    pub(crate) metrics: Metrics,
}

impl Health {
    /// Whether the process takes requests.
    pub fn ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Answer for `path`, or `None` when the path is another one.
    pub fn answer(&self, path: &str) -> Option<HealthAnswer> {
        match path {
            "/healthz" => Some(plain(200, "ok\n".to_owned())),
            "/readyz" if self.ready() => Some(plain(200, "ready\n".to_owned())),
            "/readyz" => Some(plain(503, format!("{}\n", self.reason()))),
            "/metrics" => Some(HealthAnswer {
                status: 200,
                content_type: guava_telemetry::TEXT_FORMAT,
                body: self.metrics.text(),
            }),
            _ => None,
        }
    }

    fn reason(&self) -> &'static str {
        if self.shared.is_shutting_down() {
            "shutting down"
        } else if self.shared.is_configured() {
            "isolated"
        } else {
            "configuration has not arrived"
        }
    }
}

fn plain(status: u16, body: String) -> HealthAnswer {
    HealthAnswer {
        status,
        content_type: "text/plain; charset=utf-8",
        body,
    }
}
