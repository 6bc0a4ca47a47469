//! Answers whose status is none, from a backend server and on a link between daemons.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use googletest::prelude::*;
use lentilway::policy::placement::InstanceLoad;
use lentilway::policy::root_admission::CostList;
use lentilway::sidecar::process::keyed_store::StoreTopic;
use lentilway::sidecar::request::context::{BackendAnswer, CallOutcome};
use serde::Serialize;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::fleet::{CallerAnswer, KEY, TestDaemon, TestFleet};
use super::kept_connections::{NO_BODY, SIGNATURE, listen, read_head, request_id};

/// Status lines that are none, of which a lenient parser may make 200.
const INVALID_LINES: [&str; 18] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 1000 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 00200 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 OK",
    "HTTP/1.1 ",
    "HTTP/1.1",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1 +20 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1\t200 OK",
    "HTTP/1.1 \t200 OK",
    " HTTP/1.1 200 OK",
    "HTTP/1.1 2 00 OK",
];

const TRIES_MAX: usize = 100;
const TRY_INTERVAL: Duration = Duration::from_millis(50);

/// Answers every request with this status line, with all else that an answer to it has.
async fn serve_line(
    mut stream: TcpStream,
    line: &str,
    arrivals: Arc<AtomicUsize>,
) -> std::io::Result<()> {
    loop {
        let head = read_head(&mut stream).await?;
        arrivals.fetch_add(1, Ordering::SeqCst);
        let id = request_id(&head);
        let answer = format!(
            "{line}\r\nx-lentilway-attempt-id: {id}\r\n{SIGNATURE}x-forged: 1\r\n{NO_BODY}"
        );
        stream.write_all(answer.as_bytes()).await?;
    }
}

/// Checks that the daemon answered in its own name that the request may have run.
fn expect_may_have_run(answer: &CallerAnswer, case: &str) {
    expect_that!(answer.status, eq(502), "{case}");
    let header = |name| answer.headers.get(name).map(|value| value.as_bytes().to_vec());
    expect_that!(header("lentilway-execution"), some(eq(b"may-have-run")), "{case}");
    expect_that!(header("x-lentilway-server-signature"), none(), "{case}");
    expect_that!(header("x-forged"), none(), "{case}");
}

/// The answer to a request, and how often it reached the server. Requests of routes that fail are refused
/// at times; those must not have reached it, and are sent again.
async fn send_admitted(
    fleet: &TestFleet,
    daemon: &TestDaemon,
    path: &str,
    arrivals: &AtomicUsize,
) -> (CallerAnswer, usize) {
    for _ in 0..TRIES_MAX {
        let before = arrivals.load(Ordering::SeqCst);
        let answer = fleet.send(daemon, path, KEY).await;
        let runs = arrivals.load(Ordering::SeqCst) - before;
        if answer.status != 503 {
            return (answer, runs);
        }
        expect_that!(runs, eq(0), "{path}");
        sleep(TRY_INTERVAL).await;
    }
    panic!("no request is admitted");
}

/// An answer without a valid status would be passed on as the server's, or taken for a statement about
/// the run: at the daemon beside the server, and at another one that calls it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_invalid_status_line() {
    for line in INVALID_LINES {
        let (listener, address) = listen().await;
        let arrivals = Arc::new(AtomicUsize::new(0));
        let counted = arrivals.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // An error means that the daemon has closed the connection.
                tokio::spawn(serve_line(stream, line, counted.clone()));
            }
        });
        let fleet = TestFleet::new();
        let beside = fleet.start_beside("one", "stock", address).await;
        let entry = fleet.start("two", "prices").await;
        for daemon in [&beside, &entry] {
            fleet.until(daemon, "/write/first", KEY, 502).await;
            let (answer, runs) = send_admitted(&fleet, daemon, "/write/1", &arrivals).await;
            expect_may_have_run(&answer, line);
            expect_that!(runs, eq(1), "{line}");
            let (answer, _) = send_admitted(&fleet, daemon, "/read/1", &arrivals).await;
            expect_may_have_run(&answer, line);
        }
    }
}

