//! Crowds of callers that make progress, but too little.

use super::*;

/// Bytes that a caller reads in each [`DRIP_INTERVAL`]: little more than what keeps its connection.
const SLOWLY_READ_BYTES: usize = 1_600;
/// A body that counts as small.
const SMALL_BODY_BYTES: usize = 60_000;
/// A timeout of routes longer than the wait of an ordinary caller.
const LONG_TIMEOUT_S: u64 = 60;

/// Heads so large, and descriptors so many, that the memory for connections does not do for a crowd.
const LARGEST_HEAD_BYTES: usize = 64 << 10;
const MANY_DESCRIPTORS: usize = 2_048;
/// Memory of a machine, and a body within the limits that is larger than its budget for requests.
const SMALL_MEMORY_MB: usize = 40;
const REFUSED_BODY_BYTES: usize = 16 << 20;

/// Guards against callers that keep all connections by reading long answers just above the bound.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answers_read_slowly_spare_connections() {
    let path = format!("/near/{LONG_ANSWER_BYTES}");
    let caller = || {
        let mut caller = CrowdCaller::sending(head("GET", &path, ""), "");
        caller.read_bytes = SLOWLY_READ_BYTES;
        caller
    };
    face_crowd((0..READERS).map(|_| caller()).collect(), READER_GAP).await;
}

/// Callers that send small bodies byte by byte.
fn dripping_crowd() -> Vec<CrowdCaller> {
    let caller = |number: usize| {
        let announced = format!("content-length: {SMALL_BODY_BYTES}\r\n");
        match number % 2 {
            0 => CrowdCaller::sending(head("POST", "/near/1", &announced), "a"),
            _ => CrowdCaller::sending(
                head("POST", "/near/1", "transfer-encoding: chunked\r\n"),
                "1\r\na\r\n",
            ),
        }
    };
    (0..CROWD).map(caller).collect()
}

/// Guards against callers that keep all connections with small bodies until the timeout of the route.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn small_bodies_dripped_spare_connections() {
    face_crowd_within(LONG_TIMEOUT_S, dripping_crowd(), Duration::ZERO).await;
}

/// Guards against callers that keep all the memory for connections, where that is scarcer than
/// descriptors.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn small_bodies_dripped_spare_memory() {
    let store = StoreServer::start((own_loopback(), 0).into()).await.unwrap();
    write_config_heads(&store, 4 << 20, LONG_TIMEOUT_S, 2, LARGEST_HEAD_BYTES);
    let limits = format!("memory_mb = {MEMORY_MB}\nmax_fds = {MANY_DESCRIPTORS}\n");
    let server = start_server().await;
    let mut daemon = DaemonProcess::start_limited("entry", "near", server, &store, &limits);
    let outbound = daemon.plan.outbound;
    wait_served(outbound, "/near/1").await;
    let mut callers = JoinSet::new();
    for caller in dripping_crowd() {
        callers.spawn(caller.act(outbound));
    }
    sleep(CROWD_SPAN).await;
    wait_served(outbound, "/near/1").await;
    println!("most memory in kB: {}", daemon.peak_memory_kb());
    expect_that!(daemon.is_alive(), eq(true));
    expect_that!(daemon.peak_memory_kb(), le(MEMORY_MB << 10));
}

/// Guards against refusals that are lost with the connection, since the body is still being sent.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_amid_body_arrives() {
    let store = StoreServer::start((own_loopback(), 0).into()).await.unwrap();
    write_config(&store, REFUSED_BODY_BYTES, 60, 2);
    let limits = format!("memory_mb = {SMALL_MEMORY_MB}\nmax_fds = {DESCRIPTORS_MAX}\n");
    let server = start_server().await;
    let daemon = DaemonProcess::start_limited("entry", "near", server, &store, &limits);
    let outbound = daemon.plan.outbound;
    wait_served(outbound, "/near/1").await;
    let length = format!("content-length: {REFUSED_BODY_BYTES}\r\n");
    let requests = [
        (head("POST", "/near/1", &length), "HTTP/1.1 503 "),
        (head("POST", "/none/1", &length), "HTTP/1.1 404 "),
    ];
    for (request, status) in requests {
        let mut stream = TcpStream::connect(outbound).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        stream.write_all(&vec![b'a'; REFUSED_BODY_BYTES]).await.expect("the body is taken");
        let mut answer = vec![0; status.len()];
        stream.read_exact(&mut answer).await.expect("the answer comes whole");
        expect_that!(String::from_utf8_lossy(&answer), eq(status));
    }
}
