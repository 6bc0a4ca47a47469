//! The members stream of the platform's log: how newcomers and the others find each other.

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

const FIRST_POLL: Duration = Duration::from_millis(500);
const POLL_LIMIT: Duration = Duration::from_secs(60);
const FIRST_RETRY: Duration = Duration::from_millis(250);
const RETRY_LIMIT: Duration = Duration::from_secs(120);
const READ_LIMIT: usize = 1024;
const READ_WAIT: Duration = Duration::ZERO;
const LEAVE_TIMEOUT: Duration = Duration::from_secs(1);
/// With no record for this long, some members write theirs again, so that the log never
/// forgets all of them.
const QUIET_LIMIT: Duration = Duration::from_secs(300);
const QUIET_WRITERS: f64 = 3.0;

#[derive(Serialize)]
struct PresenceEvent<'a> {
    service: Option<&'a str>,
    liveness: MemberLiveness,
    published: bool,
}

/// Reads and writes the members stream for one daemon.
pub struct MemberStream {
    log: Arc<dyn PlatformLog>,
    gossip: Arc<MemberGossip>,
    appended: watch::Sender<u64>,
}

impl MemberStream {
    /// A journal on `log`.
    pub fn new(log: Arc<dyn PlatformLog>, gossip: Arc<MemberGossip>) -> Arc<Self> {
        Arc::new(MemberStream { log, gossip, appended: watch::Sender::new(0) })
    }

    /// Appends the own entry whenever it changes, until the daemon leaves. Only daemons with a
    /// backend server stand in the log; the others are found by asking them.
    pub async fn publish_changes(self: Arc<Self>) {
        let mut changes = self.gossip.subscribe_own();
        let mut was_listed = false;
        loop {
            let own = changes.borrow_and_update().clone();
            if own.liveness == MemberLiveness::Leaving {
                return;
            }
            if own.service.is_some() || was_listed {
                was_listed = true;
                self.append_until(&own, &mut changes).await;
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Tries again until the append succeeds or the entry has changed.
    async fn append_until(&self, own: &MemberEntry, changes: &mut watch::Receiver<MemberEntry>) {
        let mut pause = FIRST_RETRY;
        while !self.append(own).await {
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::select! {
                () = sleep(pause.mul_f64(jitter)) => {}
                _ = changes.changed() => {
                    changes.mark_changed();
                    return;
                }
            }
            pause = (pause * 2).min(RETRY_LIMIT);
        }
    }

    /// Appends the last entry; a store that is down does not hold the stop up.
    pub async fn publish_leave(&self) {
        let own = self.gossip.own();
        if own.service.is_some() {
            // The others learn of it by gossip; the record spares newcomers a look.
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

    /// Reads the stream: often at first and after each own append, then seldom.
    ///
    /// Of any two daemons, the one that appended later reads the record of the other.
    pub async fn follow(self: Arc<Self>) {
        let mut appended = self.appended.subscribe();
        let mut next = 0;
        let mut pause = FIRST_POLL;
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
            if last_record.elapsed() > QUIET_LIMIT {
                self.refresh().await;
            }
            let jitter = rand::rng().random_range(0.75..1.25);
            tokio::select! {
                () = sleep(pause.mul_f64(jitter)) => pause = (pause * 2).min(POLL_LIMIT),
                _ = appended.changed() => pause = FIRST_POLL,
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
                self.take(&record.body);
            }
            count += page.records.len();
            if page.records.is_empty() || *next >= page.tail {
                return Ok(count);
            }
        }
    }

    fn take(&self, body: &[u8]) {
        match serde_json::from_slice(body) {
            Ok(MemberRecord::Entry(entry)) => {
                self.gossip.merge(&entry);
            }
            Ok(record) => self.gossip.table().apply(record),
            // A newer release may write records that this one does not know.
            Err(_) => {}
        }
    }

    async fn refresh(&self) {
        let own = self.gossip.own();
        let share = QUIET_WRITERS / self.gossip.table().live_count().max(1) as f64;
        if own.service.is_some() && rand::rng().random_bool(share.min(1.0)) {
            self.append(&own).await;
        }
    }
}
