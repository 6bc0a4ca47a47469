//! Copies of the evacuated zones that read the store and tell each other what they read, in any order.

use googletest::prelude::*;
use lentilway::policy::store_position::{StoreEra, StorePosition};
use lentilway::policy::zone_evacuation::{
    EvacuationClaim, EvacuationRead, EvacuationState, ZoneRecord, ZoneSet,
};
use proptest::prelude::{Strategy, any, prop};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use proptest::{prop_assert, prop_assert_eq, prop_oneof};

const COPIES: usize = 3;
const ZONES: [&str; 3] = ["north", "south", "west"];
/// Drawn orders in CI; `PROPTEST_CASES` sets a higher number.
const ORDERS: u32 = 2_000;
/// Reads with which a copy ends at the store's state: a refused one, a snapshot, one of changes.
const READS_TO_END: usize = 3;

#[derive(Clone, Debug)]
enum FleetEvent {
    /// The operator begins or ends an evacuation.
    Write { zone: usize, is_evacuated: bool },
    /// The store drops all records but the last `kept` ones; snapshots keep the last of each key.
    Trim { kept: usize },
    /// The store comes back from a copy without the last `lost` records.
    Restore { lost: usize },
    /// The store answers a read of a copy.
    Serve { copy: usize, is_proof: bool },
    /// One of the answers to a copy arrives, whichever is drawn.
    Arrive { copy: usize, drawn: usize },
    /// A copy reports to another one.
    Report { from: usize, to: usize },
    /// One of the reports to a copy arrives, whichever is drawn.
    Receive { copy: usize, drawn: usize },
    /// A copy starts from nothing.
    Restart { copy: usize },
}

fn events() -> impl Strategy<Value = Vec<FleetEvent>> {
    let copy = || 0..COPIES;
    let event = prop_oneof![
        4 => (0..ZONES.len(), any::<bool>())
            .prop_map(|(zone, is_evacuated)| FleetEvent::Write { zone, is_evacuated }),
        2 => (0..3_usize).prop_map(|kept| FleetEvent::Trim { kept }),
        2 => (0..4_usize).prop_map(|lost| FleetEvent::Restore { lost }),
        4 => (copy(), any::<bool>())
            .prop_map(|(copy, is_proof)| FleetEvent::Serve { copy, is_proof }),
        4 => (copy(), any::<usize>()).prop_map(|(copy, drawn)| FleetEvent::Arrive { copy, drawn }),
        6 => (copy(), copy()).prop_map(|(from, to)| FleetEvent::Report { from, to }),
        6 => (copy(), any::<usize>())
            .prop_map(|(copy, drawn)| FleetEvent::Receive { copy, drawn }),
        1 => copy().prop_map(|copy| FleetEvent::Restart { copy }),
    ];
    prop::collection::vec(event, 0..120)
}

/// The records of the topic in the store's present era.
#[derive(Default)]
struct TestStore {
    records: Vec<(&'static str, bool)>,
    first: usize,
    era: StoreEra,
}

/// What the store answers to a read.
#[derive(Clone)]
enum StoreAnswer {
    Read(EvacuationRead),
    Expired(StorePosition),
    Restored(StoreEra),
}

impl TestStore {
    fn position(&self, offset: usize) -> StorePosition {
        StorePosition { era: self.era, offset: offset as u64 }
    }

    fn end(&self) -> StorePosition {
        self.position(self.records.len())
    }

    fn restore(&mut self, lost: usize) {
        self.records.truncate(self.records.len().saturating_sub(lost));
        self.first = self.first.min(self.records.len());
        self.era = StoreEra(self.era.0 + 1);
    }

    /// The zones evacuated by the records before `end`.
    fn evacuated(&self, end: usize) -> ZoneSet {
        let mut zones = ZoneSet::new();
        for (zone, is_evacuated) in &self.records[..end] {
            match is_evacuated {
                true => zones.insert((*zone).into()),
                false => zones.remove(*zone),
            };
        }
        zones
    }

    fn record(&self, offset: usize) -> ZoneRecord {
        let (zone, is_evacuated) = self.records[offset];
        ZoneRecord { zone: zone.into(), is_evacuated, position: self.position(offset) }
    }

