//! A caller that sends single requests or open-loop load.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::{HeaderMap, Request};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout};

use crate::http::{HttpClient, exchange, http_client};

const LATENCY_MICROS_LIMIT: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// A request of a caller.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The API key, sent in the default header `lentilway-key`.
    pub key: Option<String>,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// The issue time of the idempotency key in milliseconds since the Unix epoch.
    pub key_issued_ms: u64,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

impl CallerRequest {
    /// Creates a GET request with an API key.
    pub fn get(path: &str, key: &str) -> Self {
        CallerRequest {
            method: "GET".into(),
            path: path.into(),
            key: Some(key.into()),
            ..CallerRequest::default()
        }
    }

    /// Creates a POST request with an API key and an idempotency key issued now.
    pub fn post(path: &str, key: &str, idempotency_key: &str, body: &str) -> Self {
        CallerRequest {
            method: "POST".into(),
            path: path.into(),
            key: Some(key.into()),
            idempotency_key: Some(idempotency_key.into()),
            key_issued_ms: now_ms(),
            body: body.into(),
            ..CallerRequest::default()
        }
    }

    fn to_http(&self, target: SocketAddr) -> Result<Request<Full<Bytes>>, String> {
        let url = format!("http://{target}{}", self.path);
        let mut request = Request::builder().method(self.method.as_str()).uri(url);
        if let Some(key) = &self.key {
            request = request.header("lentilway-key", key);
        }
        if let Some(key) = &self.idempotency_key {
            request = request.header("idempotency-key", key);
            request = request.header("idempotency-key-issued", self.key_issued_ms.to_string());
        }
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let body = Full::new(Bytes::from(self.body.clone()));
        request.body(body).map_err(|error| error.to_string())
    }
}

/// The wall-clock time in milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_millis() as u64
}

/// An answer as the caller received it.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The numbered result code, 0 if the answer has none.
    pub code: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body as text.
    pub body: String,
}

/// A caller with a pool of open connections.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
}

impl Default for Caller {
    fn default() -> Self {
        Caller { client: http_client() }
    }
}

impl Caller {
    /// Sends one request to the daemon at `target` and receives the complete answer.
    ///
    /// # Errors
    /// A description of the failure if no complete answer arrived.
    pub async fn send(
        &self,
        target: SocketAddr,
        request: &CallerRequest,
    ) -> Result<CallerAnswer, String> {
        let (status, headers, body) = exchange(&self.client, request.to_http(target)?).await?;
        let code = headers.get("lentilway-result").and_then(|value| value.to_str().ok());
        let code = code.and_then(|value| value.parse().ok()).unwrap_or(0);
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(CallerAnswer { status: status.as_u16(), code, headers, body })
    }
}

/// Open-loop load of one organisation on one path.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The daemons, used in rotation.
    pub targets: Vec<SocketAddr>,
    /// The request.
    pub request: CallerRequest,
    /// Mean arrival rate in requests per second.
    pub rate: f64,
    /// The time during which requests start.
    pub duration: Duration,
    /// The timeout of each request.
    pub timeout: Duration,
    /// The seed of the times between requests.
    pub seed: u64,
}

/// One request of a load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSample {
    /// The send time since the start of the load.
    pub sent_at: Duration,
    /// The time until its answer or timeout.
    pub elapsed: Duration,
    /// The result code, 0 if no complete answer arrived.
    pub code: u16,
    /// The HTTP status, 0 if no complete answer arrived.
    pub status: u16,
}

impl LoadSample {
    /// Whether a complete and successful answer arrived.
    pub fn is_success(&self) -> bool {
        self.code == 1000 && self.status == 200
    }
}

/// Runs a load and returns its samples in no particular order.
pub async fn run_load(plan: LoadPlan) -> Vec<LoadSample> {
    let caller = Caller::default();
    let samples = Arc::new(Mutex::new(Vec::new()));
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let started = Instant::now();
    let mut requests = JoinSet::new();
    let mut next_start = Duration::ZERO;
    let mut index = 0;
    loop {
        next_start += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / plan.rate);
        if next_start >= plan.duration {
            break;
        }
        sleep_until((started + next_start).into()).await;
        let target = plan.targets[index % plan.targets.len()];
        index += 1;
        let (caller, samples) = (caller.clone(), samples.clone());
        let (request, time_limit) = (plan.request.clone(), plan.timeout);
        requests.spawn(async move {
            let sample = send_sample(&caller, target, &request, time_limit, started).await;
            samples.lock().expect("lock not poisoned").push(sample);
        });
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    std::mem::take(&mut *samples.lock().expect("lock not poisoned"))
}

async fn send_sample(
    caller: &Caller,
    target: SocketAddr,
    request: &CallerRequest,
    time_limit: Duration,
    started: Instant,
) -> LoadSample {
    let sent_at = started.elapsed();
    let answer = timeout(time_limit, caller.send(target, request)).await;
    let elapsed = started.elapsed().saturating_sub(sent_at);
    match answer {
        Ok(Ok(answer)) => LoadSample { sent_at, elapsed, code: answer.code, status: answer.status },
        _ => LoadSample { sent_at, elapsed, code: 0, status: 0 },
    }
}

/// The histogram of the samples' latencies in microseconds.
pub fn histogram<'a>(samples: impl IntoIterator<Item = &'a LoadSample>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, LATENCY_MICROS_LIMIT, SIGNIFICANT_DIGITS)
        .expect("the bounds are constants");
    for sample in samples {
        histogram.saturating_record(sample.elapsed.as_micros() as u64);
    }
    histogram
}
