//! Copies of the configuration that read the store and tell each other what they read, in any order.

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::config_state::{ConfigClaim, ConfigRead, ConfigState};
use lentilway::policy::store_position::{StoreEra, StorePosition};
use lentilway::policy::topic_position::TopicPosition;
use proptest::prelude::{Just, Strategy, any, prop};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use proptest::{prop_assert, prop_assert_eq, prop_oneof};

const COPIES: usize = 4;
/// Drawn orders in CI; `PROPTEST_CASES` sets a higher number.
const ORDERS: u32 = 400;
/// Reads with which a copy ends at the newest version: a refused one, a snapshot, one of changes.
const READS_TO_END: usize = 3;

#[derive(Clone, Debug)]
enum FleetEvent {
    /// The operator writes the next version.
    Write,
    /// The store drops all records but the newest `kept` ones and the newest of all.
    Trim { kept: usize },
    /// The store comes back from a copy without the last `lost` records.
    Restore { lost: usize },
    /// The store answers a read of a copy.
    Serve { copy: usize },
    /// One of the answers to a copy arrives, whichever is drawn.
    Arrive { copy: usize, drawn: usize },
    /// The answers to a copy are lost.
    Fail { copy: usize },
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
        3 => Just(FleetEvent::Write),
        2 => (0..3_usize).prop_map(|kept| FleetEvent::Trim { kept }),
        1 => (0..4_usize).prop_map(|lost| FleetEvent::Restore { lost }),
        4 => copy().prop_map(|copy| FleetEvent::Serve { copy }),
        4 => (copy(), any::<usize>())
            .prop_map(|(copy, drawn)| FleetEvent::Arrive { copy, drawn }),
        1 => copy().prop_map(|copy| FleetEvent::Fail { copy }),
        4 => (copy(), copy()).prop_map(|(from, to)| FleetEvent::Report { from, to }),
        4 => (copy(), any::<usize>())
            .prop_map(|(copy, drawn)| FleetEvent::Receive { copy, drawn }),
        1 => copy().prop_map(|copy| FleetEvent::Restart { copy }),
    ];
    prop::collection::vec(event, 0..120)
}

/// The versions of the topic in the store's present era.
#[derive(Default)]
struct TestStore {
    versions: Vec<u64>,
    first: usize,
    era: StoreEra,
    /// The last version that the operator wrote in any era.
    written: u64,
}

/// What the store answers to a read.
#[derive(Clone, Copy)]
enum StoreAnswer {
    Read(ConfigRead),
    Expired(StorePosition),
    Restored(StoreEra),
}

impl TestStore {
    fn position(&self, offset: usize) -> StorePosition {
        StorePosition { era: self.era, offset: offset as u64 }
    }

    fn end(&self) -> StorePosition {
        self.position(self.versions.len())
    }

    fn write(&mut self) {
        self.written += 1;
        self.versions.push(self.written);
    }

    fn trim(&mut self, kept: usize) {
        self.first = self.first.max(self.versions.len().saturating_sub(kept));
    }

    fn restore(&mut self, lost: usize) {
        self.versions.truncate(self.versions.len().saturating_sub(lost));
        self.first = self.first.min(self.versions.len());
        self.era = StoreEra(self.era.0 + 1);
    }

    fn read(&self, from: Option<StorePosition>) -> StoreAnswer {
        let found = match from {
            Some(from) if from.era != self.era => return StoreAnswer::Restored(self.era),
            Some(from) if from < self.position(self.first) => {
                return StoreAnswer::Expired(self.position(self.first));
            }
            Some(from) => self.versions[from.offset as usize..].last(),
            None => self.versions.last(),
        };
        let found = found.copied();
        StoreAnswer::Read(ConfigRead { position: self.end(), found, proven: None, floor: 0 })
    }
}

/// A copy, and what is on its way to it.
#[derive(Default)]
struct TestCopy {
    state: ConfigState,
    answers: Vec<StoreAnswer>,
    reports: Vec<ConfigClaim>,
    /// The newest position that the store has refused to this copy.
    refused: Option<StorePosition>,
}

impl TestCopy {
    fn merge(&mut self, answer: StoreAnswer) {
        match answer {
            StoreAnswer::Read(read) => drop(self.state.merge_read(&read)),
            StoreAnswer::Restored(era) => self.state.enter_era(era),
            StoreAnswer::Expired(first) => {
                self.refused = self.refused.max(Some(first));
                self.state.refuse_before(first);
            }
        }
    }

    /// The report for a copy that knows `version`.
    fn report(&self, version: u64) -> ConfigClaim {
        let known = self.state.version();
        ConfigClaim {
            version: known,
            found: (known > version).then_some(known),
            position: self.state.read_position(),
            proven: None,
        }
    }
}

fn take_drawn<T>(items: &mut Vec<T>, drawn: usize) -> Option<T> {
    (!items.is_empty()).then(|| items.remove(drawn % items.len()))
}

