//! Plans to which daemons of the directory this one links, and for what.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use super::directory::DirectoryEntry;
use super::peer_table::instance_key;
use crate::clock::MilliTime;
use crate::policy::link_subset::{SUBSET_ALL_MAX, SubsetMember, choose_subset, rendezvous_weight};
use crate::policy::zone_evacuation::ZoneSet;

/// Up to this number of services, a daemon links to instances of all of them before it calls one.
const EAGER_SERVICES_MAX: usize = 12;
/// Links to the instances of a service are kept for this long after the last call.
const SERVICE_IDLE_SPAN: Duration = Duration::from_secs(60);
/// Daemons of an availability zone that share a reader of the store, at most.
const READING_GROUP_MAX: usize = 64;
/// Reachable daemons before this one in its reading group that it links to.
const READERS_LINKED: usize = 3;
/// Daemons that refill the tokens of organisations and hold their pools, at least.
const POOL_HOSTS_MIN: usize = 16;
/// Daemons for each such host in a large fleet.
const DAEMONS_PER_POOL_HOST: usize = 64;
/// Seed of the order in which daemons are chosen to hold pools; the same everywhere.
const POOL_HOST_SEED: u64 = 1;

/// The daemons to link to, by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkPlan {
    /// All of them.
    pub(crate) links: HashSet<u64>,
    /// Those whose backend servers are called.
    pub(crate) callees: Vec<u64>,
    /// Those before this one in its reading group, the first one first.
    pub(crate) readers: Vec<u64>,
    /// Daemons before this one in its reading group, linked or not.
    pub(crate) before: usize,
    /// Those that refill tokens and hold pools, maybe with this daemon.
    pub(crate) pool_hosts: Vec<u64>,
    services: Vec<Arc<str>>,
    unreachable: HashSet<u64>,
}

impl LinkPlan {
    /// Whether a plan made now would differ, for another reason than a change of the directory.
    pub(crate) fn is_outdated(
        &self,
        planner: &LinkPlanner,
        now: MilliTime,
        unreachable: &HashSet<u64>,
    ) -> bool {
        self.unreachable != *unreachable || self.services != planner.services_in_use(now)
    }
}

/// The directory and the services in use.
#[derive(Debug)]
pub(crate) struct LinkPlanner {
    own_key: u64,
    zone: Arc<str>,
    entries: HashMap<u64, DirectoryEntry>,
    /// The instances of each service.
    services: BTreeMap<Arc<str>, Vec<SubsetMember>>,
    /// When each service was last called.
    called: HashMap<Arc<str>, MilliTime>,
    /// Daemons to link to for a suspect, with the time at which each was last wanted.
    wanted: HashMap<u64, MilliTime>,
    /// Zones whose backend servers get no requests.
    evacuated: Arc<ZoneSet>,
}

impl LinkPlanner {
    pub(crate) fn new(own_name: &str, zone: &Arc<str>) -> Self {
        LinkPlanner {
            own_key: instance_key(own_name),
            zone: zone.clone(),
            entries: HashMap::new(),
            services: BTreeMap::new(),
            called: HashMap::new(),
            wanted: HashMap::new(),
            evacuated: Arc::default(),
        }
    }

    /// The key of this daemon.
    pub(crate) fn own_key(&self) -> u64 {
        self.own_key
    }

    /// The directory record of another daemon.
    pub(crate) fn entry(&self, key: u64) -> Option<&DirectoryEntry> {
        self.entries.get(&key)
    }

    /// Whether the directory lists other daemons.
    pub(crate) fn has_entries(&self) -> bool {
        !self.entries.is_empty()
    }

    /// Sets the other daemons of the directory.
    pub(crate) fn set_entries(&mut self, entries: Vec<DirectoryEntry>) {
        self.services.clear();
        for entry in &entries {
            let key = instance_key(&entry.name);
            let member = SubsetMember { key, same_zone: entry.availability_zone == self.zone };
            self.services.entry(entry.service.clone()).or_default().push(member);
        }
        self.entries =
            entries.into_iter().map(|entry| (instance_key(&entry.name), entry)).collect();
    }

    /// Sets the zones whose backend servers get no requests.
    pub(crate) fn set_evacuated(&mut self, evacuated: Arc<ZoneSet>) {
        self.evacuated = evacuated;
    }

    /// Whether a backend server gets no requests because of its zone.
    fn is_evacuated(&self, key: u64) -> bool {
        !self.evacuated.is_empty()
            && self
                .entries
                .get(&key)
                .is_some_and(|entry| self.evacuated.contains(&entry.availability_zone))
    }

