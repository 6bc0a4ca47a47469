//! Runs a stand-in as a process of its own: the platform's log, a backend server or a caller.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;
use lentilway_stand_ins::backend::{BackendBehaviour, BackendServer};
use lentilway_stand_ins::caller::{CallerRequest, LoadPlan, histogram, run_load};
use lentilway_stand_ins::log::LogServer;

/// Stand-ins for the platform around lentilway.
#[derive(Debug, Parser)]
enum StandIn {
    /// The platform's log
    Log {
        /// Where it listens
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Seconds that records are kept, for ever if absent
        #[arg(long)]
        retention_s: Option<u64>,
    },
    /// A backend server
    Backend {
        /// Where it listens
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Its service
        #[arg(long)]
        service: String,
        /// The slot listener of its daemon
        #[arg(long)]
        slot: SocketAddr,
        /// What it does, as JSON
        #[arg(long, default_value = "{}")]
        behaviour: String,
    },
    /// Open-loop load
    Caller {
        /// Daemons, separated by commas
        #[arg(long, value_delimiter = ',', required = true)]
        targets: Vec<SocketAddr>,
        /// The path
        #[arg(long)]
        path: String,
        /// The caller's key
        #[arg(long, env = "CALLER_KEY", hide_env_values = true)]
        key: String,
        /// Requests a second
        #[arg(long, default_value_t = 100.0)]
        rate: f64,
        /// Seconds
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        /// Seed for the times between requests
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
    let whole = samples.iter().filter(|sample| sample.is_success()).count();
    let times = histogram(samples);
    println!(
        "sent {} whole {whole} p50_us {} p99_us {}",
        samples.len(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99)
    );
}
