//! Copies of a topic that are kept current through each other.

use std::collections::BTreeMap;

use googletest::prelude::*;
use lentilway::policy::store_position::{StoreEra, StorePosition};
use lentilway::sidecar::process::keyed_store::{StoreError, StoreRead, StoreRecord};
use lentilway::sidecar::process::topic_replica::{TopicReplica, TopicUpdate};
use proptest::prelude::{Strategy, any, prop};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use proptest::{prop_assert, prop_assert_eq, prop_oneof};

/// One event in the life of a topic and its replicas.
#[derive(Clone, Debug)]
enum TopicEvent {
    Write {
        key: u8,
        is_removal: bool,
    },
    /// A replica reads the store.
    Read {
        replica: usize,
    },
    /// A replica receives what another has and it lacks.
    Ask {
        replica: usize,
        other: usize,
    },
    /// A replica receives an update that was meant for another one.
    Misdelivered {
        replica: usize,
        other: usize,
        known: u64,
    },
    /// The store comes back from a copy that lacks the newest records.
    Restore {
        lost: u8,
    },
    /// A read is answered from before the store came back for the last time.
    LateRead {
        replica: usize,
    },
    /// The store drops all records but the newest `kept` ones and the newest of each key.
    Trim {
        kept: u8,
    },
    Restart {
        replica: usize,
    },
}

const REPLICAS: usize = 4;
/// Drawn orders in CI; `PROPTEST_CASES` sets a higher number.
const ORDERS: u32 = 400;
/// Reads with which a replica ends at the newest position: a refused one, a snapshot, one of changes.
const READS_TO_END: usize = 3;

fn events() -> impl Strategy<Value = Vec<TopicEvent>> {
    let replica = || 0..REPLICAS;
    let event = prop_oneof![
        4 => (0..12_u8, any::<bool>())
            .prop_map(|(key, is_removal)| TopicEvent::Write { key, is_removal }),
        2 => replica().prop_map(|replica| TopicEvent::Read { replica }),
        4 => (replica(), replica())
            .prop_map(|(replica, other)| TopicEvent::Ask { replica, other }),
        2 => (replica(), replica(), 0..60_u64)
            .prop_map(|(replica, other, known)| TopicEvent::Misdelivered { replica, other, known }),
        1 => (0..6_u8).prop_map(|lost| TopicEvent::Restore { lost }),
        1 => replica().prop_map(|replica| TopicEvent::LateRead { replica }),
        1 => (0..4_u8).prop_map(|kept| TopicEvent::Trim { kept }),
        1 => replica().prop_map(|replica| TopicEvent::Restart { replica }),
    ];
    prop::collection::vec(event, 0..120)
}

/// The records of a topic in each era.
struct TestTopic {
    eras: Vec<Vec<StoreRecord>>,
    /// The first retained position of the last era.
    first: StorePosition,
    written: u8,
}

impl TestTopic {
    fn new() -> Self {
        TestTopic { eras: vec![Vec::new()], first: StorePosition::default(), written: 0 }
    }

    fn end(&self) -> StorePosition {
        let era = self.eras.len() - 1;
        StorePosition { era: StoreEra(era as u64), offset: self.eras[era].len() as u64 }
    }

    fn write(&mut self, key: String, is_removal: bool) {
        self.written = self.written.wrapping_add(1);
        let value = (!is_removal).then(|| vec![self.written]);
        let position = self.end();
        self.eras.last_mut().unwrap().push(StoreRecord { key, value, position });
    }

    fn restore(&mut self, lost: usize) {
        let mut copy = self.eras.last().unwrap().clone();
        copy.truncate(copy.len().saturating_sub(lost));
        let era = StoreEra(self.eras.len() as u64);
        copy.iter_mut().for_each(|record| record.position.era = era);
        let offset = self.first.offset.min(copy.len() as u64);
        self.eras.push(copy);
        self.first = StorePosition { era, offset };
    }

    fn trim(&mut self, kept: u64) {
        let end = self.end();
        let first = StorePosition { offset: end.offset.saturating_sub(kept), ..end };
        self.first = self.first.max(first);
    }

