//! The demonstration: three daemons in three availability zones, a short load, a table.

use std::time::Duration;

use lentilway_stand_ins::backend::{BackendBehaviour, SubCall};
use lentilway_stand_ins::caller::{Caller, CallerRequest, LoadPlan, LoadSample, run_load};

use crate::fleet::{Fleet, FleetError, NodePlan, organisation, read_route, ticket, write_route};

const NORD_KEY: &str = "demonstration-key-of-nord";
const SUED_KEY: &str = "demonstration-key-of-sued";
const LOAD_SECONDS: u64 = 2;
/// Requests per second.
const LOAD_RATE: f64 = 100.0;
const SEED: u64 = 1;

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemoRow {
    /// The step.
    pub step: String,
    /// The expected result.
    pub expected: String,
    /// The actual result.
    pub seen: String,
}

impl DemoRow {
    fn new(step: &str, expected: impl ToString, seen: impl ToString) -> Self {
        let (expected, seen) = (expected.to_string(), seen.to_string());
        DemoRow { step: step.into(), expected, seen }
    }

    /// Whether the actual result is the expected one.
    pub fn is_expected(&self) -> bool {
        self.expected == self.seen
    }
}

/// Runs the demonstration and returns its table.
///
/// # Errors
/// [`FleetError`] if the fleet does not start.
pub async fn run_demo() -> Result<Vec<DemoRow>, FleetError> {
    let fleet = start_fleet().await?;
    let mut rows = send_single_requests(&fleet).await;
    rows.push(send_load(&fleet).await);
    rows.push(count_keys_seen(&fleet));
    fleet.stop().await;
    Ok(rows)
}

async fn start_fleet() -> Result<Fleet, FleetError> {
    let tickets = [
        ticket(
            1,
            &[
                organisation("nord", NORD_KEY, 1000.0, 200.0),
                organisation("sued", SUED_KEY, 1000.0, 200.0),
            ],
        ),
        ticket(
            2,
            &[
                read_route("stock-read", "/stock", "stock"),
                read_route("price-read", "/price", "pricing"),
                write_route("top-up", "/top-up", "wallet"),
            ],
        ),
    ];
    let price = SubCall { method: "GET".into(), path: "/price/candle".into() };
    let stock = BackendBehaviour { sub_calls: vec![price], ..BackendBehaviour::default() };
    let plans = [
        NodePlan::new("stock", "az1", stock),
        NodePlan::new("pricing", "az2", BackendBehaviour::default()),
        NodePlan::new("wallet", "az3", BackendBehaviour::default()),
    ];
    Fleet::start(&tickets, &plans, |_| {}).await
}

async fn send_single_requests(fleet: &Fleet) -> Vec<DemoRow> {
    let daemons = fleet.callers();
    let caller = Caller::default();
    let code = async |daemon: usize, request: CallerRequest| {
        let answer = caller.send(daemons[daemon], &request).await;
        answer.map(|answer| answer.code.to_string()).unwrap_or_else(|error| error)
    };
    let top_up = CallerRequest::post("/top-up", NORD_KEY, "top-up-1", "50");
    let mut rows = vec![
        DemoRow::new(
            "nord reads stock, two hops, through az3",
            1000,
            code(2, CallerRequest::get("/stock/7", NORD_KEY)).await,
        ),
        DemoRow::new(
            "sued reads stock, two hops, through az1",
            1000,
            code(0, CallerRequest::get("/stock/7", SUED_KEY)).await,
        ),
        DemoRow::new(
            "a wrong key is refused, not run",
            2002,
            code(0, CallerRequest::get("/stock/7", "wrong")).await,
        ),
        DemoRow::new(
            "an unknown route is refused, not run",
            2004,
            code(0, CallerRequest::get("/unknown", NORD_KEY)).await,
        ),
        DemoRow::new("nord tops up through az1", 1000, code(0, top_up.clone()).await),
        DemoRow::new("its repeat through az2 gets the answer", 1000, code(1, top_up).await),
    ];
    let by_key = fleet.nodes[2].backend.counts().by_key;
    let executions = by_key.get("top-up-1").copied().unwrap_or(0);
    rows.push(DemoRow::new("executions of the top-up", 1, executions));
    rows
}

async fn send_load(fleet: &Fleet) -> DemoRow {
    let plan = LoadPlan {
        targets: fleet.callers(),
        request: CallerRequest::get("/stock/7", NORD_KEY),
        rate: LOAD_RATE,
        duration: Duration::from_secs(LOAD_SECONDS),
        timeout: Duration::from_secs(5),
        seed: SEED,
    };
    let samples = run_load(plan).await;
    let whole = samples.iter().filter(|sample| LoadSample::is_success(sample)).count();
    let step = format!("whole answers of {} requests at {LOAD_RATE}/s", samples.len());
    DemoRow::new(&step, samples.len(), whole)
}

fn count_keys_seen(fleet: &Fleet) -> DemoRow {
    let texts = fleet.nodes.iter().map(|node| node.backend.counts().header_text);
    let seen = texts.filter(|text| text.contains(NORD_KEY) || text.contains(SUED_KEY)).count();
    DemoRow::new("backend servers that saw a key", 0, seen)
}

/// The table as plain text.
pub fn render(rows: &[DemoRow]) -> String {
    let mut text = format!("{:<48} {:>9} {:>9}\n", "step", "expected", "seen");
    for row in rows {
        let mark = if row.is_expected() { "ok" } else { "WRONG" };
        let line = format!("{:<48} {:>9} {:>9}  {mark}\n", row.step, row.expected, row.seen);
        text.push_str(&line);
    }
    text
}
