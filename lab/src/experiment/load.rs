//! The open-loop load of an experiment.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lentilway_stand_ins::caller::{Caller, CallerRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout};

use super::deployment::Deployment;
use super::scenario::{BASE_LOAD, PhaseTimes, Scenario};

const CALLER_TIMEOUT: Duration = Duration::from_secs(4);
const CONNECT_ATTEMPTS: usize = 3;

/// One root request and its outcome.
#[derive(Clone, Debug, Serialize)]
pub struct RootSample {
    /// Sent as the request's body, so that executions can be counted by root request.
    pub id: String,
    /// The organisation's index.
    pub organisation: usize,
    /// The index of the kind of request.
    pub kind: usize,
    /// When it was due, since the start of the load.
    pub due: Duration,
    /// When its last attempt ended, since the start of the load.
    pub ended: Duration,
    /// The last result code, 0 if no whole answer arrived.
    pub code: u16,
    /// The last HTTP status.
    pub status: u16,
    /// Number of attempts.
    pub sent: u32,
}

impl RootSample {
    /// Whether a whole, successful answer arrived.
    pub fn is_success(&self) -> bool {
        self.code == 1000 && self.status == 200
    }

    /// Latency, counted from the due time.
    pub fn elapsed(&self) -> Duration {
        self.ended.saturating_sub(self.due)
    }
}

/// The parameters of a load.
#[derive(Clone, Debug)]
pub struct ExperimentLoad {
    /// The deployment.
    pub deployment: Deployment,
    /// The scenario.
    pub scenario: Scenario,
    /// The phases.
    pub times: PhaseTimes,
    /// Addresses of the daemons that callers send to.
    pub daemons: Vec<SocketAddr>,
    /// Seed of every random draw.
    pub seed: u64,
}

struct DueRequest {
    due: Duration,
    organisation: usize,
    kind: usize,
    first_daemon: usize,
}

impl ExperimentLoad {
    /// Sends the whole load and returns the samples in order of their due times.
    pub async fn run(self) -> Vec<RootSample> {
        let schedule = self.schedule();
        let load = Arc::new(self);
        let caller = Caller::default();
        let samples = Arc::new(Mutex::new(Vec::with_capacity(schedule.len())));
        let started = Instant::now();
        let mut requests = JoinSet::new();
        for (number, request) in schedule.into_iter().enumerate() {
            sleep_until((started + request.due).into()).await;
            let (load, caller, samples) = (load.clone(), caller.clone(), samples.clone());
            requests.spawn(async move {
                let sample = load.send(&caller, number, request, started).await;
                samples.lock().expect("lock not poisoned").push(sample);
            });
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
        let mut samples = std::mem::take(&mut *samples.lock().expect("lock not poisoned"));
        samples.sort_by_key(|sample| sample.due);
        samples
    }

    /// Poisson arrivals of every organisation, merged.
    fn schedule(&self) -> Vec<DueRequest> {
        let mut random = StdRng::seed_from_u64(self.seed);
        let mut requests = Vec::new();
        for (organisation, weight) in self.deployment.weights().iter().enumerate() {
            let base = weight * BASE_LOAD * self.deployment.capacity();
            let mut due = Duration::ZERO;
            loop {
                let factor = match self.times.in_trigger(due) {
                    true => self.scenario.load_factor(organisation),
                    false => 1.0,
                };
                let draw: f64 = random.random();
                due += Duration::from_secs_f64(-(1.0 - draw).ln() / (base * factor));
                if due >= self.times.end() {
                    break;
                }
                let kind = self.draw_kind(&mut random);
                let first_daemon = random.random_range(0..self.daemons.len());
                requests.push(DueRequest { due, organisation, kind, first_daemon });
            }
        }
        requests.sort_by_key(|request| request.due);
        requests
    }

    fn draw_kind(&self, random: &mut StdRng) -> usize {
        let mut draw: f64 = random.random();
        for (index, kind) in self.deployment.requests.iter().enumerate() {
            draw -= kind.fraction;
            if draw < 0.0 {
                return index;
            }
        }
        self.deployment.requests.len() - 1
    }

    async fn send(
        &self,
        caller: &Caller,
        number: usize,
        request: DueRequest,
        started: Instant,
    ) -> RootSample {
        let kind = &self.deployment.requests[request.kind];
        let id = format!("root-{number}");
        let key = Deployment::key(request.organisation);
        let outgoing = match kind.idempotent {
            true => CallerRequest { body: id.clone(), ..CallerRequest::get(kind.path, &key) },
            false => CallerRequest::post(kind.path, &key, &id, &id),
        };
        let (mut code, mut status, mut sent) = (0, 0, 0);
        while sent <= self.scenario.caller_retries() {
            let daemon = request.first_daemon + sent as usize;
            (code, status) = self.send_once(caller, daemon, &outgoing).await;
            sent += 1;
            if (code, status) == (1000, 200) {
                break;
            }
        }
        RootSample {
            id,
            organisation: request.organisation,
            kind: request.kind,
            due: request.due,
            ended: started.elapsed(),
            code,
            status,
            sent,
        }
    }

    /// Sends once; if a daemon refuses the connection, tries another one.
    async fn send_once(
        &self,
        caller: &Caller,
        first: usize,
        request: &CallerRequest,
    ) -> (u16, u16) {
        for offset in 0..CONNECT_ATTEMPTS {
            let daemon = self.daemons[(first + offset * 5) % self.daemons.len()];
            match timeout(CALLER_TIMEOUT, caller.send(daemon, request)).await {
                Ok(Ok(answer)) => return (answer.code, answer.status),
                Ok(Err(error)) if error.contains("Connect") => continue,
                _ => return (0, 0),
            }
        }
        (0, 0)
    }
}
