//! A randomized soak test: injects faults into a fleet of daemon processes and checks the
//! guarantees against what callers and upstreams observe.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use lentilway_stand_ins::link::LinkMode;
use lentilway_stand_ins::platform::store::StoreServer;
use lentilway_stand_ins::platform::{RoutePlan, TenantPlan, cold_service_entry, config_record};
use rustix::process::Signal;
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

mod callers;
mod cold_upstreams;
mod deadly;
mod evacuations;
mod fault;
pub mod history;
mod node;
mod readiness;
mod store_faults;
mod upstreams;

use callers::{CallerGroup, CallerOrganisation, CallerRoute, run_caller};
use cold_upstreams::COLD_PER_SECOND;
use deadly::return_upstreams;
use fault::{LinkFault, NodeLink, PlannedFault, SoakFault, draw_plan};
use history::{DRAIN_TIMEOUT, SoakHistory};
pub use node::SoakPaths;
use node::{SoakNode, ZONES};
use readiness::watch_ready;

/// Services of the nodes; each run of the first calls the second.
const SERVICES: [&str; 2] = ["shop", "stock"];
const CALLERS_PER_NODE: u64 = 2;
/// The platform kills a process that has not ended after this time.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);
const RESTART_PAUSE: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which the fleet must recover after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Period over which the fraction of served requests is measured.
const RECOVERY_SAMPLE_TIME: Duration = Duration::from_secs(2);
/// The fleet has recovered once at least this fraction of requests is served.
const RECOVERED_FRACTION: f64 = 0.25;
/// A fleet that does not serve after this time has failed to start.
const START_TIMEOUT: Duration = Duration::from_secs(60);
const LINK_DELAY: Duration = Duration::from_millis(300);
/// Time in which an upstream repeats a leave that is not acknowledged.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which an upstream serves after a heartbeat that arrives late.
const LEFT_SERVING_TIME: Duration = Duration::from_millis(1_500);

const UNLIMITED: CallerOrganisation =
    CallerOrganisation { name: "nord", keys: ["nord-1", "nord-2"] };
const LIMITED: CallerOrganisation = CallerOrganisation { name: "sued", keys: ["sued-1", "sued-2"] };
const LIMITED_RATE: f64 = 20.0;
/// The keys to withdraw, in order; each organisation keeps one.
const WITHDRAWN_KEYS: [&str; 2] = ["nord-2", "sued-2"];
const ADDED_ROUTES: [&str; 4] = ["added-1", "added-2", "added-3", "added-4"];

/// Settings of a soak.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Seed of the faults and of all other random draws.
    pub seed: u64,
    /// Number of daemons.
    pub nodes: usize,
    /// Time during which faults are injected.
    pub duration: Duration,
}

/// Results of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Number of injected faults.
    pub faults: usize,
    /// Number of requests that ended, and of those that were served.
    pub requests: (usize, usize),
    /// A line for each violated guarantee.
    pub violations: Vec<String>,
}

impl std::fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (ended, served) = self.requests;
        let (faults, violations) = (self.faults, self.violations.len());
        write!(formatter, "{faults} faults, {served} of {ended} served, {violations} findings")
    }
}

struct Soak {
    paths: SoakPaths,
    store: StoreServer,
    nodes: Vec<Mutex<SoakNode>>,
    starts: Vec<Arc<AtomicU32>>,
    history: Arc<SoakHistory>,
    config: Mutex<SoakConfig>,
    routes: watch::Sender<Vec<CallerRoute>>,
}

#[derive(Default)]
struct SoakConfig {
    version: u64,
    withdrawn: usize,
    added: usize,
    /// Whether the services limit the rate of requests to cold upstreams.
    limits_cold: bool,
    /// Whether each zone is evacuated; `None` if it never was.
    evacuated: [Option<bool>; ZONES],
    /// The newest version as written.
    record: serde_json::Value,
}

