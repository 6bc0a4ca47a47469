//! Counters and histograms for operators.

use std::sync::Arc;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::error::ResultCode;
use crate::version::route::RequestClass;

const FIRST_BUCKET_SECONDS: f64 = 0.0005;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: u16 = 16;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RequestLabels {
    organisation: String,
    class: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ResultLabels {
    organisation: String,
    code: u32,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct ShedLabels {
    organisation: String,
    class: &'static str,
    cause: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct EventLabels {
    event: &'static str,
}

/// Counters of internal events; clones share them.
#[derive(Clone, Debug, Default)]
pub struct EventCounters {
    events: Family<EventLabels, Counter>,
}

impl EventCounters {
    /// Counts an internal event, such as a crossed answer that was discarded.
    pub fn count(&self, event: &'static str) {
        self.events.get_or_create(&EventLabels { event }).inc();
    }

    /// The current count of an internal event.
    pub fn counted(&self, event: &'static str) -> u64 {
        self.events.get_or_create(&EventLabels { event }).get()
    }
}

/// Metrics of the organisations' rates; clones share them.
#[derive(Clone, Debug, Default)]
pub struct RateMetrics {
    /// Requests admitted with a token.
    pub admitted: Counter,
    /// Requests that obtained no token in time.
    pub refused: Counter,
    /// Requests refused while a lender did not answer.
    pub refused_suspect: Counter,
    /// Borrow requests sent to lenders.
    pub asks_sent: Counter,
    /// Borrow requests served as a lender.
    pub asks_served: Counter,
    /// Messages that returned unused tokens.
    pub returns_sent: Counter,
    /// Whole tokens lent.
    pub tokens_lent: Counter,
    /// Shares held, including expired ones.
    pub shares_held: Gauge,
}

impl RateMetrics {
    fn register(&self, registry: &mut Registry) {
        let registry = registry.sub_registry_with_prefix("rate");
        registry.register("admitted", "Requests admitted with a token", self.admitted.clone());
        registry.register("refused", "Requests that obtained no token", self.refused.clone());
        let help = "Requests refused while a lender did not answer";
        registry.register("refused_suspect", help, self.refused_suspect.clone());
        registry.register("asks_sent", "Borrow requests sent to lenders", self.asks_sent.clone());
        registry.register(
            "asks_served",
            "Borrow requests served as a lender",
            self.asks_served.clone(),
        );
        let help = "Messages that returned unused tokens";
        registry.register("returns_sent", help, self.returns_sent.clone());
        registry.register("tokens_lent", "Whole tokens lent", self.tokens_lent.clone());
        registry.register("shares_held", "Shares held", self.shares_held.clone());
    }
}

/// Every metric of the daemon.
#[derive(Debug)]
pub struct MetricRegistry {
    /// Metrics of the organisations' rates.
    pub rates: RateMetrics,
    registry: Registry,
    results: Family<ResultLabels, Counter>,
    durations: Family<RequestLabels, Histogram, fn() -> Histogram>,
    admission_waits: Family<RequestLabels, Histogram, fn() -> Histogram>,
    shed: Family<ShedLabels, Counter>,
    concurrency_limit: Gauge,
    events: EventCounters,
}

impl Default for MetricRegistry {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("lentilway");
        let results = Family::<ResultLabels, Counter>::default();
        let durations = Family::new_with_constructor(duration_histogram as fn() -> Histogram);
        let events = EventCounters::default();
        registry.register("requests", "Callers' requests by result code", results.clone());
        registry.register(
            "request_duration_seconds",
            "Time from a caller's request to its answer",
            durations.clone(),
        );
        let admission_waits = Family::new_with_constructor(duration_histogram as fn() -> Histogram);
        let shed = Family::<ShedLabels, Counter>::default();
        let concurrency_limit = Gauge::default();
        registry.register(
            "admission_wait_seconds",
            "Time that calls waited in the admission queue",
            admission_waits.clone(),
        );
        registry.register("shed", "Calls that were shed, by cause", shed.clone());
        registry.register(
            "concurrency_limit",
            "Concurrency limit of the backend server",
            concurrency_limit.clone(),
        );
        registry.register("events", "Internal events by name", events.events.clone());
        let rates = RateMetrics::default();
        rates.register(&mut registry);
        MetricRegistry {
            rates,
            registry,
            results,
            durations,
            admission_waits,
            shed,
            concurrency_limit,
            events,
        }
    }
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKET_COUNT))
}

impl MetricRegistry {
    /// Counts a caller's request that ended with `code` after `duration`.
    pub fn request_ended(
        &self,
        organisation: Option<&Arc<str>>,
        class: Option<RequestClass>,
        code: ResultCode,
        duration: Duration,
    ) {
        let organisation = organisation.map(|name| name.to_string()).unwrap_or_default();
        let class = class.map(RequestClass::name).unwrap_or("none");
        let result =
            ResultLabels { organisation: organisation.clone(), code: code.number().into() };
        self.results.get_or_create(&result).inc();
        let request = RequestLabels { organisation, class };
        self.durations.get_or_create(&request).observe(duration.as_secs_f64());
    }

    /// Counts a call that was admitted to the backend server after `queued`.
    pub fn call_admitted(
        &self,
        organisation: Option<&Arc<str>>,
        class: RequestClass,
        queued: Duration,
    ) {
        let organisation = organisation.map(|name| name.to_string()).unwrap_or_default();
        let labels = RequestLabels { organisation, class: class.name() };
        self.admission_waits.get_or_create(&labels).observe(queued.as_secs_f64());
    }

    /// Counts a call that was shed.
    pub fn call_shed(
        &self,
        organisation: Option<&Arc<str>>,
        class: RequestClass,
        cause: &'static str,
    ) {
        let organisation = organisation.map(|name| name.to_string()).unwrap_or_default();
        let labels = ShedLabels { organisation, class: class.name(), cause };
        self.shed.get_or_create(&labels).inc();
    }

    /// Sets the gauge of the backend server's concurrency limit.
    pub fn concurrency_limit(&self, limit: usize) {
        self.concurrency_limit.set(limit as i64);
    }

    /// Counts an internal event, such as a crossed answer that was discarded.
    pub fn count(&self, event: &'static str) {
        self.events.count(event);
    }

    /// The current count of an internal event.
    pub fn counted(&self, event: &'static str) -> u64 {
        self.events.counted(event)
    }

    /// The counters of internal events, for components without access to the registry.
    pub fn events(&self) -> EventCounters {
        self.events.clone()
    }

    /// Every metric in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
