//! State shared by the tasks of a sidecar daemon.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use serde::Serialize;
use tokio::sync::watch;

use super::backend_admission::BackendAdmission;
use super::backend_call::BackendCall;
use super::backend_pacing::cold_terms;
use super::backend_watch::BackendWatch;
use super::crash_watch::{CrashWatch, ProbationRun, not_run, observe_good_end};
use super::decision_log::{DecisionLog, LineCategory};
use super::directory::{DirectoryEntry, DirectoryView, KnownVersion, apply_directory};
use super::exchange_log::SURPLUS_SERVER;
use super::keyed_store::{KeyedStore, StoreRead, StoreTopic};
use super::memory_budget::MemoryBudget;
use super::notice_watch::NoticeWatch;
use super::peer_table::{PeerEntry, PeerTable, instance_key};
use super::quota_table::QuotaTable;
use super::root_start::RootStart;
use super::settings::SidecarSettings;
use super::sidecar_metrics::SidecarMetrics;
use super::store_report::DependencyLine;
use super::store_view::{PositionSource, StoreView};
use super::topic_replica::TopicChange;
use super::wire_dialect::WireDialect;
use crate::clock::{MilliClock, MilliTime};
use crate::policy::answer_size::AnswerSizes;
use crate::policy::backend_notice::{KnownNotice, NoticeMemory};
use crate::policy::caller_retry::RetryDetector;
use crate::policy::crash_ledger::RequestStanding;
use crate::policy::incarnation::LeaveRecord;
use crate::policy::placement::InstanceLoad;
use crate::policy::root_admission::{CostList, RootAdmission};
use crate::policy::route_success::RouteSuccess;
use crate::policy::stop_schedule::StopSchedule;
use crate::policy::store_position::StorePosition;
use crate::policy::weighted_split::WeightedSplit;
use crate::policy::zone_evacuation::{EvacuationClaim, ZoneSet};
use crate::process::stop::StopSignal;
use crate::sidecar::connection::backend_pool::BackendPool;
use crate::sidecar::connection::frame::{ConfigReport, PeerMessage, TopicReport};
use crate::sidecar::request::context::{CallOutcome, NotRunCause};
use crate::sidecar::version::config_watch::{has_config, merge_config_read, merge_config_report};
use crate::sidecar::version::evacuation_watch::merge_evacuations;
use crate::sidecar::version::fleet_config::FleetConfig;

/// Safety margin of the withdrawal bound, for clocks with millisecond resolution and late timers.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(200);
/// Time between requests for the directory to daemons that linked to this one. Before the first one,
/// the store answers if it works.
const START_REQUEST_DELAY: Duration = Duration::from_millis(100);
/// Maximum proof age of a ready daemon, as a fraction of the withdrawal bound. With an older proof,
/// callers should use other daemons.
const READY_PROOF_AGE_FRACTION: f64 = 0.6;

/// State shared by the tasks of a sidecar daemon.
pub(crate) struct SidecarShared {
    pub(crate) settings: SidecarSettings,
    pub(crate) dialect: Arc<dyn WireDialect>,
    pub(crate) store: Arc<dyn KeyedStore>,
    /// Also advances during system suspend.
    pub(crate) clock: MilliClock,
    pub(crate) log: DecisionLog,
    pub(crate) metrics: SidecarMetrics,
    pub(crate) backend_admission: BackendAdmission,
    pub(crate) backend_watch: BackendWatch,
    pub(crate) crash_watch: CrashWatch,
    pub(crate) notice_watch: NoticeWatch,
    pub(crate) notice_memory: Mutex<NoticeMemory>,
    pub(crate) peers: PeerTable,
    pub(crate) quota: QuotaTable,
    pub(crate) root_admission: Mutex<RootAdmission>,
    pub(crate) root_start: RootStart,
    pub(crate) route_success: Mutex<RouteSuccess>,
    pub(crate) retry_detector: Mutex<RetryDetector>,
    pub(crate) destination_split: Mutex<WeightedSplit>,
    pub(crate) stop: StopSignal,
    /// The phases of the stop, once it has begun.
    stop_schedule: OnceLock<StopSchedule>,
    pub(crate) own_key: u64,
    pub(crate) store_view: StoreView,
    pub(crate) directory: Mutex<DirectoryView>,
    /// Memory for what is held for others.
    pub(crate) memory: Arc<MemoryBudget>,
    /// When this process started.
    pub(crate) started: MilliTime,
    /// Whether the directory known here lists this daemon.
    pub(crate) listed: watch::Sender<bool>,
    /// When a daemon that linked to this one may be asked for the directory.
    next_start_request: Mutex<MilliTime>,
    config: ArcSwapOption<FleetConfig>,
    pub(super) lost_dependencies: Mutex<HashSet<String>>,
    /// The evacuated zones.
    pub(crate) evacuated: ArcSwap<ZoneSet>,
    /// Held while evacuations are applied, so that they are applied in order.
    pub(crate) evacuation_order: Mutex<()>,
    pub(crate) answer_sizes: AnswerSizes,
}