fn play(event: FleetEvent, store: &mut TestStore, copies: &mut [TestCopy]) {
    match event {
        FleetEvent::Write => store.write(),
        FleetEvent::Trim { kept } => store.trim(kept),
        FleetEvent::Restore { lost } => store.restore(lost),
        FleetEvent::Serve { copy } => {
            let answer = store.read(copies[copy].state.read_position());
            copies[copy].answers.push(answer);
        }
        FleetEvent::Arrive { copy, drawn } => {
            let answer = take_drawn(&mut copies[copy].answers, drawn);
            answer.into_iter().for_each(|answer| copies[copy].merge(answer));
        }
        FleetEvent::Fail { copy } => copies[copy].answers.clear(),
        FleetEvent::Report { from, to } => {
            let report = copies[from].report(copies[to].state.version());
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

/// Checks that a copy has every version before its position, and none that the store has refused.
fn check_copy(copy: &TestCopy, store: &TestStore) -> std::result::Result<(), TestCaseError> {
    let Some(position) = copy.state.read_position() else {
        return Ok(());
    };
    prop_assert!(copy.refused.is_none_or(|refused| refused <= position));
    if position.era == store.era {
        prop_assert!(position <= store.end());
        let before = &store.versions[..position.offset as usize];
        prop_assert!(before.iter().all(|version| *version <= copy.state.version()));
    }
    Ok(())
}

/// Checks that each copy ends at the newest version, whatever the others tell it between its reads.
fn check_ends(
    store: &TestStore,
    copies: &mut [TestCopy],
) -> std::result::Result<(), TestCaseError> {
    for index in 0..copies.len() {
        for _ in 0..READS_TO_END {
            let answer = store.read(copies[index].state.read_position());
            copies[index].merge(answer);
            let version = copies[index].state.version();
            let reports: Vec<_> = copies.iter().map(|copy| copy.report(version)).collect();
            let late = std::mem::take(&mut copies[index].reports);
            for report in reports.iter().chain(&late) {
                copies[index].state.merge_claim(report);
            }
        }
        let state = &copies[index].state;
        prop_assert_eq!(state.read_position(), Some(store.end()));
        prop_assert!(store.versions.iter().all(|version| *version <= state.version()));
    }
    Ok(())
}

fn check_fleet(events: Vec<FleetEvent>) -> std::result::Result<(), TestCaseError> {
    let mut store = TestStore::default();
    let mut copies: Vec<TestCopy> = (0..COPIES).map(|_| TestCopy::default()).collect();
    for event in events {
        let mut versions: Vec<u64> = copies.iter().map(|copy| copy.state.version()).collect();
        if let FleetEvent::Restart { copy } = event {
            versions[copy] = 0;
        }
        play(event, &mut store, &mut copies);
        for (copy, version) in copies.iter().zip(versions) {
            prop_assert!(copy.state.version() >= version);
            check_copy(copy, &store)?;
        }
    }
    check_ends(&store, &mut copies)
}

fn seeded_runner() -> TestRunner {
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let cases = Config::default().cases.max(ORDERS);
    let config = Config { failure_persistence: None, ..Config::with_cases(cases) };
    TestRunner::new_with_rng(config, random)
}

/// Review case 6: whatever copies read and tell each other, a refused position does not come back, no
/// version goes back, and each copy that can read the store ends at the newest version.
#[gtest]
fn config_newest_any_order() {
    seeded_runner().run(&events(), check_fleet).unwrap();
}

fn at(era: u64, offset: u64) -> StorePosition {
    StorePosition { era: StoreEra(era), offset }
}

/// A refusal that arrives after a later position was reached does not void that one.
#[gtest]
fn refuse_before_late_answer() {
    let mut position = TopicPosition::default();
    position.reach_by_read(at(1, 3));
    position.reach_by_report(at(1, 8));
    position.refuse_before(at(1, 5));
    expect_that!(position.read_position(), some(eq(at(1, 8))));
    position.enter_era(StoreEra(2));
    position.refuse_before(at(1, 9));
    position.reach_by_report(at(1, 9));
    expect_that!(position.read_position(), none());
    expect_that!(position.reach_by_read(at(2, 0)), is_true());
    expect_that!(position.read_position(), some(eq(at(2, 0))));
}

/// A position that the store does not know is not taken from others until the store was read.
#[gtest]
fn discard_until_read() {
    let mut position = TopicPosition::default();
    position.reach_by_report(at(1, 9));
    position.discard();
    expect_that!(position.reach_by_report(at(1, 9)), is_false());
    expect_that!(position.read_position(), none());
    position.reach_by_read(at(1, 4));
    expect_that!(position.read_position(), some(eq(at(1, 4))));
    expect_that!(position.reach_by_report(at(1, 5)), is_true());
}

/// A report from before a discard brought the position back after the next read.
#[gtest]
fn discard_report_after_read() {
    let mut position = TopicPosition::default();
    position.reach_by_report(at(1, 9));
    position.discard();
    position.reach_by_read(at(1, 4));
    expect_that!(position.reach_by_report(at(1, 9)), is_false());
    expect_that!(position.read_position(), some(eq(at(1, 4))));
    // The store gets there by itself, and in another era the position is another one.
    position.reach_by_read(at(1, 9));
    expect_that!(position.reach_by_report(at(1, 12)), is_true());
    position.discard();
    expect_that!(position.reach_by_report(at(2, 30)), is_true());
}

/// What the store answers to a sequence of reads besides the truth.
#[derive(Clone, Copy, Debug)]
enum OddAnswer {
    /// A snapshot from before the last writes; reads of changes are right.
    SnapshotBehind { missing: usize },
    /// A refusal that names no first offset, or none after the position.
    RefusedWithout,
    /// A refusal that names a first offset after the position by this much.
    RefusedBefore { after: u64 },
}

#[derive(Clone, Debug)]
enum ReadEvent {
    Write,
    Trim {
        kept: usize,
    },
    /// The copy reads the store.
    Read {
        odd: Option<OddAnswer>,
    },
    /// Another daemon reports what the store held some records ago.
    Report {
        missing: usize,
    },
}

fn read_events() -> impl Strategy<Value = Vec<ReadEvent>> {
    let odd = prop_oneof![
        (0..4_usize).prop_map(|missing| OddAnswer::SnapshotBehind { missing }),
        Just(OddAnswer::RefusedWithout),
        (1..9_u64).prop_map(|after| OddAnswer::RefusedBefore { after }),
    ];
    let event = prop_oneof![
        3 => Just(ReadEvent::Write),
        1 => (0..3_usize).prop_map(|kept| ReadEvent::Trim { kept }),
        4 => prop::option::of(odd).prop_map(|odd| ReadEvent::Read { odd }),
        3 => (0..4_usize).prop_map(|missing| ReadEvent::Report { missing }),
    ];
    prop::collection::vec(event, 0..60)
}

/// Reads the store once, as a daemon does, one read after the other; whether the read is taken as proof.
fn read_once(store: &TestStore, state: &mut ConfigState, odd: Option<OddAnswer>) -> bool {
    let from = state.read_position();
    match (from, odd) {
        (Some(_), Some(OddAnswer::RefusedWithout)) => {
            state.discard_position();
            return false;
        }
        (Some(from), Some(OddAnswer::RefusedBefore { after })) => {
            let first = StorePosition { offset: from.offset + after, ..from };
            state.refuse_before(first);
            return false;
        }
        _ => {}
    }
    let mut read = match store.read(from) {
        StoreAnswer::Read(read) => read,
        StoreAnswer::Expired(first) => {
            state.refuse_before(first);
            return false;
        }
        StoreAnswer::Restored(_) => unreachable!("the store keeps its era here"),
    };
    if let (None, Some(OddAnswer::SnapshotBehind { missing })) = (from, odd) {
        let end = store.versions.len().saturating_sub(missing);
        read.position = store.position(end);
        read.found = store.versions[..end].last().copied();
    }
    let end = read.position;
    let is_proof = state.merge_read(&ConfigRead { proven: Some(MilliTime(1)), ..read }).is_proof;
    if from.is_none() && state.read_position().is_none() {
        state.resume_at(end);
    }
    is_proof
}

fn check_reads(events: Vec<ReadEvent>) -> std::result::Result<(), TestCaseError> {
    let mut store = TestStore::default();
    let mut state = ConfigState::default();
    // The offset up to which the store has shown that it holds records.
    let mut shown = 0;
    for event in events {
        match event {
            ReadEvent::Write => store.write(),
            ReadEvent::Trim { kept } => store.trim(kept),
            ReadEvent::Report { missing } => {
                let end = store.versions.len().saturating_sub(missing);
                let version = store.versions[..end].last().copied();
                let claim = ConfigClaim {
                    version: version.unwrap_or_default(),
                    found: version,
                    position: Some(store.position(end)),
                    proven: None,
                };
                state.merge_claim(&claim);
            }
            ReadEvent::Read { odd } => {
                let known = state.version();
                shown = shown.max(state.read_position().map_or(0, |position| position.offset));
                let position = state.read_position();
                let is_dropped =
                    position.is_some_and(|position| position < store.position(store.first));
                let is_odd = matches!(
                    odd,
                    Some(OddAnswer::RefusedWithout | OddAnswer::RefusedBefore { .. })
                );
                let is_refused = is_dropped && !is_odd;
                if is_refused {
                    shown = shown.max(store.first as u64);
                }
                let is_proof = read_once(&store, &mut state, odd);
                prop_assert!(state.version() >= known);
                let retained = &store.versions[..shown.min(store.versions.len() as u64) as usize];
                let has_all = retained.iter().all(|version| *version <= state.version());
                prop_assert!(!is_proof || has_all);
            }
        }
        let position = state.read_position();
        prop_assert!(position.is_none_or(|position| position <= store.end()));
    }
    // One odd answer may be pending: its refusal, a snapshot, and what `check_ends` allows.
    for _ in 0..2 * READS_TO_END {
        read_once(&store, &mut state, None);
    }
    prop_assert_eq!(state.read_position(), Some(store.end()));
    prop_assert!(store.versions.iter().all(|version| *version <= state.version()));
    Ok(())
}

/// A store that contradicted itself for a while left daemons without a position, or with a proof that
/// the store had not given.
#[gtest]
fn config_newest_odd_answers() {
    seeded_runner().run(&read_events(), check_reads).unwrap();
}
