//! Validates the daemon's arguments.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Uri;
use hyper::header::HeaderName;
use log::LevelFilter;

use super::args::RunArgs;
use crate::config::{
    CLAIM_RELAY_MEMBERS, ControlMode, DaemonConfig, DrainLimits, SecretText, SizeLimits,
};
use crate::process::rates::terms::LeaseTerms;

const SECRET_BYTES_MIN: usize = 16;
const LEASE_MILLIS: RangeInclusive<u64> = 1_000..=86_400_000;
const OPERATOR_TOKEN_ENV: &str = "LENTILWAY_OPERATOR_TOKEN";
const PEER_SECRETS_ENV: &str = "LENTILWAY_PEER_SECRETS";

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// The flag.
    pub flag: &'static str,
    /// The value that was given; empty for secrets.
    pub value: String,
    /// The allowed values.
    pub allowed: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} is {:?}; allowed: {}", self.flag, self.value, self.allowed)
    }
}

/// Parses settings and collects all errors instead of stopping at the first.
#[derive(Default)]
struct SettingReader {
    errors: Vec<SettingError>,
}

impl SettingReader {
    fn add_error(&mut self, flag: &'static str, value: &str, allowed: &str) {
        let (value, allowed) = (value.to_string(), allowed.to_string());
        self.errors.push(SettingError { flag, value, allowed });
    }

    fn parse<T: FromStr>(&mut self, flag: &'static str, value: &str, allowed: &str) -> Option<T> {
        let parsed = value.parse().ok();
        if parsed.is_none() {
            self.add_error(flag, value, allowed);
        }
        parsed
    }

    fn address(&mut self, flag: &'static str, value: &str) -> Option<SocketAddr> {
        self.parse(flag, value, "an IP number and a port, such as 10.0.0.7:7400")
    }

    fn number(
        &mut self,
        flag: &'static str,
        value: &str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let number = self.parse(flag, value, &allowed)?;
        if range.contains(&number) {
            return Some(number);
        }
        self.add_error(flag, value, &allowed);
        None
    }

    fn name(&mut self, flag: &'static str, value: &str) -> Option<Arc<str>> {
        let usable = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'.';
        if !value.is_empty() && value.len() <= 64 && value.bytes().all(usable) {
            return Some(value.into());
        }
        self.add_error(flag, value, "1 to 64 letters, digits, - or .");
        None
    }

    fn log_url(&mut self, value: &str) -> Option<Arc<str>> {
        let uri: Option<Uri> = value.parse().ok();
        let host = uri.as_ref().filter(|uri| uri.scheme_str() == Some("http"));
        let host = host.and_then(|uri| uri.authority()).map(|host| host.as_str().to_string());
        if host.is_some_and(|host| host.parse::<SocketAddr>().is_ok()) {
            return Some(value.into());
        }
        self.add_error("--log-url", value, "http:// with an IP number and a port");
        None
    }

    fn addresses(&mut self, flag: &'static str, value: &str) -> Option<Vec<SocketAddr>> {
        let parts = value.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts.map(|part| self.address(flag, part)).collect()
    }

    fn secrets(
        &mut self,
        flag: &'static str,
        file: Option<&Path>,
        variable: &str,
        separators: &[char],
    ) -> Option<Vec<SecretText>> {
        let text = match read_secret(file, variable) {
            Ok(text) => text,
            Err(reason) => {
                self.add_error(flag, "", &format!("a readable file ({reason}), or {variable}"));
                return None;
            }
        };
        let parts: Vec<&str> =
            text.split(separators).map(str::trim).filter(|part| !part.is_empty()).collect();
        if parts.is_empty() || parts.iter().any(|part| part.len() < SECRET_BYTES_MIN) {
            let allowed = format!("at least {SECRET_BYTES_MIN} bytes, from a file or {variable}");
            self.add_error(flag, "", &allowed);
            return None;
        }
        Some(parts.into_iter().map(SecretText::new).collect())
    }
}

/// Reads a secret from its file, or from its environment variable if no file is given.
pub(super) fn read_secret(file: Option<&Path>, variable: &str) -> std::io::Result<String> {
    match file {
        Some(file) => std::fs::read_to_string(file),
        None => Ok(std::env::var(variable).unwrap_or_default()),
    }
}

/// Reads the operator's token from its file or environment variable.
pub(super) fn operator_token(file: Option<&Path>) -> std::io::Result<String> {
    Ok(read_secret(file, OPERATOR_TOKEN_ENV)?.trim().to_string())
}

impl RunArgs {
    /// The checked settings.
    ///
    /// # Errors
    /// Every error, each with its flag, value and what is allowed.
    pub fn to_config(&self) -> Result<DaemonConfig, Vec<SettingError>> {
        let mut reader = SettingReader::default();
        let config = self.read(&mut reader);
        config.filter(|_| reader.errors.is_empty()).ok_or(reader.errors)
    }

