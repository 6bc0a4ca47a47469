//! Client of the administration API.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use super::args::AdminArgs;
use super::settings::operator_token;
use crate::error::ResultCode;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// An answer of the administration API: a report, or a fault with its code.
#[derive(Debug)]
pub(super) struct AdminAnswer {
    pub(super) code: ResultCode,
    pub(super) body: Value,
}

/// Sends one request to the daemon given by `args`.
///
/// # Errors
/// The reason, if there is no answer.
pub(super) async fn send_request(
    args: &AdminArgs,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<AdminAnswer, String> {
    let token = operator_token(args.operator_token_file.as_deref());
    let token = token.map_err(|error| format!("cannot read the operator's token: {error}"))?;
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", args.admin))
        .header(AUTHORIZATION, format!("Bearer {token}"))
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| error.to_string())?;
    let exchange = tokio::time::timeout(ANSWER_TIMEOUT, exchange(request)).await;
    let (success, body) =
        exchange.map_err(|_| "the daemon did not answer in time".to_string())??;
    let body: Value = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    let code = if success { ResultCode::Answered } else { fault_code(&body) };
    Ok(AdminAnswer { code, body })
}

async fn exchange(request: Request<Full<Bytes>>) -> Result<(bool, Bytes), String> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let answer = client.request(request).await.map_err(|error| format!("{error:?}"))?;
    let success = answer.status().is_success();
    let body = answer.into_body().collect().await.map_err(|error| error.to_string())?;
    Ok((success, body.to_bytes()))
}

fn fault_code(body: &Value) -> ResultCode {
    let number = body["code"].as_u64().and_then(|number| u16::try_from(number).ok());
    number.and_then(ResultCode::from_number).unwrap_or(ResultCode::CommandFailed)
}
