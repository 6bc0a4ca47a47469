//! Orders of requests, answers, refusals and copies of these on connections to a backend server.
//!
//! `PROPTEST_CASES` and `PROPTEST_RNG_SEED` set the number of cases and the seed of a longer run.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{
    Config, FileFailurePersistence, RngSeed, TestCaseError, TestError, TestRunner,
};
use tokio::runtime::Builder;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::fleet::{CallerAnswer, KEY, TestDaemon, TestFleet};
use super::planned_server::{
    AnswerCopy, Arrival, ArrivalPlan, CopyForm, CopyTime, IdPlace, PlannedServer, Reaction,
    success_body,
};

/// Cases without `PROPTEST_CASES`.
const USUAL_CASES: u32 = 12;
/// The seed without `PROPTEST_RNG_SEED`.
const USUAL_SEED: u64 = 41;
/// Plans of a case, which run side by side.
const PLANS_PER_CASE: usize = 6;
/// Requests that earn retries before an order begins.
const EARNING_REQUESTS: usize = 25;
const DEADLINE: Duration = Duration::from_millis(400);
/// Runs that start after the last answer are seen for this long.
const LATE_RUN_SPAN: Duration = Duration::from_millis(150);
/// Statuses that promise that a request has not run and will not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
const MARKED_REFUSALS: [u16; 4] = [503, 421, 429, 408];
const FAILURES: [u16; 4] = [500, 503, 429, 408];

/// When a request is sent.
#[derive(Clone, Copy, Debug)]
enum SendTime {
    /// When all earlier ones are answered.
    AfterAnswers,
    AfterLast {
        millis: u8,
    },
}

/// What the server and the callers of an order may do.
#[derive(Clone, Copy, Debug, Default)]
struct OrderTerms {
    /// Callers use ids that earlier requests had.
    repeats_ids: bool,
    /// Copies may end early, and the next answer follows at once.
    breaks_off: bool,
}

/// A request and what the server does with its arrivals.
#[derive(Clone, Debug)]
struct PlannedSend {
    /// Its id, unless that is its number.
    id: Option<u8>,
    is_safe: bool,
    /// Through the daemon of another instance.
    is_linked: bool,
    time: SendTime,
    gives_up_after_ms: Option<u8>,
    arrivals: Vec<ArrivalPlan>,
}

impl PlannedSend {
    fn path(&self, number: usize) -> String {
        format!("/{}/{number}", if self.is_safe { "read" } else { "write" })
    }
}

fn answer_copy(terms: OrderTerms) -> impl Strategy<Value = AnswerCopy> {
    let broken_weight = if terms.breaks_off { 4 } else { 0 };
    let form = prop_oneof![
        3 => Just(CopyForm::Whole),
        1 => any::<u8>().prop_map(|cut| CopyForm::Parts { cut }),
        broken_weight => any::<u8>().prop_map(|cut| CopyForm::BrokenOff { cut }),
    ];
    let back = prop_oneof![3 => Just(0), 1 => 1..4u8];
    (back, form).prop_map(|(back, form)| AnswerCopy { back, form })
}

fn reaction() -> impl Strategy<Value = Reaction> {
    let marked = prop::sample::select(&MARKED_REFUSALS[..]);
    prop_oneof![
        4 => prop_oneof![Just(0), 0..40u8].prop_map(|after_ms| Reaction::Answer { after_ms }),
        1 => any::<u8>().prop_map(|cut| Reaction::AnswerInParts { cut }),
        1 => prop::sample::select(&FAILURES[..]).prop_map(|status| Reaction::Fail { status }),
        4 => marked.prop_map(|status| Reaction::Refuse { status, has_mark: true }),
        1 => Just(Reaction::Refuse { status: 421, has_mark: false }),
        1 => Just(Reaction::Hang),
        1 => Just(Reaction::Close),
    ]
}

