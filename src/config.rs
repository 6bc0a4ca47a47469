//! The daemon's validated settings.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::LevelFilter;

use crate::process::rates::terms::LeaseTerms;

/// A secret from the settings; debug output redacts it.
#[derive(Clone, PartialEq, Eq)]
pub struct SecretText(Arc<str>);

impl SecretText {
    /// Wraps a secret.
    pub fn new(text: &str) -> Self {
        SecretText(text.into())
    }

    /// The secret's bytes, for comparison and key derivation only.
    pub fn expose(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for SecretText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretText(..)")
    }
}

/// From this number of members on, claims go through a relay, so that owners hold few links.
pub const CLAIM_RELAY_MEMBERS: usize = 256;

/// Size and time limits of connections and requests.
#[derive(Clone, Debug)]
pub struct SizeLimits {
    /// Total bytes of a request's header names and values.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes of a backend server's answer.
    pub answer_bytes: usize,
    /// How long a caller may take to send a request's head.
    pub head_timeout: Duration,
}

impl Default for SizeLimits {
    fn default() -> Self {
        SizeLimits {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            answer_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(10),
        }
    }
}

/// Time limits of the steps of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct DrainLimits {
    /// From the announcement of the stop to the other daemons until new requests are refused.
    pub leave_grace: Duration,
    /// How long callers on idle connections are still answered after that.
    pub linger: Duration,
    /// How long requests in flight may take to end.
    pub timeout: Duration,
}

impl Default for DrainLimits {
    fn default() -> Self {
        DrainLimits {
            leave_grace: Duration::from_secs(1),
            linger: Duration::from_secs(1),
            timeout: Duration::from_secs(60),
        }
    }
}

/// Which mechanisms of the overload control are active. All modes but the first are for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ControlMode {
    /// All mechanisms.
    #[default]
    Full,
    /// A fixed instead of an adaptive concurrency limit at the backend server.
    FixedLimit,
    /// No concurrency limit at the backend server.
    Unlimited,
    /// No limit, and every hop retries failed idempotent calls without a shared allowance.
    PlainRetries,
}

/// All settings of a daemon.
#[derive(Clone, Debug)]
pub struct DaemonConfig {
    /// Listen address for callers.
    pub caller_listen: SocketAddr,
    /// Listen address for announcements and sub-calls of the backend server in this slot.
    pub slot_listen: SocketAddr,
    /// Listen address for other daemons.
    pub peer_listen: SocketAddr,
    /// Address at which other daemons reach `peer_listen`, if it differs.
    pub peer_advertise: Option<SocketAddr>,
    /// Listen address for operators.
    pub admin_listen: SocketAddr,
    /// The platform's log, as `http://IP:PORT`.
    pub log_url: Arc<str>,
    /// How long the platform's log keeps a record.
    pub log_retention: Duration,
    /// The availability zone of this instance.
    pub availability_zone: Arc<str>,
    /// The region of this instance.
    pub region: Arc<str>,
    /// Peers to pull the state from when the log is down.
    pub seed_peers: Vec<SocketAddr>,
    /// Secrets shared by all daemons; the first signs, all are accepted.
    pub peer_secrets: Vec<SecretText>,
    /// The token that authenticates operators at the administration API.
    pub operator_token: SecretText,
    /// The header that carries a caller's key.
    pub key_header: Arc<str>,
    /// Maximum number of retries of one request over its whole call tree.
    pub retry_allowance: u8,
    /// Which mechanisms of the overload control are active.
    pub control: ControlMode,
    /// Concurrency limit at the backend server until its latency is known.
    pub initial_concurrency: usize,
    /// From this number of members on, claims go through a relay in the own availability zone.
    pub claim_relay_members: usize,
    /// How long shares of organisations' rates are leased.
    pub lease_terms: LeaseTerms,
    /// Size and time limits of connections and requests.
    pub limits: SizeLimits,
    /// Time limits of the steps of a planned stop.
    pub drain: DrainLimits,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
}

impl DaemonConfig {
    /// A configuration on loopback with ephemeral ports, for tests and examples.
    pub fn loopback(log_url: &str, availability_zone: &str) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        DaemonConfig {
            caller_listen: any_port,
            slot_listen: any_port,
            peer_listen: any_port,
            peer_advertise: None,
            admin_listen: any_port,
            log_url: log_url.into(),
            log_retention: Duration::from_secs(24 * 60 * 60),
            availability_zone: availability_zone.into(),
            region: "local".into(),
            seed_peers: Vec::new(),
            peer_secrets: vec![SecretText::new("loopback-peer-secret-of-32-bytes!")],
            operator_token: SecretText::new("loopback-operator-token"),
            key_header: "lentilway-key".into(),
            retry_allowance: 2,
            control: ControlMode::Full,
            initial_concurrency: 64,
            claim_relay_members: CLAIM_RELAY_MEMBERS,
            lease_terms: LeaseTerms::default(),
            limits: SizeLimits::default(),
            drain: DrainLimits {
                leave_grace: Duration::from_millis(100),
                linger: Duration::from_millis(100),
                ..DrainLimits::default()
            },
            log_level: LevelFilter::Warn,
        }
    }
}
