//! Model of daemons, messages and a log whose steps a test generates, on a simulated clock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lentilway::clock::MilliTime;
use lentilway::process::members::InstanceId;
use lentilway::process::rates::lease::LeaseTracker;
use lentilway::process::rates::message::{QuotaAsk, QuotaGrant};
use lentilway::process::rates::pool::{TokenLender, TokenPool};
use lentilway::process::rates::record::{ReleaseRecord, ShareRecord};
use lentilway::process::rates::share::ShareId;
use lentilway::process::rates::share_table::{ShareEvent, ShareTable};
use lentilway::process::rates::terms::{LeaseTerms, ShareTerms};
use lentilway_lab::measure::rates::window::{AdmissionSpan, WindowExcess, worst_window};
use proptest::prelude::*;

const DAEMONS: usize = 4;
const TERMS: LeaseTerms =
    LeaseTerms { short: Duration::from_millis(1500), long: Duration::from_millis(4000) };

/// One step. Times are in microseconds; indices select a daemon, a message or a record modulo the
/// count.
#[derive(Clone, Debug)]
pub enum ModelOp {
    Advance(u64),
    Burst(usize, u8),
    Ask { from: usize, to: usize, relay: bool, waiting: u64 },
    Deliver(usize),
    Lose(usize),
    TimeOut(usize),
    Sweep(usize),
    Read(usize),
    Claim(usize),
    Renew(usize),
    Release(usize, bool),
    Write(usize),
    Restart(usize, bool),
    SetTerms,
    Recreate,
    Adopt(usize),
}

impl ModelOp {
    pub fn any() -> impl Strategy<Value = ModelOp> {
        let daemon = || 0..DAEMONS;
        prop_oneof![
            8 => (100u64..40_000).prop_map(ModelOp::Advance),
            1 => (100_000u64..2_500_000).prop_map(ModelOp::Advance),
            8 => (daemon(), 1u8..20).prop_map(|(daemon, count)| ModelOp::Burst(daemon, count)),
            10 => (daemon(), daemon(), any::<bool>(), 0u64..6).prop_map(
                |(from, to, relay, waiting)| ModelOp::Ask { from, to, relay, waiting }
            ),
            20 => any::<usize>().prop_map(ModelOp::Deliver),
            1 => any::<usize>().prop_map(ModelOp::Lose),
            1 => daemon().prop_map(ModelOp::TimeOut),
            2 => daemon().prop_map(ModelOp::Sweep),
            8 => daemon().prop_map(ModelOp::Read),
            4 => daemon().prop_map(ModelOp::Claim),
            4 => daemon().prop_map(ModelOp::Renew),
            1 => (daemon(), any::<bool>()).prop_map(|(daemon, one)| ModelOp::Release(daemon, one)),
            10 => any::<usize>().prop_map(ModelOp::Write),
            1 => (daemon(), any::<bool>()).prop_map(|(daemon, gap)| ModelOp::Restart(daemon, gap)),
            1 => Just(ModelOp::SetTerms),
            1 => Just(ModelOp::Recreate),
            3 => daemon().prop_map(ModelOp::Adopt),
        ]
    }
}

enum ModelMessage {
    Ask { from: InstanceId, to: InstanceId, ask: QuotaAsk, sent_at: MilliTime },
    Grant { from: InstanceId, to: InstanceId, sequence: u64, sent_at: MilliTime, grant: QuotaGrant },
}

struct ModelDaemon {
    instance: InstanceId,
    /// Offset of this daemon's clock from the model's, in microseconds.
    clock_offset: u64,
    sequence: u64,
    pool: TokenPool,
    table: ShareTable,
    leases: LeaseTracker,
    asking: Option<u64>,
    /// Index of the version of the terms that it applies.
    version: usize,
}

impl ModelDaemon {
    fn new(index: usize, boot: u64, start: u64, time: u64) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 7000 + index as u16));
        let instance = InstanceId { address, boot };
        let clock_offset = 1_000_237 * index as u64;
        ModelDaemon {
            instance,
            clock_offset,
            sequence: 0,
            pool: TokenPool::default(),
            table: ShareTable::new(start, MilliTime((time + clock_offset) / 1000), TERMS.long),
            leases: LeaseTracker::new(instance),
            asking: None,
            version: 0,
        }
    }
}

