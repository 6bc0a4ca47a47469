//! Names of the protocol's headers, and selection of end-to-end headers.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Prefix of the protocol's headers. Those sent by callers and backend servers are not passed on.
pub const PROTOCOL_PREFIX: &str = "lentilway-";
/// Between daemons the context of a call; towards a backend server its handle.
pub const CONTEXT: HeaderName = HeaderName::from_static("lentilway-context");
/// Identifies the request to callers and in logs.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("lentilway-request-id");
/// Identifies one attempt; a backend server returns it with its answer.
pub const ATTEMPT: HeaderName = HeaderName::from_static("lentilway-attempt");
/// Milliseconds left for the request.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("lentilway-timeout-ms");
/// Set by a backend server that refused the request without running it.
pub const NOT_RUN: HeaderName = HeaderName::from_static("lentilway-not-run");
/// The numbered result code.
pub const RESULT: HeaderName = HeaderName::from_static("lentilway-result");
/// The execution state: whether the request ran.
pub const EXECUTION: HeaderName = HeaderName::from_static("lentilway-execution");
/// Retries of the allowance that were not spent.
pub const RETRIES_LEFT: HeaderName = HeaderName::from_static("lentilway-retries-left");
/// Set if the hop next to the failure has already decided on retries.
pub const RETRIED: HeaderName = HeaderName::from_static("lentilway-retried");
/// Thousandths of the organisation's calls that the most overloaded backend server downstream
/// admits.
pub const KEPT: HeaderName = HeaderName::from_static("lentilway-kept");
/// The same for the least affected organisation of the class.
pub const KEPT_CLASS: HeaderName = HeaderName::from_static("lentilway-kept-class");
/// The caller's key for a non-idempotent request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// When the caller issued that key, in milliseconds since the Unix epoch.
pub const KEY_ISSUED: HeaderName = HeaderName::from_static("idempotency-key-issued");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

const HOP_BY_HOP_HEADERS: [HeaderName; 11] = [
    CONNECTION,
    CONTENT_LENGTH,
    HOST,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    PROXY_CONNECTION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// The end-to-end headers: all but hop-by-hop headers and the protocol's own.
///
/// ```
/// use hyper::HeaderMap;
/// use lentilway::request::header::end_to_end;
/// let mut headers = HeaderMap::new();
/// headers.insert("accept", "text/plain".parse().unwrap());
/// headers.insert("connection", "close".parse().unwrap());
/// headers.insert("lentilway-context", "forged".parse().unwrap());
/// assert_eq!(end_to_end(&headers).len(), 1);
/// ```
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = connection_options(headers);
    let kept = headers.iter().filter(|(name, _)| is_end_to_end(name, &named));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

fn is_end_to_end(name: &HeaderName, connection_options: &str) -> bool {
    let listed = connection_options.split(',').any(|option| option.trim() == name.as_str());
    !listed && !HOP_BY_HOP_HEADERS.contains(name) && !name.as_str().starts_with(PROTOCOL_PREFIX)
}

fn connection_options(headers: &HeaderMap) -> String {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.collect::<Vec<_>>().join(",").to_ascii_lowercase()
}

/// The value of a header, parsed as a number.
pub fn parse_number<T: std::str::FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
