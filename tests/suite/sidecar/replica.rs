//! Copies of a topic that are kept current through each other.

use std::collections::BTreeMap;

use googletest::prelude::*;
use lentilway::policy::store_position::{StoreEra, StorePosition};
use lentilway::sidecar::process::keyed_store::{StoreRead, StoreRecord};
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
    /// The store no longer has the records that a replica asks for.
    Expired {
        replica: usize,
    },
}

const REPLICAS: usize = 4;

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
        1 => replica().prop_map(|replica| TopicEvent::Expired { replica }),
    ];
    prop::collection::vec(event, 0..120)
}

/// The records of a topic in each era.
struct TestTopic {
    eras: Vec<Vec<StoreRecord>>,
    written: u8,
}

impl TestTopic {
    fn new() -> Self {
        TestTopic { eras: vec![Vec::new()], written: 0 }
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
        self.eras.push(copy);
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

    /// A read that ends at `end`; `None` if the store refuses it because of its era.
    fn read(&self, from: Option<StorePosition>, end: StorePosition) -> Option<StoreRead> {
        let records = match from {
            Some(from) if from.era != end.era || from > end => return None,
            Some(from) => {
                let log = &self.eras[end.era.0 as usize];
                log[from.offset as usize..end.offset as usize].to_vec()
            }
            None => self.state(end).into_values().collect(),
        };
        Some(StoreRead { records, cursor: end, unreadable: 0 })
    }
}

/// Reads the store as a daemon does: without the position if the store refuses it.
fn read_to(replica: &mut TopicReplica, topic: &TestTopic, end: StorePosition) {
    let from = replica.cursor();
    match topic.read(from, end) {
        Some(read) => drop(replica.apply_read(from, read)),
        None => drop(replica.apply_read(None, topic.read(None, end).unwrap())),
    }
}

fn present(replica: &TopicReplica) -> BTreeMap<String, StoreRecord> {
    let whole = replica.update_since(None).map(|update| update.records).unwrap_or_default();
    whole.into_iter().map(|record| (record.key.clone(), record)).collect()
}

/// Plays `events` and checks each replica after each of them.
fn check_replicas(events: Vec<TopicEvent>) -> std::result::Result<(), TestCaseError> {
    let mut topic = TestTopic::new();
    let mut replicas: Vec<TopicReplica> = vec![TopicReplica::default(); REPLICAS];
    for event in events {
        let before: Vec<Option<StorePosition>> =
            replicas.iter().map(TopicReplica::cursor).collect();
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
            TopicEvent::Ask { replica, other } => {
                let update = replicas[other].update_since(replicas[replica].cursor());
                update.and_then(|update| replicas[replica].apply_update(update));
            }
            TopicEvent::Misdelivered { replica, other, known } => {
                let known = StorePosition { offset: known, ..topic.end() };
                let update = replicas[other].update_since(Some(known));
                update.and_then(|update| replicas[replica].apply_update(update));
            }
            TopicEvent::Expired { replica } => replicas[replica].clear_cursor(),
        }
        for (replica, before) in replicas.iter().zip(before) {
            let Some(cursor) = replica.cursor() else {
                continue;
            };
            prop_assert!(before.is_none_or(|before| before <= cursor));
            prop_assert_eq!(present(replica), topic.state(cursor));
        }
    }
    Ok(())
}

/// Whatever replicas exchange, each holds the state of the topic up to its position, which never
/// goes back.
#[gtest]
fn apply_update_any_order() {
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { failure_persistence: None, ..Config::with_cases(400) };
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