/// Runs one soak.
///
/// # Errors
/// An I/O error if a process cannot be started or a port cannot be bound.
pub async fn run_soak(paths: SoakPaths, settings: &SoakSettings) -> std::io::Result<SoakReport> {
    std::fs::create_dir_all(&paths.folder)?;
    let plan = draw_plan(settings.seed, settings.nodes, settings.duration);
    let limits_cold =
        plan.iter().any(|planned| matches!(planned.fault, SoakFault::ChillUpstream(_)));
    let soak = Arc::new(Soak::start(paths, settings.nodes, limits_cold).await?);
    let (end, ended) = watch::channel(false);
    let mut tasks = soak.start_callers(settings.seed, &ended).await;
    if !soak.wait_served().await {
        return Ok(SoakReport {
            faults: 0,
            requests: (0, 0),
            violations: vec!["the fleet did not start".to_owned()],
        });
    }
    tasks.spawn(return_upstreams(soak.clone(), ended.clone()));
    soak.inject_all(&plan, settings.duration).await;
    let mut violations = soak.check_recovery().await;
    end.send_replace(true);
    while tasks.join_next().await.is_some() {}
    let rates = HashMap::from([(LIMITED.name, LIMITED_RATE)]);
    violations.extend(soak.history.violations(&rates));
    let epoch = Instant::now() - settings.duration - RECOVERY_TIMEOUT - START_TIMEOUT;
    let requests = soak.history.served_since(epoch);
    Ok(SoakReport { faults: plan.len(), requests, violations })
}

impl Soak {
    async fn start(paths: SoakPaths, count: usize, limits_cold: bool) -> std::io::Result<Self> {
        let store = StoreServer::start((Ipv4Addr::LOCALHOST, 0).into()).await?;
        let history = Arc::new(SoakHistory::default());
        let soak_config = SoakConfig { limits_cold, ..SoakConfig::default() };
        let mut nodes = Vec::new();
        for number in 0..count {
            let service = SERVICES[number % SERVICES.len()];
            let calls = match service {
                "shop" => vec!["/inner/1".to_owned(), "/inner/2".to_owned()],
                _ => Vec::new(),
            };
            let node = SoakNode::start(&paths, number, service, calls, &store, &history).await?;
            nodes.push(Mutex::new(node));
        }
        let starts = (0..count).map(|_| Arc::new(AtomicU32::new(1))).collect();
        let routes = watch::Sender::new(vec![
            CallerRoute { name: "read", is_safe: true },
            CallerRoute { name: "write", is_safe: false },
        ]);
        let config = Mutex::new(soak_config);
        let soak = Soak { paths, store, nodes, starts, history, config, routes };
        soak.write_config(|_| {}).await;
        Ok(soak)
    }

    /// Changes the configuration and writes it as a new version.
    async fn write_config(&self, change: impl FnOnce(&mut SoakConfig)) {
        let mut config = self.config.lock().await;
        change(&mut config);
        config.version += 1;
        let route = |name: &str, service: &str, is_safe, is_public| RoutePlan {
            name: name.to_owned(),
            service: service.to_owned(),
            is_safe,
            is_public,
        };
        let mut routes = vec![
            route("read", "shop", true, false),
            route("write", "shop", false, false),
            route("inner", "stock", true, true),
        ];
        let added = &ADDED_ROUTES[..config.added];
        routes.extend(added.iter().map(|name| route(name, "stock", true, false)));
        let withdrawn = &WITHDRAWN_KEYS[..config.withdrawn];
        let tenants =
            [(UNLIMITED, 0.0), (LIMITED, LIMITED_RATE)].map(|(organisation, rate)| TenantPlan {
                name: organisation.name.to_owned(),
                keys: organisation
                    .keys
                    .iter()
                    .filter(|key| !withdrawn.contains(key))
                    .map(|key| (*key).to_owned())
                    .collect(),
                rate,
            });
        let mut record = config_record(config.version, &routes, &tenants);
        if config.limits_cold {
            let entries = SERVICES.map(|service| cold_service_entry(service, COLD_PER_SECOND));
            let resources = record["resources"].as_array_mut();
            resources.expect("a configuration lists its resources").extend(entries);
        }
        config.record = record;
        self.store.write_config(&config.record);
    }

    async fn withdraw_key(&self) {
        self.write_config(|config| {
            config.withdrawn = (config.withdrawn + 1).min(WITHDRAWN_KEYS.len());
        })
        .await;
        let withdrawn = self.config.lock().await.withdrawn;
        self.history.record_withdrawal(WITHDRAWN_KEYS[withdrawn - 1]);
    }

