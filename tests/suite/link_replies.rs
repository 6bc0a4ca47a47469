//! Replies on a control link that come twice, late or under the number of no call.

use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use googletest::prelude::*;
use lentilway::config::SecretText;
use lentilway::connection::control_link::ControlLinks;
use lentilway::connection::peer_message::{FrameKind, PeerFrame, PeerMessage};
use lentilway::connection::peer_transport::PeerTransport;
use lentilway::error::ResultCode;
use lentilway::process::claims::message::ClaimMessage;
use lentilway::process::claims::outcome::AttemptOutcome;
use lentilway::process::claims::record::RunAttempt;
use lentilway::process::members::InstanceId;
use lentilway_lab::fleet::ANY_PORT;
use tokio::net::TcpListener;
use tokio_tungstenite::tungstenite::Message;

const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);
/// The number of the attempt about which the peer is silent until the next call.
const HELD_UP: u64 = 100;
/// The number of the attempt after whose reply the peer closes the link.
const LAST: u64 = 200;

fn instance() -> InstanceId {
    InstanceId { address: ([127, 0, 0, 1], 1).into(), boot: 1 }
}

fn ask(number: u64) -> PeerMessage {
    let attempt = RunAttempt { instance: instance(), number };
    PeerMessage::Claims(ClaimMessage::Ask { attempt, wait_ms: 0 })
}

/// The reply to a question about an attempt: those with an even number did not run.
fn outcome(number: u64) -> PeerMessage {
    let outcome = match number.is_multiple_of(2) {
        true => AttemptOutcome::NotRun,
        false => AttemptOutcome::MayHaveRun,
    };
    PeerMessage::Claims(ClaimMessage::Outcome { outcome })
}

/// Answers each call, after every reply that it has sent before once more and one to no call.
async fn serve_link(transport: &PeerTransport, listener: &TcpListener) -> Option<()> {
    let (stream, _) = listener.accept().await.ok()?;
    let stream = transport.accept(stream).await.ok()?;
    let mut socket = tokio_tungstenite::accept_async(stream).await.ok()?;
    let mut sent: Vec<PeerFrame> = Vec::new();
    while let Some(Ok(Message::Binary(bytes))) = socket.next().await {
        let frame = PeerFrame::decode(&bytes).ok()?;
        let PeerMessage::Claims(ClaimMessage::Ask { attempt, .. }) = frame.body else {
            return None;
        };
        let reply = |id, number| PeerFrame {
            id,
            kind: FrameKind::Reply,
            from: instance(),
            body: outcome(number),
        };
        let own = reply(frame.id, attempt.number);
        let mut replies = sent.clone();
        replies.push(reply(frame.id + 1_000, attempt.number + 1));
        sent.push(own.clone());
        if attempt.number == HELD_UP {
            continue;
        }
        replies.push(own);
        for reply in replies {
            socket.send(Message::Binary(reply.encode())).await.ok()?;
        }
        if attempt.number == LAST {
            return Some(());
        }
    }
    Some(())
}

/// "Not run" is believed of the call that it answers, also beside replies to earlier calls.
#[gtest]
#[tokio::test]
async fn replies_of_earlier_calls_ignored() {
    let secret = SecretText::new("a-secret-of-the-tests-0123456789");
    let transport = PeerTransport::new(&[secret]).expect("the secret is valid");
    let listener = TcpListener::bind(ANY_PORT).await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let links = ControlLinks::new(transport.clone(), instance());
    tokio::spawn(async move { while serve_link(&transport, &listener).await.is_some() {} });
    for number in (1..10).chain([HELD_UP]).chain(11..20).chain([LAST]).chain(21..30) {
        let timeout = if number == HELD_UP { SHORT_TIMEOUT } else { REPLY_TIMEOUT };
        let reply = links.call(address, ask(number), timeout).await;
        match number {
            HELD_UP => expect_that!(reply, err(eq(&ResultCode::PeerUnavailable))),
            // The first call after the end of the link may be lost.
            21 if reply.is_err() => {}
            _ => expect_that!(reply, ok(eq(&outcome(number))), "call {number}"),
        }
    }
}
