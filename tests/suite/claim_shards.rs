//! Replay of a shard's stream, its records, and the verdicts of the daemon that owns it.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use lentilway::clock::{MilliClock, MilliTime, wall_time};
use lentilway::config::SecretText;
use lentilway::connection::control_link::ControlLinks;
use lentilway::connection::peer_transport::PeerTransport;
use lentilway::process::claims::key::KeyHash;
use lentilway::process::claims::message::ClaimRequest;
use lentilway::process::claims::record::{ClaimBatch, ClaimEntry, EndEntry, RunAttempt, RunEnding};
use lentilway::process::claims::registry::{ClaimDependencies, ClaimRegistry};
use lentilway::process::claims::shard_state::{ClaimVerdict, ShardState};
use lentilway::process::http_log::HttpLog;
use lentilway::process::members::{InstanceId, MemberTable};
use lentilway::process::metrics::MetricRegistry;
use lentilway_lab::fleet::ANY_PORT;
use lentilway_stand_ins::log::{LogFaults, LogServer};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::copying_server::{CopyForm, CopyPlan, CopyingServer, answer};

const STREAM: &str = "claims-0";
const KEY: KeyHash = KeyHash(0, 7);
const MINUTE: Duration = Duration::from_secs(60);

fn instance(boot: u64) -> InstanceId {
    InstanceId { address: ([127, 0, 0, 1], 1).into(), boot }
}

fn attempt(number: u64) -> RunAttempt {
    RunAttempt { instance: instance(1), number }
}

fn claim(key: KeyHash, attempt: u64) -> ClaimEntry {
    ClaimEntry { key, digest: 0, claimant: 0, attempt }
}

fn end(key: KeyHash, attempt: u64, ending: RunEnding) -> EndEntry {
    EndEntry { key, claimant: 0, attempt, ending }
}

fn batch(base: u64, stamp: MilliTime, claims: &[ClaimEntry], ends: &[EndEntry]) -> ClaimBatch {
    ClaimBatch {
        claimants: vec![instance(1)],
        claims: claims.to_vec(),
        ends: ends.to_vec(),
        ..ClaimBatch::empty(base, stamp, base)
    }
}

fn before(now: MilliTime, span: Duration) -> MilliTime {
    MilliTime(now.0 - span.as_millis() as u64)
}

fn runner() -> TestRunner {
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(Config { cases: 2000, ..Config::default() }, random)
}

/// The registry of a daemon without members, so that it owns every shard.
fn registry(log: &LogServer, boot: u64) -> Arc<ClaimRegistry> {
    registry_at(&log.url(), boot)
}

fn registry_at(log_url: &str, boot: u64) -> Arc<ClaimRegistry> {
    let secret = SecretText::new("a-secret-of-the-tests-0123456789");
    let transport = PeerTransport::new(&[secret]).expect("the secret is valid");
    ClaimRegistry::new(ClaimDependencies {
        log: Arc::new(HttpLog::new(log_url)),
        members: Arc::new(MemberTable::default()),
        links: ControlLinks::new(transport, instance(boot)),
        instance: instance(boot),
        availability_zone: "az1".into(),
        relay_members: usize::MAX,
        clock: MilliClock::monotonic(),
        events: MetricRegistry::default().events(),
    })
}

async fn decide(registry: &ClaimRegistry, claim: ClaimRequest) -> ClaimVerdict {
    registry.forwarder().shards.decide(&[claim]).await[0]
}

async fn start_log() -> LogServer {
    LogServer::start(ANY_PORT, None).await.expect("loopback has a free port")
}

fn request(number: u64, issued: MilliTime) -> ClaimRequest {
    ClaimRequest { key: KEY, digest: 0, attempt: attempt(number), issued, refresh: false }
}

#[derive(Clone, Copy)]
enum Loss {
    Nothing,
    First,
    All,
    Truncated,
}

