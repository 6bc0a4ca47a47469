//! Checks a version of the configuration before it is sent, without a daemon.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use super::fleet_config::{FleetConfig, FleetOrganisation, FleetRoute, FleetService};

/// How severe a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FindingLevel {
    /// Daemons would reject the version, or leave out or restrict the entry.
    Error,
    /// Daemons would take the entry, but it has no effect or contradicts itself.
    Warning,
    /// The entry differs from the version in force.
    Difference,
}

/// Something that an operator should know before sending a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFinding {
    /// Its severity.
    pub level: FindingLevel,
    /// The kind and the name of the entry.
    pub entry: String,
    /// What was found.
    pub problem: String,
}

impl fmt::Display for ConfigFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let level = match self.level {
            FindingLevel::Error => "error",
            FindingLevel::Warning => "warning",
            FindingLevel::Difference => "difference",
        };
        write!(formatter, "{level}: {}: {}", self.entry, self.problem)
    }
}

fn finding(
    level: FindingLevel,
    kind: &str,
    name: &str,
    problem: impl Into<String>,
) -> ConfigFinding {
    let entry = format!("{kind} {name}").trim().to_owned();
    ConfigFinding { level, entry, problem: problem.into() }
}

/// Checks `config`, and compares it with the version in force if that is given.
///
/// ```
/// use lentilway::sidecar::version::config_check::{FindingLevel, check_config};
/// use lentilway::sidecar::version::fleet_config::FleetConfig;
/// assert!(check_config(&FleetConfig::new(2), None).is_empty());
/// let findings = check_config(&FleetConfig::new(2), Some(&FleetConfig::new(2)));
/// assert_eq!(findings[0].level, FindingLevel::Error);
/// ```
pub fn check_config(config: &FleetConfig, in_force: Option<&FleetConfig>) -> Vec<ConfigFinding> {
    let unreadable = config.unreadable.iter();
    let unreadable = unreadable
        .map(|entry| finding(FindingLevel::Error, &entry.kind, &entry.name, &*entry.problem));
    let mut findings: Vec<ConfigFinding> = unreadable.collect();
    check_routes(config, &mut findings);
    check_organisations(config, &mut findings);
    for service in sorted(config.services(), |service| &service.name) {
        if service.warm_up.is_some_and(|limit| limit.span.is_zero()) {
            let problem = "its limit while cold has no effect: it is cold for no time";
            findings.push(finding(FindingLevel::Warning, "service", &service.name, problem));
        }
    }
    if let Some(in_force) = in_force {
        compare(in_force, config, &mut findings);
    }
    findings
}

fn check_routes(config: &FleetConfig, findings: &mut Vec<ConfigFinding>) {
    let mut names = BTreeSet::new();
    for route in sorted(config.routes(), |route| &route.name) {
        let mut warn = |problem: String| {
            findings.push(finding(FindingLevel::Warning, "route", &route.name, problem));
        };
        if !names.insert(&route.name) {
            warn("another route has the same name".to_owned());
        }
        if let Some(reason) = unmatched_reason(config, route) {
            warn(format!("never matches: {reason}"));
        }
        if route.destinations.iter().all(|destination| destination.weight == 0) {
            warn("no service gets its requests: all weights are 0".to_owned());
        }
        for destination in &route.destinations {
            let service = &destination.service;
            if config.services().next().is_some() && config.service(service).is_none() {
                warn(format!("no entry describes its service {service}"));
            }
        }
        if route.target_latency > route.timeout {
            let (target, timeout) = (route.target_latency, route.timeout);
            warn(format!("its target latency of {target:?} exceeds its timeout of {timeout:?}"));
        }
        if route.attempts_max == 0 {
            warn("it allows no attempt".to_owned());
        }
    }
}

/// Why no request matches a route, if none does.
fn unmatched_reason(config: &FleetConfig, route: &Arc<FleetRoute>) -> Option<String> {
    if route.host.is_empty() {
        return Some("it names no host".to_owned());
    }
    if !route.prefix.starts_with('/') {
        return Some("its prefix does not begin with /".to_owned());
    }
    let first = config.route(&route.host, &route.prefix);
    if let Some(first) = first.filter(|first| !Arc::ptr_eq(first, route)) {
        return Some(format!("route {} has its host and prefix", first.name));
    }
    let is_barred = !route.is_open && excludes_all(config, route);
    is_barred.then(|| "no organisation may run in its regions".to_owned())
}

/// Whether the regions of a route exclude all organisations.
fn excludes_all(config: &FleetConfig, route: &FleetRoute) -> bool {
    let is_excluded = |organisation: &Arc<FleetOrganisation>| {
        let mut regions = organisation.regions.iter();
        !organisation.regions.is_empty() && !regions.any(|region| route.regions.contains(region))
    };
    !route.regions.is_empty()
        && config.organisations().next().is_some()
        && config.organisations().all(is_excluded)
}

