//! Authentication between daemons, and the protocols of control links and the slot listener.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use googletest::prelude::*;
use lentilway::config::SecretText;
use lentilway::connection::control_link::{CONTROL_PATH, FRAME_BYTES_LIMIT};
use lentilway::connection::peer_call::call_peer;
use lentilway::connection::peer_message::{FrameKind, PeerFrame, PeerMessage};
use lentilway::connection::peer_transport::PeerTransport;
use lentilway::error::ResultCode;
use lentilway::process::members::datagram::{
    DATAGRAM_BYTES_LIMIT, DatagramCodec, DatagramError, DatagramKind, DatagramTarget,
    MemberDatagram, ReplayWindow,
};
use lentilway::process::members::message::MemberMessage;
use lentilway::process::members::{InstanceId, MemberEntry};
use lentilway::request::context::RequestContext;
use lentilway::request::incoming::BufferedRequest;
use lentilway::version::route::RequestClass;
use lentilway_lab::fleet::{Fleet, NodePlan, read_route, ticket};
use lentilway_lab::members::{MemberNode, NODE_SECRET, NodeSetup, eventually, synthetic_entry};
use lentilway_stand_ins::backend::BackendBehaviour;
use lentilway_stand_ins::caller::{Caller, CallerRequest};
use lentilway_stand_ins::relay::PartitionRelay;
use proptest::prelude::*;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio_tungstenite::tungstenite::Message;

use crate::members::{entries, runner};
use crate::processes::{TestProcess, lentilway, start_log, wait_members};

const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
const OLD_SECRET: &str = "old-peer-secret-of-32-bytes-long";
const NEW_SECRET: &str = "new-peer-secret-of-32-bytes-long";

fn secrets(texts: &[&str]) -> Vec<SecretText> {
    texts.iter().map(|text| SecretText::new(text)).collect()
}

async fn stock_fleet(count: usize) -> Result<Fleet> {
    let mut route = read_route("stock-read", "/stock", "stock");
    route["state"]["open"] = json!(true);
    let plan = NodePlan::new("stock", "az1", BackendBehaviour::default());
    Ok(Fleet::start(&[ticket(1, &[route])], &vec![plan; count], |_| {}).await?)
}

/// Whether a client and a server with these transports complete a handshake.
async fn complete_handshake(client: &PeerTransport, server: &PeerTransport) -> Result<bool> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let server = server.clone();
    let accepted = tokio::spawn(async move {
        let (stream, _) = listener.accept().await?;
        let mut stream = server.accept(stream).await?;
        stream.write_all(b"!").await?;
        stream.shutdown().await
    });
    let mut received = Vec::new();
    if let Ok(mut stream) = client.connect(address).await {
        // The server verifies after the client's last flight: only a received byte proves success.
        let _ = stream.read_to_end(&mut received).await;
    }
    Ok(accepted.await?.is_ok() && received == b"!")
}