    fn read(&self, from: Option<StorePosition>, is_proof: bool) -> StoreAnswer {
        let records: Vec<ZoneRecord> = match from {
            Some(from) if from.era != self.era => return StoreAnswer::Restored(self.era),
            Some(from) if from < self.position(self.first) => {
                return StoreAnswer::Expired(self.position(self.first));
            }
            Some(from) => {
                (from.offset as usize..self.records.len()).map(|at| self.record(at)).collect()
            }
            None => {
                let zones = self.evacuated(self.records.len());
                let last = |zone| self.records.iter().rposition(|record| record.0 == zone);
                zones.iter().filter_map(|zone| last(&**zone)).map(|at| self.record(at)).collect()
            }
        };
        StoreAnswer::Read(EvacuationRead { from, position: self.end(), records, is_proof })
    }
}

/// A copy, and what is on its way to it.
#[derive(Default)]
struct TestCopy {
    state: EvacuationState,
    answers: Vec<StoreAnswer>,
    reports: Vec<EvacuationClaim>,
}

impl TestCopy {
    fn merge(&mut self, answer: StoreAnswer) {
        match answer {
            StoreAnswer::Read(read) => self.state.merge_read(read),
            StoreAnswer::Restored(era) => self.state.enter_era(era),
            StoreAnswer::Expired(first) => self.state.refuse_before(first),
        }
    }
}

fn take_drawn<T>(items: &mut Vec<T>, drawn: usize) -> Option<T> {
    (!items.is_empty()).then(|| items.remove(drawn % items.len()))
}

fn play(event: FleetEvent, store: &mut TestStore, copies: &mut [TestCopy]) {
    match event {
        FleetEvent::Write { zone, is_evacuated } => store.records.push((ZONES[zone], is_evacuated)),
        FleetEvent::Trim { kept } => {
            store.first = store.first.max(store.records.len().saturating_sub(kept));
        }
        FleetEvent::Restore { lost } => store.restore(lost),
        FleetEvent::Serve { copy, is_proof } => {
            let answer = store.read(copies[copy].state.read_position(), is_proof);
            copies[copy].answers.push(answer);
        }
        FleetEvent::Arrive { copy, drawn } => {
            let answer = take_drawn(&mut copies[copy].answers, drawn);
            answer.into_iter().for_each(|answer| copies[copy].merge(answer));
        }
        FleetEvent::Report { from, to } => {
            let report = copies[from].state.claim();
            copies[to].reports.push(report);
        }
        FleetEvent::Receive { copy, drawn } => {
            if let Some(report) = take_drawn(&mut copies[copy].reports, drawn) {
                copies[copy].state.merge_claim(&report);
            }
        }
        FleetEvent::Restart { copy } => copies[copy] = TestCopy::default(),
    }
}

/// Checks that a copy of the store's era has the zones as of its position, and no other one once the
/// state was proven.
fn check_copy(copy: &TestCopy, store: &TestStore) -> std::result::Result<(), TestCaseError> {
    let claim = copy.state.claim();
    let Some(position) = claim.position.filter(|position| position.era == store.era) else {
        return Ok(());
    };
    let expected = store.evacuated(position.offset as usize);
    prop_assert_eq!(&claim.requested, &expected);
    prop_assert!(copy.state.evacuated().is_superset(&expected));
    prop_assert!(!claim.is_settled || copy.state.evacuated() == expected);
    Ok(())
}

/// Checks that each copy ends with the store's zones, whatever the others tell it between its reads.
fn check_ends(
    store: &TestStore,
    copies: &mut [TestCopy],
) -> std::result::Result<(), TestCaseError> {
    for index in 0..copies.len() {
        for _ in 0..READS_TO_END {
            let answer = store.read(copies[index].state.read_position(), true);
            copies[index].merge(answer);
            let reports: Vec<_> = copies.iter().map(|copy| copy.state.claim()).collect();
            let late = std::mem::take(&mut copies[index].reports);
            for report in reports.iter().chain(&late) {
                copies[index].state.merge_claim(report);
            }
        }
        let state = &copies[index].state;
        prop_assert_eq!(state.read_position(), Some(store.end()));
        prop_assert_eq!(state.evacuated(), store.evacuated(store.records.len()));
    }
    Ok(())
}

fn check_fleet(events: Vec<FleetEvent>) -> std::result::Result<(), TestCaseError> {
    let mut store = TestStore::default();
    let mut copies: Vec<TestCopy> = (0..COPIES).map(|_| TestCopy::default()).collect();
    for event in events {
        play(event, &mut store, &mut copies);
        for copy in &copies {
            check_copy(copy, &store)?;
        }
    }
    check_ends(&store, &mut copies)
}

/// Guards against an evacuation that a late report brings back or undoes, or that a copy of the store
/// ends before the operator could write it again.
#[gtest]
fn evacuated_zones_any_order() {
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let cases = Config::default().cases.max(ORDERS);
    let config = Config { failure_persistence: None, ..Config::with_cases(cases) };
    TestRunner::new_with_rng(config, random).run(&events(), check_fleet).unwrap();
}

fn at(era: u64, offset: u64) -> StorePosition {
    StorePosition { era: StoreEra(era), offset }
}

fn snapshot(position: StorePosition, zones: &[&str], is_proof: bool) -> EvacuationRead {
    let record = |zone: &&str| ZoneRecord { zone: (*zone).into(), is_evacuated: true, position };
    let records = zones.iter().map(record).collect();
    EvacuationRead { from: None, position, records, is_proof }
}

/// A daemon that restarts beside a store that came back without the record, and is then told of it by
/// one that knew it before.
#[gtest]
fn evacuated_after_restore_until_proven() {
    let (mut running, mut started) = (EvacuationState::default(), EvacuationState::default());
    running.merge_read(snapshot(at(0, 5), &["north"], true));
    started.merge_read(snapshot(at(1, 3), &[], false));
    expect_that!(started.evacuated().len(), eq(0));
    started.merge_claim(&running.claim());
    expect_that!(started.evacuated().len(), eq(1));
    running.merge_claim(&started.claim());
    expect_that!(running.evacuated().len(), eq(1));
    // The operator could write again since.
    started.merge_read(snapshot(at(1, 3), &[], true));
    expect_that!(started.evacuated().len(), eq(0));
    running.merge_claim(&started.claim());
    expect_that!(running.evacuated().len(), eq(0));
}

/// A position that the store did not know is not taken from another daemon again, nor the evacuation
/// that it described.
#[gtest]
fn evacuated_after_discard() {
    let mut state = EvacuationState::default();
    state.merge_read(snapshot(at(0, 9), &["north"], true));
    let stale = state.claim();
    state.discard_position();
    state.merge_read(snapshot(at(0, 4), &[], true));
    // The snapshot is behind what the store has shown.
    expect_that!(state.evacuated().len(), eq(1));
    let changes = EvacuationRead { from: Some(at(0, 4)), ..snapshot(at(0, 4), &[], true) };
    state.merge_read(changes);
    expect_that!(state.evacuated().len(), eq(0));
    state.merge_claim(&stale);
    expect_that!(state.evacuated().len(), eq(0));
}
