//! Definition of the command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

const LISTENERS: &str = "Listeners";
const PLATFORM: &str = "Platform";
const TRUST: &str = "Trust";
const LIMITS: &str = "Limits";

const RUN_EXAMPLE: &str = "Example:
  lentilway run --log-url http://10.0.0.5:7000 --availability-zone az1 \\
    --peer-secret-file /run/secrets/peer --operator-token-file /run/secrets/operator";

const CHECK_EXAMPLE: &str = "Examples:
  lentilway check --log-url http://10.0.0.5:7000 --availability-zone az1
  lentilway check config.json --against config-in-force.json";

const SUBMIT_EXAMPLE: &str = "Examples:
  lentilway ticket submit ticket.json
  lentilway ticket submit --dry-run ticket.json
  lentilway ticket submit --json - < ticket.json";

/// Overload control for service call graphs.
#[derive(Debug, Parser)]
#[command(name = "lentilway", version, about, max_term_width = 100)]
pub struct LentilwayArgs {
    /// The command to run.
    #[command(subcommand)]
    pub command: LentilwayCommand,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum LentilwayCommand {
    /// Run the daemon beside a backend server
    #[command(after_help = RUN_EXAMPLE)]
    Run(RunArgs),
    /// Check the daemon's settings, or a configuration in a file, and print all faults
    #[command(after_help = CHECK_EXAMPLE)]
    Check(CheckArgs),
    /// Run the daemon on the users' platform, from the settings file that it provides
    Sidecar(SidecarArgs),
    /// Submit and look up change tickets
    #[command(subcommand)]
    Ticket(TicketCommand),
    /// Show a daemon's status, configuration in force and members
    Status(AdminArgs),
    /// Generate keys for callers
    #[command(subcommand)]
    Key(KeyCommand),
    /// Print the table of numbered results
    Codes,
    /// Print shell completions
    Completions {
        /// The shell
        shell: Shell,
    },
    /// Print the manual page, in roff
    Man,
}

/// What to check.
#[derive(Debug, Args)]
pub struct CheckArgs {
    /// A version of the configuration on the users' platform; without it, the settings are checked
    pub file: Option<PathBuf>,
    /// The version in force, to show the differences from
    #[arg(long, value_name = "FILE", requires = "file")]
    pub against: Option<PathBuf>,
    #[command(flatten)]
    pub settings: RunArgs,
}

/// Options for running on the users' platform.
#[derive(Debug, Args)]
pub struct SidecarArgs {
    /// Only check the settings file
    #[arg(long)]
    pub check: bool,
}

/// The ticket commands.
#[derive(Debug, Subcommand)]
pub enum TicketCommand {
    /// Show what a ticket changes, submit it and wait until it is in force at the daemon
    #[command(after_help = SUBMIT_EXAMPLE)]
    Submit {
        /// The ticket's file, or - for standard input
        file: PathBuf,
        /// Show what the ticket would change and write nothing
        #[arg(long)]
        dry_run: bool,
        #[command(flatten)]
        admin: AdminArgs,
    },
    /// Show whether a ticket was accepted
    Show {
        /// The ticket's number
        number: u64,
        #[command(flatten)]
        admin: AdminArgs,
    },
    /// List the tickets that the daemon remembers
    List {
        #[command(flatten)]
        admin: AdminArgs,
    },
}

/// The key commands.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Print a new key and its digest for a ticket; the key is not stored
    New,
}

/// How to reach a daemon's administration API.
#[derive(Args, Clone, Debug)]
pub struct AdminArgs {
    /// The daemon's administration address
    #[arg(long, env = "LENTILWAY_ADMIN", default_value = "127.0.0.1:7403", value_name = "IP:PORT")]
    pub admin: String,
    /// File that holds the operator's token; LENTILWAY_OPERATOR_TOKEN holds the token itself
    #[arg(long, env = "LENTILWAY_OPERATOR_TOKEN_FILE", value_name = "FILE")]
    pub operator_token_file: Option<PathBuf>,
    /// Print the daemon's answer as JSON
    #[arg(long)]
    pub json: bool,
}

