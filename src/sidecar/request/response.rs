//! Builds the responses to callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::context::BackendAnswer;
use crate::error::ResultCode;
use crate::request::header::{EXECUTION, RESULT};

/// A refusal or failure that the daemon itself reports to the caller.
#[derive(Clone, Debug)]
pub(crate) struct RequestRefusal {
    pub(crate) code: ResultCode,
    /// `Retry-After` for the caller.
    pub(crate) retry_after: Option<Duration>,
    /// Detail for the log line.
    pub(crate) reason: String,
}

impl RequestRefusal {
    pub(crate) fn new(code: ResultCode, reason: impl Into<String>) -> Self {
        RequestRefusal { code, retry_after: None, reason: reason.into() }
    }

    pub(crate) fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

/// Converts a backend server's answer into a response.
pub(crate) fn answer_response(answer: BackendAnswer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    for (name, value) in answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_maybe_shared(value)) {
            headers.append(name, value);
        }
    }
    response
}

/// Converts a refusal into a response with result code and execution headers.
pub(crate) fn refusal_response(refusal: &RequestRefusal) -> Response<Full<Bytes>> {
    let code = refusal.code;
    let mut response = Response::new(Full::new(Bytes::from_static(code.text().as_bytes())));
    *response.status_mut() = code.status();
    let headers = response.headers_mut();
    headers.insert(RESULT, HeaderValue::from(code.number()));
    headers.insert(EXECUTION, HeaderValue::from_static(code.execution().name()));
    if let Some(wait) = refusal.retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        let value = HeaderValue::from_str(&seconds);
        headers.insert(RETRY_AFTER, value.expect("a decimal number is a valid header value"));
    }
    response
}
