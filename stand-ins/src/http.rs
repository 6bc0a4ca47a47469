//! The HTTP server and client of the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// A client with a pool of open connections.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client for plain HTTP.
pub fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// A completely received request.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The HTTP method in upper case.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query, empty if there is none.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl ReceivedRequest {
    /// The query parameter `name` as a number.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }

    /// The header `name` as text, empty if it is missing or not visible ASCII.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// The reaction of a handler to a request.
#[derive(Debug)]
pub enum ServerReply {
    /// Send this response.
    Send(Response<Full<Bytes>>),
    /// Close the connection without a response.
    Reset,
}

/// Serves HTTP at `address` in background tasks until the returned set is dropped.
///
/// # Errors
/// The I/O error if `address` cannot be bound.
pub async fn serve<H, F>(
    address: SocketAddr,
    handler: H,
) -> std::io::Result<(SocketAddr, JoinSet<()>)>
where
    H: Fn(ReceivedRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = ServerReply> + Send + 'static,
{
    serve_streams(address, move |stream| {
        let handler = handler.clone();
        let service = service_fn(move |request| handle_request(handler.clone(), request));
        async move {
            let builder = Builder::new(TokioExecutor::new());
            // A connection error affects only its client.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        }
    })
    .await
}

/// Accepts connections at `address` and runs `serve_stream` for each, until the returned set is
/// dropped.
///
/// # Errors
/// The I/O error if `address` cannot be bound.
pub(crate) async fn serve_streams<S, F>(
    address: SocketAddr,
    serve_stream: S,
) -> std::io::Result<(SocketAddr, JoinSet<()>)>
where
    S: Fn(TcpStream) -> F + Send + Sync + 'static,
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let mut tasks = JoinSet::new();
    tasks.spawn(accept_connections(listener, serve_stream));
    Ok((address, tasks))
}

async fn accept_connections<S, F>(listener: TcpListener, serve_stream: S)
where
    S: Fn(TcpStream) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    // Dropped before the connections: a client that loses one finds nothing listening.
    let listener = listener;
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                };
                // An error is harmless: small answers then wait for acknowledgements.
                let _ = stream.set_nodelay(true);
                connections.spawn(serve_stream(stream));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

#[derive(Debug)]
struct ConnectionReset;

impl std::fmt::Display for ConnectionReset {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the stand-in resets the connection")
    }
}

impl std::error::Error for ConnectionReset {}

async fn handle_request<H, F>(
    handler: H,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, ConnectionReset>
where
    H: Fn(ReceivedRequest) -> F,
    F: Future<Output = ServerReply>,
{
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| ConnectionReset)?.to_bytes();
    let received = ReceivedRequest {
        method: parts.method.to_string(),
        path: parts.uri.path().to_string(),
        query: parts.uri.query().unwrap_or_default().to_string(),
        headers: parts.headers,
        body,
    };
    match handler(received).await {
        ServerReply::Send(response) => Ok(response),
        ServerReply::Reset => Err(ConnectionReset),
    }
}

/// A response with `value` as its JSON body.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("the value has only string keys");
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Sends a request and receives the status, the headers and the complete body.
///
/// # Errors
/// A description of the failure.
pub async fn exchange(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, HeaderMap, Bytes), String> {
    let response = client.request(request).await.map_err(|error| format!("{error:?}"))?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|error| error.to_string())?;
    Ok((parts.status, parts.headers, body.to_bytes()))
}
