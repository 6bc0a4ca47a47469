//! A surge of one organisation far above its rate: who gets the tokens, and how many are used.

use std::collections::BTreeMap;
use std::time::Duration;

use googletest::prelude::*;
use lentilway::clock::MilliTime;
use lentilway::policy::caller_retry::{retry_delay, token_retry_delay};
use lentilway::policy::request_rank::RequestRank;
use lentilway::policy::token_priority::{
    DemandLedger, TokenCutoff, TokenScarcity, TokenUrgency, UrgencyCount, UrgencyCounts,
};
use lentilway::policy::token_share::{RateTerms, RateWindow, TokenShare};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const ENTRIES: usize = 60;
const HOSTS: usize = 16;
const WINDOW: RateWindow = RateWindow { span: Duration::from_secs(5), slack: 20.0, overage: 0.1 };
const EXCHANGE_MS: u64 = 200;
const BORROW_TIMEOUT_MS: u64 = 40;
const EMPTY_POOL_BACKOFF_MS: u64 = 60;
/// Time for which a killed host is away.
const AWAY_MS: u64 = 1_500;
const DEADLINE: Duration = Duration::from_millis(2_400);
const SURGE: std::ops::Range<u64> = 8_000..14_500;
const SURGE_FACTOR: f64 = 7.5;
/// The rate, as a multiple of the usual load.
const RATE_FACTOR: f64 = 1.6;
/// Fractions of the requests by priority, the most urgent first.
const MIX: [f64; 3] = [0.2, 0.35, 0.45];

enum Message {
    Tokens(f64),
    RequestTokens(f64),
    Demand(UrgencyCounts),
    Cutoff(Option<TokenCutoff>),
}

#[derive(Clone, Copy)]
struct Attempt {
    priority: u8,
    is_retry: bool,
    remaining: Duration,
}

impl Attempt {
    fn urgency(self) -> TokenUrgency {
        TokenUrgency::of(RequestRank::root(self.priority), self.is_retry)
    }
}

enum Event {
    Arrive(Attempt),
    Message { from: usize, to: usize, message: Message },
    EndWait { entry: usize, number: u64 },
    Exchange(usize),
    Kill(usize),
    Return(usize),
}

struct Entry {
    share: TokenShare,
    scarcity: TokenScarcity,
    ledger: DemandLedger,
    waiting: Vec<(u64, Attempt)>,
    backoff_until: u64,
    is_alive: bool,
}

/// Daemons that share an organisation's rate by messages with delays.
struct SurgeReplay {
    has_priority: bool,
    terms: RateTerms,
    entries: Vec<Entry>,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    random: StdRng,
    admitted: Vec<(u64, u8)>,
    /// First attempts and admitted requests in the surge, by priority.
    offered: [u32; 3],
    served: [u32; 3],
    refused_before: u32,
}

impl SurgeReplay {
    fn replay(per_second: f64, has_priority: bool, killed: &[(u64, usize)], seed: u64) -> Self {
        let terms = RateTerms { per_second, burst: per_second };
        let spread = terms.spread_over(WINDOW);
        let entry = |_| Entry {
            share: TokenShare::new(MilliTime(0), spread),
            scarcity: TokenScarcity::new(MilliTime(0)),
            ledger: DemandLedger::default(),
            waiting: Vec::new(),
            backoff_until: 0,
            is_alive: true,
        };
        let mut replay = SurgeReplay {
            has_priority,
            terms,
            entries: (0..ENTRIES).map(entry).collect(),
            events: BTreeMap::new(),
            next: 0,
            random: StdRng::seed_from_u64(seed),
            admitted: Vec::new(),
            offered: [0; 3],
            served: [0; 3],
            refused_before: 0,
        };
        for entry in 0..ENTRIES {
            let phase = replay.random.random_range(0..EXCHANGE_MS);
            replay.push(phase, Event::Exchange(entry));
        }
        for (at, host) in killed {
            replay.push(*at, Event::Kill(*host));
        }
        replay.offer(per_second / RATE_FACTOR);
        while let Some(((at, number), event)) = replay.events.pop_first() {
            if at < SURGE.end + 3_000 {
                replay.handle(at, number, event);
            }
        }
        replay
    }

