//! Decoders of records, snapshots and peer messages with damaged input.

use googletest::prelude::*;
use lentilway::connection::peer_message::{FrameKind, PeerFrame, PeerMessage};
use lentilway::process::members::InstanceId;
use lentilway::version::contact::ZoneAddress;
use lentilway::version::message::{StateMessage, StateSummary};
use lentilway::version::snapshot::{decode_snapshot, encode_snapshot};
use lentilway::version::state::ApplyOutcome;
use lentilway_lab::fleet::{organisation, ticket};
use proptest::collection::vec;
use proptest::prelude::*;
use serde_json::json;

use crate::tickets::{batch, check_all, rates, sample_state};

fn damaged(bytes: &[u8], edits: &[(usize, u8)], length: usize) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for (index, mask) in edits {
        let index = index % bytes.len();
        bytes[index] ^= mask;
    }
    bytes.truncate(length.max(1));
    bytes
}

fn damage() -> impl Strategy<Value = (Vec<(usize, u8)>, usize)> {
    (vec((0..4096_usize, 1..=255_u8), 0..4), 1..4096_usize)
}

#[test]
fn decode_snapshot_damaged_never_another_state() {
    let state = sample_state();
    let bytes = encode_snapshot(&state);
    check_all(damage(), |(edits, length)| {
        match decode_snapshot(&damaged(&bytes, &edits, length)) {
            Ok(decoded) => verify_that!(decoded, eq(&state)),
            Err(_) => Ok(()),
        }
    });
}

#[test]
fn apply_damaged_record_changes_offset_alone() {
    let record = ticket(3, &[organisation("nord", "key", 9.0, 2.0)]).to_string().into_bytes();
    check_all(damage(), |(edits, length)| {
        let mut state = sample_state();
        let before = rates(&state);
        let outcome = state.apply_record(2, &damaged(&record, &edits, length));
        verify_that!(state.next_offset, eq(3))?;
        match outcome {
            ApplyOutcome::Accepted(_) => Ok(()),
            _ => verify_that!(rates(&state), eq(&before)),
        }
    });
}

fn sample_frames() -> Vec<PeerFrame> {
    let summary = StateSummary {
        next_offset: 7,
        digest_prefix: u64::MAX,
        contact_age_ms: Some(12),
        zone: "az1".into(),
    };
    let zone = ZoneAddress { zone: "az2".into(), address: ([127, 0, 0, 1], 9).into() };
    let records = batch(5, &[b"one".to_vec(), b"two".to_vec()]);
    let messages = [
        StateMessage::Pull { next_offset: 5 },
        StateMessage::Current { summary: summary.clone() },
        StateMessage::Records { summary: summary.clone(), batch: records.clone() },
        StateMessage::Snapshot {
            summary,
            body: encode_snapshot(&sample_state()),
            zones: vec![zone],
        },
        StateMessage::Push { batch: records },
    ];
    let from = InstanceId { address: ([127, 0, 0, 1], 1).into(), boot: 3 };
    let frame = |message| PeerFrame {
        id: 1,
        kind: FrameKind::Call,
        from,
        body: PeerMessage::State(message),
    };
    messages.into_iter().map(frame).collect()
}

#[test]
fn decode_frame_each_state_message() -> googletest::Result<()> {
    for frame in sample_frames() {
        verify_that!(PeerFrame::decode(&frame.encode()), ok(eq(&frame)))?;
    }
    Ok(())
}

#[test]
fn decode_frame_damaged_no_panic() {
    check_all((0..5_usize, damage()), |(index, (edits, length))| {
        let bytes = damaged(&sample_frames()[index].encode(), &edits, length);
        // Both results are allowed, only a panic is not.
        let _ = PeerFrame::decode(&bytes);
        Ok(())
    });
}

#[test]
fn decode_state_message_newer_kind_unknown() -> googletest::Result<()> {
    let mut bytes = Vec::new();
    let newer = json!({ "kind": "from-a-newer-release", "field": 1 });
    ciborium::into_writer(&newer, &mut bytes)?;
    let message: StateMessage = ciborium::from_reader(bytes.as_slice())?;
    verify_that!(message, eq(&StateMessage::Unknown))
}