fn check_organisations(config: &FleetConfig, findings: &mut Vec<ConfigFinding>) {
    for organisation in sorted(config.organisations(), |organisation| &organisation.name) {
        let mut warn = |problem: &str| {
            let name = &organisation.name;
            findings.push(finding(FindingLevel::Warning, "organisation", name, problem));
        };
        if config.keys_of(&organisation.name).next().is_none() {
            warn("never matches: it has no key, or others have all of its keys");
        }
        if organisation.rate.is_some_and(|rate| rate.burst < 1.0) {
            warn("its burst of less than 1 admits no request at once");
        }
    }
}

fn sorted<'a, T: 'a>(
    entries: impl Iterator<Item = &'a T>,
    name: impl Fn(&T) -> &Arc<str>,
) -> Vec<&'a T> {
    let mut entries: Vec<&T> = entries.collect();
    entries.sort_by(|one, other| name(one).cmp(name(other)));
    entries
}

fn compare(before: &FleetConfig, after: &FleetConfig, findings: &mut Vec<ConfigFinding>) {
    if after.version <= before.version {
        let (new, old) = (after.version, before.version);
        let problem = format!("{new} has no effect: {old} is in force");
        findings.push(finding(FindingLevel::Error, "version", "", problem));
    }
    if before.limits != after.limits {
        findings.push(finding(FindingLevel::Difference, "limits", "", "changed"));
    }
    let routes = |config: &FleetConfig| {
        config.routes().map(|route| (route.name.clone(), route.clone())).collect()
    };
    let fields = |old: &Arc<FleetRoute>, new: &Arc<FleetRoute>| route_fields(old, new);
    compare_entries("route", &routes(before), &routes(after), fields, findings);
    let services = |config: &FleetConfig| {
        config.services().map(|service| (service.name.clone(), service.clone())).collect()
    };
    compare_entries("service", &services(before), &services(after), service_fields, findings);
    let organisations = |config: &FleetConfig| {
        let with_keys = |organisation: &Arc<FleetOrganisation>| {
            let keys = config.keys_of(&organisation.name).cloned().collect();
            (
                organisation.name.clone(),
                KeyedOrganisation { organisation: organisation.clone(), keys },
            )
        };
        config.organisations().map(with_keys).collect()
    };
    let (before, after) = (organisations(before), organisations(after));
    compare_entries("organisation", &before, &after, organisation_fields, findings);
}

#[derive(PartialEq)]
struct KeyedOrganisation {
    organisation: Arc<FleetOrganisation>,
    keys: BTreeSet<Arc<str>>,
}

/// Names of fields, and whether each one differs.
type FieldChanges = Vec<(&'static str, bool)>;

fn route_fields(old: &FleetRoute, new: &FleetRoute) -> FieldChanges {
    vec![
        ("host", old.host != new.host),
        ("prefix", old.prefix != new.prefix),
        ("idempotence", old.is_idempotent != new.is_idempotent),
        ("timeout", old.timeout != new.timeout),
        ("target latency", old.target_latency != new.target_latency),
        ("priority", old.priority != new.priority),
        ("services", old.destinations != new.destinations),
        ("attempts", old.attempts_max != new.attempts_max),
        ("need of a key", old.is_open != new.is_open),
        ("regions", old.regions != new.regions),
    ]
}

fn service_fields(old: &FleetService, new: &FleetService) -> FieldChanges {
    vec![
        ("health path", old.health_path != new.health_path),
        ("limit while cold", old.warm_up != new.warm_up),
    ]
}

fn organisation_fields(old: &KeyedOrganisation, new: &KeyedOrganisation) -> FieldChanges {
    let (old_keys, new_keys) = (&old.keys, &new.keys);
    let (old, new) = (&old.organisation, &new.organisation);
    vec![
        ("keys added", !new_keys.is_subset(old_keys)),
        ("keys withdrawn", !old_keys.is_subset(new_keys)),
        ("priority", old.priority != new.priority),
        ("rate", old.rate != new.rate),
        ("regions", old.regions != new.regions),
    ]
}

fn compare_entries<T: PartialEq>(
    kind: &str,
    before: &BTreeMap<Arc<str>, T>,
    after: &BTreeMap<Arc<str>, T>,
    fields: impl Fn(&T, &T) -> FieldChanges,
    findings: &mut Vec<ConfigFinding>,
) {
    let names: BTreeSet<&Arc<str>> = before.keys().chain(after.keys()).collect();
    for name in names {
        let problem = match (before.get(name), after.get(name)) {
            (None, _) => "added".to_owned(),
            (_, None) => "removed".to_owned(),
            (Some(old), Some(new)) if old != new => {
                let changed = fields(old, new).into_iter().filter(|(_, differs)| *differs);
                let changed: Vec<&str> = changed.map(|(field, _)| field).collect();
                format!("changed: {}", changed.join(", "))
            }
            _ => continue,
        };
        findings.push(finding(FindingLevel::Difference, kind, name, problem));
    }
}
