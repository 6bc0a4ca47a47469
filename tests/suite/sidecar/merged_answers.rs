//! Backend servers whose answer continues a cut part of another one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::fleet::{KEY, TestFleet};
use super::kept_connections::{REFUSAL, listen, read_head, request_id, whole_answer};

/// Writes `surplus` before the answers to requests for a cut copy, which run.
async fn serve_after(
    mut stream: TcpStream,
    surplus: &'static str,
    runs: Arc<AtomicUsize>,
) -> std::io::Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        if head.contains("/write/cut") {
            runs.fetch_add(1, Ordering::SeqCst);
            stream.write_all(surplus.as_bytes()).await?;
        }
        stream.write_all(whole_answer(request_id(&head)).as_bytes()).await?;
    }
}

async fn start_after(surplus: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let (listener, address) = listen().await;
    let runs = Arc::new(AtomicUsize::new(0));
    let run_count = runs.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            // An error means that the daemon has closed the connection.
            tokio::spawn(serve_after(stream, surplus, run_count.clone()));
        }
    });
    (address, runs)
}

/// The parser drops a reason phrase that is not ASCII, and the status line in it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_after_cut_reason_not_ascii() {
    for (surplus, allowed) in [
        ("HTTP/1.1 421 Mal adressé", [200, 502]),
        ("HTTP/1.1 404 Pas trouvé", [200, 502]),
        ("HTTP/1.1 500 Problème", [200, 502]),
    ] {
        let (address, runs) = start_after(surplus).await;
        let fleet = TestFleet::new();
        let daemon = fleet.start_beside("one", "stock", address).await;
        fleet.until(&daemon, "/read/1", KEY, 200).await;
        let answer = fleet.send(&daemon, "/write/cut", KEY).await;
        expect_that!(allowed.contains(&answer.status), eq(true), "{surplus}: {}", answer.status);
        expect_that!(runs.load(Ordering::SeqCst), eq(1), "{surplus}");
    }
}

/// A header that quotes a status line does not make the only answer on a connection a merged one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_quoting_status_line_delivered() {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let head = read_head(&mut stream).await?;
                let quote = match head.contains("/write/") {
                    true => "\r\nx-origin-status: HTTP/1.1 200 OK\r\nconnection: close\r\n",
                    false => "\r\nconnection: close\r\n",
                };
                let answer = whole_answer(request_id(&head)).replacen("\r\n", quote, 1);
                stream.write_all(answer.as_bytes()).await?;
                stream.shutdown().await
            });
        }
    });
    let fleet = TestFleet::new();
    let daemon = fleet.start_beside("one", "stock", address).await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    for number in 0..3 {
        expect_that!(fleet.send(&daemon, "/write/1", KEY).await.status, eq(200), "{number}");
    }
}

/// Writes a refusal that is cut in its length before the answers to requests for it, which run and
/// are answered in chunks.
async fn serve_chunked_after_cut_length(
    mut stream: TcpStream,
    runs: Arc<AtomicUsize>,
) -> std::io::Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let whole = whole_answer(request_id(&head));
        if head.contains("/write/cut") {
            runs.fetch_add(1, Ordering::SeqCst);
            stream.write_all(format!("{REFUSAL}content-length: 1").as_bytes()).await?;
            let chunked = whole.replace("content-length: 5", "transfer-encoding: chunked");
            let chunked = chunked.replace("whole", "5\r\nwhole\r\n0\r\n\r\n");
            stream.write_all(chunked.as_bytes()).await?;
        } else {
            stream.write_all(whole.as_bytes()).await?;
        }
    }
}

/// The parser drops a length beside chunks, and the status line in it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_chunked_after_refusal_cut_in_length() {
    let (listener, address) = listen().await;
    let runs = Arc::new(AtomicUsize::new(0));
    let run_count = runs.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            // An error means that the daemon has closed the connection.
            tokio::spawn(serve_chunked_after_cut_length(stream, run_count.clone()));
        }
    });
    let fleet = TestFleet::new();
    let daemon = fleet.start_beside("one", "stock", address).await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    let answer = fleet.send(&daemon, "/write/cut", KEY).await;
    expect_that!([200, 502].contains(&answer.status), eq(true), "{}", answer.status);
    expect_that!(runs.load(Ordering::SeqCst), eq(1));
}

/// Answers a request for a cut answer with a part of the body, and then with `surplus`.
async fn serve_cut_before(mut stream: TcpStream, surplus: &'static str) -> std::io::Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        let whole = whole_answer(request_id(&head));
        let (sent, rest) = match head.contains("/write/cut") {
            true => (whole.strip_suffix("ole").unwrap_or_default(), surplus),
            false => (whole.as_str(), ""),
        };
        stream.write_all(format!("{sent}{rest}").as_bytes()).await?;
    }
}

/// The begin of an answer too many does not make a cut body whole.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_cut_in_body_not_completed_by_surplus() {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let surplus = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
            // An error means that the daemon has closed the connection.
            tokio::spawn(serve_cut_before(stream, surplus));
        }
    });
    let fleet = TestFleet::new();
    let daemon = fleet.start_beside("one", "stock", address).await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    let answer = fleet.send(&daemon, "/write/cut", KEY).await;
    expect_that!(answer.status, eq(502));
}

/// A refusal that quotes a status line may continue with the answer to a request that ran, whatever
/// the first answer on the connection quoted, and also as the first one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_cut_where_first_answer_quotes() {
    let (listener, address) = listen().await;
    let runs = Arc::new(AtomicUsize::new(0));
    let run_count = runs.clone();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let runs = run_count.clone();
            tokio::spawn(async move {
                let mut is_first = true;
                // An error means that the daemon has closed the connection.
                while let Ok(head) = read_head(&mut stream).await {
                    let mut answer = whole_answer(request_id(&head));
                    if head.contains("/write/cut") {
                        runs.fetch_add(1, Ordering::SeqCst);
                        let refusal =
                            "HTTP/1.1 503 Full\r\nx-lentilway-not-executed: 1\r\ndate: Mon";
                        answer = format!("{refusal}{answer}");
                    } else if is_first {
                        let quote = "\r\nx-origin-status: HTTP/1.1 200 OK\r\n";
                        answer = answer.replacen("\r\n", quote, 1);
                    }
                    is_first = false;
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            });
        }
    });
    let fleet = TestFleet::new();
    let daemon = fleet.start_beside("one", "stock", address).await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    // On the kept connection, and on a new one after an answer too many.
    for kind in ["kept", "new"] {
        let answer = fleet.send(&daemon, "/write/cut", KEY).await;
        expect_that!(answer.status, eq(502), "{kind}");
        expect_that!(runs.swap(0, Ordering::SeqCst), eq(1), "{kind}");
    }
}
