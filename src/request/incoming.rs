//! Reads incoming requests within the size limits.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request};

use crate::config::SizeLimits;
use crate::error::ResultCode;

/// A complete request.
#[derive(Clone, Debug)]
pub struct BufferedRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// All headers as received.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl BufferedRequest {
    /// Reads `request` to its end, within `limits`.
    ///
    /// # Errors
    /// [`ResultCode::HeaderTooLarge`], [`ResultCode::BodyTooLarge`] or, if the body is incomplete,
    /// [`ResultCode::RequestMalformed`].
    pub async fn read(request: Request<Incoming>, limits: &SizeLimits) -> Result<Self, ResultCode> {
        let (parts, body) = request.into_parts();
        if header_size(&parts.headers) + parts.uri.path().len() > limits.header_bytes {
            return Err(ResultCode::HeaderTooLarge);
        }
        let body =
            Limited::new(body, limits.body_bytes).collect().await.map_err(body_error_code)?;
        let path = parts.uri.path_and_query().map(|path| path.as_str()).unwrap_or("/");
        Ok(BufferedRequest {
            method: parts.method,
            path: path.to_string(),
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }

    /// The path without the query.
    pub fn bare_path(&self) -> &str {
        self.path.split('?').next().unwrap_or("/")
    }
}

fn header_size(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
}

fn body_error_code(error: Box<dyn std::error::Error + Send + Sync>) -> ResultCode {
    match error.is::<LengthLimitError>() {
        true => ResultCode::BodyTooLarge,
        false => ResultCode::RequestMalformed,
    }
}