#[googletest::test]
#[tokio::test]
async fn decide_after_gap() {
    let now = wall_time();
    let long_ago = before(now, 5 * MINUTE);
    let unproven = ClaimVerdict::Unproven;
    // Loss; stamp and base of the second record; issue time of the key; verdict.
    let rows = [
        ("nothing lost", Loss::Nothing, long_ago, 1, now, None),
        ("writer had read the lost record", Loss::First, long_ago, 1, now, Some(ClaimVerdict::Won)),
        ("key as old as the lost record", Loss::First, long_ago, 1, long_ago, Some(unproven)),
        ("writer had not read the lost record", Loss::First, long_ago, 0, now, Some(unproven)),
        ("written just now", Loss::First, now, 1, now, Some(unproven)),
        ("all lost", Loss::All, long_ago, 1, now, Some(unproven)),
        ("a truncated record", Loss::Truncated, long_ago, 1, now, Some(unproven)),
    ];
    for (name, loss, stamp, base, issued, expected) in rows {
        let log = start_log().await;
        let first = batch(0, before(now, 6 * MINUTE), &[claim(KEY, 1)], &[]).encode();
        log.append(STREAM, &first);
        let second = batch(base, stamp, &[claim(KeyHash(0, 8), 2)], &[]).encode();
        match loss {
            Loss::Truncated => log.append(STREAM, &second[..second.len() - 1]),
            _ => log.append(STREAM, &second),
        };
        match loss {
            Loss::First => log.expire(STREAM, 1),
            Loss::All => log.expire(STREAM, 2),
            Loss::Nothing | Loss::Truncated => {}
        }
        // A truncated record does not affect a known key, so the claim uses another.
        let key = if matches!(loss, Loss::Truncated) { KeyHash(0, 9) } else { KEY };
        let claim = ClaimRequest { key, ..request(3, issued) };
        let verdict = decide(&registry(&log, 1), claim).await;
        match expected {
            Some(expected) => expect_that!(verdict, eq(expected), "{name}"),
            None => expect_that!(verdict, matches_pattern!(ClaimVerdict::Held(_)), "{name}"),
        }
    }
}

#[googletest::test]
#[tokio::test]
async fn decide_gap_while_running() {
    let log = start_log().await;
    let now = wall_time();
    let deciding = registry(&log, 1);
    let other = ClaimRequest { key: KeyHash(0, 9), ..request(1, now) };
    assert_that!(decide(&deciding, other).await, eq(ClaimVerdict::Won));
    // Another daemon claims the key, and the record expires before this daemon reads it.
    assert_that!(decide(&registry(&log, 2), request(2, now)).await, eq(ClaimVerdict::Won));
    log.expire(STREAM, 2);
    assert_that!(decide(&deciding, request(3, now)).await, eq(ClaimVerdict::Unproven));
}

#[googletest::test]
#[tokio::test]
async fn decide_two_owners() {
    let log = start_log().await;
    let now = wall_time();
    let owners = [registry(&log, 1), registry(&log, 2)];
    for number in 0..20 {
        let key = KeyHash(0, 100 + number);
        let claims =
            [2 * number, 2 * number + 1].map(|number| ClaimRequest { key, ..request(number, now) });
        let (first, second) =
            tokio::join!(decide(&owners[0], claims[0]), decide(&owners[1], claims[1]));
        let won = [first, second].iter().filter(|one| **one == ClaimVerdict::Won).count();
        expect_that!(won, eq(1));
    }
}

#[googletest::test]
#[tokio::test]
async fn decide_same_attempt_twice() {
    let log = start_log().await;
    let now = wall_time();
    let (first, second) = (registry(&log, 1), registry(&log, 2));
    log.set_faults(LogFaults { lose_append_answers: 1, ..LogFaults::default() });
    assert_that!(decide(&first, request(1, now)).await, eq(ClaimVerdict::Won));
    // The claimant received no verdict and queries another daemon.
    assert_that!(decide(&second, request(1, now)).await, eq(ClaimVerdict::Won));
    assert_that!(log.records(STREAM), len(eq(1)));
}