/// The daemon's settings before validation.
#[derive(Args, Clone, Debug)]
pub struct RunArgs {
    /// Listen address for callers
    #[arg(long, env = "LENTILWAY_CALLER_LISTEN", default_value = "127.0.0.1:7400", value_name = "IP:PORT", help_heading = LISTENERS)]
    pub caller_listen: String,
    /// Listen address for announcements and sub-calls of the backend server in this slot
    #[arg(long, env = "LENTILWAY_SLOT_LISTEN", default_value = "127.0.0.1:7401", value_name = "IP:PORT", help_heading = LISTENERS)]
    pub slot_listen: String,
    /// Listen address for other daemons
    #[arg(long, env = "LENTILWAY_PEER_LISTEN", default_value = "127.0.0.1:7402", value_name = "IP:PORT", help_heading = LISTENERS)]
    pub peer_listen: String,
    /// Address at which other daemons reach the peer listener, if it differs
    #[arg(long, env = "LENTILWAY_PEER_ADVERTISE", default_value = "", value_name = "IP:PORT", help_heading = LISTENERS)]
    pub peer_advertise: String,
    /// Listen address for operators
    #[arg(long, env = "LENTILWAY_ADMIN_LISTEN", default_value = "127.0.0.1:7403", value_name = "IP:PORT", help_heading = LISTENERS)]
    pub admin_listen: String,
    /// URL of the platform's log
    #[arg(long, env = "LENTILWAY_LOG_URL", default_value = "", value_name = "URL", help_heading = PLATFORM)]
    pub log_url: String,
    /// Milliseconds that the log keeps a record; snapshots are written eight times as often
    #[arg(long, env = "LENTILWAY_LOG_RETENTION_MS", default_value = "86400000", value_name = "MS", help_heading = PLATFORM)]
    pub log_retention_ms: String,
    /// The availability zone of this instance
    #[arg(long, env = "LENTILWAY_AVAILABILITY_ZONE", default_value = "", value_name = "NAME", help_heading = PLATFORM)]
    pub availability_zone: String,
    /// The region of this instance
    #[arg(long, env = "LENTILWAY_REGION", default_value = "local", value_name = "NAME", help_heading = PLATFORM)]
    pub region: String,
    /// Daemons to pull the state from when the log is down, separated by commas
    #[arg(long, env = "LENTILWAY_SEED_PEERS", default_value = "", value_name = "IP:PORT,..", help_heading = PLATFORM)]
    pub seed_peers: String,
    /// File with the secrets shared by all daemons, one per line, of which the first signs;
    /// LENTILWAY_PEER_SECRETS holds them separated by commas
    #[arg(long, env = "LENTILWAY_PEER_SECRET_FILE", value_name = "FILE", help_heading = TRUST)]
    pub peer_secret_file: Option<PathBuf>,
    /// File with the operator's token; LENTILWAY_OPERATOR_TOKEN holds the token itself
    #[arg(long, env = "LENTILWAY_OPERATOR_TOKEN_FILE", value_name = "FILE", help_heading = TRUST)]
    pub operator_token_file: Option<PathBuf>,
    /// Name of the header, cookie and query parameter that carries a caller's key
    #[arg(long, env = "LENTILWAY_KEY_HEADER", default_value = "lentilway-key", value_name = "NAME", help_heading = TRUST)]
    pub key_header: String,
    /// Maximum number of retries of one request over its whole call tree
    #[arg(long, env = "LENTILWAY_RETRY_ALLOWANCE", default_value = "2", value_name = "COUNT", help_heading = LIMITS)]
    pub retry_allowance: String,
    /// Concurrency limit at the backend server until its latency is known
    #[arg(long, env = "LENTILWAY_INITIAL_CONCURRENCY", default_value = "64", value_name = "COUNT", help_heading = LIMITS)]
    pub initial_concurrency: String,
    /// Maximum size of a request's headers
    #[arg(long, env = "LENTILWAY_MAX_HEADER_BYTES", default_value = "16384", value_name = "BYTES", help_heading = LIMITS)]
    pub max_header_bytes: String,
    /// Maximum size of a request's body
    #[arg(long, env = "LENTILWAY_MAX_BODY_BYTES", default_value = "1048576", value_name = "BYTES", help_heading = LIMITS)]
    pub max_body_bytes: String,
    /// Maximum size of an answer
    #[arg(long, env = "LENTILWAY_MAX_ANSWER_BYTES", default_value = "4194304", value_name = "BYTES", help_heading = LIMITS)]
    pub max_answer_bytes: String,
    /// Timeout for receiving a request's head, in milliseconds
    #[arg(long, env = "LENTILWAY_HEAD_TIMEOUT_MS", default_value = "10000", value_name = "MS", help_heading = LIMITS)]
    pub head_timeout_ms: String,
    /// Timeout for requests in flight in a planned stop, in milliseconds
    #[arg(long, env = "LENTILWAY_DRAIN_TIMEOUT_MS", default_value = "60000", value_name = "MS", help_heading = LIMITS)]
    pub drain_timeout_ms: String,
    /// Milliseconds after which a quarter of a lost daemon's rates is reassigned
    #[arg(long, env = "LENTILWAY_RATE_LEASE_SHORT_MS", default_value = "180000", value_name = "MS", help_heading = LIMITS)]
    pub rate_lease_short_ms: String,
    /// Milliseconds for which three quarters of the rates survive an outage of the log
    #[arg(long, env = "LENTILWAY_RATE_LEASE_LONG_MS", default_value = "5400000", value_name = "MS", help_heading = LIMITS)]
    pub rate_lease_long_ms: String,
    /// The least severe level that is logged: error, warn, info, debug or off
    #[arg(long, env = "LENTILWAY_LOG_LEVEL", default_value = "info", value_name = "LEVEL")]
    pub log_level: String,
}
