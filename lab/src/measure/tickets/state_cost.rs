//! CPU time and memory of the configuration state.

use std::hint::black_box;
use std::time::Instant;

use bytes::Bytes;
use lentilway::version::cell::{ConfigCell, RecordBatch};
use lentilway::version::digest::Sha256Digest;
use lentilway::version::organisation::OrganisationState;
use lentilway::version::snapshot::{decode_snapshot, encode_snapshot};
use lentilway::version::state::ConfigState;
use lentilway::version::verdict::REMEMBERED_TICKETS;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use super::process_usage::resident_bytes;
use crate::fleet::{read_route, ticket};

const KEYS_PER_ORGANISATION: usize = 3;
const ROUTES: usize = 340;
const LOOKUPS: usize = 20_000;
const TICKETS_APPLIED: u64 = 500;
const COPIES: u64 = 24;

/// An organisation with [`KEYS_PER_ORGANISATION`] keys.
pub(super) fn organisation_of(index: usize, rate: f64) -> Value {
    let key = |number| json!({ "digest": Sha256Digest::of(key_text(index, number).as_bytes()) });
    let keys: Vec<Value> = (0..KEYS_PER_ORGANISATION).map(key).collect();
    let state = json!({ "keys": keys, "rate": rate, "burst": 200.0 });
    json!({ "kind": "organisation", "name": format!("organisation-{index:04}"), "state": state })
}

fn key_text(index: usize, number: usize) -> String {
    format!("key-{index}-{number}")
}

/// A log that creates every organisation and route, then updates random organisations.
struct SampleLog {
    organisations: usize,
    number: u64,
    random: StdRng,
}

impl SampleLog {
    fn next_record(&mut self) -> Bytes {
        self.number += 1;
        let index = self.number as usize - 1;
        let object = if index < self.organisations {
            organisation_of(index, 100.0)
        } else if index < self.organisations + ROUTES {
            let name = format!("route-{index}");
            read_route(&name, &format!("/{name}"), "stock")
        } else {
            let index = self.random.random_range(0..self.organisations);
            organisation_of(index, f64::from(self.random.random_range(1..1000_u32)))
        };
        ticket(self.number, &[object]).to_string().into()
    }

    fn batch(&mut self, from: u64, count: u64) -> RecordBatch {
        let records = (from..from + count).map(|offset| (offset, self.next_record()));
        RecordBatch { from, records: records.collect() }
    }
}

fn create_state(organisations: usize, tickets: u64, seed: u64) -> (ConfigCell, SampleLog) {
    let random = StdRng::seed_from_u64(seed);
    let mut log = SampleLog { organisations, number: 0, random };
    let cell = ConfigCell::default();
    cell.apply_batch(&log.batch(0, organisations as u64 + ROUTES as u64 + tickets));
    (cell, log)
}

pub(super) fn print_tables(seed: u64) {
    println!("state: {ROUTES} routes, {KEYS_PER_ORGANISATION} keys an organisation, seed {seed}");
    println!(
        "| organisations | tickets applied before | remembered | apply one at a time, us | \
         apply in a batch of {TICKETS_APPLIED}, us each | state, KiB | snapshot, KiB | encode, us | decode, us | \
         key lookup, ns | linear scan, ns |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for organisations in [10, 100, 1000] {
        for tickets in [0, 2 * REMEMBERED_TICKETS as u64] {
            print_row(organisations, tickets, seed);
        }
    }
    println!();
}

fn print_row(organisations: usize, tickets: u64, seed: u64) {
    let (cell, mut log) = create_state(organisations, tickets, seed);
    let state = cell.current();
    let remembered = state.verdicts().iter().len();
    let snapshot = encode_snapshot(&state);
    let encode = micros(|| drop(black_box(encode_snapshot(&state))));
    let decode = micros(|| drop(black_box(decode_snapshot(&snapshot))));
    let memory = state_bytes(&snapshot);
    let (indexed, scanned) = lookup_nanos(&state, organisations);
    drop(state);
    let single = apply_micros(&cell, &mut log, 1);
    let batched = apply_micros(&cell, &mut log, TICKETS_APPLIED);
    println!(
        "| {organisations} | {} | {remembered} | {single:.0} | {batched:.0} | {} | {} | {encode:.0} \
         | {decode:.0} | {indexed:.0} | {scanned:.0} |",
        cell.next_offset() - 2 * TICKETS_APPLIED,
        memory / 1024,
        snapshot.len() / 1024,
    );
}

fn micros(operation: impl Fn()) -> f64 {
    const REPEATS: u32 = 20;
    let started = Instant::now();
    (0..REPEATS).for_each(|_| operation());
    started.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS)
}

/// Time per ticket, applied in batches of `size`, without the creation of the records.
fn apply_micros(cell: &ConfigCell, log: &mut SampleLog, size: u64) -> f64 {
    let mut next = cell.next_offset();
    let batches: Vec<RecordBatch> = (0..TICKETS_APPLIED / size)
        .map(|_| {
            let batch = log.batch(next, size);
            next += size;
            batch
        })
        .collect();
    let started = Instant::now();
    for batch in &batches {
        cell.apply_batch(batch);
    }
    started.elapsed().as_secs_f64() * 1e6 / TICKETS_APPLIED as f64
}

fn state_bytes(snapshot: &[u8]) -> u64 {
    let before = resident_bytes();
    let copies: Vec<_> = (0..COPIES).map(|_| decode_snapshot(snapshot)).collect();
    let growth = resident_bytes().saturating_sub(before);
    drop(black_box(copies));
    growth / COPIES
}

fn lookup_nanos(state: &ConfigState, organisations: usize) -> (f64, f64) {
    let text = |lookup: usize| key_text(lookup % organisations, lookup % KEYS_PER_ORGANISATION);
    let digests: Vec<_> =
        (0..LOOKUPS).map(|lookup| Sha256Digest::of(text(lookup).as_bytes())).collect();
    let nanos =
        |started: Instant, count: usize| started.elapsed().as_secs_f64() * 1e9 / count as f64;
    let started = Instant::now();
    for digest in &digests {
        black_box(state.key_owner(digest));
    }
    let indexed = nanos(started, digests.len());
    let sample = &digests[..LOOKUPS / 20];
    let started = Instant::now();
    for digest in sample {
        black_box(scan(state, digest));
    }
    (indexed, nanos(started, sample.len()))
}

/// The alternative to the index: a linear scan of every key of every organisation.
fn scan(state: &ConfigState, digest: &Sha256Digest) -> usize {
    let keys = |organisation: &OrganisationState| {
        organisation.keys.iter().filter(|entry| entry.digest.matches(digest)).count()
    };
    state.organisations.values().map(|organisation| keys(organisation)).sum()
}
