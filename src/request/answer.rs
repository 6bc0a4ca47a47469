//! Buffered answers and refusals.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::header::{EXECUTION, REQUEST_ID, RESULT, end_to_end};
use crate::error::{ExecutionState, ResultCode};

/// A backend server's complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BufferedAnswer {
    status: u16,
    headers: Vec<(String, Bytes)>,
    body: Bytes,
}

impl BufferedAnswer {
    /// An answer with the end-to-end headers of `headers`.
    pub fn new(status: StatusCode, headers: &HeaderMap, body: Bytes) -> Self {
        let kept = end_to_end(headers);
        let headers = kept.iter().map(|(name, value)| {
            (name.as_str().to_string(), Bytes::copy_from_slice(value.as_bytes()))
        });
        BufferedAnswer { status: status.as_u16(), headers: headers.collect(), body }
    }

    /// The HTTP status that the backend server sent.
    pub fn status(&self) -> StatusCode {
        StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY)
    }

    /// The body.
    pub fn body(&self) -> &Bytes {
        &self.body
    }

    /// Size in memory in bytes, including headers.
    pub fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }

    /// The answer as an HTTP response with the result headers.
    pub fn into_response(self) -> Response<Full<Bytes>> {
        let status = self.status();
        let mut response = Response::new(Full::new(self.body));
        *response.status_mut() = status;
        for (name, value) in self.headers {
            let name = HeaderName::try_from(name);
            let value = HeaderValue::from_maybe_shared(value);
            if let (Ok(name), Ok(value)) = (name, value) {
                response.headers_mut().append(name, value);
            }
        }
        set_result(&mut response, ResultCode::Answered);
        response
    }
}

#[derive(Serialize)]
struct RefusalBody {
    code: u16,
    name: &'static str,
    execution: ExecutionState,
    text: &'static str,
}

/// An HTTP response for a request that ended with `code` and without an answer.
pub fn refusal(code: ResultCode) -> Response<Full<Bytes>> {
    let body = RefusalBody {
        code: code.number(),
        name: code.name(),
        execution: code.execution(),
        text: code.text(),
    };
    let body = serde_json::to_vec(&body).expect("the body has only string keys");
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = code.status();
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    set_result(&mut response, code);
    response
}

/// The HTTP response for an answer or a refusal.
pub fn respond(result: Result<BufferedAnswer, ResultCode>) -> Response<Full<Bytes>> {
    match result {
        Ok(answer) => answer.into_response(),
        Err(code) => refusal(code),
    }
}

/// Sets the request identity header.
pub fn set_request_id(response: &mut Response<Full<Bytes>>, request_id: &str) {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert(REQUEST_ID, value);
    }
}

fn set_result(response: &mut Response<Full<Bytes>>, code: ResultCode) {
    let headers = response.headers_mut();
    headers.insert(RESULT, HeaderValue::from(code.number()));
    headers.insert(EXECUTION, HeaderValue::from_static(code.execution().name()));
}
