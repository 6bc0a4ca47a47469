//! Stand-ins for the users' platform, by its published protocol: the metadata store and an
//! upstream. The names on the wire are spelled here, as the daemon spells them in `platform/`.

use std::net::SocketAddr;

use serde_json::{Value, json};

pub mod store;
pub mod upstream;

/// The caller's id of a request.
pub const REQUEST_ID: &str = "x-lentilway-attempt-id";
/// Milliseconds that the caller waits.
pub const DEADLINE_MILLIS: &str = "x-lentilway-deadline-ms";
/// Proof that an upstream made an answer.
pub const SIGNATURE: &str = "x-lentilway-server-signature";
/// The organisation that a request is served for.
pub const ORGANISATION: &str = "x-lentilway-tenant-id";
/// The upstream that is to run a request.
pub const TARGET: &str = "x-lentilway-target-instance";
/// The path of the readiness question.
pub const READY_PATH: &str = "/api/readyz";
/// The host of all routes.
pub const HOST: &str = "shop.example";

/// A daemon's place in a deployment.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The service of the upstream beside it.
    pub service: String,
    /// Where it reaches that upstream.
    pub upstream: SocketAddr,
    /// Where callers reach it.
    pub outbound: SocketAddr,
    /// Where other daemons reach it.
    pub inbound: SocketAddr,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
    /// Where the upstream announces itself.
    pub control: SocketAddr,
    /// The port before that of metrics.
    pub first_port: u16,
    /// Where it reaches the store.
    pub store: SocketAddr,
}

/// The settings file of a daemon.
pub fn settings_file(place: &DaemonPlan) -> String {
    let DaemonPlan { name, zone, service, upstream, outbound, inbound, ready, control, .. } = place;
    let (first_port, store) = (place.first_port, place.store);
    format!(
        "[self]\nnode_name = \"{name}\"\nzone = \"{zone}\"\nservice = \"{service}\"\n\
         app_addr = \"{upstream}\"\n\
         [network]\nport_range = [{first_port}, {}]\n\
         [network.listen_addrs]\ninbound = \"{inbound}\"\noutbound = \"{outbound}\"\n\
         ready = \"{ready}\"\ncontrol = \"{control}\"\n\
         [platform.platform]\naddress = \"{store}\"\n\
         [terms.bounds]\nrevoke_s = 5\ngrace_s = 6\nquota_window_s = 5\nquota_slack = 20\n\
         retry_budget_ratio = 0.2\nbudget_slack = 50\n",
        first_port + 1,
    )
}

/// A route for the operator's configuration.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    /// Its name, and the first part of its paths.
    pub name: String,
    /// The service that runs it.
    pub service: String,
    /// Whether a request may run twice.
    pub is_safe: bool,
    /// Whether it needs no key.
    pub is_public: bool,
}

/// An organisation for the operator's configuration.
#[derive(Clone, Debug)]
pub struct TenantPlan {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Requests a second, and at once; 0 for no bound.
    pub rate: f64,
}

/// A whole version of the operator's configuration.
pub fn config_record(version: u64, routes: &[RoutePlan], tenants: &[TenantPlan]) -> Value {
    let routes = routes.iter().map(|route| {
        let kind = if route.is_safe { "safe" } else { "unsafe" };
        json!({"entry_kind": "routes", "metadata": {"name": route.name}, "spec": {
            "hostname": HOST, "path_prefix": format!("/{}/", route.name), "kind": kind,
            "timeout_s": 2, "target_latency_s": 1, "priority": 1, "service": route.service,
            "max_attempts": 2, "public": route.is_public}})
    });
    let tenants = tenants.iter().map(|tenant| {
        json!({"entry_kind": "tenants", "metadata": {"name": tenant.name}, "spec": {
            "api_keys": tenant.keys, "rate_per_s": tenant.rate, "burst": tenant.rate}})
    });
    json!({"version": version, "resources": routes.chain(tenants).collect::<Vec<_>>()})
}
