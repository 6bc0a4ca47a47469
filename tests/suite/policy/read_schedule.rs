//! Daemons that keep a topic current through few readers of the store.

use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::freshness::{FreshnessProof, proven_at};
use lentilway::policy::read_schedule::{ReadSchedule, ReadStep, ReaderRank, read_retry_delay};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const STEP: Duration = Duration::from_millis(10);
/// Transit and service time of a read that does not wait.
const READ_TIME: Duration = Duration::from_millis(20);
const ZONES: usize = 5;
/// Other daemons that a stale daemon asks at a time.
const ASK_COUNT: usize = 3;
const STALE_AGE_MAX: Duration = Duration::from_millis(4_800);

/// A read of the store in progress.
#[derive(Clone, Copy)]
struct OpenRead {
    asked: MilliTime,
    wait: Duration,
    ends: MilliTime,
}

#[derive(Clone)]
struct ReplayDaemon {
    rank: ReaderRank,
    zone: usize,
    proof: FreshnessProof,
    knows_change: bool,
    open: Option<OpenRead>,
    failures: u32,
    retry_at: MilliTime,
    decides_at: MilliTime,
}

/// A fleet of daemons in zones of equal size; the first of each zone reads for the others.
struct ReplayFleet {
    schedule: ReadSchedule,
    daemons: Vec<ReplayDaemon>,
    random: StdRng,
    reads: usize,
}

impl ReplayFleet {
    fn new(schedule: ReadSchedule, size: usize, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let daemons = (0..size).map(|index| {
            let before = index / ZONES;
            let mut proof = FreshnessProof::default();
            proof.prove(MilliTime(0));
            ReplayDaemon {
                rank: ReaderRank { before, has_reader: before > 0 },
                zone: index % ZONES,
                proof,
                knows_change: false,
                open: None,
                failures: 0,
                retry_at: MilliTime(0),
                decides_at: MilliTime(random.random_range(0..300)),
            }
        });
        let daemons = daemons.collect();
        ReplayFleet { schedule, daemons, random, reads: 0 }
    }

    /// Plays one step; `refuses` tells which daemons the store refuses, `is_changed` whether the
    /// topic has changed.
    fn step(&mut self, now: MilliTime, refuses: impl Fn(usize) -> bool, is_changed: bool) {
        for index in 0..self.daemons.len() {
            self.end_read(index, now, refuses(index), is_changed);
            if self.daemons[index].open.is_none() && now >= self.daemons[index].decides_at {
                self.decide(index, now);
            }
        }
    }

    fn end_read(&mut self, index: usize, now: MilliTime, is_refused: bool, is_changed: bool) {
        let daemon = &mut self.daemons[index];
        let Some(read) = daemon.open else {
            return;
        };
        if is_refused {
            daemon.open = None;
            daemon.failures += 1;
            let delay = read_retry_delay(daemon.failures, daemon.rank, self.random.random());
            daemon.retry_at = now + delay;
        } else if now >= read.ends || (is_changed && !daemon.knows_change) {
            let is_empty = daemon.knows_change == is_changed;
            daemon.open = None;
            daemon.failures = 0;
            daemon.knows_change = is_changed;
            daemon.proof.prove(proven_at(read.asked, is_empty, read.wait));
        }
    }

    fn decide(&mut self, index: usize, now: MilliTime) {
        let daemon = &self.daemons[index];
        let age = daemon.proof.age(now).expect("all start with a proof");
        let (rank, zone) = (daemon.rank, daemon.zone);
        let step = self.schedule.next_step(age, rank, now.since(MilliTime(0)));
        let is_blocked = now < daemon.retry_at;
        let (is_stale, pause) = match step {
            ReadStep::Read { wait } if !is_blocked => {
                self.reads += 1;
                let wait = if daemon.failures > 0 { Duration::ZERO } else { wait };
                let ends = now + wait + READ_TIME;
                self.daemons[index].open = Some(OpenRead { asked: now, wait, ends });
                return;
            }
            ReadStep::Read { .. } => (age >= self.schedule.stale_age, self.schedule.ask_interval),
            ReadStep::Ask { is_stale, pause } => (is_stale, pause),
        };
        let mut asked = if rank.has_reader { vec![zone] } else { Vec::new() };
        if is_stale {
            let mut others: Vec<usize> = (0..self.daemons.len()).collect();
            others.shuffle(&mut self.random);
            asked.extend(others.into_iter().take(ASK_COUNT));
        }
        for other in asked {
            let (proof, knows) = (self.daemons[other].proof, self.daemons[other].knows_change);
            let daemon = &mut self.daemons[index];
            if knows >= daemon.knows_change {
                daemon.knows_change = knows;
                daemon.proof.prove(now.before(proof.age(now).expect("all have a proof")));
            }
        }
        self.daemons[index].decides_at = now + pause;
    }
}