    async fn add_route(&self) {
        self.write_config(|config| {
            config.added = (config.added + 1).min(ADDED_ROUTES.len());
        })
        .await;
        let added = self.config.lock().await.added;
        self.history.record_added(ADDED_ROUTES[added - 1]);
        self.routes.send_modify(|routes| {
            let name = ADDED_ROUTES[added - 1];
            if routes.iter().all(|route| route.name != name) {
                routes.push(CallerRoute { name, is_safe: true });
            }
        });
    }

    async fn start_callers(
        self: &Arc<Self>,
        seed: u64,
        end: &watch::Receiver<bool>,
    ) -> JoinSet<()> {
        let next_id = Arc::new(AtomicU64::new(0));
        let mut tasks = JoinSet::new();
        for (daemon, node) in self.nodes.iter().enumerate() {
            let plan = node.lock().await.plan.clone();
            let (ready, is_ready) = watch::channel(false);
            tasks.spawn(watch_ready(plan.ready, ready, end.clone()));
            let group = Arc::new(CallerGroup {
                daemon,
                address: plan.outbound,
                start: self.starts[daemon].clone(),
                is_ready,
                routes: self.routes.subscribe(),
                organisations: vec![UNLIMITED, LIMITED],
                history: self.history.clone(),
                next_id: next_id.clone(),
                end: end.clone(),
            });
            for caller in 0..CALLERS_PER_NODE {
                let seed = seed ^ ((daemon as u64 * CALLERS_PER_NODE + caller) << 32);
                tasks.spawn(run_caller(group.clone(), seed));
            }
        }
        tasks
    }