/// The model. Its log may write an append late or never.
pub struct RateModel {
    time: u64,
    organisation: Arc<str>,
    versions: Vec<Option<(f64, f64)>>,
    daemons: Vec<ModelDaemon>,
    messages: Vec<ModelMessage>,
    unwritten: Vec<Vec<u8>>,
    log: Vec<Vec<u8>>,
    boots: u64,
    holders: HashMap<ShareId, InstanceId>,
    pub admissions: Vec<AdmissionSpan>,
    pub grants_received: usize,
    pub shares_moved: usize,
    /// Largest amount of one share that could be spent at one time, in millionths of a token.
    pub max_spendable: u64,
}

impl RateModel {
    /// A model in which each daemon holds an equal number of the shares.
    pub fn new(rate: f64, burst: f64) -> Self {
        let mut model = RateModel::without_holders(rate, burst);
        let shares: Vec<ShareId> = ShareId::of_organisation(&model.organisation).collect();
        for (index, shares) in shares.chunks(shares.len() / DAEMONS).enumerate() {
            model.hold(index, shares.to_vec());
        }
        model.log.append(&mut model.unwritten);
        (0..DAEMONS).for_each(|daemon| model.read(daemon));
        model
    }

    fn without_holders(rate: f64, burst: f64) -> Self {
        RateModel {
            time: 0,
            organisation: "nord".into(),
            versions: vec![Some((rate, burst))],
            daemons: (0..DAEMONS).map(|index| ModelDaemon::new(index, 0, 0, 0)).collect(),
            messages: Vec::new(),
            unwritten: Vec::new(),
            log: Vec::new(),
            boots: 0,
            holders: HashMap::new(),
            admissions: Vec::new(),
            grants_received: 0,
            shares_moved: 0,
            max_spendable: 0,
        }
    }

    /// Burst of one share under the largest burst that was ever in force, in millionths of a token.
    pub fn burst_micros(&self) -> u64 {
        let versions = self.versions.iter().flatten();
        let bursts = versions.map(|(rate, burst)| ShareTerms::new(*rate, *burst).burst_micros);
        bursts.max().unwrap_or(0)
    }

    /// Worst window, compared with the largest rate and burst that were ever in force.
    pub fn worst_window(&self) -> Option<WindowExcess> {
        let versions = self.versions.iter().flatten();
        let (rate, burst) = versions.fold((0.0, 0.0), |(rate, burst): (f64, f64), version| {
            (rate.max(version.0), burst.max(version.1))
        });
        worst_window(&self.admissions, rate, burst)
    }

    pub fn apply(&mut self, op: ModelOp) {
        self.step(op);
        self.max_spendable = self.max_spendable.max(self.spendable());
    }

    /// Largest amount of one share that all daemons could spend now, including awaited grants.
    fn spendable(&mut self) -> u64 {
        let shares = ShareId::of_organisation(&self.organisation);
        shares.map(|share| self.spendable_of(share)).max().unwrap_or(0)
    }

    fn spendable_of(&mut self, share: ShareId) -> u64 {
        let here: u64 = (0..DAEMONS).map(|daemon| self.spendable_at(daemon, share)).sum();
        let awaited = self.messages.iter().map(|message| self.spendable_in(message, share));
        here + awaited.sum::<u64>()
    }

    fn spendable_at(&mut self, daemon: usize, share: ShareId) -> u64 {
        let (now, terms) = (self.now(daemon), self.terms(daemon));
        let Some(terms) = terms else { return 0 };
        let name = self.organisation.clone();
        let pool = &mut self.daemons[daemon].pool;
        pool.held.share_level(share, &name, &terms, now)
            + pool.account(&name).share_level(share, now)
    }

    fn spendable_in(&self, message: &ModelMessage, share: ShareId) -> u64 {
        let ModelMessage::Grant { to, sequence, sent_at, grant, .. } = message else { return 0 };
        let Some(borrower) = self.index_of(*to) else { return 0 };
        let awaited = self.daemons[borrower].asking == Some(*sequence);
        let now = self.now(borrower);
        let alive = |life_ms| *sent_at + Duration::from_millis(life_ms) > now;
        let parts = grant.parts.iter().filter(|part| part.share == share);
        parts.filter(|part| awaited && alive(part.life_ms)).map(|part| part.micros).sum()
    }