fn steps(from: u64, to: u64) -> impl Iterator<Item = MilliTime> {
    (from..to).step_by(STEP.as_millis() as usize).map(MilliTime)
}

/// While the store works, the reads grow with the zones, not with the daemons.
#[gtest]
fn next_step_fleet_of_any_size() {
    let schedule = ReadSchedule::configuration(Duration::from_secs(3));
    let reads: Vec<usize> = [30, 200, 1_000]
        .into_iter()
        .map(|size| {
            let mut fleet = ReplayFleet::new(schedule, size, 3);
            steps(0, 20_000).for_each(|now| fleet.step(now, |_| false, false));
            let ages = fleet.daemons.iter().map(|daemon| daemon.proof.age(MilliTime(20_000)));
            expect_that!(ages.max().flatten(), some(lt(schedule.own_read_age)), "{size} daemons");
            fleet.reads
        })
        .collect();
    // One read of each zone in the time of a read and its transit.
    expect_that!(reads, each(le(&(ZONES * 12))));
    expect_that!(reads[2], eq(reads[0]));
}

/// The store refuses all readers and a third of the other daemons just before a change, which must
/// be in force within the bound; few daemons read while it lasts.
#[gtest]
fn next_step_readers_refused() {
    for (bound, seed) in
        [2, 3].into_iter().flat_map(|bound| (1..=20).map(move |seed| (bound, seed)))
    {
        let bound = Duration::from_secs(bound);
        let mut fleet = ReplayFleet::new(ReadSchedule::configuration(bound), 195, seed);
        let mut random = StdRng::seed_from_u64(seed);
        let refused: Vec<bool> =
            (0..195).map(|index| index < ZONES || random.random_bool(0.33)).collect();
        steps(0, 5_000).for_each(|now| fleet.step(now, |_| false, false));
        let before = fleet.reads;
        for now in steps(5_000, 5_000 + bound.as_millis() as u64) {
            fleet.step(now, |index| refused[index], true);
        }
        let late = fleet.daemons.iter().filter(|daemon| !daemon.knows_change).count();
        expect_that!(late, eq(0), "bound {bound:?}, seed {seed}");
        let end = MilliTime(5_000) + bound;
        for now in steps(end.0, end.0 + 7_000) {
            fleet.step(now, |index| refused[index], true);
            let ages = fleet.daemons.iter().map(|daemon| daemon.proof.age(now));
            expect_that!(ages.max().flatten(), some(lt(STALE_AGE_MAX)), "seed {seed}, {now:?}");
        }
        expect_that!(fleet.reads - before, le(195), "bound {bound:?}, seed {seed}");
    }
}

/// The store is down for all: daemons do not read in step, and few of them read at all.
#[gtest]
fn next_step_store_down() {
    let bound = Duration::from_secs(3);
    for seed in 1..=20 {
        let mut fleet = ReplayFleet::new(ReadSchedule::configuration(bound), 195, seed);
        steps(0, 5_000).for_each(|now| fleet.step(now, |_| false, false));
        let before = fleet.reads;
        let mut most = 0;
        for now in steps(5_000, 9_500) {
            let reads = fleet.reads;
            fleet.step(now, |_| true, false);
            most = most.max(fleet.reads - reads);
        }
        expect_that!(fleet.reads - before, le(195), "seed {seed}");
        expect_that!(most, le(195 / 4), "seed {seed}");
        for now in steps(9_500, 11_000) {
            fleet.step(now, |_| false, false);
        }
        let ages = fleet.daemons.iter().map(|daemon| daemon.proof.age(MilliTime(11_000)));
        expect_that!(ages.max().flatten(), some(lt(bound)), "seed {seed}");
    }
}
