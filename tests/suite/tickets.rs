//! Applying tickets to the state: acceptance, batches, snapshots, keys.

use std::collections::BTreeMap;

use bytes::Bytes;
use googletest::prelude::*;
use lentilway::version::cell::{ConfigCell, RecordBatch};
use lentilway::version::digest::Sha256Digest;
use lentilway::version::key_index::KeyOwner;
use lentilway::version::snapshot::{decode_snapshot, encode_snapshot};
use lentilway::version::state::{ApplyOutcome, ConfigState};
use lentilway::version::ticket::ChangeTicket;
use lentilway::version::verdict::REMEMBERED_TICKETS;
use lentilway_lab::fleet::{organisation, read_route, ticket};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use serde_json::{Value, json};

const CASES: u32 = 256;

/// Runs `check` over values of `strategy`, with the same seed in each run.
pub fn check_all<S: Strategy>(strategy: S, check: impl Fn(S::Value) -> googletest::Result<()>) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let result = runner.run(&strategy, |value| {
        check(value).map_err(|error| TestCaseError::fail(error.to_string()))
    });
    if let Err(TestError::Fail(reason, value)) = result {
        panic!("{reason}\nfor {value:?}");
    }
}

/// A record of a random log, in the form that the model takes.
#[derive(Clone, Debug)]
struct PlannedRecord {
    number: u64,
    names: Vec<usize>,
    rate: u8,
    damage: RecordDamage,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum RecordDamage {
    None,
    Truncated,
    Newer,
}

impl PlannedRecord {
    fn bytes(&self) -> Vec<u8> {
        let objects: Vec<Value> =
            self.names.iter().map(|name| self.object(&format!("o{name}"))).collect();
        let mut body = ticket(self.number, &objects);
        if self.damage == RecordDamage::Newer {
            body["format"] = json!(2);
        }
        let mut bytes = body.to_string().into_bytes();
        if self.damage == RecordDamage::Truncated {
            bytes.truncate(bytes.len() / 2);
        }
        bytes
    }

    fn object(&self, name: &str) -> Value {
        match self.rate {
            0 => json!({ "kind": "organisation", "name": name, "state": null }),
            rate => organisation(name, &format!("key-{rate}"), rate.into(), 1.0),
        }
    }
}

fn planned_record() -> impl Strategy<Value = PlannedRecord> {
    let names = proptest::sample::subsequence(vec![0, 1, 2, 3], 1..=3);
    let damage = prop_oneof![
        8 => Just(RecordDamage::None),
        1 => Just(RecordDamage::Truncated),
        1 => Just(RecordDamage::Newer),
    ];
    (1..14_u64, names, 0..3_u8, damage).prop_map(|(number, names, rate, damage)| PlannedRecord {
        number,
        names,
        rate,
        damage,
    })
}

/// A second, simpler implementation of the acceptance rule.
#[derive(Default)]
struct AcceptanceModel {
    used: BTreeMap<u64, (Vec<u8>, bool)>,
    objects: BTreeMap<usize, (u64, u8)>,
}

impl AcceptanceModel {
    fn apply(&mut self, record: &PlannedRecord) -> ApplyOutcome {
        let number = record.number;
        match record.damage {
            RecordDamage::Truncated => return ApplyOutcome::Malformed,
            RecordDamage::Newer => return ApplyOutcome::NewerFormat(2),
            RecordDamage::None => {}
        }
        match self.used.get(&number) {
            Some((bytes, _)) if *bytes != record.bytes() => return ApplyOutcome::Conflict(number),
            Some((_, true)) => return ApplyOutcome::Repeated(number),
            Some((_, false)) => return ApplyOutcome::Stale(number),
            None => {}
        }
        let last = |name| self.objects.get(name).map_or(0, |(number, _)| *number);
        let accepted = record.names.iter().all(|name| last(name) < number);
        self.used.insert(number, (record.bytes(), accepted));
        if !accepted {
            return ApplyOutcome::Stale(number);
        }
        record.names.iter().for_each(|name| {
            self.objects.insert(*name, (number, record.rate));
        });
        ApplyOutcome::Accepted(number)
    }

