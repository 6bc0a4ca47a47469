//! Requests that end each backend server that runs them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use googletest::prelude::*;
use http_body_util::Full;
use hyper::Request;
use lentilway_stand_ins::platform::upstream::{
    DEADLY_PATH, UpstreamObserver, UpstreamPlan, UpstreamRun, UpstreamServer, UpstreamStatement,
};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::fleet::{KEY, TestDaemon, TestFleet, free_address};

/// Time until a backend server that ended is back.
const DOWN_TIME: Duration = Duration::from_millis(2_500);
const CALLER_DEADLINE: Duration = Duration::from_secs(2);
/// Too short for a deadly request to end a backend server.
const SHORT_DEADLINE: Duration = Duration::from_millis(25);
/// After this time the links are up and the backend servers have announced themselves.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// The sends that the platform allows once a request has ended three servers.
const SENDS_AFTER_THIRD_MAX: usize = 3;
/// The platform's stable window: sends within it after the third end do not count.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct SeenRun {
    path: String,
    at: Instant,
}

/// What the backend servers saw.
#[derive(Default)]
struct FragileHistory {
    runs: Mutex<Vec<SeenRun>>,
    ends: Mutex<Vec<(String, Instant)>>,
}

impl UpstreamObserver for FragileHistory {
    fn started(&self, run: &UpstreamRun) {
        let run = SeenRun { path: run.path.clone(), at: Instant::now() };
        self.runs.lock().unwrap().push(run);
    }

    fn crashed(&self, instance: &str) {
        self.ends.lock().unwrap().push((instance.to_owned(), Instant::now()));
    }

    fn leave_acknowledged(&self, _instance: &str) {}

    fn limit_changed(&self, _instance: &str, _limit: Option<f64>) {}

    fn statement_received(&self, _receiver: &str, _statement: &UpstreamStatement) {}
}

impl FragileHistory {
    fn ends(&self) -> Vec<Instant> {
        self.ends.lock().unwrap().iter().map(|(_, at)| *at).collect()
    }

    /// The largest number of servers that were down at one moment.
    fn most_down(&self) -> usize {
        let ends = self.ends();
        let down_at =
            |at: Instant| ends.iter().filter(|end| **end <= at && at < **end + DOWN_TIME).count();
        ends.iter().map(|end| down_at(*end)).max().unwrap_or(0)
    }

    /// Runs of deadly requests later than the stable window after the third end.
    fn runs_after_third(&self) -> usize {
        let Some(third) = self.ends().get(2).copied() else {
            return 0;
        };
        self.deadly_runs(|at| at > third + STABLE_WINDOW)
    }

    /// Runs of deadly requests that began at times which `counts`.
    fn deadly_runs(&self, counts: impl Fn(Instant) -> bool) -> usize {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| run.path.contains(DEADLY_PATH) && counts(run.at)).count()
    }
}

/// A service whose backend servers end under deadly requests and come back.
struct FragileService {
    fleet: TestFleet,
    daemons: Vec<TestDaemon>,
    history: Arc<FragileHistory>,
    _servers: JoinSet<()>,
}

impl FragileService {
    async fn start(count: usize) -> Self {
        let fleet = TestFleet::new();
        let history = Arc::new(FragileHistory::default());
        let mut servers = JoinSet::new();
        let mut daemons = Vec::new();
        for number in 0..count {
            let address = free_address();
            let name = format!("stock-{number}");
            let daemon = fleet.start_unannounced(&name, "stock", address).await;
            let plan = UpstreamPlan {
                service: "stock".to_owned(),
                service_time: Duration::from_millis(20),
                calls: Vec::new(),
                announced: address,
                outbound: daemon.settings.request_listen,
                control: daemon.settings.announce_listen,
                answer_faults: Arc::default(),
            };
            servers.spawn(keep_serving(address, name, plan, history.clone()));
            daemons.push(daemon);
        }
        for daemon in &daemons {
            fleet.until(daemon, "/read/start", KEY, 200).await;
        }
        sleep(SETTLE_TIME).await;
        FragileService { fleet, daemons, history, _servers: servers }
    }

    /// Ends a backend server that has not ended before, past its daemon.
    async fn end_server(&self, number: usize) {
        let address = self.daemons[number].settings.backend_address;
        let request = Request::get(format!("http://{address}/{DEADLY_PATH}"))
            .header("x-lentilway-target-instance", format!("i-stock-{number}-0"))
            .body(Full::default());
        let ended = self.fleet.client.request(request.unwrap()).await;
        assert!(ended.is_err(), "the server ends without an answer");
    }

