//! Registry of OpenTelemetry metrics, exported in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

const METER_NAME: &str = "guavaarch";

/// Value of the `Content-Type` header for [`Metrics::text`].
pub const TEXT_FORMAT: &str = prometheus::TEXT_FORMAT;

/// Registry of the metrics of a process. Clones share the same metrics.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build();
        let builder = SdkMeterProvider::builder();
        // Building the exporter fails only if its collector is already registered, and this registry is new.
        let provider = match exporter {
            Ok(exporter) => builder.with_reader(exporter).build(),
            Err(_) => builder.build(),
        };
        Self { registry, provider }
    }
}

impl Metrics {
    /// Returns the meter with which to create instruments; [`Metrics::text`] includes their values.
    pub fn meter(&self) -> Meter {
        self.provider.meter(METER_NAME)
    }

    /// Returns all metrics in the Prometheus text format, or an empty string if they cannot be encoded.
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new().encode_to_string(&families).unwrap_or_default()
    }
}
