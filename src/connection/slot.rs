//! Serves requests of the backend server in this daemon's slot: announcements and sub-calls.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};

use super::backend_link::BackendServer;
use crate::error::ResultCode;
use crate::process::presence::{announce, withdraw};
use crate::process::shared::DaemonShared;
use crate::request::answer::refusal;
use crate::request::incoming::BufferedRequest;
use crate::request::sub_call::serve_sub_call;

const ANNOUNCE_PATH: &str = "/lentilway/announce";
const LEAVE_PATH: &str = "/lentilway/leave";

/// Serves one request of the backend server.
pub async fn serve_slot(
    shared: Arc<DaemonShared>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match (request.method(), request.uri().path()) {
        (&Method::POST, ANNOUNCE_PATH) => respond(take_announcement(&shared, request).await),
        (&Method::POST, LEAVE_PATH) => {
            withdraw(&shared).await;
            respond(Ok(()))
        }
        _ => serve_sub_call(shared, request).await,
    }
}

fn respond(result: Result<(), ResultCode>) -> Response<Full<Bytes>> {
    match result {
        Ok(()) => Response::new(Full::default()),
        Err(code) => refusal(code),
    }
}

async fn take_announcement(
    shared: &Arc<DaemonShared>,
    request: Request<Incoming>,
) -> Result<(), ResultCode> {
    let request = BufferedRequest::read(request, &shared.config.limits).await?;
    let server: BackendServer =
        serde_json::from_slice(&request.body).map_err(|_| ResultCode::RequestMalformed)?;
    announce(shared, server).await;
    Ok(())
}