/// What another daemon reports of the store's topics.
pub(crate) struct StoreReports {
    pub(crate) configuration: Option<Box<ConfigReport>>,
    pub(crate) directory: Option<TopicReport>,
    pub(crate) evacuations: Option<EvacuationClaim>,
}

#[derive(Serialize)]
struct BackendFailureLine<'a> {
    request: &'a str,
    root: &'a str,
    identity: String,
    service: &'a str,
    is_root: bool,
    priority: u8,
    outcome: &'a CallOutcome,
    running: u32,
    waiting: u32,
    slots: u32,
    service_micros: u32,
    deadline_in_ms: u64,
}

impl SidecarShared {
    pub(crate) fn new(
        settings: SidecarSettings,
        dialect: Arc<dyn WireDialect>,
        store: Arc<dyn KeyedStore>,
        clock: MilliClock,
        log: DecisionLog,
    ) -> Self {
        let memory = MemoryBudget::new(settings.memory_bytes);
        let headers = dialect.headers().clone();
        let metrics = SidecarMetrics::default();
        let idle_surplus = metrics.surplus_answers(SURPLUS_SERVER, "idle");
        let pool = BackendPool::new(clock.clone(), headers, memory.clone(), idle_surplus);
        let now = clock.now();
        SidecarShared {
            backend_admission: BackendAdmission::new(
                clock.clone(),
                settings.service.clone(),
                pool,
                settings.retry_terms,
                settings.warm_up_terms,
            ),
            backend_watch: BackendWatch::default(),
            crash_watch: CrashWatch::default(),
            notice_watch: NoticeWatch::default(),
            notice_memory: Mutex::default(),
            peers: PeerTable::new(clock.clone(), &settings),
            quota: QuotaTable::new(clock.clone(), &settings.name, settings.rate_window),
            root_admission: Mutex::new(RootAdmission::new(now, settings.retry_terms.per_request)),
            root_start: RootStart::default(),
            route_success: Mutex::default(),
            retry_detector: Mutex::default(),
            destination_split: Mutex::default(),
            stop: StopSignal::default(),
            stop_schedule: OnceLock::new(),
            own_key: instance_key(&settings.name),
            store_view: StoreView::new(clock.clone()),
            directory: Mutex::default(),
            memory,
            started: now,
            listed: watch::Sender::new(false),
            next_start_request: Mutex::new(now + START_REQUEST_DELAY),
            config: ArcSwapOption::empty(),
            lost_dependencies: Mutex::default(),
            evacuated: ArcSwap::default(),
            evacuation_order: Mutex::default(),
            answer_sizes: AnswerSizes::default(),
            metrics,
            settings,
            dialect,
            store,
            clock,
            log,
        }
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<FleetConfig>> {
        self.config.load_full()
    }

    /// The configuration version in force; 0 before the first.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.load().as_ref().map_or(0, |config| config.version)
    }

    /// Applies a newer configuration.
    pub(crate) fn apply_config(&self, config: FleetConfig) {
        self.quota.apply_config(&config);
        self.backend_admission.set_cold_terms(cold_terms(self, &config));
        let names = config.route_names();
        self.route_success.lock().expect("lock not poisoned").retain(|name| names.contains(name));
        self.retry_detector.lock().expect("lock not poisoned").retain(|name| names.contains(name));
        self.root_admission.lock().expect("lock not poisoned").retain(|name| names.contains(name));
        self.config.store(Some(Arc::new(config)));
    }

    /// The age of the configuration's freshness proof.
    pub(crate) fn proof_age(&self) -> Option<Duration> {
        self.store_view.age(StoreTopic::Configuration)
    }

    /// Whether the configuration is fresh enough for what it says of keys, within the withdrawal
    /// bound, and of routes.
    pub(crate) fn has_fresh_config(&self) -> bool {
        let bound = self.settings.withdrawal_bound.saturating_sub(WITHDRAWAL_MARGIN);
        self.store_view.configuration.is_fresh(self.clock.now(), bound)
    }

    /// Begins the stop: readiness fails, and connections to callers end with their next answers.
    pub(crate) fn begin_stop(&self) -> StopSchedule {
        let schedule = StopSchedule::new(self.clock.now(), self.settings.stop_bound);
        let schedule = *self.stop_schedule.get_or_init(|| schedule);
        self.stop.raise();
        schedule
    }

