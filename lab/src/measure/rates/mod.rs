//! Rate limiting: wrongful refusals, messages and memory by organisations and members.

mod arrivals;
mod baselines;
mod cost;
mod fleet;
mod outage;
pub mod window;

/// Runs the measurement and prints its tables.
pub async fn run(seed: u64) {
    println!("Every figure: seed {seed}.");
    fleet::run(seed).await;
    baselines::run(seed);
    outage::run();
    cost::run().await;
}