    /// The instances of `service` to choose those from that are linked. A bounded choice leaves out
    /// evacuated zones, so that enough of the links lead to instances that take requests.
    fn linkable(&self, service: &str) -> Vec<SubsetMember> {
        let members = &self.services[service];
        if members.len() <= SUBSET_ALL_MAX {
            return members.clone();
        }
        members.iter().filter(|member| !self.is_evacuated(member.key)).copied().collect()
    }

    /// Records a call of `service`; `true` if its instances are not linked yet.
    pub(crate) fn use_service(&mut self, now: MilliTime, service: &Arc<str>) -> bool {
        if self.services.len() <= EAGER_SERVICES_MAX {
            return false;
        }
        self.called.insert(service.clone(), now).is_none()
    }

    /// The keys of the other instances of `service` outside evacuated zones.
    pub(crate) fn instances(&self, service: &str) -> impl Iterator<Item = u64> {
        let keys = self.services.get(service).into_iter().flatten().map(|member| member.key);
        keys.filter(|key| !self.is_evacuated(*key))
    }

    /// Plans a link to the daemon with this key for a while; `true` if there was none.
    pub(crate) fn want(&mut self, now: MilliTime, key: u64) -> bool {
        self.wanted.insert(key, now).is_none()
    }

    fn services_in_use(&self, now: MilliTime) -> Vec<Arc<str>> {
        let is_eager = self.services.len() <= EAGER_SERVICES_MAX;
        let is_in_use = |service: &Arc<str>| {
            let called = self.called.get(service);
            is_eager || called.is_some_and(|called| now.since(*called) < SERVICE_IDLE_SPAN)
        };
        self.services.keys().filter(|service| is_in_use(service)).cloned().collect()
    }

    /// Plans the links; readers in `unreachable` are passed over.
    pub(crate) fn plan(&mut self, now: MilliTime, unreachable: &HashSet<u64>) -> LinkPlan {
        let services = self.services_in_use(now);
        self.called.retain(|service, _| services.contains(service));
        let mut callees = Vec::new();
        for service in &services {
            let members = self.linkable(service);
            let chosen = choose_subset(self.own_key, &members);
            callees.extend(chosen.into_iter().map(|index| members[index].key));
        }
        let (before, after) = self.reading_group();
        let readers = planned_readers(&before, unreachable);
        // The first of a group links to the others: daemons that start together do not know it yet.
        let led = if before.is_empty() { after } else { Vec::new() };
        let pool_hosts = self.pool_hosts();
        self.wanted.retain(|_, wanted| now.since(*wanted) < SERVICE_IDLE_SPAN);
        let others = readers.iter().chain(&led).chain(&pool_hosts).chain(self.wanted.keys());
        let keys = callees.iter().chain(others).copied();
        LinkPlan {
            links: keys.filter(|key| *key != self.own_key).collect(),
            callees,
            readers,
            before: before.len(),
            pool_hosts,
            services,
            unreachable: unreachable.clone(),
        }
    }

    /// The daemons before and after this one in its reading group, in order.
    fn reading_group(&self) -> (Vec<u64>, Vec<u64>) {
        let in_zone = self.entries.iter().filter(|(_, entry)| entry.availability_zone == self.zone);
        let mut zone: Vec<u64> = in_zone.map(|(key, _)| *key).collect();
        zone.sort_unstable();
        let groups = (zone.len() + 1).div_ceil(READING_GROUP_MAX) as u64;
        let group = zone.into_iter().filter(|key| key % groups == self.own_key % groups);
        group.partition(|key| *key < self.own_key)
    }

    fn pool_hosts(&self) -> Vec<u64> {
        let mut keys: Vec<u64> = self.entries.keys().copied().chain([self.own_key]).collect();
        let hosts = keys.len().div_ceil(DAEMONS_PER_POOL_HOST).max(POOL_HOSTS_MIN);
        keys.sort_unstable_by_key(|key| rendezvous_weight(POOL_HOST_SEED, *key));
        keys.truncate(hosts);
        keys
    }
}

/// The first daemons of `before`: so many that some of them are expected to be reachable.
fn planned_readers(before: &[u64], unreachable: &HashSet<u64>) -> Vec<u64> {
    let mut readers = Vec::new();
    let mut reachable = 0;
    for key in before {
        readers.push(*key);
        reachable += usize::from(!unreachable.contains(key));
        if reachable == READERS_LINKED {
            break;
        }
    }
    readers
}
