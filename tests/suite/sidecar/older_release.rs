//! A dialect of an earlier release, which cannot read newer versions of the configuration.

use hyper::{HeaderMap, Method};
use lentilway::platform::PlatformDialect;
use lentilway::policy::backend_notice::BackendNotice;
use lentilway::sidecar::process::wire_dialect::{
    BackendAnnouncement, DecodeError, HeaderNames, WireDialect,
};
use lentilway::sidecar::version::fleet_config::FleetConfig;

/// Rejects versions above `readable_max`.
pub(super) struct OlderDialect {
    pub(super) newer: PlatformDialect,
    pub(super) readable_max: u64,
}

impl WireDialect for OlderDialect {
    fn headers(&self) -> &HeaderNames {
        self.newer.headers()
    }

    fn ready_path(&self) -> &str {
        self.newer.ready_path()
    }

    fn announcement(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Option<Result<BackendAnnouncement, DecodeError>> {
        self.newer.announcement(method, path, body)
    }

    fn notice(&self, headers: &HeaderMap) -> BackendNotice {
        self.newer.notice(headers)
    }

    fn config_key(&self) -> &str {
        self.newer.config_key()
    }

    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str> {
        self.newer.evacuated_zone(key)
    }

    fn config(&self, bytes: &[u8]) -> Result<FleetConfig, DecodeError> {
        let config = self.newer.config(bytes)?;
        if config.version > self.readable_max {
            let problem = "a format of a later release".to_owned();
            return Err(DecodeError { field: "config".to_owned(), problem });
        }
        Ok(config)
    }

    fn config_version(&self, bytes: &[u8]) -> Option<u64> {
        self.newer.config_version(bytes)
    }
}