    fn rates(&self) -> BTreeMap<String, f64> {
        let set = self.objects.iter().filter(|(_, (_, rate))| *rate > 0);
        set.map(|(name, (_, rate))| (format!("o{name}"), f64::from(*rate))).collect()
    }
}

pub fn rates(state: &ConfigState) -> BTreeMap<String, f64> {
    let organisations = state.organisations.iter();
    organisations.map(|(name, organisation)| (name.to_string(), organisation.rate)).collect()
}

pub fn batch(from: usize, records: &[Vec<u8>]) -> RecordBatch {
    let numbered = records.iter().enumerate();
    let records = numbered.map(|(index, body)| ((from + index) as u64, Bytes::from(body.clone())));
    RecordBatch { from: from as u64, records: records.collect() }
}

#[test]
fn apply_random_log_as_model() {
    check_all(vec(planned_record(), 1..40), |plan| {
        let (mut state, mut model) = (ConfigState::default(), AcceptanceModel::default());
        for (offset, record) in plan.iter().enumerate() {
            let outcome = state.apply_record(offset as u64, &record.bytes());
            verify_that!(outcome, eq(model.apply(record)))?;
            verify_that!(rates(&state), eq(&model.rates()))?;
        }
        Ok(())
    });
}

#[test]
fn apply_random_batches_same_state() {
    let cuts = vec((0..40_usize, 1..12_usize), 0..60);
    check_all((vec(planned_record(), 1..40), cuts), |(plan, cuts)| {
        let records: Vec<_> = plan.iter().map(PlannedRecord::bytes).collect();
        let (whole, parts) = (ConfigCell::default(), ConfigCell::default());
        records.iter().enumerate().for_each(|(offset, record)| {
            whole.apply_batch(&batch(offset, std::slice::from_ref(record)));
        });
        // Repeated, reordered and overlapping batches first, then the whole log.
        let mut last = 0;
        for (from, length) in cuts {
            let from = from.min(records.len());
            let to = (from + length).min(records.len());
            parts.apply_batch(&batch(from, &records[from..to]));
            let next = parts.next_offset();
            verify_that!(next, ge(last))?;
            verify_that!(whole.digest_at(next).is_some() || next == 0, eq(true))?;
            if let Some(digest) = whole.digest_at(next) {
                verify_that!(parts.current().digest(), eq(digest))?;
            }
            last = next;
        }
        parts.apply_batch(&batch(0, &records));
        verify_that!(*parts.current(), eq(&*whole.current()))
    });
}

#[test]
fn apply_snapshot_and_suffix_equals_replay() {
    check_all((vec(planned_record(), 1..40), 0..40_usize), |(plan, cut)| {
        let records: Vec<_> = plan.iter().map(PlannedRecord::bytes).collect();
        let cut = cut.min(records.len());
        let (whole, resumed) = (ConfigCell::default(), ConfigCell::default());
        whole.apply_batch(&batch(0, &records[..cut]));
        let snapshot = encode_snapshot(&whole.current());
        let restored = decode_snapshot(&snapshot).expect("a snapshot just encoded can be decoded");
        resumed.install(restored);
        whole.apply_batch(&batch(cut, &records[cut..]));
        resumed.apply_batch(&batch(cut, &records[cut..]));
        verify_that!(resumed.current().digest(), eq(whole.current().digest()))?;
        let (resumed, whole) = (resumed.current(), whole.current());
        verify_that!(encode_snapshot(&resumed), eq(&encode_snapshot(&whole)))
    });
}

#[test]
fn apply_number_below_floor_stale() -> googletest::Result<()> {
    let mut state = ConfigState::default();
    let change = |number: u64, name: &str, rate| {
        ticket(number, &[organisation(name, name, rate, 1.0)]).to_string().into_bytes()
    };
    let delete = json!({ "kind": "organisation", "name": "gone", "state": null });
    let mut offset = 0;
    let mut apply = |state: &mut ConfigState, record: &[u8]| {
        offset += 1;
        state.apply_record(offset - 1, record)
    };
    // Only even numbers are used, so that odd ones below the floor are new.
    apply(&mut state, &change(2, "gone", 1.0));
    apply(&mut state, ticket(4, &[delete]).to_string().as_bytes());
    let count = REMEMBERED_TICKETS as u64 + 100;
    for index in 3..count {
        let outcome = apply(&mut state, &change(2 * index, "kept", 1.0));
        verify_that!(outcome, eq(ApplyOutcome::Accepted(2 * index)))?;
    }
    verify_that!(state.verdicts().iter().len(), lt(REMEMBERED_TICKETS))?;
    verify_that!(state.verdicts().floor(), gt(4))?;
    verify_that!(state.touched().len(), eq(1))?;
    for (number, name) in [(1, "gone"), (2, "gone"), (3, "new"), (4, "gone"), (5, "kept")] {
        let outcome = apply(&mut state, &change(number, name, 9.0));
        verify_that!(outcome, eq(ApplyOutcome::Stale(number)))?;
    }
    verify_that!(rates(&state), eq(&BTreeMap::from([("kept".to_string(), 1.0)])))?;
    let restored = decode_snapshot(&encode_snapshot(&state)).expect("it is a snapshot");
    verify_that!(restored, eq(&state))
}

#[test]
fn install_offset_only_rises() -> googletest::Result<()> {
    let (cell, state) = (ConfigCell::default(), sample_state());
    verify_that!(cell.install(state.clone()), eq(true))?;
    let mut older = ConfigState::default();
    older
        .apply_record(0, ticket(9, &[organisation("old", "old", 1.0, 1.0)]).to_string().as_bytes());
    verify_that!(cell.install(older), eq(false))?;
    let mut equal = ConfigState::default();
    equal
        .apply_record(1, ticket(9, &[organisation("old", "old", 1.0, 1.0)]).to_string().as_bytes());
    verify_that!(cell.install(equal), eq(false))?;
    verify_that!(*cell.current(), eq(&state))
}

#[test]
fn canonicalise_spacing_and_order_same_digest() -> googletest::Result<()> {
    let texts = [
        r#"{"number":7,"objects":[{"kind":"route","name":"r","state":null}]}"#,
        r#" { "objects" : [ {"state":null, "name":"r", "kind":"route"} ], "number" : 7 } "#,
    ];
    let tickets = texts.map(|text| ChangeTicket::canonicalise(text.as_bytes()).expect("it parses"));
    verify_that!(tickets[0].digest, eq(tickets[1].digest))?;
    verify_that!(tickets[0].digest, eq(Sha256Digest::of(&tickets[0].record)))?;
    verify_that!(ChangeTicket::parse(&tickets[1].record), ok(eq(&tickets[0].ticket)))
}

#[test]
fn key_owner_each_listing() -> googletest::Result<()> {
    let key = Sha256Digest::of(b"key");
    let listing = |name: &str, withdrawn: bool| {
        let keys = json!([{ "digest": key, "withdrawn": withdrawn }]);
        let state = json!({ "keys": keys, "rate": 1.0, "burst": 1.0 });
        json!({ "kind": "organisation", "name": name, "state": state })
    };
    let delete = |name: &str| json!({ "kind": "organisation", "name": name, "state": null });
    let owned_by = |name: &str| KeyOwner::Organisation(name.into());
    let steps = [
        (listing("nord", false), owned_by("nord")),
        (listing("nord", true), KeyOwner::Withdrawn),
        (listing("nord", false), owned_by("nord")),
        (listing("alpe", false), owned_by("alpe")),
        (delete("alpe"), owned_by("nord")),
        (listing("sued", true), KeyOwner::Withdrawn),
        (organisation("sued", "other", 1.0, 1.0), owned_by("nord")),
        (delete("nord"), KeyOwner::Unknown),
    ];
    let mut state = ConfigState::default();
    for (index, (object, owner)) in steps.into_iter().enumerate() {
        let number = index as u64 + 1;
        state.apply_record(index as u64, ticket(number, &[object]).to_string().as_bytes());
        verify_that!(state.key_owner(&key), eq(&owner))?;
        let restored = decode_snapshot(&encode_snapshot(&state)).expect("it is a snapshot");
        verify_that!(restored.key_owner(&key), eq(&owner))?;
    }
    Ok(())
}

pub fn sample_state() -> ConfigState {
    let mut state = ConfigState::default();
    let objects = [organisation("nord", "key", 5.0, 2.0), read_route("r", "/r", "stock")];
    state.apply_record(0, ticket(1, &objects).to_string().as_bytes());
    state.apply_record(1, ticket(2, &[organisation("sued", "k", 1.0, 1.0)]).to_string().as_bytes());
    state
}

#[test]
fn apply_batch_hostile_offsets_refused() -> googletest::Result<()> {
    let cell = ConfigCell::default();
    let body = Bytes::from_static(b"x");
    let batches = [
        RecordBatch { from: 0, records: vec![(u64::MAX - 1, body.clone()), (0, body.clone())] },
        RecordBatch { from: 5, records: vec![(5, body.clone())] },
        RecordBatch { from: 3, records: vec![(1, body)] },
    ];
    for batch in batches {
        cell.apply_batch(&batch);
        verify_that!(cell.next_offset(), eq(0))?;
    }
    Ok(())
}
