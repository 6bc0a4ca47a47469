//! The members stream of the platform's log, through which new daemons and members find each
//! other.

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use rand::Rng;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use super::entry::{MemberEntry, MemberLiveness, MemberRecord};
use super::gossip::MemberGossip;
use crate::logging::log_event;
use crate::process::platform_log::{LogError, PlatformLog, StreamName};

const MIN_POLL_INTERVAL: Duration = Duration::from_millis(500);
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(60);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(120);
const READ_LIMIT: usize = 1024;
const READ_WAIT: Duration = Duration::ZERO;
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);
/// After this long without a record some members append theirs again, so that the log's
/// retention never removes all of them.
const REFRESH_AFTER: Duration = Duration::from_secs(300);
/// Expected number of members that append in a refresh.
const REFRESH_WRITERS: f64 = 3.0;

#[derive(Serialize)]
struct PresenceEvent<'a> {
    service: Option<&'a str>,
    liveness: MemberLiveness,
    published: bool,
}

/// Appends to and follows the members stream for one daemon.
pub struct MemberStream {
    log: Arc<dyn PlatformLog>,
    gossip: Arc<MemberGossip>,
    appended: watch::Sender<u64>,
}

impl MemberStream {
    /// The members stream of `log`.
    pub fn new(log: Arc<dyn PlatformLog>, gossip: Arc<MemberGossip>) -> Arc<Self> {
        Arc::new(MemberStream { log, gossip, appended: watch::Sender::new(0) })
    }

    /// Appends this daemon's entry whenever it changes, until the daemon leaves. Only daemons with
    /// a backend server are in the log; the others are discovered through these.
    pub async fn publish_changes(self: Arc<Self>) {
        let mut changes = self.gossip.subscribe_own();
        let mut was_published = false;
        loop {
            let own = changes.borrow_and_update().clone();
            if own.liveness == MemberLiveness::Leaving {
                return;
            }
            if own.service.is_some() || was_published {
                was_published = true;
                self.append_until(&own, &mut changes).await;
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Retries until the append succeeds or the entry has changed.
    async fn append_until(&self, own: &MemberEntry, changes: &mut watch::Receiver<MemberEntry>) {
        let mut delay = MIN_RETRY_DELAY;
        while !self.append(own).await {
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::select! {
                () = sleep(delay.mul_f64(jitter)) => {}
                _ = changes.changed() => {
                    changes.mark_changed();
                    return;
                }
            }
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Appends the last entry, within a time limit so that an unavailable log does not delay the
    /// stop.
    pub async fn publish_leave(&self) {
        let own = self.gossip.own();
        if own.service.is_some() {
            // Members receive it by gossip; with the record, new daemons need not check this one.
            let _ = timeout(LEAVE_TIMEOUT, self.append(&own)).await;
        }
    }

    async fn append(&self, entry: &MemberEntry) -> bool {
        let record = MemberRecord::Entry(entry.clone());
        let body = serde_json::to_vec(&record).expect("a record has only string keys");
        let published = self.log.append(&StreamName::members(), body.into()).await.is_ok();
        let (service, liveness) = (entry.service.as_deref(), entry.liveness);
        let event = PresenceEvent { service, liveness, published };
        log_event(Level::Info, "presence-published", event);
        if published {
            self.appended.send_modify(|appended| *appended += 1);
        }
        published
    }

    /// Polls the stream: often at the start and after each append by this daemon, then with a
    /// growing delay.
    ///
    /// Of any two daemons, the one that appended later reads the other's record.
    pub async fn follow(self: Arc<Self>) {
        let mut appended = self.appended.subscribe();
        let mut next = 0;
        let mut delay = MIN_POLL_INTERVAL;
        let mut last_record = Instant::now();
        loop {
            match self.read_to_tail(&mut next).await {
                Ok(0) => {}
                Ok(_) => last_record = Instant::now(),
                Err(LogError::Gap { earliest }) => {
                    next = earliest;
                    continue;
                }
                Err(LogError::Unavailable { .. }) => {}
            }
            if last_record.elapsed() > REFRESH_AFTER {
                self.refresh().await;
            }
            let jitter = rand::rng().random_range(0.75..1.25);
            tokio::select! {
                () = sleep(delay.mul_f64(jitter)) => delay = (delay * 2).min(MAX_POLL_INTERVAL),
                _ = appended.changed() => delay = MIN_POLL_INTERVAL,
            }
        }
    }

    async fn read_to_tail(&self, next: &mut u64) -> Result<usize, LogError> {
        let mut count = 0;
        loop {
            let stream = StreamName::members();
            let page = self.log.read(&stream, *next, READ_LIMIT, READ_WAIT).await?;
            for record in &page.records {
                *next = record.offset + 1;
                self.apply(&record.body);
            }
            count += page.records.len();
            if page.records.is_empty() || *next >= page.tail {
                return Ok(count);
            }
        }
    }

    fn apply(&self, body: &[u8]) {
        match serde_json::from_slice(body) {
            Ok(MemberRecord::Entry(entry)) => {
                self.gossip.merge(&entry);
            }
            Ok(record) => self.gossip.table().apply(record),
            // A newer release may append records of an unknown kind.
            Err(_) => {}
        }
    }

    async fn refresh(&self) {
        let own = self.gossip.own();
        let fraction = REFRESH_WRITERS / self.gossip.table().live_count().max(1) as f64;
        if own.service.is_some() && rand::rng().random_bool(fraction.min(1.0)) {
            self.append(&own).await;
        }
    }
}
