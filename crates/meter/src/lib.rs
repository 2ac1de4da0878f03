//! Metric instruments and their export in the Prometheus text format.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bucket boundaries of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Creates the instruments of one component and exports their values.
///
/// ```
/// let exporter = meter::Exporter::new("api");
/// exporter.counter("api_calls").add(2, &[]);
/// let text = String::from_utf8(exporter.encode()).unwrap();
/// assert!(text.contains("api_calls_total 2"));
/// ```
#[derive(Debug)]
pub struct Exporter {
    registry: Registry,
    // Kept alive because dropping the provider ends the collection.
    _provider: SdkMeterProvider,
    meter: Meter,
}

impl Exporter {
    /// Creates an exporter whose instruments have the scope `component`.
    ///
    /// ```
    /// assert!(meter::Exporter::new("api").encode().is_empty());
    /// ```
    pub fn new(component: &'static str) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .expect("a new registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(component);
        Self {
            registry,
            _provider: provider,
            meter,
        }
    }

    /// Creates a counter; its exported name ends in `_total`.
    ///
    /// ```
    /// meter::Exporter::new("api").counter("api_calls").add(1, &[]);
    /// ```
    pub fn counter(&self, name: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).build()
    }

    /// Creates a gauge.
    ///
    /// ```
    /// meter::Exporter::new("api").gauge("api_connections").record(1, &[]);
    /// ```
    pub fn gauge(&self, name: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).build()
    }

    /// Creates a histogram of durations in seconds.
    ///
    /// ```
    /// meter::Exporter::new("api").latency_histogram("api_seconds").record(0.1, &[]);
    /// ```
    pub fn latency_histogram(&self, name: &'static str) -> Histogram<f64> {
        let builder = self.meter.f64_histogram(name);
        builder.with_boundaries(LATENCY_BUCKETS.to_vec()).build()
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// ```
    /// assert!(meter::Exporter::new("api").encode().is_empty());
    /// ```
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("meter: cannot encode the metrics: {e}");
        }
        text
    }
}
