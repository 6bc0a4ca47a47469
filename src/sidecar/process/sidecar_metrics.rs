//! Metrics of a sidecar daemon.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

const FIRST_BUCKET_SECONDS: f64 = 0.004;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: u16 = 12;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OutcomeLabels {
    service: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct OrganisationLabels {
    organisation: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct PriorityLabels {
    priority: u32,
    kind: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct EventLabels {
    event: &'static str,
}

/// The metrics of one daemon.
#[derive(Debug)]
pub struct SidecarMetrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    organisations: Family<OrganisationLabels, Counter>,
    latency: Family<PriorityLabels, Histogram>,
    events: Family<EventLabels, Counter>,
    /// Requests running at the backend server.
    pub running: Gauge,
    /// Requests waiting for the backend server.
    pub waiting: Gauge,
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKET_COUNT))
}

impl Default for SidecarMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("lentilway");
        let requests = Family::<OutcomeLabels, Counter>::default();
        let organisations = Family::<OrganisationLabels, Counter>::default();
        let latency = Family::<PriorityLabels, Histogram>::new_with_constructor(latency_histogram);
        let events = Family::<EventLabels, Counter>::default();
        let (running, waiting) = (Gauge::default(), Gauge::default());
        registry.register("requests", "Requests by service and outcome", requests.clone());
        registry.register(
            "organisations",
            "Root requests by organisation and outcome",
            organisations.clone(),
        );
        registry.register("latency_seconds", "Time to the final answer", latency.clone());
        registry.register("events", "Internal events", events.clone());
        registry.register(
            "backend_running",
            "Requests running at the backend server",
            running.clone(),
        );
        registry.register(
            "backend_waiting",
            "Requests waiting for the backend server",
            waiting.clone(),
        );
        SidecarMetrics { registry, requests, organisations, latency, events, running, waiting }
    }
}

/// A request that ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedRequest<'a> {
    /// Its service; empty if unknown.
    pub service: &'a str,
    /// Its organisation; empty if none.
    pub organisation: &'a str,
    /// Its priority.
    pub priority: u8,
    /// Whether it is a root request.
    pub is_root: bool,
    /// Its outcome.
    pub outcome: &'static str,
    /// Time from arrival to the end.
    pub elapsed: Duration,
}

impl SidecarMetrics {
    /// Records a request that ended.
    pub fn request_ended(&self, ended: &EndedRequest<'_>) {
        let outcome = ended.outcome;
        let labels = OutcomeLabels { service: ended.service.to_owned(), outcome };
        self.requests.get_or_create(&labels).inc();
        if ended.is_root {
            let organisation = ended.organisation.to_owned();
            self.organisations.get_or_create(&OrganisationLabels { organisation, outcome }).inc();
        }
        let kind = if ended.is_root { "root" } else { "call" };
        let labels = PriorityLabels { priority: u32::from(ended.priority), kind };
        self.latency.get_or_create(&labels).observe(ended.elapsed.as_secs_f64());
    }

    /// Counts an internal event.
    ///
    /// ```
    /// use lentilway::sidecar::process::sidecar_metrics::SidecarMetrics;
    /// let metrics = SidecarMetrics::default();
    /// metrics.count("retry");
    /// assert!(metrics.text().contains("event=\"retry\"} 1"));
    /// ```
    pub fn count(&self, event: &'static str) {
        self.events.get_or_create(&EventLabels { event }).inc();
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string cannot fail");
        text
    }
}