#[googletest::test]
fn apply_endings() {
    let now = wall_time();
    let (claims, not_run, ran) = (claim(KEY, 1), RunEnding::NotRun, RunEnding::Ran);
    let free: Option<ClaimVerdict> = None;
    // Records in order; whether attempt 2 may claim; whether attempt 1 may still run.
    let rows = [
        ("claimed", vec![batch(0, now, &[claims], &[])], false, true),
        ("released", vec![batch(0, now, &[claims], &[end(KEY, 1, not_run)])], true, false),
        ("ran", vec![batch(0, now, &[claims], &[end(KEY, 1, ran)])], false, false),
        (
            "released before the claim was appended",
            vec![batch(0, now, &[], &[end(KEY, 1, not_run)]), batch(1, now, &[claims], &[])],
            true,
            false,
        ),
        (
            "the claim was appended again after its release",
            vec![batch(0, now, &[claims], &[end(KEY, 1, not_run)]), batch(1, now, &[claims], &[])],
            true,
            false,
        ),
        (
            "the loser's claim was appended after its release and the holder's",
            vec![
                batch(0, now, &[claims], &[end(KEY, 3, not_run)]),
                batch(1, now, &[], &[end(KEY, 1, not_run)]),
                batch(2, now, &[claim(KEY, 3)], &[]),
            ],
            true,
            false,
        ),
        (
            "another attempt's release",
            vec![batch(0, now, &[claims], &[end(KEY, 3, not_run)])],
            false,
            true,
        ),
        ("an unknown attempt ran", vec![batch(0, now, &[], &[end(KEY, 1, ran)])], true, false),
    ];
    for (name, records, second_may, first_may) in rows {
        let mut state = ShardState::new(Arc::default(), 1000);
        for (offset, record) in records.into_iter().enumerate() {
            state.apply_batch(offset as u64, record);
        }
        expect_that!(state.verdict(KEY, &attempt(2), now) == free, eq(second_may), "{name}");
        let first = state.verdict(KEY, &attempt(1), now);
        expect_that!(first == Some(ClaimVerdict::Won), eq(first_may), "{name}");
    }
}

/// A released key may have been claimed again in an unread record.
#[googletest::test]
fn apply_gap_after_release() {
    let now = wall_time();
    let mut state = ShardState::new(Arc::default(), 1000);
    let ends = [end(KEY, 1, RunEnding::NotRun)];
    state.apply_batch(0, batch(0, now, &[claim(KEY, 1)], &ends));
    assert_that!(state.verdict(KEY, &attempt(2), now), none());
    state.skip_gap(5, now);
    assert_that!(state.verdict(KEY, &attempt(2), now), some(eq(ClaimVerdict::Unproven)));
}

#[googletest::test]
fn apply_over_limit() {
    let now = wall_time();
    let mut state = ShardState::new(Arc::default(), 10);
    for offset in 0..20 {
        let stamp = now + MINUTE * offset as u32;
        state.apply_batch(offset, batch(offset, stamp, &[claim(KeyHash(0, offset), 1)], &[]));
    }
    assert_that!(state.len(), eq(10));
    // An evicted key is not mistaken for a new one; a key issued later is new.
    let evicted = state.verdict(KeyHash(0, 0), &attempt(2), now);
    assert_that!(evicted, some(eq(ClaimVerdict::Unproven)));
    let fresh = state.verdict(KeyHash(0, 99), &attempt(2), now + 12 * MINUTE);
    assert_that!(fresh, none());
}

/// One step of a random history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Claim {
        key: u64,
        attempt: u64,
    },
    End {
        key: u64,
        attempt: u64,
        ran: bool,
    },
    /// The previous record is appended again.
    Repeat,
}

/// The number of an attempt that belongs to one key only.
fn own_attempt(key: u64, attempt: u64) -> u64 {
    10 * key + attempt
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let claim = (0..3u64, 0..5u64)
        .prop_map(|(key, attempt)| Step::Claim { key, attempt: own_attempt(key, attempt) });
    let end = (0..3u64, 0..5u64, any::<bool>()).prop_map(|(key, attempt, ran)| Step::End {
        key,
        attempt: own_attempt(key, attempt),
        ran,
    });
    proptest::collection::vec(prop_oneof![3 => claim, 2 => end, 1 => Just(Step::Repeat)], 1..40)
}

fn record(offset: u64, step: Step) -> ClaimBatch {
    let now = wall_time();
    match step {
        Step::Claim { key, attempt } => batch(offset, now, &[claim(KeyHash(0, key), attempt)], &[]),
        Step::End { key, attempt, ran } => {
            let ending = if ran { RunEnding::Ran } else { RunEnding::NotRun };
            batch(offset, now, &[], &[end(KeyHash(0, key), attempt, ending)])
        }
        Step::Repeat => batch(offset, now, &[], &[]),
    }
}