    /// The secrets shared by all daemons, read again.
    ///
    /// # Errors
    /// Every error of these settings.
    pub fn read_peer_secrets(&self) -> Result<Vec<SecretText>, Vec<SettingError>> {
        let mut reader = SettingReader::default();
        self.peer_secrets(&mut reader).ok_or(reader.errors)
    }

    fn peer_secrets(&self, reader: &mut SettingReader) -> Option<Vec<SecretText>> {
        reader.secrets(
            "--peer-secret-file",
            self.peer_secret_file.as_deref(),
            PEER_SECRETS_ENV,
            &['\n', ','],
        )
    }

    fn read(&self, reader: &mut SettingReader) -> Option<DaemonConfig> {
        let caller_listen = reader.address("--caller-listen", &self.caller_listen);
        let slot_listen = reader.address("--slot-listen", &self.slot_listen);
        let peer_listen = reader.address("--peer-listen", &self.peer_listen);
        let peer_advertise = reader.addresses("--peer-advertise", &self.peer_advertise);
        let admin_listen = reader.address("--admin-listen", &self.admin_listen);
        let log_url = reader.log_url(&self.log_url);
        let log_retention =
            reader.number("--log-retention-ms", &self.log_retention_ms, 60_000..=31_536_000_000);
        let availability_zone = reader.name("--availability-zone", &self.availability_zone);
        let region = reader.name("--region", &self.region);
        let seed_peers = reader.addresses("--seed-peers", &self.seed_peers);
        let peer_secrets = self.peer_secrets(reader);
        let operator_token = reader.secrets(
            "--operator-token-file",
            self.operator_token_file.as_deref(),
            OPERATOR_TOKEN_ENV,
            &['\n'],
        );
        let key_header: Option<HeaderName> =
            reader.parse("--key-header", &self.key_header, "the name of an HTTP header");
        let retry_allowance = reader.number("--retry-allowance", &self.retry_allowance, 0..=100);
        let initial_concurrency =
            reader.number("--initial-concurrency", &self.initial_concurrency, 1..=100_000);
        let lease_terms = self.read_lease_terms(reader);
        let limits = self.read_limits(reader);
        let drain_timeout =
            reader.number("--drain-timeout-ms", &self.drain_timeout_ms, 100..=86_400_000);
        let log_level: Option<LevelFilter> =
            reader.parse("--log-level", &self.log_level, "error, warn, info, debug, trace or off");
        Some(DaemonConfig {
            caller_listen: caller_listen?,
            slot_listen: slot_listen?,
            peer_listen: peer_listen?,
            peer_advertise: peer_advertise?.into_iter().next(),
            admin_listen: admin_listen?,
            log_url: log_url?,
            log_retention: Duration::from_millis(log_retention?),
            availability_zone: availability_zone?,
            region: region?,
            seed_peers: seed_peers?,
            peer_secrets: peer_secrets?,
            operator_token: operator_token?.into_iter().next()?,
            key_header: key_header?.as_str().into(),
            retry_allowance: retry_allowance? as u8,
            control: ControlMode::Full,
            initial_concurrency: initial_concurrency? as usize,
            claim_relay_members: CLAIM_RELAY_MEMBERS,
            lease_terms: lease_terms?,
            limits: limits?,
            drain: DrainLimits {
                timeout: Duration::from_millis(drain_timeout?),
                ..DrainLimits::default()
            },
            log_level: log_level?,
        })
    }

    fn read_lease_terms(&self, reader: &mut SettingReader) -> Option<LeaseTerms> {
        let short = reader.number("--rate-lease-short-ms", &self.rate_lease_short_ms, LEASE_MILLIS);
        let long = reader.number("--rate-lease-long-ms", &self.rate_lease_long_ms, LEASE_MILLIS);
        let (short, long) = (Duration::from_millis(short?), Duration::from_millis(long?));
        Some(LeaseTerms { short, long })
    }

    fn read_limits(&self, reader: &mut SettingReader) -> Option<SizeLimits> {
        let header = reader.number("--max-header-bytes", &self.max_header_bytes, 256..=49_152);
        let body = reader.number("--max-body-bytes", &self.max_body_bytes, 0..=67_108_864);
        let answer = reader.number("--max-answer-bytes", &self.max_answer_bytes, 0..=67_108_864);
        let head = reader.number("--head-timeout-ms", &self.head_timeout_ms, 10..=600_000);
        Some(SizeLimits {
            header_bytes: header? as usize,
            body_bytes: body? as usize,
            answer_bytes: answer? as usize,
            head_timeout: Duration::from_millis(head?),
        })
    }
}