    /// Sends a deadly request through one daemon after the other, and ordinary ones through all,
    /// for `span`. Returns how many ordinary ones were sent and served, and the statuses of the
    /// deadly ones.
    async fn strike(&self, deadly: &str, span: Duration) -> (usize, usize, Vec<u16>) {
        self.strike_within(deadly, span, &[CALLER_DEADLINE]).await
    }

    /// As [`FragileService::strike`], with the deadlines of the deadly requests in turn.
    async fn strike_within(
        &self,
        deadly: &str,
        span: Duration,
        deadlines: &[Duration],
    ) -> (usize, usize, Vec<u16>) {
        let (started, mut sent, mut tick) = (Instant::now(), 0, 0);
        let mut ordinary = JoinSet::new();
        let mut strikes = JoinSet::new();
        while started.elapsed() < span {
            for daemon in &self.daemons {
                let path = format!("/read/{sent}");
                sent += 1;
                let answer = self.fleet.request(daemon, &path, KEY);
                ordinary.spawn(async move { answer.await.status });
            }
            if tick % 10 == 0 {
                let strike = tick / 10;
                let daemon = &self.daemons[strike % self.daemons.len()];
                let deadline = deadlines[strike % deadlines.len()];
                let answer = self.fleet.request_within(daemon, deadly, KEY, deadline);
                strikes.spawn(async move { answer.await.status });
            }
            tick += 1;
            sleep(Duration::from_millis(20)).await;
        }
        let served = ordinary.join_all().await.into_iter().filter(|status| *status == 200).count();
        (sent, served, strikes.join_all().await)
    }
}

/// Runs a backend server again and again, `DOWN_TIME` after each end.
async fn keep_serving(
    address: SocketAddr,
    name: String,
    plan: UpstreamPlan,
    history: Arc<FragileHistory>,
) {
    for start in 0.. {
        let id = format!("i-{name}-{start}");
        let server =
            UpstreamServer::start(address, id.clone(), plan.clone(), history.clone()).await;
        let _server = server.expect("the address is free again");
        while !history.ends.lock().unwrap().iter().any(|(ended, _)| *ended == id) {
            sleep(Duration::from_millis(5)).await;
        }
        sleep(DOWN_TIME).await;
    }
}

fn deadly_path(route: &str) -> String {
    format!("/{route}/{DEADLY_PATH}")
}

/// Servers that ended take no requests until they are back: callers get the answer of the last one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn request_served_by_last_server() {
    let service = FragileService::start(6).await;
    let entry = service.fleet.start("entry", "prices").await;
    service.fleet.until(&entry, "/read/first", KEY, 200).await;
    for number in 1..6 {
        service.end_server(number).await;
    }
    expect_that!(service.history.ends().len(), eq(5));
    for number in 0..20 {
        let path = format!("/read/{number}");
        expect_that!(service.fleet.send(&entry, &path, KEY).await.status, eq(200));
    }
}

/// Expects that other requests are served while a deadly one of the route comes again and again.
async fn expect_service_spared(route: &str) {
    let service = FragileService::start(4).await;
    let (sent, served, strikes) = service.strike(&deadly_path(route), Duration::from_secs(9)).await;
    let history = &service.history;
    println!("{served} of {sent} served, {} ends, answers {strikes:?}", history.ends().len());
    expect_that!(history.most_down(), le(2));
    expect_that!(history.runs_after_third(), le(SENDS_AFTER_THIRD_MAX));
    expect_that!(served as f64, ge(0.95 * sent as f64));
}

/// Issue 28: one request took down all servers of a service again and again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn deadly_request_spares_service() {
    expect_service_spared("read").await;
}

/// A request that is never resent by us comes back through its caller.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn deadly_request_unsafe_spares_service() {
    expect_service_spared("write").await;
}

/// A run that its deadline cuts short does not show that the request is harmless.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn deadly_request_short_of_time_not_cleared() {
    let service = FragileService::start(4).await;
    let deadly = deadly_path("read");
    let mut strikes = JoinSet::new();
    for daemon in service.daemons.iter().cycle().take(8) {
        strikes.spawn(service.fleet.request(daemon, &deadly, KEY));
    }
    strikes.join_all().await;
    let history = &service.history;
    expect_that!(history.ends().len(), ge(1));
    sleep(DOWN_TIME + SETTLE_TIME).await;
    let runs_before = history.deadly_runs(|_| true);
    let (sent, served, strikes) =
        service.strike_within(&deadly, Duration::from_secs(8), &[SHORT_DEADLINE]).await;
    println!("{served} of {sent} served, {} ends, answers {strikes:?}", history.ends().len());
    let runs = history.deadly_runs(|_| true) - runs_before;
    println!("{runs} more runs");
    expect_that!(runs, le(SENDS_AFTER_THIRD_MAX));
    expect_that!(served as f64, ge(0.95 * sent as f64));
}
