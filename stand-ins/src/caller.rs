//! A caller: single requests and open-loop load.

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

const HIGHEST_MICROS: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// A request that a caller sends.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest {
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The key, shown in the default header.
    pub key: Option<String>,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
    /// When the idempotency key was made, in milliseconds since the Unix epoch.
    pub key_issued_ms: u64,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

impl CallerRequest {
    /// A GET with a key.
    pub fn get(path: &str, key: &str) -> Self {
        CallerRequest {
            method: "GET".into(),
            path: path.into(),
            key: Some(key.into()),
            ..CallerRequest::default()
        }
    }

    /// A POST with a key and an idempotency key.
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

    fn build(&self, target: SocketAddr) -> Result<Request<Full<Bytes>>, String> {
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

/// The wall time in milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_millis() as u64
}

/// What a caller received.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The numbered result code, 0 if there was none.
    pub code: u16,
    /// The headers.
    pub headers: HeaderMap,
    /// The body as text.
    pub body: String,
}

/// A caller that keeps connections open.
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
    /// Sends one request to the daemon at `target` and receives the whole answer.
    ///
    /// # Errors
    /// A sentence on what failed if no whole answer came.
    pub async fn send(
        &self,
        target: SocketAddr,
        request: &CallerRequest,
    ) -> Result<CallerAnswer, String> {
        let (status, headers, body) = exchange(&self.client, request.build(target)?).await?;
        let code = headers.get("lentilway-result").and_then(|value| value.to_str().ok());
        let code = code.and_then(|value| value.parse().ok()).unwrap_or(0);
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(CallerAnswer { status: status.as_u16(), code, headers, body })
    }
}

/// Open-loop load of one organisation on one path.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Daemons that requests go to, in turn.
    pub targets: Vec<SocketAddr>,
    /// The request.
    pub request: CallerRequest,
    /// Requests a second.
    pub rate: f64,
    /// How long new requests start.
    pub duration: Duration,
    /// How long a request may take.
    pub timeout: Duration,
    /// For the times between requests.
    pub seed: u64,
}

/// One request of a load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadSample {
    /// When it was sent, from the start of the load.
    pub sent_at: Duration,
    /// How long it took.
    pub elapsed: Duration,
    /// Its result code, 0 if no whole answer came.
    pub code: u16,
    /// Its HTTP status, 0 if no whole answer came.
    pub status: u16,
}

impl LoadSample {
    /// Whether a whole, successful answer came back.
    pub fn is_success(&self) -> bool {
        self.code == 1000 && self.status == 200
    }
}

/// Runs a load and returns its samples in no order.
pub async fn run_load(plan: LoadPlan) -> Vec<LoadSample> {
    let caller = Caller::default();
    let samples = Arc::new(Mutex::new(Vec::new()));
    let mut random = StdRng::seed_from_u64(plan.seed);
    let started = Instant::now();
    let mut requests = JoinSet::new();
    let mut next = Duration::ZERO;
    let mut index = 0;
    loop {
        next += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / plan.rate);
        if next >= plan.duration {
            break;
        }
        sleep_until((started + next).into()).await;
        let target = plan.targets[index % plan.targets.len()];
        index += 1;
        let (caller, samples) = (caller.clone(), samples.clone());
        let (request, limit) = (plan.request.clone(), plan.timeout);
        requests.spawn(async move {
            let sample = sample(&caller, target, &request, limit, started).await;
            samples.lock().expect("no holder panics").push(sample);
        });
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    std::mem::take(&mut *samples.lock().expect("no holder panics"))
}

async fn sample(
    caller: &Caller,
    target: SocketAddr,
    request: &CallerRequest,
    limit: Duration,
    started: Instant,
) -> LoadSample {
    let sent_at = started.elapsed();
    let answer = timeout(limit, caller.send(target, request)).await;
    let elapsed = started.elapsed().saturating_sub(sent_at);
    match answer {
        Ok(Ok(answer)) => LoadSample { sent_at, elapsed, code: answer.code, status: answer.status },
        _ => LoadSample { sent_at, elapsed, code: 0, status: 0 },
    }
}

/// The histogram of the samples' times in microseconds.
pub fn histogram<'a>(samples: impl IntoIterator<Item = &'a LoadSample>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, HIGHEST_MICROS, SIGNIFICANT_DIGITS)
        .expect("the bounds are constants");
    for sample in samples {
        histogram.saturating_record(sample.elapsed.as_micros() as u64);
    }
    histogram
}
