//! Tickets: propagation time, messages and memory by members, organisations and tickets.

mod process_usage;
mod propagation;
mod state_cost;
mod wire;

/// Runs the measurement and prints its tables.
pub async fn run(seed: u64) {
    state_cost::print_tables(seed);
    wire::print_tables();
    propagation::print_tables(seed).await;
}