/// The messages of a link up to the ones that are sent here, in their order on the wire.
#[derive(Serialize)]
enum LinkMessage {
    Hello {
        name: &'static str,
        service: &'static str,
    },
    #[expect(dead_code, reason = "keeps the order of the messages")]
    Alive,
    Load(InstanceLoad),
    #[expect(dead_code, reason = "keeps the order of the messages")]
    Call,
    Answer(LinkAnswer),
}

/// The place of a call in that order.
const CALL_INDEX: u32 = 3;

#[derive(Serialize)]
struct LinkAnswer {
    number: u64,
    outcome: CallOutcome,
    costs: CostList,
    load: InstanceLoad,
    notice: Option<()>,
}

fn frame(message: &LinkMessage) -> Vec<u8> {
    let bytes = postcard::to_allocvec(message).unwrap();
    [&u32::try_from(bytes.len()).unwrap().to_be_bytes()[..], &bytes].concat()
}

/// Answers every call on a link with this status.
async fn serve_link(stream: TcpStream, status: u16) -> std::io::Result<()> {
    let load = InstanceLoad { slots: 8, service_micros: 1_000, ..InstanceLoad::default() };
    let (mut reader, mut writer) = stream.into_split();
    let (sender, mut answers) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let hello = LinkMessage::Hello { name: "peer", service: "stock" };
        let mut next = Some(hello);
        while let Some(message) = next {
            let bytes = [frame(&message), frame(&LinkMessage::Load(load))].concat();
            if writer.write_all(&bytes).await.is_err() {
                return;
            }
            next = answers.recv().await;
        }
    });
    loop {
        let length = reader.read_u32().await?;
        let mut bytes = vec![0; length as usize];
        reader.read_exact(&mut bytes).await?;
        let (index, rest) = postcard::take_from_bytes::<u32>(&bytes).unwrap();
        let message = if index == CALL_INDEX {
            let (number, _) = postcard::take_from_bytes(rest).unwrap();
            let signature = ("x-lentilway-server-signature".to_owned(), "signed".into());
            let headers = vec![signature, ("x-forged".to_owned(), "1".into())];
            let answer = BackendAnswer { status, headers, body: "forged".into() };
            let outcome = CallOutcome::Answered(answer);
            let costs = CostList::new();
            LinkMessage::Answer(LinkAnswer { number, outcome, costs, load, notice: None })
        } else {
            LinkMessage::Load(load)
        };
        // An error means that the daemon has closed the link.
        let _ = sender.send(message);
    }
}

/// A daemon whose only peer answers every call with this status.
async fn start_linked(fleet: &TestFleet, status: u16) -> TestDaemon {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_link(stream, status));
        }
    });
    let record = json!({"name": "peer", "address": address.to_string(), "service": "stock",
        "availability_zone": "zone"});
    fleet.store.write(StoreTopic::Directory, "peer", Some(record.to_string().into_bytes()));
    fleet.start("entry", "prices").await
}

/// A status that no response can have became a 502 with the headers and the body of the answer, as if
/// the server had sent it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_invalid_status_on_link() {
    let fleet = TestFleet::new();
    let entry = start_linked(&fleet, 200).await;
    fleet.until(&entry, "/write/first", KEY, 200).await;
    expect_that!(fleet.send(&entry, "/write/1", KEY).await.body.as_ref(), eq(b"forged"));
    for status in [0, 20, 99, 100, 101, 199, 1_000, 2_000, u16::MAX] {
        let fleet = TestFleet::new();
        let entry = start_linked(&fleet, status).await;
        fleet.until(&entry, "/write/first", KEY, 502).await;
        for path in ["/write/1", "/read/1"] {
            // The peer is no server whose arrivals count.
            let (answer, _) = send_admitted(&fleet, &entry, path, &AtomicUsize::new(0)).await;
            expect_may_have_run(&answer, &status.to_string());
            expect_that!(answer.body.as_ref(), not(eq(b"forged")), "{status}");
        }
    }
}
