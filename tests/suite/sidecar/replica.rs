//! Copies of a topic that are kept current through each other.

use std::collections::BTreeMap;

use googletest::prelude::*;
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
        1 => replica().prop_map(|replica| TopicEvent::Expired { replica }),
    ];
    prop::collection::vec(event, 0..120)
}

#[derive(Default)]
struct TestTopic {
    log: Vec<StoreRecord>,
}

impl TestTopic {
    fn write(&mut self, key: u8, is_removal: bool) {
        let position = self.log.len() as u64;
        let value = (!is_removal).then(|| vec![position as u8]);
        self.log.push(StoreRecord { key: key.to_string(), value, position });
    }

    /// The newest record of each present key after the first `length` records.
    fn state(&self, length: u64) -> BTreeMap<String, StoreRecord> {
        let mut state = BTreeMap::new();
        for record in &self.log[..length as usize] {
            state.insert(record.key.clone(), record.clone());
        }
        state.retain(|_, record| record.value.is_some());
        state
    }

    fn read(&self, from: Option<u64>) -> StoreRead {
        let cursor = self.log.len() as u64;
        let records = match from {
            Some(from) => self.log[from as usize..].to_vec(),
            None => self.state(cursor).into_values().collect(),
        };
        StoreRead { records, cursor, ..StoreRead::default() }
    }
}

fn present(replica: &TopicReplica) -> BTreeMap<String, StoreRecord> {
    let whole = replica.update_since(None).map(|update| update.records).unwrap_or_default();
    whole.into_iter().map(|record| (record.key.clone(), record)).collect()
}

/// Plays `events` and checks each replica after each of them.
fn check_replicas(events: Vec<TopicEvent>) -> std::result::Result<(), TestCaseError> {
    let mut topic = TestTopic::default();
    let mut replicas: Vec<TopicReplica> = vec![TopicReplica::default(); REPLICAS];
    for event in events {
        let before: Vec<Option<u64>> = replicas.iter().map(TopicReplica::cursor).collect();
        match event {
            TopicEvent::Write { key, is_removal } => topic.write(key, is_removal),
            TopicEvent::Read { replica } => {
                let from = replicas[replica].cursor();
                replicas[replica].apply_read(from, topic.read(from));
            }
            TopicEvent::Ask { replica, other } => {
                let update = replicas[other].update_since(replicas[replica].cursor());
                update.and_then(|update| replicas[replica].apply_update(update));
            }
            TopicEvent::Misdelivered { replica, other, known } => {
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
    let mut topic = TestTopic::default();
    (0..200).for_each(|key| topic.write(key, false));
    let mut holder = TopicReplica::default();
    holder.apply_read(None, topic.read(None));
    let mut late = holder.clone();
    for index in 0..2_000_u64 {
        let position = topic.log.len() as u64;
        let key = format!("other-{index}");
        topic.log.push(StoreRecord { key, value: None, position });
    }
    (0..200).for_each(|key| topic.write(key, true));
    holder.apply_read(holder.cursor(), topic.read(holder.cursor()));
    let update = holder.update_since(late.cursor()).expect("the holder is ahead");
    late.apply_update(update);
    expect_that!(present(&late), is_empty());
    expect_that!(late.cursor(), eq(holder.cursor()));
}

/// A forged update that claims the end of the topic does not hide records of the store.
#[gtest]
fn apply_update_gap_ignored() {
    let mut topic = TestTopic::default();
    topic.write(1, false);
    let mut replica = TopicReplica::default();
    replica.apply_read(None, topic.read(None));
    let update = TopicUpdate { from: Some(7), records: Vec::new(), cursor: 9 };
    expect_that!(replica.apply_update(update), none());
    topic.write(2, false);
    replica.apply_read(replica.cursor(), topic.read(replica.cursor()));
    expect_that!(present(&replica), eq(&topic.state(2)));
}
