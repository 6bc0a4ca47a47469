//! Serves a backend server's sub-calls at its daemon.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Response};

use super::answer::{BufferedAnswer, refusal, respond};
use super::call::{OutgoingCall, run_call};
use super::context::{CALL_DEPTH_LIMIT, RequestContext};
use super::entry::{EntryPoint, serve_entry};
use super::handle::HandleBinding;
use super::header::{CONTEXT, RETRIED, end_to_end};
use super::incoming::BufferedRequest;
use crate::error::ResultCode;
use crate::process::shared::DaemonShared;

/// Serves a sub-call as part of the request that its handle names. Without a handle it is a root
/// request, which can reach only open routes.
pub async fn serve_sub_call(
    shared: Arc<DaemonShared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    if !request.headers().contains_key(CONTEXT) {
        return serve_entry(shared, request, EntryPoint::Slot).await;
    }
    match bind(&shared, request.headers()) {
        Ok(binding) => answer(serve(&shared, binding, request).await),
        Err(code) => refusal(code),
    }
}

/// The response; on failure a header states that this hop has already decided on retries.
fn answer(result: Result<BufferedAnswer, ResultCode>) -> Response<Full<Bytes>> {
    let failed = result.is_err();
    let mut response = respond(result);
    if failed {
        response.headers_mut().insert(RETRIED, HeaderValue::from_static("true"));
    }
    response
}

fn bind(shared: &DaemonShared, headers: &HeaderMap) -> Result<HandleBinding, ResultCode> {
    let text = headers.get(CONTEXT).and_then(|value| value.to_str().ok());
    let text = text.ok_or(ResultCode::HandleInvalid)?;
    shared.handles.resolve(text).ok_or(ResultCode::HandleInvalid)
}

async fn serve(
    shared: &Arc<DaemonShared>,
    binding: HandleBinding,
    request: Request<Incoming>,
) -> Result<BufferedAnswer, ResultCode> {
    let mut request = BufferedRequest::read(request, &shared.config.limits).await?;
    let depth = binding.context.depth + 1;
    if depth > CALL_DEPTH_LIMIT {
        return Err(ResultCode::CallDepthExceeded);
    }
    let state = shared.version.current();
    let found = state.route(request.method.as_str(), request.bare_path());
    let (name, route) = found.ok_or(ResultCode::RouteUnknown)?;
    if binding.context.organisation.is_none() && !route.open {
        return Err(ResultCode::KeyMissing);
    }
    request.headers = end_to_end(&request.headers);
    let context = RequestContext {
        route: name.clone(),
        service: route.service.clone(),
        idempotent: route.idempotent,
        depth,
        ..binding.context
    };
    let tracker = binding.tracker;
    let call = OutgoingCall {
        request,
        context,
        deadline: binding.deadline,
        allowance: binding.allowance,
        tracker: tracker.clone(),
    };
    let _wait = tracker.start_wait();
    run_call(shared, call).await
}
