//! Backend servers that write an earlier answer again, or break an answer off.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::fleet::{KEY, TestFleet, own_loopback};

pub(super) const SIGNATURE: &str = "x-lentilway-server-signature: signed\r\n";
pub(super) const REFUSAL: &str =
    "HTTP/1.1 503 Service Unavailable\r\nx-lentilway-not-executed: 1\r\n";
const MISDIRECTED: &str = "HTTP/1.1 421 Misdirected Request\r\n";
const FAILURE: &str = "HTTP/1.1 500 Internal Server Error\r\n";
pub(super) const NO_BODY: &str = "content-length: 0\r\n\r\n";

pub(super) fn whole_answer(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-lentilway-attempt-id: {id}\r\n{SIGNATURE}content-length: 5\r\n\r\nwhole"
    )
}

pub(super) async fn read_head(stream: &mut (impl AsyncRead + Unpin)) -> std::io::Result<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    Ok(String::from_utf8_lossy(&head).to_lowercase())
}

pub(super) fn request_id(head: &str) -> &str {
    let rest = head.split("x-lentilway-attempt-id: ").nth(1);
    rest.and_then(|rest| rest.lines().next()).unwrap_or_default()
}

/// Which id the repeated answer carries.
#[derive(Clone, Copy, Debug)]
enum RepeatedId {
    Earlier,
    Absent,
}

/// Answers the first request of a connection, and to later ones writes `repeated` again.
async fn serve_repeating(
    mut stream: TcpStream,
    (repeated, repeated_id): (&'static str, RepeatedId),
    runs: Arc<AtomicUsize>,
) -> std::io::Result<()> {
    let first = read_head(&mut stream).await?;
    runs.fetch_add(1, Ordering::SeqCst);
    stream.write_all(whole_answer(request_id(&first)).as_bytes()).await?;
    read_head(&mut stream).await?;
    runs.fetch_add(1, Ordering::SeqCst);
    let id = match repeated_id {
        RepeatedId::Earlier => format!("x-lentilway-attempt-id: {}\r\n", request_id(&first)),
        RepeatedId::Absent => String::new(),
    };
    stream.write_all(format!("{repeated}{id}{NO_BODY}").as_bytes()).await?;
    // The run of the second request goes on.
    sleep(Duration::from_secs(5)).await;
    Ok(())
}

pub(super) async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((own_loopback(), 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// An answer written once more on a kept connection says nothing about the request that follows:
/// it has run, and its caller is not told otherwise.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_repeated_on_kept_connection() {
    for repeated in [REFUSAL, MISDIRECTED, FAILURE] {
        for repeated_id in [RepeatedId::Earlier, RepeatedId::Absent] {
            let (listener, address) = listen().await;
            let runs = Arc::new(AtomicUsize::new(0));
            let run_count = runs.clone();
            tokio::spawn(async move {
                loop {
                    let (stream, _) = listener.accept().await.unwrap();
                    let run_count = run_count.clone();
                    // An error means that the daemon has closed the connection.
                    tokio::spawn(async move {
                        let _ = serve_repeating(stream, (repeated, repeated_id), run_count).await;
                    });
                }
            });
            let fleet = TestFleet::new();
            let daemon = fleet.start_beside("one", "stock", address).await;
            fleet.until(&daemon, "/write/1", KEY, 200).await;
            let before = runs.load(Ordering::SeqCst);
            let answer = fleet.send(&daemon, "/write/2", KEY).await;
            let name = format!("{repeated_id:?}: {repeated}");
            expect_that!(answer.status, eq(502), "{name}");
            expect_that!(answer.headers["lentilway-execution"], eq("may-have-run"), "{name}");
            expect_that!(runs.load(Ordering::SeqCst) - before, eq(1), "{name}");
        }
    }
}

/// Bytes that spoil several kept connections cost a request that may run again one send, not all.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn read_kept_connections_spoiled() {
    let (listener, address) = listen().await;
    let is_spoiled = Arc::new(AtomicBool::new(false));
    let spoiled = is_spoiled.clone();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (spoiled, is_new) = (spoiled.clone(), AtomicBool::new(true));
            tokio::spawn(async move {
                // An error means that the daemon has closed the connection.
                while let Ok(head) = read_head(&mut stream).await {
                    let is_new = is_new.swap(false, Ordering::SeqCst);
                    // Requests overlap, so that several connections are kept.
                    sleep(Duration::from_millis(30)).await;
                    let answer = match spoiled.load(Ordering::SeqCst) && !is_new {
                        true => format!("HTTP/1.1 200 OK\r\n{NO_BODY}"),
                        false => whole_answer(request_id(&head)),
                    };
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            });
        }
    });
    let fleet = TestFleet::new();
    let daemon = fleet.start_beside("one", "stock", address).await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..4 {
        callers.spawn(fleet.request(&daemon, "/read/1", KEY));
    }
    let answers = callers.join_all().await;
    expect_that!(answers.iter().map(|answer| answer.status).collect::<Vec<_>>(), each(eq(&200)));
    is_spoiled.store(true, Ordering::SeqCst);
    let answer = fleet.send(&daemon, "/read/1", KEY).await;
    expect_that!(answer.status, eq(200));
    expect_that!(&answer.body[..], eq(b"whole"));
}