    fn step(&mut self, op: ModelOp) {
        match op {
            ModelOp::Advance(micros) => self.time += micros,
            ModelOp::Burst(daemon, count) => self.burst(daemon, count),
            ModelOp::Ask { from, to, relay, waiting } => self.ask(from, to, relay, waiting),
            ModelOp::Deliver(index) => self.deliver(index),
            ModelOp::Lose(index) => {
                self.take_message(index);
            }
            ModelOp::TimeOut(daemon) => self.time_out(daemon),
            ModelOp::Sweep(daemon) => self.sweep(daemon),
            ModelOp::Read(daemon) => self.read(daemon),
            ModelOp::Claim(daemon) => self.claim(daemon),
            ModelOp::Renew(daemon) => self.renew(daemon),
            ModelOp::Release(daemon, one) => self.release(daemon, one),
            ModelOp::Write(index) => self.write(index),
            ModelOp::Restart(daemon, gap) => self.restart(daemon, gap),
            ModelOp::SetTerms => self.set_terms(),
            ModelOp::Recreate => self.recreate(),
            ModelOp::Adopt(daemon) => self.daemons[daemon].version = self.versions.len() - 1,
        }
    }

    fn now(&self, daemon: usize) -> MilliTime {
        MilliTime((self.time + self.daemons[daemon].clock_offset) / 1000)
    }

    fn terms(&self, daemon: usize) -> Option<ShareTerms> {
        let (rate, burst) = self.versions[self.daemons[daemon].version]?;
        Some(ShareTerms::new(rate, burst))
    }

    fn next_sequence(&mut self, daemon: usize) -> u64 {
        self.daemons[daemon].sequence += 1;
        self.daemons[daemon].sequence
    }

    fn burst(&mut self, daemon: usize, count: u8) {
        let (now, terms) = (self.now(daemon), self.terms(daemon));
        let Some(terms) = terms else { return };
        for _ in 0..count {
            if self.daemons[daemon].pool.take(&self.organisation, &terms, now) {
                let millis = self.time as f64 / 1000.0;
                self.admissions.push(AdmissionSpan::at(millis));
            }
        }
    }

    fn ask(&mut self, from: usize, to: usize, relay: bool, waiting: u64) {
        let (now, terms) = (self.now(from), self.terms(from));
        let Some(terms) = terms.filter(|_| from != to) else { return };
        if self.daemons[from].asking.is_some() {
            return;
        }
        let sequence = self.next_sequence(from);
        let (to, name) = (self.daemons[to].instance, self.organisation.clone());
        let daemon = &mut self.daemons[from];
        let account = daemon.pool.account(&name);
        account.count_arrivals(waiting as f64 * 20.0, now);
        account.waiting = waiting;
        let lender = TokenLender { instance: to, relay };
        let ask = daemon.pool.prepare_ask(&name, &terms, lender, sequence, now);
        daemon.pool.account(&name).waiting = 0;
        if let Some(ask) = ask {
            daemon.asking = Some(sequence);
            let from = daemon.instance;
            self.messages.push(ModelMessage::Ask { from, to, ask, sent_at: now });
        }
    }

    fn take_message(&mut self, index: usize) -> Option<ModelMessage> {
        let count = self.messages.len();
        (count > 0).then(|| self.messages.swap_remove(index % count))
    }

    fn index_of(&self, instance: InstanceId) -> Option<usize> {
        self.daemons.iter().position(|daemon| daemon.instance == instance)
    }

    fn deliver(&mut self, index: usize) {
        match self.take_message(index) {
            Some(ModelMessage::Ask { from, to, ask, sent_at }) => {
                let Some(lender) = self.index_of(to) else { return };
                let (now, terms) = (self.now(lender), self.terms(lender));
                let pool = &mut self.daemons[lender].pool;
                let settled = pool.settle(from, &ask, now);
                let Some(terms) = terms.filter(|_| settled) else { return };
                let sequence = ask.sequence;
                let grant = pool.lend(from, &ask, &terms, now);
                let (from, to) = (to, from);
                let reply = ModelMessage::Grant { from, to, sequence, sent_at, grant };
                self.messages.push(reply);
            }
            Some(ModelMessage::Grant { from, to, sequence, sent_at, grant }) => {
                let Some(borrower) = self.index_of(to) else { return };
                let now = self.now(borrower);
                let daemon = &mut self.daemons[borrower];
                if daemon.asking == Some(sequence) {
                    daemon.asking = None;
                    let account = daemon.pool.account(&self.organisation);
                    account.receive(from, &grant, sent_at, now);
                    self.grants_received += usize::from(!grant.parts.is_empty());
                }
            }
            None => {}
        }
    }

