//! The two deployments at their present sizes.

use lentilway_stand_ins::backend::{BackendBehaviour, SubCall};
use serde_json::{Value, json};

use crate::fleet::{NodePlan, organisation, ticket};

const ORGANISATION_WEIGHTS: [f64; 8] = [0.30, 0.25, 0.15, 0.10, 0.08, 0.06, 0.04, 0.02];
const ROUTE_TIMEOUT_MS: u64 = 2500;
/// An organisation's rate relative to its share of the capacity, before a scenario's scale.
const RATE_HEADROOM: f64 = 1.25;

/// A service of a deployment.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// The service's name.
    pub name: &'static str,
    /// Number of backend servers.
    pub upstreams: usize,
    /// Slots of each backend server.
    pub slots: usize,
    /// Mean service time in milliseconds.
    pub service_ms: f64,
    /// Path of the sub-call that each execution makes, if any.
    pub sub_call: Option<&'static str>,
}

/// A kind of root request.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// The route's name.
    pub route: &'static str,
    /// The HTTP method.
    pub method: &'static str,
    /// The path.
    pub path: &'static str,
    /// The service that handles it.
    pub service: &'static str,
    /// The admission class.
    pub class: &'static str,
    /// Whether it is idempotent.
    pub idempotent: bool,
    /// Its fraction of the load.
    pub fraction: f64,
}

/// A deployment: availability zones, services, requests and organisations.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The name.
    pub name: &'static str,
    /// The number of availability zones.
    pub zones: usize,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// The kinds of root requests; their fractions sum to 1.
    pub requests: Vec<RequestKind>,
    /// The service that saturates first.
    pub bottleneck: &'static str,
}

impl Deployment {
    /// The service mesh of the vending machines: refill lookups go three services deep.
    pub fn zniczomat() -> Self {
        Deployment {
            name: "zniczomat",
            zones: 3,
            services: vec![
                service("stock", 4, 90, 40.0, Some("/price/1")),
                service("delivery", 4, 90, 40.0, Some("/stock/1")),
                service("wallet", 3, 110, 40.0, None),
                service("pricing", 3, 20, 120.0, None),
            ],
            requests: vec![
                request("refill", "GET", "/refill", "delivery", "high", 0.30),
                request("stock", "GET", "/stock", "stock", "normal", 0.40),
                request("price", "GET", "/price", "pricing", "low", 0.25),
                request("top-up", "POST", "/top-up", "wallet", "high", 0.05),
            ],
            bottleneck: "pricing",
        }
    }

    /// The merged systems of the cartridge exchange: lookups go three services deep.
    pub fn siphonwerk() -> Self {
        Deployment {
            name: "siphonwerk",
            zones: 4,
            services: vec![
                service("stock", 4, 70, 40.0, Some("/route/1")),
                service("deposit", 4, 70, 40.0, None),
                service("exchange", 4, 70, 40.0, Some("/stock/1")),
                service("route", 4, 20, 160.0, None),
            ],
            requests: vec![
                request("exchange", "GET", "/exchange", "exchange", "high", 0.30),
                request("stock", "GET", "/stock", "stock", "normal", 0.40),
                request("route", "GET", "/route", "route", "low", 0.25),
                request("refund", "POST", "/refund", "deposit", "high", 0.05),
            ],
            bottleneck: "route",
        }
    }

    /// Executions per second that the bottleneck can serve.
    pub fn bottleneck_capacity(&self) -> f64 {
        let bottleneck = self.bottleneck_service();
        let executions = (bottleneck.upstreams * bottleneck.slots) as f64;
        executions / (bottleneck.service_ms / 1000.0)
    }

    /// Root requests per second that can be served; each idempotent one runs once at the bottleneck.
    pub fn capacity(&self) -> f64 {
        let bottleneck_kinds = self.requests.iter().filter(|kind| kind.idempotent);
        let fraction: f64 = bottleneck_kinds.map(|kind| kind.fraction).sum();
        self.bottleneck_capacity() / fraction
    }

    /// The service that saturates first.
    pub fn bottleneck_service(&self) -> &ServiceSpec {
        let bottleneck = self.services.iter().find(|service| service.name == self.bottleneck);
        bottleneck.expect("the bottleneck is one of the services")
    }

    /// Each organisation's fraction of the load.
    pub fn weights(&self) -> &'static [f64] {
        &ORGANISATION_WEIGHTS
    }

    /// The name of an organisation.
    pub fn organisation(index: usize) -> String {
        format!("org-{index}")
    }

    /// The key of an organisation.
    pub fn key(index: usize) -> String {
        format!("experiment-key-of-organisation-{index}")
    }

    /// An organisation's rate in requests/s; `scale` multiplies the rates of all organisations.
    pub fn rate(&self, index: usize, scale: f64) -> f64 {
        ORGANISATION_WEIGHTS[index] * self.capacity() * RATE_HEADROOM * scale
    }

    /// The tickets that create the organisations and routes.
    pub fn tickets(&self, rate_scale: f64) -> Vec<Value> {
        let organisations: Vec<Value> = (0..ORGANISATION_WEIGHTS.len())
            .map(|index| {
                let rate = self.rate(index, rate_scale);
                organisation(&Self::organisation(index), &Self::key(index), rate, rate)
            })
            .collect();
        let routes: Vec<Value> = self.requests.iter().map(RequestKind::object).collect();
        vec![ticket(1, &organisations), ticket(2, &routes)]
    }

    /// The instances, spread evenly over the availability zones.
    pub fn plans(&self) -> Vec<NodePlan> {
        let mut plans = Vec::new();
        for service in &self.services {
            for index in 0..service.upstreams {
                let zone = format!("az{}", index % self.zones + 1);
                plans.push(NodePlan::new(service.name, &zone, service.behaviour()));
            }
        }
        plans
    }
}

impl ServiceSpec {
    /// The behaviour of the service's backend servers.
    pub fn behaviour(&self) -> BackendBehaviour {
        let sub_call = |path: &str| SubCall { method: "GET".into(), path: path.into() };
        BackendBehaviour {
            slots: self.slots,
            service_ms: self.service_ms,
            sub_calls: self.sub_call.map(sub_call).into_iter().collect(),
            ..BackendBehaviour::default()
        }
    }
}

impl RequestKind {
    fn object(&self) -> Value {
        let state = json!({
            "method": self.method,
            "prefix": self.path,
            "service": self.service,
            "class": self.class,
            "idempotent": self.idempotent,
            "timeout_ms": ROUTE_TIMEOUT_MS,
        });
        json!({ "kind": "route", "name": self.route, "state": state })
    }
}

fn service(
    name: &'static str,
    upstreams: usize,
    slots: usize,
    service_ms: f64,
    sub_call: Option<&'static str>,
) -> ServiceSpec {
    ServiceSpec { name, upstreams, slots, service_ms, sub_call }
}

fn request(
    route: &'static str,
    method: &'static str,
    path: &'static str,
    service: &'static str,
    class: &'static str,
    fraction: f64,
) -> RequestKind {
    RequestKind { route, method, path, service, class, idempotent: method == "GET", fraction }
}