#[gtest]
#[tokio::test]
async fn rotation_old_and_new_authenticate() -> Result<()> {
    let cases: [(&[&str], &[&str], bool); 8] = [
        (&[OLD_SECRET], &[OLD_SECRET], true),
        (&[OLD_SECRET], &[OLD_SECRET, NEW_SECRET], true),
        (&[OLD_SECRET, NEW_SECRET], &[NEW_SECRET, OLD_SECRET], true),
        (&[NEW_SECRET, OLD_SECRET], &[OLD_SECRET, NEW_SECRET], true),
        (&[NEW_SECRET, OLD_SECRET], &[NEW_SECRET], true),
        (&[NEW_SECRET], &[NEW_SECRET, OLD_SECRET], true),
        (&[OLD_SECRET], &[NEW_SECRET], false),
        (&[NEW_SECRET], &[OLD_SECRET], false),
    ];
    for (client, server, expected) in cases {
        let transports =
            (PeerTransport::new(&secrets(client))?, PeerTransport::new(&secrets(server))?);
        let is_complete = complete_handshake(&transports.0, &transports.1).await?;
        expect_that!(is_complete, eq(expected), "{client:?} to {server:?}");
        let encoded = DatagramCodec::new(&secrets(client)).encode(&datagram(1));
        let decoded = DatagramCodec::new(&secrets(server)).decode(&encoded);
        expect_that!(decoded.is_ok(), eq(expected), "datagram {client:?} to {server:?}");
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn rotation_keeps_connections() -> Result<()> {
    let fleet = stock_fleet(2).await?;
    let mut open_link = control_link(&fleet).await?;
    // The initial secret of a fleet on loopback.
    let initial = "loopback-peer-secret-of-32-bytes!";
    let steps: [&[&str]; 3] = [&[initial, NEW_SECRET], &[NEW_SECRET, initial], &[NEW_SECRET]];
    for (index, step) in steps.iter().enumerate() {
        for node in &fleet.nodes {
            node.daemon.shared.transport.reload(&secrets(step))?;
            // The other node may be one step behind; both must still authenticate each other.
            let transports = fleet.nodes.iter().map(|node| &node.daemon.shared.transport);
            let transports: Vec<&PeerTransport> = transports.collect();
            let is_complete = complete_handshake(transports[0], transports[1]).await?;
            expect_that!(is_complete, eq(true), "step {index}");
            let is_complete = complete_handshake(transports[1], transports[0]).await?;
            expect_that!(is_complete, eq(true), "step {index}");
        }
    }
    open_link.write_all(b"still open").await?;
    drop(open_link);
    let refused_count: u64 = event_count(&fleet, "peer_refused");
    expect_that!(refused_count, eq(0));
    expect_that!(event_count(&fleet, "member_suspected"), eq(0));
    fleet.stop().await;
    Ok(())
}

/// Opens a connection before a rotation.
async fn control_link(fleet: &Fleet) -> Result<Box<dyn tokio::io::AsyncWrite + Unpin>> {
    let transport = &fleet.nodes[0].daemon.shared.transport;
    let stream = transport.connect(fleet.nodes[1].daemon.addresses.peer).await?;
    Ok(Box::new(stream))
}

fn event_count(fleet: &Fleet, event: &'static str) -> u64 {
    fleet.nodes.iter().map(|node| node.daemon.shared.metrics.counted(event)).sum()
}

fn datagram(sequence: u64) -> MemberDatagram {
    let from = synthetic_entry(1, 3, 3);
    MemberDatagram {
        target: DatagramTarget { address: ([127, 0, 0, 1], 7402).into(), boot: Some(3) },
        from: from.instance,
        sequence,
        kind: DatagramKind::Ping(7),
        digest: 9,
        entries: vec![from],
    }
}

#[gtest]
#[tokio::test]
async fn unauthenticated_refused_and_counted() -> Result<()> {
    let fleet = stock_fleet(1).await?;
    let peer = fleet.nodes[0].daemon.addresses.peer;
    let refused = || fleet.nodes[0].daemon.shared.metrics.counted("peer_refused");
    let expect_increment = async |case: &str, before: u64| {
        let increased = eventually(WAIT_TIMEOUT, || refused() == before + 1).await;
        expect_that!(increased, eq(true), "{case}");
    };

    let before = refused();
    let mut plain = TcpStream::connect(peer).await?;
    plain.write_all(b"GET /lentilway/control HTTP/1.1\r\nhost: x\r\n\r\n").await?;
    expect_increment("plain HTTP", before).await;

    let before = refused();
    let untrusted = PeerTransport::new(&secrets(&[OLD_SECRET]))?;
    let _ = untrusted.connect(peer).await;
    expect_increment("TLS with another secret", before).await;

    let before = refused();
    let mut slow = TcpStream::connect(peer).await?;
    expect_increment("a handshake that stalls", before).await;
    let mut rest = Vec::new();
    expect_that!(slow.read_to_end(&mut rest).await.unwrap_or(0), eq(0));
    expect_that!(event_count(&fleet, "peer_malformed"), eq(0));
    fleet.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn datagrams_refused_and_counted() -> Result<()> {
    let node = MemberNode::start(NodeSetup::new("stock", "az1")).await?;
    let socket = UdpSocket::bind("127.0.0.1:0").await?;
    let from = InstanceId { address: socket.local_addr()?, boot: 5 };
    let own = node.instance();
    let target = DatagramTarget { address: own.address, boot: Some(own.boot) };
    let codec = DatagramCodec::new(&secrets(&[NODE_SECRET]));
    let entry = MemberEntry { instance: from, ..synthetic_entry(1, 3, 3) };
    let base = MemberDatagram { target, from, sequence: 1, entries: vec![entry], ..datagram(1) };
    let valid = codec.encode(&base);
    let former = DatagramTarget { boot: Some(own.boot ^ 1), ..target };
    let other = DatagramTarget { address: ([127, 0, 0, 1], 1).into(), ..target };
    let mut flipped = valid.clone();
    flipped[20] ^= 1;
    let cases: [(&str, Vec<u8>, &'static str); 9] = [
        ("replayed", valid.clone(), "peer_replayed"),
        ("changed", flipped, "peer_refused"),
        ("cut short", valid[..valid.len() - 1].to_vec(), "peer_refused"),
        ("empty", Vec::new(), "peer_refused"),
        ("oversized", vec![1; DATAGRAM_BYTES_LIMIT + 1], "peer_refused"),
        (
            "with another secret",
            DatagramCodec::new(&secrets(&[OLD_SECRET])).encode(&base),
            "peer_refused",
        ),
        ("of a newer format", authenticated_bytes(&[9, 1, 2, 3]), "peer_malformed"),
        (
            "for a former run",
            codec.encode(&MemberDatagram { target: former, sequence: 2, ..base.clone() }),
            "datagram_for_former_instance",
        ),
        (
            "for another daemon",
            codec.encode(&MemberDatagram { target: other, sequence: 3, ..base.clone() }),
            "datagram_misdirected",
        ),
    ];
    socket.send_to(&valid, own.address).await?;
    node.wait(|table| table.instance_at(from.address) == Some(from)).await;
    for (case, bytes, event) in cases {
        let before = node.metrics.counted(event);
        socket.send_to(&bytes, own.address).await?;
        let increased =
            eventually(WAIT_TIMEOUT, || node.metrics.counted(event) == before + 1).await;
        expect_that!(increased, eq(true), "{case}");
        expect_that!(node.gossip.table().live_count(), eq(2), "{case}");
    }
    Ok(())
}

/// Bytes with a valid authentication code that are not a datagram.
fn authenticated_bytes(content: &[u8]) -> Vec<u8> {
    use hmac::Mac;
    let keyed = |key: &[u8], text: &[u8]| {
        let mut mac = hmac::Hmac::<sha2::Sha256>::new_from_slice(key)
            .expect("HMAC accepts a key of any length");
        mac.update(text);
        mac.finalize().into_bytes()
    };
    let key = keyed(NODE_SECRET.as_bytes(), b"lentilway member datagram 1");
    let tag = keyed(&key, content);
    [content, &tag[..16]].concat()
}

#[gtest]
fn datagram_decoder_any_bytes() {
    let codec = DatagramCodec::new(&secrets(&[NODE_SECRET]));
    let bytes = prop::collection::vec(any::<u8>(), 0..1500);
    let run = runner(500).run(&bytes, |bytes| {
        prop_assert_eq!(codec.decode(&bytes), Err(DatagramError::Unauthenticated));
        let inside = codec.decode(&authenticated_bytes(&[&[1], bytes.as_slice()].concat()));
        prop_assert!(inside.is_err());
        Ok(())
    });
    assert_that!(run, ok(anything()));
}

#[gtest]
fn datagram_round_trip() {
    let codec = DatagramCodec::new(&secrets(&[NODE_SECRET]));
    let run = runner(200).run(&(entries(), any::<u64>()), |(entries, sequence)| {
        let sent =
            MemberDatagram { entries: entries.into_iter().take(5).collect(), ..datagram(sequence) };
        let bytes = codec.encode(&sent);
        prop_assert!(bytes.len() <= DATAGRAM_BYTES_LIMIT);
        prop_assert_eq!(codec.decode(&bytes), Ok(sent));
        Ok(())
    });
    assert_that!(run, ok(anything()));
}

#[gtest]
fn replay_window_accepts_once() {
    let sequences = prop::collection::vec(1..200u64, 0..300);
    let run = runner(300).run(&sequences, |sequences| {
        let mut window = ReplayWindow::default();
        let mut seen = std::collections::HashSet::new();
        for sequence in sequences {
            let newest = seen.iter().max().copied().unwrap_or(0);
            let accepted = window.accept(sequence);
            prop_assert!(!(accepted && seen.contains(&sequence)));
            prop_assert!(accepted || seen.contains(&sequence) || newest - sequence >= 64);
            if accepted {
                seen.insert(sequence);
            }
        }
        Ok(())
    });
    assert_that!(run, ok(anything()));
}

#[gtest]
fn frame_decoder_any_bytes() {
    let bytes = prop::collection::vec(any::<u8>(), 0..600);
    let run = runner(500).run(&(bytes, entries()), |(bytes, entries)| {
        // Any result is allowed, but no panic.
        let _ = PeerFrame::decode(&bytes);
        let message = MemberMessage::Entries { digests: vec![1, u64::MAX], entries };
        let from = synthetic_entry(1, 1, 1).instance;
        let body = PeerMessage::Members(message);
        let frame = PeerFrame { id: 3, kind: FrameKind::Call, from, body };
        let encoded = frame.encode();
        prop_assert_eq!(PeerFrame::decode(&encoded), Ok(frame));
        let cut = bytes.len() % encoded.len();
        prop_assert!(PeerFrame::decode(&encoded[..cut]).is_err());
        Ok(())
    });
    assert_that!(run, ok(anything()));
}

fn comparison(digests: Vec<u64>) -> PeerMessage {
    PeerMessage::Members(MemberMessage::Compare { digests })
}

#[gtest]
#[tokio::test]
async fn hub_contract() -> Result<()> {
    let fleet = stock_fleet(2).await?;
    let links = &fleet.nodes[0].daemon.shared.links;
    let relay = PartitionRelay::start(Some(fleet.nodes[1].daemon.addresses.peer)).await?;
    let timeout = WAIT_TIMEOUT;

    let reply = links.call(relay.address(), comparison(Vec::new()), timeout).await;
    let is_table = matches!(
        &reply,
        Ok(PeerMessage::Members(MemberMessage::Entries { entries, .. })) if entries.len() == 2
    );
    expect_that!(is_table, eq(true), "call: {reply:?}");

    let reply = links.call(relay.address(), PeerMessage::Unknown, timeout).await;
    expect_that!(reply, eq(&Ok(PeerMessage::Unknown)), "unknown topic");

    let entry = synthetic_entry(8, 2, 2);
    let message = MemberMessage::Entries { digests: Vec::new(), entries: vec![entry.clone()] };
    links.cast(relay.address(), PeerMessage::Members(message));
    let table = &fleet.nodes[1].daemon.shared.members;
    let is_applied = || table.instance_at(entry.instance.address) == Some(entry.instance);
    expect_that!(eventually(timeout, is_applied).await, eq(true), "cast");

    relay.set_partitioned(true);
    let reply = links.call(relay.address(), comparison(Vec::new()), timeout).await;
    expect_that!(reply, eq(&Err(ResultCode::PeerUnavailable)), "cut");
    relay.set_partitioned(false);
    let reply = links.call(relay.address(), PeerMessage::Unknown, timeout).await;
    expect_that!(reply, eq(&Ok(PeerMessage::Unknown)), "reconnect");

    let silent = TcpListener::bind("127.0.0.1:0").await?;
    let short = Duration::from_millis(100);
    let reply = links.call(silent.local_addr()?, PeerMessage::Unknown, short).await;
    expect_that!(reply, eq(&Err(ResultCode::PeerUnavailable)), "timeout");
    fleet.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn call_for_former_run_not_run() -> Result<()> {
    let fleet = stock_fleet(2).await?;
    let (caller, new) = (&fleet.nodes[0].daemon.shared, &fleet.nodes[1]);
    let current = new.daemon.shared.instance;
    let context = RequestContext {
        request_id: "one".into(),
        organisation: None,
        class: RequestClass::Normal,
        route: "stock-read".into(),
        service: "stock".into(),
        idempotent: true,
        remaining_ms: 5000,
        retries: 1,
        weight: 1,
        depth: 0,
    };
    let request = BufferedRequest {
        method: hyper::Method::GET,
        path: "/stock/7".into(),
        headers: hyper::HeaderMap::new(),
        body: bytes::Bytes::new(),
    };
    let former = InstanceId { boot: current.boot ^ 1, ..current };
    let answer = call_peer(caller, &former, &context, &request).await;
    expect_that!(answer.result.err(), some(eq(ResultCode::NoUpstream)));
    expect_that!(answer.report.retries_left, eq(1));
    expect_that!(new.daemon.shared.metrics.counted("call_for_former_instance"), eq(1));
    expect_that!(new.backend.counts().executions, eq(0));
    let answer = call_peer(caller, &current, &context, &request).await;
    expect_that!(answer.result.is_ok(), eq(true));
    expect_that!(new.backend.counts().executions, eq(1));
    fleet.stop().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn malformed_frames_close_link() -> Result<()> {
    let fleet = stock_fleet(1).await?;
    let shared = &fleet.nodes[0].daemon.shared;
    let peer = fleet.nodes[0].daemon.addresses.peer;
    let from = synthetic_entry(1, 1, 1).instance;
    let frame = PeerFrame { id: 1, kind: FrameKind::Call, from, body: PeerMessage::Unknown };
    let whole = frame.encode();
    let cases: [(&str, bytes::Bytes); 4] = [
        ("no CBOR", "garbage".into()),
        ("cut short", whole.slice(..whole.len() - 1)),
        ("of another type", vec![0x83, 1, 2, 3].into()),
        ("oversized", vec![0; FRAME_BYTES_LIMIT + 1].into()),
    ];
    for (index, (case, bytes)) in cases.into_iter().enumerate() {
        let stream = shared.transport.connect(peer).await?;
        let url = format!("ws://{peer}{CONTROL_PATH}");
        let (mut link, _) = tokio_tungstenite::client_async(url, stream).await?;
        link.send(Message::Binary(whole.clone())).await?;
        let answer = link.next().await.transpose()?;
        expect_that!(answer.is_some_and(|message| message.is_binary()), eq(true), "{case}");
        // The daemon may close the link before the whole message is sent.
        let _ = link.send(Message::Binary(bytes)).await;
        let rest = link.next().await.and_then(std::result::Result::ok);
        expect_that!(rest.is_none_or(|message| message.is_close()), eq(true), "{case}");
        expect_that!(shared.metrics.counted("peer_malformed"), eq(index as u64 + 1), "{case}");
    }
    fleet.stop().await;
    Ok(())
}

async fn post(slot: SocketAddr, path: &str, body: Value) -> Result<u16> {
    let request = CallerRequest {
        method: "POST".into(),
        path: path.into(),
        body: body.to_string(),
        ..CallerRequest::default()
    };
    let answer = Caller::default().send(slot, &request).await;
    Ok(answer.map_err(std::io::Error::other)?.status)
}

#[gtest]
#[tokio::test]
async fn slot_contract() -> Result<()> {
    let mut fleet = stock_fleet(1).await?;
    fleet.nodes[0].backend.leave().await;
    let node = fleet.nodes.remove(0);
    node.backend.kill();
    let shared = node.daemon.shared.clone();
    let slot = node.daemon.addresses.slot;
    let in_use = || shared.backend.current().map(|server| server.boot);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let server = move |boot: u64| json!({ "service": "stock", "address": address, "boot": boot });

    expect_that!(post(slot, "/lentilway/announce", json!({ "service": 1 })).await?, eq(400));
    expect_that!(in_use(), none(), "malformed");
    let unreachable = json!({ "service": "stock", "address": "127.0.0.1:1", "boot": 1 });
    post(slot, "/lentilway/announce", unreachable).await?;
    expect_that!(in_use(), none(), "refuses connections");
    post(slot, "/lentilway/announce", server(1)).await?;
    expect_that!(in_use(), some(eq(1)), "announced");
    expect_that!(shared.members.upstreams("stock").len(), eq(1));
    post(slot, "/lentilway/announce", server(2)).await?;
    expect_that!(in_use(), some(eq(2)), "restarted");
    post(slot, "/lentilway/leave", Value::Null).await?;
    expect_that!(in_use(), none(), "left");
    expect_that!(shared.members.upstreams("stock").len(), eq(0));
    post(slot, "/lentilway/announce", server(2)).await?;
    expect_that!(in_use(), none(), "late announcement of the run that left");
    post(slot, "/lentilway/announce", server(3)).await?;
    expect_that!(in_use(), some(eq(3)), "next run");

    // The server keeps announcing itself although its port is closed.
    drop(listener);
    let announcing = tokio::spawn(async move {
        loop {
            let _ = post(slot, "/lentilway/announce", server(3)).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    });
    let is_removed =
        eventually(WAIT_TIMEOUT, || shared.members.upstreams("stock").is_empty()).await;
    expect_that!(is_removed, eq(true), "closed port");
    expect_that!(shared.metrics.counted("backend_silent"), eq(0));
    announcing.abort();
    node.daemon.stop().await;
    Ok(())
}

fn start_with_secrets(log: SocketAddr, file: &std::path::Path) -> (TestProcess, Value) {
    let mut command = lentilway();
    command.env_remove("LENTILWAY_PEER_SECRETS");
    command.args(["run", "--availability-zone", "az1", "--log-url", &format!("http://{log}")]);
    command.arg("--peer-secret-file").arg(file);
    for flag in ["--caller-listen", "--slot-listen", "--peer-listen", "--admin-listen"] {
        command.args([flag, "127.0.0.1:0"]);
    }
    let mut process = TestProcess::start(command);
    let line = process.read_line();
    (process, serde_json::from_str(&line).expect("the daemon prints its addresses"))
}

fn parse_address(line: &Value, name: &str) -> SocketAddr {
    line[name].as_str().and_then(|text| text.parse().ok()).expect("the line has addresses")
}

#[gtest]
#[tokio::test]
async fn secrets_reloaded_on_hangup() -> Result<()> {
    let folder = std::env::temp_dir().join(format!("lentilway-secrets-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let (first, second) = (folder.join("first"), folder.join("second"));
    std::fs::write(&first, OLD_SECRET)?;
    std::fs::write(&second, NEW_SECRET)?;
    let (_log, log) = start_log();
    let (old, old_line) = start_with_secrets(log, &first);
    let admin = parse_address(&old_line, "admin");
    std::fs::write(&first, format!("{NEW_SECRET}\n{OLD_SECRET}\n"))?;
    old.send(Signal::HUP);
    // A daemon with only the new secret is probed, answers and stays a member.
    let (_new, new_line) = start_with_secrets(log, &second);
    let transport = PeerTransport::new(&secrets(&[NEW_SECRET]))?;
    let peer = parse_address(&old_line, "peer");
    let mut accepted = false;
    while !accepted {
        // The daemon refuses the new secret until it has handled the signal.
        accepted = is_accepted(&transport, peer).await;
    }
    let slot = parse_address(&new_line, "slot");
    let _backend = crate::processes::start_backend("stock", slot, "{}");
    wait_members(admin, 1).await;
    std::fs::remove_dir_all(&folder)?;
    Ok(())
}

/// Whether the daemon at `address` accepts the connection; a refusal fails the first read.
async fn is_accepted(transport: &PeerTransport, address: SocketAddr) -> bool {
    let Ok(mut stream) = transport.connect(address).await else { return false };
    let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    let mut first = [0; 4];
    stream.write_all(request).await.is_ok() && stream.read_exact(&mut first).await.is_ok()
}