    /// When callers are disconnected if a stop has begun that does not take a request with this
    /// deadline.
    pub(crate) fn stop_end_for(&self, deadline: MilliTime) -> Option<MilliTime> {
        let schedule = self.stop_schedule.get()?;
        (!schedule.takes(self.clock.now(), deadline)).then(|| schedule.end())
    }

    /// Whether callers should send their requests here.
    pub(crate) fn is_ready(&self) -> bool {
        let bound = self.settings.withdrawal_bound.mul_f64(READY_PROOF_AGE_FRACTION);
        !self.stop.is_raised()
            && self.config.load().is_some()
            && self.store_view.configuration.is_fresh(self.clock.now(), bound)
    }

    /// Merges a read of the store and applies what changed; whether it proves the state, as of
    /// `proven` if that is given.
    pub(crate) fn merge_read(
        self: &Arc<Self>,
        topic: StoreTopic,
        from: Option<StorePosition>,
        read: StoreRead,
        proven: Option<MilliTime>,
    ) -> bool {
        let era = read.cursor.era;
        let position = self.store_view.read_position(topic);
        let is_proof = match topic {
            StoreTopic::Configuration => {
                let is_rewrite = from.is_some() && has_config(self, &read.records);
                let proven = self.observe_era(topic, era, proven, is_rewrite);
                merge_config_read(self, from, read, proven)
            }
            StoreTopic::Directory => {
                let apply = |change| self.apply_directory_change(&change);
                let is_proof = self.store_view.directory.merge_read(from, read, proven, apply);
                self.observe_era(topic, era, proven, false);
                is_proof
            }
        };
        self.note_position(topic, position, &PositionSource::Store);
        self.note_directory_read();
        is_proof
    }

    /// Merges the reports of the other daemon `source`; `requested` is the time of the request that they
    /// answer.
    pub(crate) fn merge_reports(
        self: &Arc<Self>,
        source: &PositionSource,
        requested: Option<MilliTime>,
        reports: StoreReports,
    ) {
        let StoreReports { configuration, directory, evacuations } = reports;
        let view = &self.store_view;
        if let Some(claim) = evacuations {
            merge_evacuations(self, source, &claim);
        }
        if let Some(report) = configuration {
            let position = view.configuration.read_position();
            merge_config_report(self, requested, &report);
            self.note_position(StoreTopic::Configuration, position, source);
        }
        if let Some(report) = directory {
            self.log_report_behind(&report);
            let position = view.directory.read_position();
            let apply = |change| self.apply_directory_change(&change);
            view.directory.merge_report(requested, report, apply);
            self.note_position(StoreTopic::Directory, position, source);
        }
        self.note_directory_read();
    }

    /// Applies changed records of the directory: the only place that does, so that records from the
    /// store and from other daemons pass the same checks.
    fn apply_directory_change(self: &Arc<Self>, change: &TopicChange) {
        apply_directory(self, change);
        self.store_view.notify_change();
    }

    fn note_directory_read(&self) {
        if self.was_directory_read() {
            self.backend_watch.mark_directory_read();
        }
    }

    /// Whether the directory known here lists this daemon.
    pub(crate) fn is_listed(&self) -> bool {
        *self.listed.borrow()
    }

    /// Waits until the directory known here lists this daemon.
    pub(crate) async fn wait_until_listed(&self) {
        let mut receiver = self.listed.subscribe();
        // The sender lives as long as `self`.
        let _ = receiver.wait_for(|is_listed| *is_listed).await;
    }

    /// Whether to ask a daemon that linked to this one for the directory: one of them at a time,
    /// while the directory known here does not list this daemon.
    pub(crate) fn take_start_request(&self) -> bool {
        if self.is_listed() {
            return false;
        }
        let now = self.clock.now();
        let mut next = self.next_start_request.lock().expect("lock not poisoned");
        let is_due = now >= *next;
        if is_due {
            *next = now + START_REQUEST_DELAY;
        }
        is_due
    }

    /// Whether the directory is known as of a time after the start of this process.
    pub(crate) fn was_directory_read(&self) -> bool {
        let now = self.clock.now();
        let age = self.store_view.directory.age(now);
        age.is_some_and(|age| age <= now.since(self.started))
    }

    /// The records for a daemon that knows this version and the directory up to this position.
    pub(crate) fn store_reports(
        &self,
        number: Option<u64>,
        version: u64,
        directory: Option<StorePosition>,
    ) -> PeerMessage {
        let now = self.clock.now();
        let mut configuration = self.store_view.configuration.report(now, version);
        let unread = configuration.as_mut().and_then(|report| report.unread.take()).map(Box::new);
        PeerMessage::Records {
            number,
            configuration: configuration.map(Box::new),
            directory: self.store_view.directory.report(now, directory),
            evacuations: Some(self.store_view.configuration.evacuation_claim()),
            unread,
        }
    }

