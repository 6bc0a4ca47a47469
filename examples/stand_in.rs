//! Runs a stand-in as a separate process: the platform's log, a backend server or a caller.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use lentilway_stand_ins::backend::{BackendBehaviour, BackendServer};
use lentilway_stand_ins::caller::{CallerRequest, LoadPlan, histogram, run_load};
use lentilway_stand_ins::log::LogServer;

/// Stand-ins for the services around lentilway.
#[derive(Debug, Parser)]
enum StandIn {
    /// Run the platform's log
    Log {
        /// Listening address
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Seconds that records are kept; forever by default
        #[arg(long)]
        retention_s: Option<u64>,
    },
    /// Run a backend server
    Backend {
        /// Listening address
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Name of its service
        #[arg(long)]
        service: String,
        /// Address of the slot listener of its daemon
        #[arg(long)]
        slot: SocketAddr,
        /// Behaviour as JSON
        #[arg(long, default_value = "{}")]
        behaviour: String,
    },
    /// Send open-loop load
    Caller {
        /// Addresses of the daemons, separated by commas
        #[arg(long, value_delimiter = ',', required = true)]
        targets: Vec<SocketAddr>,
        /// Path and query of the requests
        #[arg(long)]
        path: String,
        /// API key of the caller
        #[arg(long, env = "CALLER_KEY", hide_env_values = true)]
        key: String,
        /// Requests per second
        #[arg(long, default_value_t = 100.0)]
        rate: f64,
        /// Duration in seconds
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        /// Seed of the times between requests
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    match StandIn::parse() {
        StandIn::Log { listen, retention_s } => {
            let log = LogServer::start(listen, retention_s.map(Duration::from_secs)).await?;
            println!("{}", log.address());
            std::future::pending::<()>().await;
        }
        StandIn::Backend { listen, service, slot, behaviour } => {
            let behaviour: BackendBehaviour = serde_json::from_str(&behaviour)?;
            let server = BackendServer::start(listen, &service, slot, behaviour).await?;
            println!("{}", server.address());
            std::future::pending::<()>().await;
        }
        StandIn::Caller { targets, path, key, rate, seconds, seed } => {
            let plan = LoadPlan {
                targets,
                request: CallerRequest::get(&path, &key),
                rate,
                duration: Duration::from_secs_f64(seconds),
                timeout: Duration::from_secs(5),
                seed,
            };
            report(&run_load(plan).await);
        }
    }
    Ok(())
}

fn report(samples: &[lentilway_stand_ins::caller::LoadSample]) {
    let success_count = samples.iter().filter(|sample| sample.is_success()).count();
    let latencies = histogram(samples);
    println!(
        "sent {} whole {success_count} p50_us {} p99_us {}",
        samples.len(),
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99)
    );
}
