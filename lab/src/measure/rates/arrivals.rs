//! Poisson arrivals of one organisation's requests at several daemons.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// How requests are distributed over the daemons.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerSpread {
    /// The same rate at each daemon.
    Even,
    /// The n-th daemon's rate is proportional to 1/n.
    Zipf,
}

/// The arrival of a request at a daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestArrival {
    /// Time since the start in milliseconds.
    pub millis: f64,
    /// Index of the daemon.
    pub daemon: usize,
}

/// Draws the arrivals of a Poisson process with `rate` requests per second for `seconds`.
pub fn draw_arrivals(
    spread: CallerSpread,
    daemons: usize,
    rate: f64,
    seconds: f64,
    seed: u64,
) -> Vec<RequestArrival> {
    let mut random = StdRng::seed_from_u64(seed);
    let weight = |daemon: usize| match spread {
        CallerSpread::Even => 1.0,
        CallerSpread::Zipf => 1.0 / (daemon + 1) as f64,
    };
    let total: f64 = (0..daemons).map(weight).sum();
    let mut arrivals = Vec::new();
    let mut millis = 0.0;
    loop {
        millis += -(1.0 - random.random::<f64>()).ln() * 1000.0 / rate;
        if millis >= seconds * 1000.0 {
            return arrivals;
        }
        let mut draw = random.random::<f64>() * total;
        let mut daemon = 0;
        while daemon + 1 < daemons && draw >= weight(daemon) {
            draw -= weight(daemon);
            daemon += 1;
        }
        arrivals.push(RequestArrival { millis, daemon });
    }
}
