//! Stand-ins for the users' platform: its metadata store and an upstream. The names of its
//! published protocol are defined here independently of the daemon's `platform/`.

use std::net::SocketAddr;

use serde_json::{Value, json};

pub mod answer_faults;
mod connection;
pub mod store;
pub mod upstream;

/// Header with the request id that the caller assigned.
pub const REQUEST_ID: &str = "x-lentilway-attempt-id";
/// Header with the caller's timeout in milliseconds.
pub const DEADLINE_MILLIS: &str = "x-lentilway-deadline-ms";
/// Header that proves that an upstream produced the answer.
pub const SIGNATURE: &str = "x-lentilway-server-signature";
/// Header that states that an upstream did not run the request.
pub const NOT_EXECUTED: &str = "x-lentilway-not-executed";
/// Header with the organisation of a request.
pub const ORGANISATION: &str = "x-lentilway-tenant-id";
/// Header with the id of the upstream that a request is sent to.
pub const TARGET: &str = "x-lentilway-target-instance";
/// Header with the requests per second that an upstream takes from all machines together.
pub const LIMIT: &str = "server-limit";
/// Header that is `1` in all answers of an upstream that leaves.
pub const LEAVING: &str = "server-leaving";
/// Header with the id of an upstream, in its answers to health checks.
pub const INSTANCE: &str = "x-lentilway-instance-id";
/// Header with the milliseconds for which an upstream stays cold, in its answers to health checks.
pub const COLD_MILLIS: &str = "x-lentilway-cold-ms";
/// Path of the health check of all services.
pub const HEALTH_PATH: &str = "/healthz";
/// Path of the readiness check.
pub const READY_PATH: &str = "/api/readyz";
/// Host name of all routes.
pub const HOST: &str = "shop.example";

/// The names and addresses in a daemon's settings file.
#[derive(Clone, Debug)]
pub struct DaemonPlan {
    /// Its node name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The service of the upstream beside it.
    pub service: String,
    /// The address of that upstream.
    pub upstream: SocketAddr,
    /// The listener for callers.
    pub outbound: SocketAddr,
    /// The listener for other daemons.
    pub inbound: SocketAddr,
    /// The listener for readiness checks.
    pub ready: SocketAddr,
    /// The listener for announcements of the upstream.
    pub control: SocketAddr,
    /// The port before the metrics port.
    pub first_port: u16,
    /// The address of the metadata store.
    pub store: SocketAddr,
}

/// Returns the text of the settings file of a daemon.
pub fn settings_file(plan: &DaemonPlan) -> String {
    let DaemonPlan { name, zone, service, upstream, outbound, inbound, ready, control, .. } = plan;
    let (first_port, store) = (plan.first_port, plan.store);
    format!(
        "[self]\nnode_name = \"{name}\"\nzone = \"{zone}\"\nservice = \"{service}\"\n\
         app_addr = \"{upstream}\"\n\
         [network]\nport_range = [{first_port}, {}]\n\
         [network.listen_addrs]\ninbound = \"{inbound}\"\noutbound = \"{outbound}\"\n\
         ready = \"{ready}\"\ncontrol = \"{control}\"\n\
         [platform.platform]\naddress = \"{store}\"\n\
         [terms.bounds]\nrevoke_s = 5\ngrace_s = 6\nquota_window_s = 5\nquota_slack = 20\nquota_overage = 0.1\n\
         retry_budget_ratio = 0.2\nbudget_slack = 50\n",
        first_port + 1,
    )
}

/// A route in the operator's configuration.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    /// Its name and the first segment of its paths.
    pub name: String,
    /// The service that handles its requests.
    pub service: String,
    /// Whether a request may run more than once.
    pub is_safe: bool,
    /// Whether it is open to requests without an API key.
    pub is_public: bool,
}

/// An organisation in the operator's configuration.
#[derive(Clone, Debug)]
pub struct TenantPlan {
    /// Its name.
    pub name: String,
    /// Its API keys.
    pub keys: Vec<String>,
    /// Rate in requests per second, and burst in requests; 0 for no limit.
    pub rate: f64,
}

/// Returns the entry of a service whose cold upstreams take `per_second` requests per second.
pub fn cold_service_entry(name: &str, per_second: f64) -> Value {
    json!({"entry_kind": "services", "metadata": {"name": name}, "spec": {
        "health_path": HEALTH_PATH, "cold_start_s": 1.5, "cold_per_s": per_second}})
}

/// Returns one complete version of the operator's configuration.
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