    fn time_out(&mut self, daemon: usize) {
        let now = self.now(daemon);
        let daemon = &mut self.daemons[daemon];
        if daemon.asking.take().is_some() {
            // Which lender did not answer is irrelevant here.
            daemon.pool.account(&self.organisation).note_timeout(daemon.instance, now);
        }
    }

    fn sweep(&mut self, daemon: usize) {
        let now = self.now(daemon);
        let daemon = &mut self.daemons[daemon];
        let mut sequence = daemon.sequence;
        let next = || {
            sequence += 1;
            sequence
        };
        let unused = daemon.pool.take_unused(next, now);
        daemon.sequence = sequence;
        let from = daemon.instance;
        let sent_at = now;
        let messages = unused.into_iter();
        self.messages.extend(messages.map(|(to, ask)| ModelMessage::Ask {
            from,
            to,
            ask,
            sent_at,
        }));
    }

    fn read(&mut self, index: usize) {
        let now = self.now(index);
        let named = [self.organisation.clone()];
        let tail = self.versions.len() - 1;
        let daemon = &mut self.daemons[index];
        for offset in daemon.table.next_offset()..self.log.len() as u64 {
            for event in daemon.table.apply(offset, &self.log[offset as usize], now) {
                if let ShareEvent::Taken { share, holder, .. } = &event {
                    let before = self.holders.insert(*share, *holder);
                    self.shares_moved += usize::from(before.is_some_and(|old| old != *holder));
                }
                daemon.leases.apply(event, &mut daemon.pool, now);
            }
        }
        if daemon.version == tail {
            let joining = daemon.leases.pending();
            daemon.leases.activate(&joining, &named, &mut daemon.pool, now);
        }
    }

    fn claim(&mut self, index: usize) {
        let now = self.now(index);
        let shares = ShareId::of_organisation(&self.organisation);
        let table = &self.daemons[index].table;
        let free = shares.filter(|share| table.free_since(*share, now).is_some());
        let free = free.collect();
        self.hold(index, free);
    }

    fn renew(&mut self, index: usize) {
        let held = self.daemons[index].pool.held.leases().map(|(share, _)| share).collect();
        self.hold(index, held);
    }

    fn hold(&mut self, index: usize, shares: Vec<ShareId>) {
        let now = self.now(index);
        let (short, long): (Vec<ShareId>, Vec<ShareId>) =
            shares.into_iter().partition(|share| share.is_short());
        for shares in [short, long] {
            let Some(first) = shares.first() else { continue };
            let term = first.term(&TERMS);
            let sequence = self.next_sequence(index);
            let daemon = &mut self.daemons[index];
            let seen = daemon.table.next_offset();
            let record = daemon.leases.hold(shares, term, seen, sequence, now);
            let body = serde_json::to_vec(&ShareRecord::Hold(record))
                .expect("a record serializes to JSON");
            self.unwritten.push(body);
        }
    }

    fn release(&mut self, index: usize, one: bool) {
        let daemon = &mut self.daemons[index];
        let held = daemon.pool.held.leases().map(|(share, _)| share);
        let held: Vec<ShareId> = held.take(if one { 1 } else { usize::MAX }).collect();
        let shares = daemon.pool.held.release(&held);
        let (instance, seen) = (daemon.instance, daemon.table.next_offset());
        let record = ReleaseRecord { instance, seen, shares };
        let body =
            serde_json::to_vec(&ShareRecord::Release(record)).expect("a record serializes to JSON");
        // A release without an answer is sent again.
        self.unwritten.push(body.clone());
        self.unwritten.push(body);
    }

    fn write(&mut self, index: usize) {
        let count = self.unwritten.len();
        if count > 0 {
            let body = self.unwritten.swap_remove(index % count);
            self.log.push(body);
        }
    }

    fn restart(&mut self, index: usize, gap: bool) {
        self.boots += 1;
        let start = if gap { self.log.len() as u64 } else { 0 };
        self.daemons[index] = ModelDaemon::new(index, self.boots, start, self.time);
    }

    /// Halves the terms, or restores the first ones.
    fn set_terms(&mut self) {
        let first = self.versions[0].expect("the first version has terms");
        let half = (first.0 / 2.0, first.1 / 2.0);
        let last = self.versions.iter().rev().flatten().next();
        let next = if last == Some(&first) { half } else { first };
        self.versions.push(Some(next));
    }

    fn recreate(&mut self) {
        let last = self.versions.iter().rev().flatten().next().copied();
        self.versions.push(None);
        self.versions.push(last);
    }
}