    fn offer(&mut self, usual: f64) {
        for at in 0..SURGE.end + 3_000 {
            let factor = if SURGE.contains(&at) { SURGE_FACTOR } else { 1.0 };
            let mut expected = usual * factor / 1_000.0;
            while expected > 0.0 {
                if self.random.random_bool(expected.min(1.0)) {
                    let draw = self.random.random::<f64>();
                    let priority =
                        if draw < MIX[0] { 0 } else { 1 + u8::from(draw > MIX[0] + MIX[1]) };
                    self.offered[usize::from(priority)] += u32::from(SURGE.contains(&at));
                    let attempt = Attempt { priority, is_retry: false, remaining: DEADLINE };
                    self.push(at, Event::Arrive(attempt));
                }
                expected -= 1.0;
            }
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn send(&mut self, at: u64, from: usize, to: usize, message: Message) {
        let delay = self.random.random_range(1..6);
        self.push(at + delay, Event::Message { from, to, message });
    }

    fn pool(&self) -> usize {
        (0..HOSTS).find(|host| self.entries[*host].is_alive).expect("a host is alive")
    }

    fn handle(&mut self, at: u64, number: u64, event: Event) {
        match event {
            Event::Arrive(attempt) => self.arrive(at, number, attempt),
            Event::Message { from, to, message } if self.entries[to].is_alive => {
                self.receive(at, from, to, message);
            }
            Event::Message { .. } => {}
            Event::EndWait { entry, number } => self.end_wait(at, entry, number),
            Event::Exchange(entry) => {
                self.push(at + EXCHANGE_MS, Event::Exchange(entry));
                if self.entries[entry].is_alive {
                    self.exchange(at, entry);
                }
            }
            Event::Kill(host) => {
                self.entries[host].is_alive = false;
                self.entries[host].waiting.clear();
                self.push(at + AWAY_MS, Event::Return(host));
            }
            Event::Return(host) => {
                let entry = &mut self.entries[host];
                entry.is_alive = true;
                entry.share = TokenShare::new(MilliTime(at), self.terms.spread_over(WINDOW));
                entry.scarcity = TokenScarcity::new(MilliTime(at));
                entry.ledger = DemandLedger::default();
                let granted = if host == 0 { self.terms.start_grant(WINDOW) } else { 0.0 };
                entry.share.start(granted, 0.5);
            }
        }
    }

    fn exchange(&mut self, at: u64, index: usize) {
        let (now, pool) = (MilliTime(at), self.pool());
        let terms = self.terms.spread_over(WINDOW);
        let entry = &mut self.entries[index];
        entry.share.set_terms(now, terms, HOSTS, index < HOSTS, index == pool);
        entry.share.set_scarce(entry.scarcity.cutoff(now).is_some());
        let surplus = entry.share.take_surplus(now);
        let shortage = match surplus {
            Some(_) => None,
            None => entry.share.expected_shortage(now),
        };
        let report = self.has_priority.then(|| entry.scarcity.report(now)).flatten();
        if index == pool {
            if let Some(counts) = report {
                entry.ledger.observe(now, &counts);
                let cutoff = entry.ledger.cutoff(now, terms, entry.share.tokens());
                entry.scarcity.set_cutoff(now, cutoff);
            }
            return;
        }
        let messages = [
            surplus.map(Message::Tokens),
            shortage.map(Message::RequestTokens),
            report.map(Message::Demand),
        ];
        for message in messages.into_iter().flatten() {
            self.send(at, index, pool, message);
        }
    }

    fn receive(&mut self, at: u64, from: usize, to: usize, message: Message) {
        let (now, terms) = (MilliTime(at), self.terms.spread_over(WINDOW));
        let entry = &mut self.entries[to];
        let mut answers = Vec::new();
        match message {
            Message::Cutoff(cutoff) => {
                entry.scarcity.set_cutoff(now, cutoff);
                return;
            }
            Message::Tokens(tokens) => entry.share.receive(now, tokens),
            Message::RequestTokens(tokens) => {
                let lent = entry.share.lend(now, tokens);
                if lent > 0.0 {
                    answers.push(Message::Tokens(lent));
                }
            }
            Message::Demand(counts) => {
                entry.ledger.observe(now, &counts);
                let cutoff = entry.ledger.cutoff(now, terms, entry.share.tokens());
                answers.push(Message::Cutoff(cutoff));
            }
        }
        let is_pool = to == self.pool();
        if self.has_priority
            && is_pool
            && answers.iter().all(|one| !matches!(one, Message::Cutoff(_)))
        {
            let entry = &mut self.entries[to];
            let cutoff = entry.ledger.cutoff(now, terms, entry.share.tokens());
            if cutoff.is_some() {
                answers.push(Message::Cutoff(cutoff));
            }
        }
        for answer in answers {
            self.send(at, to, from, answer);
        }
        self.serve_waiting(at, to);
    }

    fn serve_waiting(&mut self, at: u64, index: usize) {
        let entry = &mut self.entries[index];
        if self.has_priority {
            entry.waiting.sort_by_key(|(_, attempt)| attempt.urgency());
        }
        while !entry.waiting.is_empty() && entry.share.take_uncounted(MilliTime(at)) {
            let (_, attempt) = entry.waiting.remove(0);
            self.admitted.push((at, attempt.priority));
            self.served[usize::from(attempt.priority)] += u32::from(SURGE.contains(&at));
        }
    }

    fn arrive(&mut self, at: u64, number: u64, attempt: Attempt) {
        let (now, pool) = (MilliTime(at), self.pool());
        let alive: Vec<usize> = (0..ENTRIES).filter(|one| self.entries[*one].is_alive).collect();
        let index = alive[self.random.random_range(0..alive.len())];
        let entry = &mut self.entries[index];
        let draw = self.random.random::<f64>();
        if self.has_priority && !entry.scarcity.arrive(now, attempt.urgency(), 1.0, draw) {
            return self.refuse(at, index, attempt);
        }
        if entry.share.take(now) {
            self.admitted.push((at, attempt.priority));
            self.served[usize::from(attempt.priority)] += u32::from(SURGE.contains(&at));
            return;
        }
        entry.scarcity.record_short(now);
        if index == pool || at < entry.backoff_until {
            return self.refuse(at, index, attempt);
        }
        let others = entry.waiting.len() as f64;
        entry.waiting.push((number, attempt));
        let shortage = entry.share.shortage(now).map(|tokens| tokens + others);
        self.push(at + BORROW_TIMEOUT_MS, Event::EndWait { entry: index, number });
        if let Some(tokens) = shortage {
            self.send(at, index, pool, Message::RequestTokens(tokens));
        }
    }

    fn end_wait(&mut self, at: u64, index: usize, number: u64) {
        let entry = &mut self.entries[index];
        let Some(place) = entry.waiting.iter().position(|(waiting, _)| *waiting == number) else {
            return;
        };
        let (_, attempt) = entry.waiting.remove(place);
        entry.backoff_until = at + EMPTY_POOL_BACKOFF_MS;
        self.refuse(at, index, attempt);
    }

    fn refuse(&mut self, at: u64, index: usize, attempt: Attempt) {
        self.refused_before += u32::from(at < SURGE.start && at > 3_000);
        if attempt.is_retry {
            return;
        }
        let draw = self.random.random::<f64>();
        let cutoff = self.entries[index].scarcity.cutoff(MilliTime(at));
        let wait = match cutoff {
            Some(cutoff) => {
                let tokens_in = cutoff.tokens_in(attempt.urgency());
                token_retry_delay(attempt.remaining, tokens_in, draw)
            }
            None => retry_delay(attempt.remaining, None, draw),
        };
        expect_that!(wait, le(attempt.remaining / 3));
        let remaining = attempt.remaining - wait;
        let back = at + wait.as_millis() as u64;
        self.push(back, Event::Arrive(Attempt { is_retry: true, remaining, ..attempt }));
    }

    /// Smallest fraction of rate and burst that was used in a window of 5 s within the surge.
    fn least_used(&self) -> f64 {
        let whole = self.terms.per_second * 5.0 + self.terms.burst;
        let starts = (SURGE.start..=SURGE.end - 5_000).step_by(50);
        starts.map(|start| self.admitted_in(start) / whole).fold(f64::INFINITY, f64::min)
    }

    fn admitted_in(&self, start: u64) -> f64 {
        self.admitted.iter().filter(|(at, _)| (start..start + 5_000).contains(at)).count() as f64
    }

    /// Largest number of requests admitted in 5 s, as a fraction of what is allowed.
    fn most_used(&self) -> f64 {
        let whole = self.terms.per_second * 5.0 + self.terms.burst;
        let allowed = whole * (1.0 + WINDOW.overage) + WINDOW.slack;
        let most = self.admitted.iter().map(|(at, _)| self.admitted_in(*at));
        most.fold(0.0, f64::max) / allowed
    }

    fn summary(&self) -> String {
        let (least, most) = (self.least_used(), self.most_used());
        let served = self.served_fractions();
        let refused = self.refused_before;
        format!("used {least:.3} to {most:.2} of the bound, {served:.2?}, {refused} before")
    }

    /// Fraction of the surge's requests that were served, by priority.
    fn served_fractions(&self) -> [f64; 3] {
        [0, 1, 2].map(|index| f64::from(self.served[index]) / f64::from(self.offered[index]))
    }
}

/// Fraction of the refill that is lost while `killed` hosts are away, of rate and burst.
fn lost_fraction(killed: usize) -> f64 {
    let lost = killed as f64 * AWAY_MS as f64 / 1_000.0 / HOSTS as f64;
    lost / (WINDOW.span.as_secs_f64() + 1.0)
}

/// Guards against tokens that go to requests in the order of arrival, and against tokens that are
/// kept for urgent requests and used by none.
#[gtest]
fn cutoff_in_surge_most_urgent_first() {
    for per_second in [10.0, 25.0, 60.0, 150.0] {
        for seed in 0..4 {
            let before = SurgeReplay::replay(per_second, false, &[], seed);
            let after = SurgeReplay::replay(per_second, true, &[], seed);
            println!("{per_second}/s: {} -> {}", before.summary(), after.summary());
            let [urgent, middle, other] = after.served_fractions();
            expect_that!(after.least_used(), ge(0.95), "{per_second}/s, seed {seed}");
            expect_that!(after.most_used(), le(1.0), "{per_second}/s, seed {seed}");
            expect_that!(urgent, gt(0.7), "{per_second}/s, seed {seed}");
            expect_that!(urgent, gt(1.8 * middle), "{per_second}/s, seed {seed}");
            expect_that!(middle, gt(other), "{per_second}/s, seed {seed}");
            // A caller within the rate is refused no more often than without the cutoff.
            expect_that!(after.refused_before, le(before.refused_before + 2));
        }
    }
}

/// The tokens and the refill of hosts that end, the pool among them, are lost and never replaced.
#[gtest]
fn cutoff_in_surge_hosts_killed() {
    let killed = [(9_000, 0), (10_000, 5), (11_000, 1)];
    for per_second in [10.0, 25.0, 60.0, 150.0] {
        for seed in 0..4 {
            let after = SurgeReplay::replay(per_second, true, &killed, seed);
            println!("{per_second}/s, hosts killed: {}", after.summary());
            let least = 0.95 - lost_fraction(killed.len());
            let [urgent, middle, other] = after.served_fractions();
            expect_that!(after.least_used(), ge(least), "{per_second}/s, seed {seed}");
            expect_that!(after.most_used(), le(1.0), "{per_second}/s, seed {seed}");
            expect_that!(urgent, gt(1.3 * middle), "{per_second}/s, seed {seed}");
            expect_that!(middle, gt(other), "{per_second}/s, seed {seed}");
        }
    }
}

/// Tokens that the most urgent requests do not need go to the others: here there are none.
#[gtest]
fn cutoff_without_urgent_requests() {
    let terms = RateTerms { per_second: 50.0, burst: 10.0 };
    let mut ledger = DemandLedger::default();
    let urgency = |priority| TokenUrgency::of(RequestRank::root(priority), false);
    let (middle, other) = (urgency(4), urgency(9));
    for step in 0..20 {
        let counts = [(middle, 4.0), (other, 20.0)];
        let counts = counts.map(|(urgency, requests)| UrgencyCount { urgency, requests });
        ledger.observe(MilliTime(step * 200), &counts);
    }
    let cutoff = ledger.cutoff(MilliTime(3_800), terms, 3.0).expect("the demand is above the rate");
    expect_that!(cutoff.admits(middle, 0.99), eq(true));
    expect_that!(cutoff.urgency, eq(other));
    expect_that!(f64::from(cutoff.fraction), near(0.3, 0.15));
    // Less urgent requests wait until the refill covers what is refused before them.
    expect_that!(cutoff.tokens_in(other), gt(cutoff.tokens_in(urgency(1)) / 2));
}

/// Callers that are refused at one moment do not return in one wave, also where the time that they
/// have left is shorter than the time until tokens come.
#[gtest]
fn token_retry_delay_spread() {
    let remaining = Duration::from_millis(600);
    let mut random = StdRng::seed_from_u64(5);
    let delays: Vec<u128> = (0..1_000)
        .map(|_| token_retry_delay(remaining, Duration::from_secs(4), random.random()).as_millis())
        .collect();
    let in_ten_ms =
        |from: u128| delays.iter().filter(|one| (from..from + 10).contains(one)).count();
    expect_that!((0..200).step_by(10).map(in_ten_ms).max(), some(lt(200)));
    expect_that!(delays.iter().max(), some(le(&200)));
}

/// A cutoff whose pool no longer answers ends, and without one nothing is reported in calm.
#[gtest]
fn cutoff_expires() {
    let urgency = TokenUrgency::of(RequestRank::root(3), false);
    let cutoff = TokenCutoff { urgency, fraction: 0.0, wait_millis: 100, later_millis: 100 };
    let mut scarcity = TokenScarcity::new(MilliTime(0));
    scarcity.set_cutoff(MilliTime(0), Some(cutoff));
    expect_that!(scarcity.arrive(MilliTime(500), urgency, 1.0, 0.5), eq(false));
    expect_that!(scarcity.report(MilliTime(500)), some(len(eq(1))));
    expect_that!(scarcity.arrive(MilliTime(1_500), urgency, 1.0, 0.5), eq(true));
    expect_that!(scarcity.report(MilliTime(1_500)), none());
}

/// Urgent requests that a full service refuses took the tokens of the others: the pool counted them
/// as demand, and refused less urgent requests for them.
#[gtest]
fn arrive_refused_for_capacity() -> googletest::Result<()> {
    let now = MilliTime(100);
    let [urgent, other] =
        [0, 4].map(|priority| TokenUrgency::of(RequestRank::root(priority), false));
    let mut scarcity = TokenScarcity::new(now);
    for _ in 0..20 {
        scarcity.arrive(now, urgent, 0.0, 0.5);
        scarcity.arrive(now, other, 1.0, 0.5);
    }
    scarcity.record_short(now);
    let mut ledger = DemandLedger::default();
    ledger.observe(now, &scarcity.report(now).or_fail()?);
    let terms = RateTerms { per_second: 30.0, burst: 6.0 };
    let cutoff = ledger.cutoff(now, terms, 1.8).or_fail()?;
    expect_that!(cutoff.urgency, eq(other));
    // 20 requests in 0.4 s are 50 per second.
    expect_that!(cutoff.fraction, near(0.6, 0.01));
    Ok(())
}