/// Answers a request for a cut answer with the first `cut` bytes of `whole`, in which `{id}` stands
/// for the request's id, and others wholly; then closes.
async fn serve_cut(
    mut stream: TcpStream,
    (whole, cut): (String, usize),
    cuts: Arc<AtomicUsize>,
) -> std::io::Result<()> {
    let head = read_head(&mut stream).await?;
    if head.contains("/write/cut") {
        cuts.fetch_add(1, Ordering::SeqCst);
        let whole = whole.replace("{id}", request_id(&head));
        stream.write_all(&whole.as_bytes()[..cut]).await?;
    } else {
        let whole =
            whole_answer(request_id(&head)).replacen("\r\n", "\r\nconnection: close\r\n", 1);
        stream.write_all(whole.as_bytes()).await?;
    }
    stream.shutdown().await
}

/// An answer that is cut, whatever the byte, never reaches the caller as a whole one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_cut_at_every_byte() {
    let head =
        "HTTP/1.1 200 OK\r\nx-lentilway-attempt-id: {id}\r\nx-lentilway-server-signature: s\r\n";
    let chunks = "3\r\nwho\r\n2;x=y\r\nle\r\n0\r\nx-t: 1\r\n\r\n";
    let by_length = format!("{head}content-length: 5\r\n\r\nwhole");
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n{chunks}");
    let by_close = format!("{head}\r\nwhole");
    // The ids of the test's requests are as long as this.
    let longer = "request-1000".len() - "{id}".len();
    for (whole, cuts_end) in [
        (by_length.clone(), by_length.len() + longer),
        (chunked.clone(), chunked.len() + longer),
        // Without a length, the end of the connection is the end of the body.
        (by_close.clone(), by_close.len() + longer - "\nwhole".len()),
    ] {
        let (listener, address) = listen().await;
        let cut = Arc::new(AtomicUsize::new(0));
        let cuts = Arc::new(AtomicUsize::new(0));
        let (current, count, answer) = (cut.clone(), cuts.clone(), whole.clone());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let answer = (answer.clone(), current.load(Ordering::SeqCst));
                // An error means that the daemon has closed the connection.
                tokio::spawn(serve_cut(stream, answer, count.clone()));
            }
        });
        let fleet = TestFleet::new();
        let daemon = fleet.start_beside("one", "stock", address).await;
        fleet.skip_ids_to(1_000);
        for bytes in 0..cuts_end {
            fleet.announce(&daemon, 2 + bytes as u64, false).await;
            // Failures in a row would have the daemon refuse requests unsent.
            for _ in 0..3 {
                fleet.until(&daemon, "/write/whole", KEY, 200).await;
            }
            cut.store(bytes, Ordering::SeqCst);
            let answer = fleet.send(&daemon, "/write/cut", KEY).await;
            expect_that!(answer.status, eq(502), "{bytes} bytes of {whole}");
            expect_that!(answer.headers["lentilway-execution"], eq("may-have-run"));
            expect_that!(cuts.swap(0, Ordering::SeqCst), eq(1), "{bytes} bytes of {whole}");
        }
    }
}

/// Answers requests wholly, and one for a cut copy with the first `cut` bytes of `surplus`, which
/// names the request before it, and then with `due`. `{id}` stands for the request's id.
async fn serve_after_cut(
    mut stream: TcpStream,
    (surplus, due): (String, String),
    cut: usize,
    runs: Arc<AtomicUsize>,
) -> std::io::Result<()> {
    let mut last_id = String::new();
    loop {
        let head = read_head(&mut stream).await?;
        let id = request_id(&head).to_owned();
        if head.contains("/write/cut") {
            runs.fetch_add(1, Ordering::SeqCst);
            stream.write_all(&surplus.replace("{id}", &last_id).as_bytes()[..cut]).await?;
            stream.write_all(due.replace("{id}", &id).as_bytes()).await?;
        } else {
            stream.write_all(whole_answer(&id).as_bytes()).await?;
        }
        last_id = id;
    }
}

/// An answer too many that is cut at any byte does not lend its status to the one that follows it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_after_surplus_cut_at_every_byte() {
    let id = "x-lentilway-attempt-id: {id}\r\n";
    let success = format!("HTTP/1.1 200 OK\r\n{SIGNATURE}{id}content-length: 5\r\n\r\nwhole");
    let failure = format!("{FAILURE}{SIGNATURE}{id}{NO_BODY}");
    let refusals = [REFUSAL, MISDIRECTED].map(|head| format!("{head}{id}{NO_BODY}"));
    for (surplus, due, status) in [
        (&refusals[0], &success, 200),
        (&refusals[1], &success, 200),
        (&failure, &success, 200),
        (&success, &failure, 500),
    ] {
        let (listener, address) = listen().await;
        let (cut, runs) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let (current, run_count) = (cut.clone(), runs.clone());
        let served = (surplus.clone(), due.clone());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let cut = current.load(Ordering::SeqCst);
                // An error means that the daemon has closed the connection.
                tokio::spawn(serve_after_cut(stream, served.clone(), cut, run_count.clone()));
            }
        });
        let fleet = TestFleet::new();
        let daemon = fleet.start_beside("one", "stock", address).await;
        fleet.skip_ids_to(1_000);
        for bytes in 0..surplus.len() {
            cut.store(bytes, Ordering::SeqCst);
            // Connections to the server's earlier start are closed.
            expect_that!(fleet.announce_born(&daemon, 2 + bytes as u64, 1, "ready").await, eq(200));
            // Failures in a row would have the daemon refuse requests unsent.
            for _ in 0..3 {
                fleet.until(&daemon, "/write/whole", KEY, 200).await;
            }
            let answer = fleet.send(&daemon, "/write/cut", KEY).await;
            let is_true = answer.status == status || answer.status == 502;
            expect_that!(is_true, eq(true), "{}: {bytes} bytes of {surplus}", answer.status);
            expect_that!(runs.swap(0, Ordering::SeqCst), eq(1), "{bytes} bytes of {surplus}");
        }
    }
}
