//! Metrics of a sidecar daemon.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::policy::backend_notice::RequestLimit;

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

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct SurplusLabels {
    server: &'static str,
    origin: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TopicLabels {
    topic: &'static str,
}

/// The value of a position without which only a snapshot leads on.
const NO_POSITION: i64 = -1;

/// The metrics of one daemon.
#[derive(Debug)]
pub struct SidecarMetrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    organisations: Family<OrganisationLabels, Counter>,
    latency: Family<PriorityLabels, Histogram>,
    events: Family<EventLabels, Counter>,
    surplus_answers: Family<SurplusLabels, Counter>,
    store_positions: Family<TopicLabels, Gauge>,
    /// Requests running at the backend server.
    pub running: Gauge,
    /// Requests waiting for the backend server.
    pub waiting: Gauge,
    /// Requests sent to the backend server.
    pub backend_sends: Counter,
    /// The store's era.
    pub store_era: Gauge,
    /// Requests under suspicion of ending backend servers.
    pub suspects: Gauge,
    is_limited: Gauge,
    limit_per_second: Gauge<f64, AtomicU64>,
    /// Organisations whose tokens are scarce, as the pools state.
    pub scarce_organisations: Gauge,
    /// Entries of the configuration in force that are left out or served with restrictions.
    pub unreadable_entries: Gauge,
    /// Zones that are evacuated.
    pub evacuated_zones: Gauge,
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
        let surplus_answers = Family::<SurplusLabels, Counter>::default();
        registry.register(
            "surplus_answers",
            "Answers that belong to no request under way, by kind of server and origin",
            surplus_answers.clone(),
        );
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
        let backend_sends = Counter::default();
        let is_limited = Gauge::default();
        let limit_per_second = Gauge::<f64, AtomicU64>::default();
        registry.register(
            "backend_sends",
            "Requests sent to the backend server",
            backend_sends.clone(),
        );
        registry.register(
            "backend_limited",
            "Whether the backend server states a limit",
            is_limited.clone(),
        );
        registry.register(
            "backend_limit_per_second",
            "Requests per second that the backend server takes, while it states a limit",
            limit_per_second.clone(),
        );
        let store_era = Gauge::default();
        registry.register(
            "store_era",
            "How often the store came back from a copy, as it states",
            store_era.clone(),
        );
        let store_positions = Family::<TopicLabels, Gauge>::default();
        registry.register(
            "store_position",
            "Offset from which a topic of the store is read on, -1 if a snapshot is needed",
            store_positions.clone(),
        );
        let suspects = Gauge::default();
        registry.register(
            "suspects",
            "Requests that ran at backend servers that ended, and have not ended well since",
            suspects.clone(),
        );
        let scarce_organisations = Gauge::default();
        registry.register(
            "scarce_organisations",
            "Organisations with a demand above their rate, as this daemon knows",
            scarce_organisations.clone(),
        );
        let unreadable_entries = Gauge::default();
        registry.register(
            "configuration_unreadable_entries",
            "Entries of the configuration in force that are left out or served with restrictions",
            unreadable_entries.clone(),
        );
        let evacuated_zones = Gauge::default();
        registry.register(
            "evacuated_zones",
            "Availability zones that are evacuated",
            evacuated_zones.clone(),
        );
        SidecarMetrics {
            registry,
            requests,
            organisations,
            latency,
            events,
            surplus_answers,
            store_positions,
            running,
            waiting,
            backend_sends,
            store_era,
            suspects,
            is_limited,
            limit_per_second,
            scarce_organisations,
            unreadable_entries,
            evacuated_zones,
        }
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

    /// The count of answers from a kind of server that belong to no request under way.
    ///
    /// ```
    /// use lentilway::sidecar::process::sidecar_metrics::SidecarMetrics;
    /// let metrics = SidecarMetrics::default();
    /// metrics.surplus_answers("backend", "earlier").inc();
    /// assert!(metrics.text().contains("server=\"backend\",origin=\"earlier\"} 1"));
    /// ```
    pub fn surplus_answers(&self, server: &'static str, origin: &'static str) -> Counter {
        self.surplus_answers.get_or_create(&SurplusLabels { server, origin }).clone()
    }

    /// Sets the offset from which a topic of the store is read on; `None` if a snapshot is needed.
    ///
    /// ```
    /// use lentilway::sidecar::process::sidecar_metrics::SidecarMetrics;
    /// let metrics = SidecarMetrics::default();
    /// metrics.set_position("directory", Some(7));
    /// assert!(metrics.text().contains("lentilway_store_position{topic=\"directory\"} 7"));
    /// metrics.set_position("directory", None);
    /// assert!(metrics.text().contains("lentilway_store_position{topic=\"directory\"} -1"));
    /// ```
    pub fn set_position(&self, topic: &'static str, offset: Option<u64>) {
        let value = offset.map_or(NO_POSITION, |offset| offset.try_into().unwrap_or(i64::MAX));
        self.store_positions.get_or_create(&TopicLabels { topic }).set(value);
    }

    /// Sets the limit that the backend server states.
    ///
    /// ```
    /// use lentilway::policy::backend_notice::RequestLimit;
    /// use lentilway::sidecar::process::sidecar_metrics::SidecarMetrics;
    /// let metrics = SidecarMetrics::default();
    /// metrics.set_limit(RequestLimit::new(17.5));
    /// assert!(metrics.text().contains("lentilway_backend_limit_per_second 17.5"));
    /// ```
    pub fn set_limit(&self, limit: Option<RequestLimit>) {
        self.is_limited.set(i64::from(limit.is_some()));
        self.limit_per_second.set(limit.map_or(0.0, RequestLimit::per_second));
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string cannot fail");
        text
    }
}
