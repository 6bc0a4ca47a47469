//! A version of the configuration.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::policy::token_share::RateTerms;

/// A service that receives a fraction of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteDestination {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the route's destinations.
    pub weight: u32,
}

/// A route of requests to services.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetRoute {
    /// Its name.
    pub name: Arc<str>,
    /// The host that it matches.
    pub host: Arc<str>,
    /// The prefix of the paths that it matches.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Maximum time until the final answer.
    pub timeout: Duration,
    /// Time after which an answer is late.
    pub target_latency: Duration,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The services that receive its requests.
    pub destinations: SmallVec<[RouteDestination; 2]>,
    /// Maximum number of sends per request.
    pub attempts_max: u32,
    /// Whether requests need no key.
    pub is_open: bool,
    /// The regions in which its requests may run; any region if empty.
    pub regions: SmallVec<[Arc<str>; 2]>,
}

/// Rate of requests that a cold backend server of a service tolerates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpLimit {
    /// Requests per second.
    pub per_second: f64,
    /// Time for which a backend server is cold after its start.
    pub span: Duration,
}

/// A service, as the configuration describes its backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetService {
    /// Its name.
    pub name: Arc<str>,
    /// The path of health checks.
    pub health_path: Option<Arc<str>>,
    /// The limit of cold backend servers; `None` if they take requests at any rate.
    pub warm_up: Option<WarmUpLimit>,
}

/// An organisation with its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetOrganisation {
    /// Its name.
    pub name: Arc<str>,
    /// Its priority, which takes precedence over the route's.
    pub priority: Option<u8>,
    /// Rate and burst across all daemons; `None` if unlimited.
    pub rate: Option<RateTerms>,
    /// The regions in which its requests may run; any region if empty.
    pub regions: SmallVec<[Arc<str>; 2]>,
}

/// An entry of a configuration that is left out or served with restrictions.
#[derive(Clone, Debug, PartialEq)]
pub struct UnreadableEntry {
    /// The kind of entry.
    pub kind: String,
    /// Its name.
    pub name: Arc<str>,
    /// What is wrong.
    pub problem: String,
}

/// Size limits of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimits {
    /// Maximum body size in bytes.
    pub body_bytes: usize,
    /// Maximum header size in bytes.
    pub header_bytes: usize,
    /// Maximum time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        RequestLimits {
            body_bytes: 16 << 20,
            header_bytes: 64 << 10,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(120),
        }
    }
}

/// A complete version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct FleetConfig {
    /// The version number, increasing with every change.
    pub version: u64,
    /// Size limits of requests.
    pub limits: RequestLimits,
    /// Entries that are left out or served with restrictions.
    pub unreadable: Vec<UnreadableEntry>,
    services: HashMap<Arc<str>, FleetService>,
    routes: HashMap<Arc<str>, Vec<Arc<FleetRoute>>>,
    organisations: HashMap<Arc<str>, Arc<FleetOrganisation>>,
    keys: HashMap<Arc<str>, Arc<FleetOrganisation>>,
}

impl FleetConfig {
    /// A configuration without routes.
    pub fn new(version: u64) -> Self {
        FleetConfig { version, ..FleetConfig::default() }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: FleetRoute) {
        let routes = self.routes.entry(route.host.clone()).or_default();
        let longer = |other: &Arc<FleetRoute>| other.prefix.len() >= route.prefix.len();
        let position = routes.iter().take_while(|other| longer(other)).count();
        routes.insert(position, Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: FleetService) {
        self.services.insert(service.name.clone(), service);
    }

    /// Adds an organisation and its keys.
    pub fn add_organisation(
        &mut self,
        organisation: FleetOrganisation,
        keys: impl IntoIterator<Item = Arc<str>>,
    ) {
        let organisation = Arc::new(organisation);
        self.organisations.insert(organisation.name.clone(), organisation.clone());
        self.keys.extend(keys.into_iter().map(|key| (key, organisation.clone())));
    }

    /// The route of `host` with the longest prefix of `path`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::sidecar::version::fleet_config::{FleetConfig, FleetRoute};
    /// let mut config = FleetConfig::new(1);
    /// for prefix in ["/", "/stock/"] {
    ///     config.add_route(FleetRoute {
    ///         name: prefix.into(),
    ///         host: "shop.example".into(),
    ///         prefix: prefix.into(),
    ///         is_idempotent: true,
    ///         timeout: Duration::from_secs(1),
    ///         target_latency: Duration::from_secs(1),
    ///         priority: 1,
    ///         destinations: Default::default(),
    ///         attempts_max: 2,
    ///         is_open: true,
    ///         regions: Default::default(),
    ///     });
    /// }
    /// assert_eq!(&*config.route("shop.example", "/stock/7").unwrap().name, "/stock/");
    /// assert_eq!(&*config.route("shop.example", "/other").unwrap().name, "/");
    /// assert!(config.route("else.example", "/").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<FleetRoute>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&FleetService> {
        self.services.get(name)
    }

    /// The organisation that owns `key`.
    pub fn key_owner(&self, key: &str) -> Option<&Arc<FleetOrganisation>> {
        self.keys.get(key)
    }

    /// All organisations.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<FleetOrganisation>> {
        self.organisations.values()
    }

    /// The organisation with this name.
    pub fn organisation(&self, name: &str) -> Option<&Arc<FleetOrganisation>> {
        self.organisations.get(name)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<FleetRoute>> {
        self.routes.values().flatten()
    }

    /// All services that have an entry.
    pub fn services(&self) -> impl Iterator<Item = &FleetService> {
        self.services.values()
    }

    /// The keys of the organisation with this name.
    pub fn keys_of(&self, name: &str) -> impl Iterator<Item = &Arc<str>> {
        self.keys.iter().filter(move |(_, owner)| &*owner.name == name).map(|(key, _)| key)
    }

    /// The names of all routes.
    pub fn route_names(&self) -> HashSet<Arc<str>> {
        self.routes.values().flatten().map(|route| route.name.clone()).collect()
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