/// The holder of a key changes only after the holder's end, and never to a released attempt.
#[googletest::test]
fn apply_one_holder() {
    let now = wall_time();
    let holder = |state: &ShardState, key| {
        let won = |number: &u64| {
            state.verdict(KeyHash(0, key), &attempt(*number), now) == Some(ClaimVerdict::Won)
        };
        (0..5).map(|number| own_attempt(key, number)).find(won)
    };
    let result = runner().run(&steps(), |steps| {
        let mut state = ShardState::new(Arc::default(), 1000);
        let mut last = record(0, Step::Repeat);
        let (mut ended, mut released) = (HashSet::new(), HashSet::new());
        for (offset, step) in steps.into_iter().enumerate() {
            let held: Vec<_> = (0..3).map(|key| holder(&state, key)).collect();
            if !matches!(step, Step::Repeat) {
                last = record(offset as u64, step);
            }
            for end in &last.ends {
                ended.insert(end.attempt);
                if end.ending == RunEnding::NotRun {
                    released.insert(end.attempt);
                }
            }
            state.apply_batch(offset as u64, last.clone());
            for key in 0..3 {
                let previous = held[key as usize];
                let next = holder(&state, key);
                if next != previous && previous.is_some() {
                    prop_assert!(previous.is_some_and(|previous| ended.contains(&previous)));
                    prop_assert!(next.is_none());
                }
                let other = state.verdict(KeyHash(0, key), &attempt(99), now);
                if let Some(ClaimVerdict::Held(holder)) = other {
                    let ran = holder.ending == Some(RunEnding::Ran);
                    prop_assert!(ran || !released.contains(&holder.attempt.number));
                }
            }
        }
        Ok(())
    });
    assert_that!(result, ok(anything()));
}

#[googletest::test]
fn decode_any_bytes() {
    let bytes = proptest::collection::vec(any::<u8>(), 0..200);
    let result = runner().run(&bytes, |bytes| {
        if let Ok(batch) = ClaimBatch::decode(&bytes) {
            prop_assert_eq!(ClaimBatch::decode(&batch.encode()), Ok(batch));
        }
        Ok(())
    });
    assert_that!(result, ok(anything()));
}

#[googletest::test]
fn decode_truncated_record() {
    let ends = [end(KEY, 2, RunEnding::Ran)];
    let whole = batch(3, MilliTime(5), &[claim(KEY, 1)], &ends).encode();
    assert_that!(ClaimBatch::decode(&whole).map(|batch| batch.encode()), ok(eq(&whole)));
    for length in 0..whole.len() {
        expect_that!(ClaimBatch::decode(&whole[..length]), err(anything()), "{length}");
    }
    let longer = Bytes::from([&whole[..], b"x"].concat());
    expect_that!(ClaimBatch::decode(&longer), err(anything()));
    let newer = ClaimBatch { format: 2, ..batch(0, MilliTime(5), &[], &[]) }.encode();
    expect_that!(ClaimBatch::decode(&newer), err(contains_substring("format 2")));
    let unlisted = ClaimEntry { claimant: 1, ..claim(KEY, 1) };
    let unlisted = batch(0, MilliTime(5), &[unlisted], &[]).encode();
    expect_that!(ClaimBatch::decode(&unlisted), err(contains_substring("claimant")));
}

/// A claim that the log refused must not be won by the copy of the answer to another append: the
/// request would run twice.
#[googletest::test]
#[tokio::test]
async fn decide_refused_after_copied_append() {
    let other_key = KeyHash(1, 7);
    assert_that!(other_key.shard(), not(eq(KEY.shard())));
    let page = answer("200 OK", br#"{"records":[],"tail":0}"#);
    let appended = answer("200 OK", br#"{"offset":0}"#);
    let refused = answer("503 Service Unavailable", b"{}");
    for form in [CopyForm::Whole, CopyForm::InPieces] {
        // Each refused append is followed by a read.
        let refusals = [page.clone(), refused.clone()].into_iter().cycle().take(16);
        let answers = [page.clone(), appended.clone()].into_iter().chain(refusals);
        let plan = CopyPlan { form, copied: 1, due: 3 };
        let log = CopyingServer::start(plan, answers).await;
        let deciding = registry_at(&format!("http://{log}"), 1);
        let now = wall_time();
        assert_that!(decide(&deciding, request(1, now)).await, eq(ClaimVerdict::Won));
        let claim = ClaimRequest { key: other_key, ..request(2, now) };
        expect_that!(decide(&deciding, claim).await, eq(ClaimVerdict::Unavailable), "{form:?}");
    }
}
