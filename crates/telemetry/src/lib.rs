//! Registry of metrics and its text form.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

const METER: &str = "guavaarch";

/// Content type of [`Metrics::text`].
pub const TEXT_FORMAT: &str = prometheus::TEXT_FORMAT;

/// Registry of metrics and the meter that feeds it.
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
        // The exporter can only fail when its collector is registered twice, and the registry is new.
        let provider = match exporter {
            Ok(exporter) => builder.with_reader(exporter).build(),
            Err(_) => builder.build(),
        };
        Self { registry, provider }
    }
}

impl Metrics {
    /// Meter whose instruments the registry shows.
    pub fn meter(&self) -> Meter {
        self.provider.meter(METER)
    }

    /// All metrics in Prometheus's text format.
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new().encode_to_string(&families).unwrap_or_default()
    }
}
