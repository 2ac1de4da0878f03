//! Set-up of metrics that are served in the Prometheus text format.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 14] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Makes the instruments of one part of a process and exports them.
///
/// ```
/// let export = meter::Export::new("part");
/// export.counter("part_calls").add(2, &[]);
/// let text = String::from_utf8(export.text()).unwrap();
/// assert!(text.contains("part_calls_total 2"));
/// ```
#[derive(Debug)]
pub struct Export {
    registry: Registry,
    // Dropping the provider would end the collection.
    _provider: SdkMeterProvider,
    meter: Meter,
}

impl Export {
    /// Begins an export for a part.
    ///
    /// ```
    /// assert!(meter::Export::new("part").text().is_empty());
    /// ```
    pub fn new(part: &'static str) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .expect("a new registry takes the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(part);
        Self {
            registry,
            _provider: provider,
            meter,
        }
    }

    /// Makes a counter; its exported name ends in `_total`.
    ///
    /// ```
    /// meter::Export::new("part").counter("part_calls").add(1, &[]);
    /// ```
    pub fn counter(&self, name: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).build()
    }

    /// Makes a gauge.
    ///
    /// ```
    /// meter::Export::new("part").gauge("part_open").record(1, &[]);
    /// ```
    pub fn gauge(&self, name: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).build()
    }

    /// Makes a histogram of times in seconds.
    ///
    /// ```
    /// meter::Export::new("part").seconds("part_seconds").record(0.1, &[]);
    /// ```
    pub fn seconds(&self, name: &'static str) -> Histogram<f64> {
        let builder = self.meter.f64_histogram(name);
        builder.with_boundaries(LATENCY_BOUNDS.to_vec()).build()
    }

    /// Returns all metrics as text.
    ///
    /// ```
    /// assert!(meter::Export::new("part").text().is_empty());
    /// ```
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("meter: metrics can't be encoded: {e}");
        }
        text
    }
}