fn arrival_plan(terms: OrderTerms) -> impl Strategy<Value = ArrivalPlan> {
    let id_place = prop_oneof![4 => Just(IdPlace::Last), 2 => Just(IdPlace::First), 1 => Just(IdPlace::Absent)];
    let copy_time = prop_oneof![
        Just(CopyTime::AtOnce),
        (0..20u8).prop_map(|millis| CopyTime::After { millis }),
    ];
    let copy_before = prop::option::of(answer_copy(terms));
    let copy_after = prop::option::weighted(0.3, (answer_copy(terms), copy_time));
    (reaction(), id_place, copy_before, copy_after).prop_map(
        |(reaction, id_place, copy_before, copy_after)| ArrivalPlan {
            reaction,
            id_place,
            copy_before,
            copy_after,
        },
    )
}

fn planned_send(terms: OrderTerms) -> impl Strategy<Value = PlannedSend> {
    let time = prop_oneof![
        2 => Just(SendTime::AfterAnswers),
        1 => (0..20u8).prop_map(|millis| SendTime::AfterLast { millis }),
    ];
    let gives_up_after_ms = prop::option::weighted(0.1, 0..40u8);
    let arrivals = prop::collection::vec(arrival_plan(terms), 1..4);
    let is_safe = prop::bool::weighted(0.2);
    let id = (0..3u8).prop_map(move |id| terms.repeats_ids.then_some(id));
    (id, is_safe, prop::bool::weighted(0.3), time, gives_up_after_ms, arrivals).prop_map(
        |(id, is_safe, is_linked, time, gives_up_after_ms, arrivals)| PlannedSend {
            id,
            is_safe,
            is_linked,
            time,
            gives_up_after_ms,
            arrivals,
        },
    )
}

fn order(terms: OrderTerms) -> impl Strategy<Value = Vec<PlannedSend>> {
    prop::collection::vec(planned_send(terms), 1..6)
}

/// Two daemons, of which the first one stands beside the server.
struct ExchangeFleet {
    fleet: TestFleet,
    beside: TestDaemon,
    linked: TestDaemon,
    server: PlannedServer,
}

impl ExchangeFleet {
    async fn start(order: &[PlannedSend]) -> Self {
        let planned = order.iter().enumerate();
        let plans = planned.map(|(number, send)| (send.path(number), send.arrivals.clone()));
        let server = PlannedServer::start(plans.collect()).await;
        let fleet = TestFleet::new();
        let beside = fleet.start_beside("one", "stock", server.address).await;
        let linked = fleet.start("two", "prices").await;
        fleet.until(&beside, "/read/first", KEY, 200).await;
        fleet.until(&linked, "/read/first", KEY, 200).await;
        for _ in 0..EARNING_REQUESTS {
            fleet.send(&beside, "/read/first", KEY).await;
        }
        ExchangeFleet { fleet, beside, linked, server }
    }

    /// Plays an order; `None` stands for a caller without an answer.
    async fn play(&self, order: &[PlannedSend]) -> Vec<Option<CallerAnswer>> {
        let mut callers = JoinSet::new();
        let mut answers: Vec<Option<CallerAnswer>> = order.iter().map(|_| None).collect();
        for (number, send) in order.iter().enumerate() {
            match send.time {
                SendTime::AfterAnswers => collect(&mut callers, &mut answers).await,
                SendTime::AfterLast { millis } => sleep(Duration::from_millis(millis.into())).await,
            }
            let daemon = if send.is_linked { &self.linked } else { &self.beside };
            let (path, id) =
                (send.path(number), format!("id-{}", send.id.map_or(number, usize::from)));
            let exchange = self.fleet.try_request(daemon, &path, KEY, &id, DEADLINE);
            let patience =
                send.gives_up_after_ms.map_or(DEADLINE * 5, |ms| Duration::from_millis(ms.into()));
            callers
                .spawn(async move { (number, timeout(patience, exchange).await.ok().flatten()) });
        }
        collect(&mut callers, &mut answers).await;
        sleep(LATE_RUN_SPAN).await;
        answers
    }
}

