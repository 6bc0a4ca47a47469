//! A backend server that refuses requests and resets connections beyond a bound.

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use googletest::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::fleet::{KEY, TestFleet};
use super::kept_connections::{NO_BODY, REFUSAL, listen, read_head, request_id, whole_answer};

const REQUESTS: usize = 20;
const CONNECTIONS_MAX: usize = 1;
/// Time between requests, in which a connection that was closed is noticed.
const PAUSE: Duration = Duration::from_millis(20);

#[derive(Clone, Default)]
struct BoundedServer {
    open: Arc<AtomicUsize>,
    resets: Arc<AtomicUsize>,
    refused: Arc<Mutex<HashSet<String>>>,
}

impl BoundedServer {
    async fn accept(self, stream: TcpStream) {
        if self.open.fetch_add(1, Ordering::SeqCst) < CONNECTIONS_MAX {
            // An error means that the daemon has closed the connection.
            let _ = self.serve(stream).await;
        } else {
            self.resets.fetch_add(1, Ordering::SeqCst);
            stream.set_zero_linger().unwrap();
        }
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    /// Refuses each write once.
    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        loop {
            let head = read_head(&mut stream).await?;
            let id = request_id(&head).to_owned();
            let is_refused =
                head.contains("/write/") && self.refused.lock().unwrap().insert(id.clone());
            let answer = match is_refused {
                true => format!("{REFUSAL}x-lentilway-attempt-id: {id}\r\n{NO_BODY}"),
                false => whole_answer(&id),
            };
            stream.write_all(answer.as_bytes()).await?;
        }
    }
}

/// The resend of a refused request takes the place of the connection that it cannot use again.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn refusal_resent_within_bound_of_connections() {
    let (listener, address) = listen().await;
    let server = BoundedServer::default();
    let accepting = server.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(accepting.clone().accept(stream));
        }
    });
    let fleet = TestFleet::new();
    let daemon = fleet.start_beside("one", "stock", address).await;
    fleet.until(&daemon, "/read/1", KEY, 200).await;
    // Requests earn the retries for those that are refused.
    for _ in 0..REQUESTS * 5 {
        fleet.send(&daemon, "/read/1", KEY).await;
    }
    let resets = server.resets.load(Ordering::SeqCst);
    for number in 0..REQUESTS {
        let answer = fleet.send(&daemon, "/write/1", KEY).await;
        expect_that!([200, 503].contains(&answer.status), eq(true), "{number}: {}", answer.status);
        sleep(PAUSE).await;
    }
    expect_that!(server.resets.load(Ordering::SeqCst) - resets, eq(0));
}