    /// The newest record of each present key up to `end`.
    fn state(&self, end: StorePosition) -> BTreeMap<String, StoreRecord> {
        let mut state = BTreeMap::new();
        for record in &self.eras[end.era.0 as usize][..end.offset as usize] {
            state.insert(record.key.clone(), record.clone());
        }
        state.retain(|_, record| record.value.is_some());
        state
    }

    /// A read that ends at `end`, or why the store refuses it.
    fn read(
        &self,
        from: Option<StorePosition>,
        end: StorePosition,
    ) -> std::result::Result<StoreRead, StoreError> {
        let records = match from {
            Some(from) if from.era != end.era => {
                return Err(StoreError::Restored { era: end.era });
            }
            Some(from) if end.era == self.first.era && from < self.first => {
                return Err(StoreError::Expired { first: self.first });
            }
            Some(from) if from > end => return Err(StoreError::UnknownPosition),
            Some(from) => {
                let log = &self.eras[end.era.0 as usize];
                log[from.offset as usize..end.offset as usize].to_vec()
            }
            None => self.state(end).into_values().collect(),
        };
        Ok(StoreRead { records, cursor: end, ..StoreRead::default() })
    }
}

/// Reads the store once, as a daemon does; after a refusal, other replicas may be sooner than the
/// next read.
fn read_to(replica: &mut TopicReplica, topic: &TestTopic, end: StorePosition) {
    let from = replica.read_position();
    match topic.read(from, end) {
        Ok(read) => drop(replica.apply_read(from, read)),
        Err(StoreError::Restored { era }) => replica.enter_era(era),
        Err(StoreError::Expired { first }) => replica.refuse_before(first),
        Err(error) => panic!("a replica never reads from {from:?}: {error}"),
    }
}

fn ask(replicas: &mut [TopicReplica], replica: usize, other: usize) {
    let update = replicas[other].update_since(replicas[replica].cursor());
    update.and_then(|update| replicas[replica].apply_update(update));
}

/// Checks that each replica ends at the newest position, whatever the others tell it between its
/// reads.
fn check_ends(
    replicas: &mut [TopicReplica],
    topic: &TestTopic,
) -> std::result::Result<(), TestCaseError> {
    for replica in 0..replicas.len() {
        for _ in 0..READS_TO_END {
            read_to(&mut replicas[replica], topic, topic.end());
            (0..REPLICAS).for_each(|other| ask(replicas, replica, other));
        }
        prop_assert_eq!(replicas[replica].read_position(), Some(topic.end()));
    }
    Ok(())
}

fn present(replica: &TopicReplica) -> BTreeMap<String, StoreRecord> {
    let whole = replica.update_since(None).map(|update| update.records).unwrap_or_default();
    whole.into_iter().map(|record| (record.key.clone(), record)).collect()
}

/// Plays `events` and checks each replica after each of them.
fn check_replicas(events: Vec<TopicEvent>) -> std::result::Result<(), TestCaseError> {
    let mut topic = TestTopic::new();
    let mut replicas: Vec<TopicReplica> = vec![TopicReplica::default(); REPLICAS];
    let mut newest: Vec<Option<StorePosition>> = vec![None; REPLICAS];
    for event in events {
        if let TopicEvent::Restart { replica } = event {
            newest[replica] = None;
        }
        match event {
            TopicEvent::Write { key, is_removal } => topic.write(key.to_string(), is_removal),
            TopicEvent::Read { replica } => read_to(&mut replicas[replica], &topic, topic.end()),
            TopicEvent::Restore { lost } => topic.restore(usize::from(lost)),
            TopicEvent::LateRead { replica } => {
                let era = topic.eras.len().saturating_sub(2);
                let offset = topic.eras[era].len() as u64;
                let end = StorePosition { era: StoreEra(era as u64), offset };
                read_to(&mut replicas[replica], &topic, end);
            }
            TopicEvent::Ask { replica, other } => ask(&mut replicas, replica, other),
            TopicEvent::Misdelivered { replica, other, known } => {
                let known = StorePosition { offset: known, ..topic.end() };
                let update = replicas[other].update_since(Some(known));
                update.and_then(|update| replicas[replica].apply_update(update));
            }
            TopicEvent::Trim { kept } => topic.trim(u64::from(kept)),
            TopicEvent::Restart { replica } => replicas[replica] = TopicReplica::default(),
        }
        for (replica, newest) in replicas.iter().zip(&mut newest) {
            let Some(cursor) = replica.cursor() else {
                continue;
            };
            prop_assert!(*newest <= Some(cursor));
            *newest = Some(cursor);
            prop_assert_eq!(present(replica), topic.state(cursor));
        }
    }
    check_ends(&mut replicas, &topic)
}