    /// The directory record of this daemon.
    pub(crate) fn own_entry(&self) -> DirectoryEntry {
        let version = self.config_version();
        DirectoryEntry {
            name: self.settings.name.clone(),
            address: self.settings.peer_listen,
            service: self.settings.service.clone(),
            availability_zone: self.settings.availability_zone.clone(),
            leaves: self.backend_watch.leaves(),
            crashes: self.crash_watch.own_reports(),
            known: self.store_view.witnessed_era().map(|era| KnownVersion { era, version }),
        }
    }

    /// Runs a request at this daemon's backend server and logs a failure or refusal.
    pub(crate) async fn run_on_backend(&self, call: &BackendCall) -> (CallOutcome, CostList) {
        let (outcome, costs) = match self.begin_run(call).await {
            Ok(probation) => {
                let (outcome, costs) = self.backend_admission.run(call, self).await;
                if let Some(probation) = probation {
                    probation.end(&outcome);
                }
                (outcome, costs)
            }
            Err(outcome) => (outcome, CostList::new()),
        };
        match &outcome {
            CallOutcome::Answered(answer) if answer.is_server_error() => {}
            CallOutcome::Answered(_) => observe_good_end(self, call),
            _ => self.log_backend_failure(call, &outcome),
        }
        (outcome, costs)
    }

    /// Lets a request run that is not held back; a suspect waits until it may run on probation.
    async fn begin_run(&self, call: &BackendCall) -> Result<Option<ProbationRun<'_>>, CallOutcome> {
        if call.context.is_suspect {
            return self.crash_watch.begin_probation(self, call).await;
        }
        match self.crash_watch.standing(self, call.context.identity) {
            RequestStanding::Held { remaining } => Err(not_run(NotRunCause::Held, remaining)),
            RequestStanding::Clear | RequestStanding::Suspect { .. } => Ok(None),
        }
    }

    /// The notice of an instance's backend server to repeat with a call.
    pub(crate) fn notice_of(&self, instance: u64) -> Option<KnownNotice> {
        self.notice_memory.lock().expect("lock not poisoned").notice(instance)
    }

    /// The leaves known of backend servers beside another daemon.
    pub(crate) fn leaves_at(&self, name: &str) -> Option<LeaveRecord> {
        self.directory.lock().expect("lock not poisoned").leaves_at(name).cloned()
    }

    /// Holds leaves at another daemon for its next process.
    pub(crate) fn hold_leaves(&self, name: &Arc<str>, leaves: &LeaveRecord) {
        self.directory.lock().expect("lock not poisoned").hold_leaves(name, leaves);
    }

    /// Remembers what the answer of an instance said of its backend server.
    pub(crate) fn remember_notice(&self, instance: u64, heard: Option<KnownNotice>) {
        let now = self.clock.now();
        self.notice_memory.lock().expect("lock not poisoned").record(now, instance, heard);
    }

    fn log_backend_failure(&self, call: &BackendCall, outcome: &CallOutcome) {
        let load = self.backend_admission.load();
        let line = BackendFailureLine {
            request: &call.context.request_id,
            root: &call.context.root_id,
            identity: call.context.identity.to_string(),
            service: &call.context.service,
            is_root: call.context.rank.is_root,
            priority: call.context.rank.priority,
            outcome,
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            service_micros: load.service_micros,
            deadline_in_ms: call.deadline.until(self.clock.now()).as_millis() as u64,
        };
        self.log.write(LineCategory::Failure, "backend-call-failed", &line);
    }

    /// Records the load that a peer reported.
    pub(crate) fn observe_load(&self, peer: &PeerEntry, load: &InstanceLoad) {
        let mut load = *load;
        if self.is_evacuated(&peer.zone) {
            load.slots = 0;
        }
        self.observe_instance(&peer.service, peer.key, &load);
    }

    /// Whether backend servers of a zone get no requests.
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.load().contains(zone)
    }

    /// Records the load at this daemon's backend server.
    pub(crate) fn observe_own_load(&self) {
        self.observe_instance(&self.settings.service, self.own_key, &self.backend_admission.load());
    }

    fn observe_instance(&self, service: &Arc<str>, key: u64, load: &InstanceLoad) {
        let now = self.clock.now();
        let mut admission = self.root_admission.lock().expect("lock not poisoned");
        admission.observe_load(now, service, key, load);
    }

    /// Logs that the link to a peer ended or was established.
    pub(crate) fn log_peer(
        &self,
        peer: &PeerEntry,
        is_connected: bool,
        reason: &dyn std::fmt::Display,
    ) {
        let line = DependencyLine { dependency: &peer.name, reason: reason.to_string() };
        let event = if is_connected { "peer-connected" } else { "peer-lost" };
        self.log.write(LineCategory::Change, event, &line);
    }
}