async fn collect(
    callers: &mut JoinSet<(usize, Option<CallerAnswer>)>,
    answers: &mut [Option<CallerAnswer>],
) {
    while let Some(ended) = callers.join_next().await {
        let (number, answer) = ended.unwrap();
        answers[number] = answer;
    }
}

/// What an order shows that must not be, if anything.
async fn violation(order: &[PlannedSend]) -> Option<String> {
    let fleet = ExchangeFleet::start(order).await;
    let answers = fleet.play(order).await;
    let arrivals = fleet.server.arrivals();
    let found = order.iter().zip(&answers).enumerate().find_map(|(number, (send, answer))| {
        let path = send.path(number);
        let problem = send_violation(send, &path, answer.as_ref(), &arrivals)?;
        Some(format!("{path}: {problem}"))
    })?;
    let statuses = answers.iter().map(|answer| answer.as_ref().map(|answer| answer.status));
    let statuses: Vec<Option<u16>> = statuses.collect();
    Some(format!("{found}\norder: {order:#?}\nstatuses: {statuses:?}\narrivals: {arrivals:#?}"))
}

fn send_violation(
    send: &PlannedSend,
    path: &str,
    answer: Option<&CallerAnswer>,
    arrivals: &[Arrival],
) -> Option<String> {
    let runs = arrivals.iter().filter(|arrival| arrival.path == path && arrival.ran()).count();
    if !send.is_safe && runs > 1 {
        return Some(format!("it ran {runs} times"));
    }
    let CallerAnswer { status, headers, body } = answer?;
    let is_signed = headers.contains_key("x-lentilway-server-signature");
    // The server's own failure of a safe request is passed on, whatever its status.
    if PROMISES.contains(status) && runs > 0 && !(send.is_safe && is_signed) {
        return Some(format!("it ran, and its caller was told {status}"));
    }
    let own_body = match (*status, is_signed) {
        (200..300, _) => success_body(path),
        (_, true) => format!("failed {path}"),
        (_, false) => return None,
    };
    (body[..] != *own_body.as_bytes()).then(|| format!("{status} with another body: {body:?}"))
}

/// What the orders of a case, each with a fleet of its own, show that must not be.
fn check_orders(orders: Vec<Vec<PlannedSend>>) -> Result<(), TestCaseError> {
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let found = runtime.block_on(async {
        let mut played = JoinSet::new();
        for order in orders {
            played.spawn(async move { violation(&order).await });
        }
        played.join_all().await.into_iter().flatten().next()
    });
    runtime.shutdown_background();
    found.map_or(Ok(()), |found| Err(TestCaseError::fail(found)))
}

fn runner() -> TestRunner {
    let mut config = Config::default();
    if std::env::var_os("PROPTEST_CASES").is_none() {
        config.cases = USUAL_CASES;
    }
    if config.rng_seed == RngSeed::Random {
        config.rng_seed = RngSeed::Fixed(USUAL_SEED);
    }
    config.source_file = Some(file!());
    let seeds = FileFailurePersistence::SourceParallel("proptest-regressions");
    config.failure_persistence = Some(Box::new(seeds));
    TestRunner::new(config)
}

fn check_order_property(terms: OrderTerms) {
    let orders = prop::collection::vec(order(terms), 1..=PLANS_PER_CASE);
    match runner().run(&orders, check_orders) {
        Ok(()) => {}
        Err(TestError::Fail(reason, _)) => panic!("{}", reason.message()),
        Err(TestError::Abort(reason)) => panic!("aborted: {reason}"),
    }
}

/// A request runs at most once unless it is safe, its caller hears "not run" only if it does not run,
/// and hears no answer to another request.
#[gtest]
fn order_with_copies() {
    check_order_property(OrderTerms::default());
}

/// The same where callers use ids once more, through the same daemon and another one.
#[gtest]
fn order_with_repeated_ids() {
    check_order_property(OrderTerms { repeats_ids: true, ..OrderTerms::default() });
}

/// The same with copies that are broken off, after which the next answer follows at once.
#[gtest]
fn order_with_broken_copies() {
    check_order_property(OrderTerms { breaks_off: true, ..OrderTerms::default() });
}