/// Whatever replicas exchange, each holds the state of the topic up to its position, which never
/// goes back, and ends at the newest one once it can read the store.
#[gtest]
fn apply_update_any_order() {
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let cases = Config::default().cases.max(ORDERS);
    let config = Config { failure_persistence: None, ..Config::with_cases(cases) };
    let mut runner = TestRunner::new_with_rng(config, random);
    runner.run(&events(), check_replicas).unwrap();
}

/// Removals are told to those who held the key, also after many others.
#[gtest]
fn update_since_many_removals() {
    let mut topic = TestTopic::new();
    (0..200).for_each(|key| topic.write(key.to_string(), false));
    let mut holder = TopicReplica::default();
    read_to(&mut holder, &topic, topic.end());
    let mut late = holder.clone();
    (0..2_000).for_each(|index| topic.write(format!("other-{index}"), true));
    (0..200).for_each(|key| topic.write(key.to_string(), true));
    read_to(&mut holder, &topic, topic.end());
    let update = holder.update_since(late.cursor()).expect("the holder is ahead");
    late.apply_update(update);
    expect_that!(present(&late), is_empty());
    expect_that!(late.cursor(), eq(holder.cursor()));
}

/// A forged update that claims the end of the topic does not hide records of the store.
#[gtest]
fn apply_update_gap_ignored() {
    let mut topic = TestTopic::new();
    topic.write("1".to_owned(), false);
    let mut replica = TopicReplica::default();
    read_to(&mut replica, &topic, topic.end());
    let position = |offset| StorePosition { offset, ..topic.end() };
    let update = TopicUpdate { from: Some(position(7)), records: Vec::new(), cursor: position(9) };
    expect_that!(replica.apply_update(update), none());
    topic.write("2".to_owned(), false);
    read_to(&mut replica, &topic, topic.end());
    expect_that!(present(&replica), eq(&topic.state(topic.end())));
}

/// A replica whose position the store refused is not taken back by one that has an earlier one.
#[gtest]
fn apply_update_older_after_refusal() {
    let mut topic = TestTopic::new();
    topic.write("1".to_owned(), false);
    let mut behind = TopicReplica::default();
    read_to(&mut behind, &topic, topic.end());
    topic.write("1".to_owned(), true);
    let mut replica = TopicReplica::default();
    read_to(&mut replica, &topic, topic.end());
    let known = replica.cursor();
    topic.write("2".to_owned(), false);
    topic.trim(0);
    read_to(&mut replica, &topic, topic.end());
    expect_that!(replica.read_position(), none());
    let update = behind.update_since(replica.read_position());
    expect_that!(update.and_then(|update| replica.apply_update(update)), none());
    expect_that!(replica.cursor(), eq(known));
    expect_that!(present(&replica), is_empty());
}

/// A position that the store does not know gives way to a snapshot, also if others still hold it.
#[gtest]
fn apply_read_after_unknown_position() {
    let mut topic = TestTopic::new();
    topic.write("1".to_owned(), false);
    let beyond = StorePosition { offset: 9, ..topic.end() };
    let forged = TopicUpdate { from: None, records: Vec::new(), cursor: beyond };
    let mut replica = TopicReplica::default();
    replica.apply_update(forged.clone());
    replica.discard_position();
    expect_that!(replica.apply_update(forged), none());
    expect_that!(replica.read_position(), none());
    read_to(&mut replica, &topic, topic.end());
    expect_that!(replica.read_position(), eq(Some(topic.end())));
    expect_that!(present(&replica), eq(&topic.state(topic.end())));
}
