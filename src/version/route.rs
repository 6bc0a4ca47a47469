//! Routes: which service serves a request and how.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The priority class of a request; the lowest class is shed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// Shed first.
    Low,
    /// Shed after low and before high.
    Normal,
    /// Shed last.
    High,
}

impl RequestClass {
    /// All classes, lowest first.
    pub const ALL: [RequestClass; 3] =
        [RequestClass::Low, RequestClass::Normal, RequestClass::High];

    /// The class's name in tickets and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::Low => "low",
            RequestClass::Normal => "normal",
            RequestClass::High => "high",
        }
    }
}

/// The complete state of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteState {
    /// The HTTP method, in capitals.
    pub method: Arc<str>,
    /// The path prefix; the longest match wins and ends at a `/` or at the path's end.
    pub prefix: Arc<str>,
    /// The service that serves the route.
    pub service: Arc<str>,
    /// The priority class of requests on the route.
    pub class: RequestClass,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether requests without a key are allowed.
    #[serde(default)]
    pub open: bool,
    /// Timeout of requests that come without a deadline, in milliseconds.
    pub timeout_ms: u64,
}

impl RouteState {
    /// Validates method, prefix, service and timeout.
    ///
    /// # Errors
    /// The field that is wrong and the allowed values.
    pub fn validate(&self) -> Result<(), String> {
        if self.method.is_empty() || !self.method.bytes().all(|byte| byte.is_ascii_uppercase()) {
            return Err("method must be an HTTP method in capitals".into());
        }
        if !self.prefix.starts_with('/') {
            return Err("prefix must begin with /".into());
        }
        if self.service.is_empty() {
            return Err("service must not be empty".into());
        }
        if !(1..=600_000).contains(&self.timeout_ms) {
            return Err("timeout_ms must be from 1 to 600000".into());
        }
        Ok(())
    }

    /// Whether the route matches `method` and `path`.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let Some(rest) = path.strip_prefix(&*self.prefix) else {
            return false;
        };
        let at_boundary = rest.is_empty() || rest.starts_with('/') || self.prefix.ends_with('/');
        at_boundary && &*self.method == method
    }
}
