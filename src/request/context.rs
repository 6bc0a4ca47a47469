//! The context that accompanies a call between daemons.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};

use crate::version::route::RequestClass;

/// The maximum depth of a call chain.
pub const CALL_DEPTH_LIMIT: u8 = 16;

/// The identity of a request and the time and retries it may still use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestContext {
    /// The identity of the root request, the same at every hop.
    pub request_id: Arc<str>,
    /// The organisation of the root request's key; none without a key.
    pub organisation: Option<Arc<str>>,
    /// The class of the root request's route.
    pub class: RequestClass,
    /// The route of this call.
    pub route: Arc<str>,
    /// The service that serves this call.
    pub service: Arc<str>,
    /// Whether this call may run more than once.
    pub idempotent: bool,
    /// Milliseconds until the root request's deadline.
    pub remaining_ms: u64,
    /// Retries lent to the call's subtree.
    pub retries: u8,
    /// Requests that this one represents: itself and those shed by the entry daemon.
    #[serde(rename = "stands_for")]
    pub weight: u16,
    /// Calls between the root request and this one.
    pub depth: u8,
}

impl RequestContext {
    /// Encodes the context as a header value.
    ///
    /// ```
    /// use lentilway::request::context::RequestContext;
    /// use lentilway::version::route::RequestClass;
    /// let context = RequestContext {
    ///     request_id: "r1".into(),
    ///     organisation: None,
    ///     class: RequestClass::Low,
    ///     route: "price".into(),
    ///     service: "pricing".into(),
    ///     idempotent: true,
    ///     remaining_ms: 100,
    ///     retries: 1,
    ///     weight: 1,
    ///     depth: 0,
    /// };
    /// assert_eq!(RequestContext::decode(context.encode().as_bytes()), Some(context));
    /// ```
    pub fn encode(&self) -> String {
        let mut bytes = Vec::with_capacity(256);
        ciborium::into_writer(self, &mut bytes).expect("writing to memory succeeds");
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a header value.
    pub fn decode(value: &[u8]) -> Option<Self> {
        let bytes = URL_SAFE_NO_PAD.decode(value).ok()?;
        ciborium::from_reader(bytes.as_slice()).ok()
    }
}
