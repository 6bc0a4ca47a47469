//! The upstream's stand-in on the wire: requests, refusals and copies of answers.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::join_all;
use googletest::prelude::*;
use lentilway_stand_ins::platform::answer_faults::{AnswerFaultPlan, AnswerFaults};
use lentilway_stand_ins::platform::upstream::{
    UpstreamObserver, UpstreamPlan, UpstreamRun, UpstreamServer, UpstreamStatement,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const SERVED: &str = "HTTP/1.1 200 ";
const REFUSED: &str = "HTTP/1.1 503 ";
const INSTANCE: &str = "i-1";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest delay of a copy and the pause between its pieces, and some more.
const COPY_TIME: Duration = Duration::from_millis(300);

/// The ids of the requests that ran.
#[derive(Default)]
struct SeenIds(Mutex<Vec<String>>);

impl UpstreamObserver for SeenIds {
    fn started(&self, run: &UpstreamRun) {
        self.0.lock().unwrap().push(run.request_id.clone());
    }

    fn crashed(&self, _instance: &str) {}

    fn leave_acknowledged(&self, _instance: &str) {}

    fn limit_changed(&self, _instance: &str, _limit: Option<f64>) {}

    fn statement_received(&self, _receiver: &str, _statement: &UpstreamStatement) {}
}

struct TestUpstream {
    server: UpstreamServer,
    faults: Arc<AnswerFaults>,
    seen: Arc<SeenIds>,
}

impl TestUpstream {
    async fn start() -> Self {
        let faults = Arc::new(AnswerFaults::default());
        let seen = Arc::new(SeenIds::default());
        let unused: SocketAddr = (Ipv4Addr::LOCALHOST, 1).into();
        let plan = UpstreamPlan {
            service: "stock".to_owned(),
            service_time: Duration::from_millis(20),
            calls: Vec::new(),
            announced: unused,
            outbound: unused,
            control: unused,
            answer_faults: faults.clone(),
        };
        let address = (Ipv4Addr::LOCALHOST, 0).into();
        let server = UpstreamServer::start(address, INSTANCE.to_owned(), plan, seen.clone()).await;
        TestUpstream { server: server.expect("a port is free"), faults, seen }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.server.address()).await.expect("the upstream listens")
    }

    fn ran(&self) -> Vec<String> {
        self.seen.0.lock().unwrap().clone()
    }
}

fn request_head(id: &str) -> String {
    format!(
        "POST /write/{id} HTTP/1.1\r\nhost: shop.example\r\nx-lentilway-attempt-id: {id}\r\n\
         x-lentilway-target-instance: {INSTANCE}\r\n"
    )
}

async fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).await.expect("the connection is open");
}

/// Reads until what arrived ends with `end`.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let read = async {
        while !text.ends_with(end) {
            let mut bytes = [0; 1024];
            let count = stream.read(&mut bytes).await.expect("the connection is open");
            assert!(count > 0, "closed after {text:?}");
            text.push_str(std::str::from_utf8(&bytes[..count]).expect("answers are ASCII"));
        }
    };
    timeout(ANSWER_TIMEOUT, read).await.expect("the answer arrives");
    text
}

/// Reads whatever arrives within the time of a copy.
async fn read_rest(stream: &mut TcpStream) -> String {
    sleep(COPY_TIME).await;
    let mut bytes = vec![0; 64 * 1024];
    // Nothing arrived if the read times out.
    let count = timeout(Duration::from_millis(1), stream.read(&mut bytes)).await;
    let count = count.map_or(0, |count| count.unwrap_or(0));
    String::from_utf8_lossy(&bytes[..count]).into_owned()
}

fn all_refused(refusals_copied: f64, seed: u64) -> Option<AnswerFaultPlan> {
    Some(AnswerFaultPlan { seed, refused: 1.0, refusals_copied, others_copied: 0.0 })
}

#[gtest]
#[tokio::test]
async fn request_body_by_length_and_in_chunks() {
    let upstream = TestUpstream::start().await;
    let mut stream = upstream.connect().await;
    let (first, second) = (request_head("a"), request_head("b"));
    // The second request arrives together with the end of the first.
    write(&mut stream, &format!("{first}content-length: 5\r\n\r\nhe")).await;
    sleep(Duration::from_millis(10)).await;
    let chunks = "transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    write(&mut stream, &format!("llo{second}{chunks}")).await;
    let answers = read_until(&mut stream, "b@i-1").await;
    expect_that!(answers, contains_substring("a@i-1HTTP/1.1 200 OK\r\n"));
    write(&mut stream, &format!("{}\r\n", request_head("c"))).await;
    read_until(&mut stream, "c@i-1").await;
    expect_that!(upstream.ran(), elements_are!["a", "b", "c"]);
    expect_that!(read_rest(&mut stream).await, eq(""));
}

#[gtest]
#[tokio::test]
async fn request_refused_not_run() {
    let upstream = TestUpstream::start().await;
    upstream.faults.set(all_refused(0.0, 1));
    let mut stream = upstream.connect().await;
    write(&mut stream, &format!("{}\r\n", request_head("a"))).await;
    let refusal = read_until(&mut stream, "no free slot").await;
    expect_that!(refusal, starts_with(REFUSED));
    expect_that!(refusal, contains_substring("x-lentilway-not-executed: 1\r\n"));
    expect_that!(refusal, contains_substring("x-lentilway-attempt-id: a\r\n"));
    expect_that!(upstream.ran(), is_empty());
    upstream.faults.set(None);
    write(&mut stream, &format!("{}\r\n", request_head("a"))).await;
    read_until(&mut stream, "a@i-1").await;
    expect_that!(upstream.ran(), elements_are!["a"]);
}

/// Where the copy of a refusal came, seen from the next exchange on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopySeen {
    Before,
    During,
    After,
    BrokenOff,
}

async fn observe_copy(seed: u64) -> CopySeen {
    let upstream = TestUpstream::start().await;
    upstream.faults.set(all_refused(1.0, seed));
    let mut stream = upstream.connect().await;
    write(&mut stream, &format!("{}\r\n", request_head("a"))).await;
    read_until(&mut stream, "no free slot").await;
    upstream.faults.set(None);
    if read_rest(&mut stream).await.contains(REFUSED) {
        return CopySeen::Before;
    }
    if stream.write_all(format!("{}\r\n", request_head("a")).as_bytes()).await.is_err() {
        return CopySeen::BrokenOff;
    }
    let rest = read_rest(&mut stream).await;
    match (rest.find(SERVED), rest.find(REFUSED)) {
        (Some(answer), Some(copy)) if copy < answer => CopySeen::During,
        (Some(_), Some(_)) => CopySeen::After,
        _ => CopySeen::BrokenOff,
    }
}

#[gtest]
#[tokio::test]
async fn answer_copied_around_next_exchange() {
    let seen: Vec<CopySeen> = join_all((0..60).map(observe_copy)).await;
    for place in [CopySeen::Before, CopySeen::During, CopySeen::After, CopySeen::BrokenOff] {
        let count = seen.iter().filter(|seen| **seen == place).count();
        println!("{place:?}: {count}");
        expect_that!(count, gt(0), "{place:?}");
    }
}