    /// Waits until requests are served; `false` after [`START_TIMEOUT`].
    async fn wait_served(&self) -> bool {
        let started = Instant::now();
        let served = async {
            while self.history.served_since(started).1 < self.nodes.len() * 2 {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(START_TIMEOUT, served).await.is_ok()
    }

    async fn inject_all(self: &Arc<Self>, plan: &[PlannedFault], length: Duration) {
        let started = Instant::now();
        let mut injections = JoinSet::new();
        for planned in plan {
            sleep(planned.at.saturating_sub(started.elapsed())).await;
            let (soak, planned) = (self.clone(), *planned);
            injections.spawn(async move { soak.inject(planned).await });
        }
        sleep(length.saturating_sub(started.elapsed())).await;
        while injections.join_next().await.is_some() {}
    }

    async fn inject(&self, planned: PlannedFault) {
        let started = Instant::now();
        match planned.fault {
            SoakFault::Suspend(node) => {
                self.history.record_interruption(node);
                self.nodes[node].lock().await.signal(Signal::STOP);
                sleep(planned.duration).await;
                self.nodes[node].lock().await.signal(Signal::CONT);
                self.history.record_interruption(node);
            }
            SoakFault::Kill(node) => self.restart(node, Signal::KILL).await,
            SoakFault::Stop(node) => {
                self.history.record_stop(node);
                self.restart(node, Signal::TERM).await;
            }
            SoakFault::RestartAndLeave { node, is_kill, is_repeated } => {
                self.restart_and_leave(node, is_kill, is_repeated, planned.duration).await;
            }
            SoakFault::Reload(node) => self.nodes[node].lock().await.signal(Signal::HUP),
            SoakFault::CrashUpstream(node) => self.replace_upstream(node, planned.duration).await,
            SoakFault::DrainUpstream(node) => {
                if let Some(upstream) = &self.nodes[node].lock().await.upstream {
                    upstream.drain();
                }
                sleep(STOP_TIMEOUT / 2).await;
                self.replace_upstream(node, Duration::ZERO).await;
            }
            SoakFault::LimitUpstream(node) => self.limit_upstream(node, planned.duration).await,
            SoakFault::TellLeave(node) => {
                if let Some(upstream) = &self.nodes[node].lock().await.upstream {
                    upstream.tell_leave();
                }
                sleep(STOP_TIMEOUT / 2).await;
                self.replace_upstream(node, Duration::ZERO).await;
            }
            SoakFault::Link(node, link, fault) => {
                self.fail_link(node, link, fault, planned.duration).await
            }
            SoakFault::Store(fault) => {
                self.fail_store(fault, planned.duration).await;
            }
            SoakFault::RestoreStore => self.restore_store(planned.duration).await,
            SoakFault::DropHistory => self.drop_history(planned.duration).await,
            SoakFault::SendDeadly { is_safe } => self.send_deadly(is_safe, planned.duration).await,
            SoakFault::CopyAnswers(plan) => self.copy_answers(plan, planned.duration).await,
            SoakFault::ChillUpstream(node) => self.chill_upstream(node, planned.duration).await,
            SoakFault::EvacuateZone(zone) => self.evacuate_zone(zone, planned.duration).await,
            SoakFault::WithdrawKey => self.withdraw_key().await,
            SoakFault::AddRoute => self.add_route().await,
        }
        if planned.fault.may_cut_connections() {
            self.history.record_fault(started);
        }
    }

    /// Sends `signal` to a daemon, kills it after [`STOP_TIMEOUT`], and starts it again.
    async fn restart(&self, number: usize, signal: Signal) {
        self.history.record_interruption(number);
        self.nodes[number].lock().await.signal(signal);
        let signalled = Instant::now();
        loop {
            let mut node = self.nodes[number].lock().await;
            if node.has_ended() {
                break;
            }
            if signalled.elapsed() > STOP_TIMEOUT {
                node.signal(Signal::KILL);
            }
            drop(node);
            sleep(POLL_INTERVAL).await;
        }
        sleep(RESTART_PAUSE).await;
        let mut node = self.nodes[number].lock().await;
        // A repeat of the fault may have restarted it already.
        if node.has_ended() {
            self.starts[number].fetch_add(1, Ordering::SeqCst);
            self.history.record_interruption(number);
            node.start_daemon(&self.paths).expect("the program was started before");
        }
    }

    /// Restarts a daemon whose upstream then leaves, with a heartbeat that arrives `delay` after the
    /// time in which requests may still reach the upstream.
    async fn restart_and_leave(
        &self,
        number: usize,
        is_kill: bool,
        is_repeated: bool,
        delay: Duration,
    ) {
        let upstream = self.nodes[number].lock().await.upstream.as_ref().map(|upstream| {
            let announcer = upstream.take_announcements();
            (announcer.hold_heartbeat(), announcer)
        });
        let Some((heartbeat, announcer)) = upstream else {
            return;
        };
        if is_kill {
            self.restart(number, Signal::KILL).await;
        } else {
            self.history.record_stop(number);
            self.restart(number, Signal::TERM).await;
        }
        let started = Instant::now();
        while !announcer.leave().await && started.elapsed() < LEAVE_TIMEOUT {
            sleep(POLL_INTERVAL).await;
        }
        if is_repeated {
            self.restart(number, Signal::KILL).await;
        }
        sleep(DRAIN_TIMEOUT + delay).await;
        announcer.deliver(heartbeat).await;
        sleep(LEFT_SERVING_TIME).await;
        self.replace_upstream(number, Duration::ZERO).await;
    }

    /// Number of times that a daemon was started.
    fn start_count(&self, daemon: usize) -> u32 {
        self.starts[daemon].load(Ordering::SeqCst)
    }

    async fn fail_link(&self, number: usize, link: NodeLink, fault: LinkFault, duration: Duration) {
        let mode = match fault {
            LinkFault::Delay => LinkMode::Delay(LINK_DELAY),
            LinkFault::Silent => LinkMode::Silent,
            LinkFault::OneWay => LinkMode::OneWay,
            LinkFault::Reset => LinkMode::Reset,
        };
        self.set_link(number, link, mode).await;
        sleep(duration).await;
        self.set_link(number, link, LinkMode::Pass).await;
    }

    async fn set_link(&self, number: usize, link: NodeLink, mode: LinkMode) {
        let node = self.nodes[number].lock().await;
        match link {
            NodeLink::Peers => node.peer_link.set_mode(mode),
            NodeLink::Store => node.store_link.set_mode(mode),
            NodeLink::Upstream => node.upstream_link.set_mode(mode),
        }
    }

    /// Waits until the fleet has recovered; returns a violation if it does not in time.
    async fn check_recovery(&self) -> Vec<String> {
        let faults_ended = Instant::now();
        loop {
            let from = Instant::now();
            sleep(RECOVERY_SAMPLE_TIME).await;
            let (all, served) = self.history.served_since(from);
            if all > 0 && served as f64 >= RECOVERED_FRACTION * all as f64 {
                return Vec::new();
            }
            if faults_ended.elapsed() > RECOVERY_TIMEOUT {
                return vec![format!("the fleet did not recover: {served} of {all} served")];
            }
        }
    }
}
