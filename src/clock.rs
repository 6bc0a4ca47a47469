//! Time in milliseconds.

use std::ops::Add;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// A point in time, in milliseconds since the origin of its clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MilliTime(pub u64);

impl MilliTime {
    /// The time elapsed since `earlier`, zero if `earlier` is later.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use std::time::Duration;
    /// assert_eq!(MilliTime(70).since(MilliTime(50)), Duration::from_millis(20));
    /// assert_eq!(MilliTime(50).since(MilliTime(70)), Duration::ZERO);
    /// ```
    pub fn since(self, earlier: MilliTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The point `span` earlier, saturating at the origin.
    ///
    /// ```
    /// use lentilway::clock::MilliTime;
    /// use std::time::Duration;
    /// assert_eq!(MilliTime(70).before(Duration::from_millis(20)), MilliTime(50));
    /// ```
    pub fn before(self, span: Duration) -> MilliTime {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        MilliTime(self.0.saturating_sub(millis))
    }

    /// The time left until this point, zero once it has passed.
    pub fn until(self, now: MilliTime) -> Duration {
        self.since(now)
    }
}

impl Add<Duration> for MilliTime {
    type Output = MilliTime;

    fn add(self, span: Duration) -> MilliTime {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        MilliTime(self.0.saturating_add(millis))
    }
}

/// The time of day and a monotonic clock, read together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// Time since the Unix epoch; it may be set forward or back.
    pub wall: MilliTime,
    /// Time on the monotonic clock.
    pub steady: MilliTime,
}

impl ClockReading {
    /// Reads both clocks.
    pub fn now(clock: &MilliClock) -> Self {
        ClockReading { wall: wall_time(), steady: clock.now() }
    }

    /// By how much the time of day was set back between this reading and a later one; zero if it was
    /// set forward.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lentilway::clock::{ClockReading, MilliTime};
    /// let reading = |wall, steady| ClockReading { wall: MilliTime(wall), steady: MilliTime(steady) };
    /// let first = reading(1_000, 0);
    /// assert_eq!(first.set_back_until(reading(600, 100)), Duration::from_millis(500));
    /// assert_eq!(first.set_back_until(reading(1_600, 100)), Duration::ZERO);
    /// ```
    pub fn set_back_until(self, later: ClockReading) -> Duration {
        (self.wall + later.steady.since(self.steady)).since(later.wall)
    }
}

/// A source of time: a monotonic clock of the system, or one that a test advances.
#[derive(Clone, Debug)]
pub struct MilliClock {
    source: ClockSource,
}

#[derive(Clone, Debug)]
enum ClockSource {
    Monotonic(Instant),
    Boottime,
    Manual(Arc<ManualTime>),
}

#[derive(Debug, Default)]
struct ManualTime {
    millis: AtomicU64,
    advanced: Notify,
}

impl MilliClock {
    /// A monotonic clock whose origin is the time of this call.
    pub fn monotonic() -> Self {
        MilliClock { source: ClockSource::Monotonic(Instant::now()) }
    }

    /// A monotonic clock that includes the time in which the machine is suspended; its origin is
    /// the boot of the machine.
    pub fn boottime() -> Self {
        MilliClock { source: ClockSource::Boottime }
    }

    /// A clock that changes only by [`MilliClock::advance`].
    ///
    /// ```
    /// use lentilway::clock::{MilliClock, MilliTime};
    /// use std::time::Duration;
    /// let clock = MilliClock::manual();
    /// clock.advance(Duration::from_millis(5));
    /// assert_eq!(clock.now(), MilliTime(5));
    /// ```
    pub fn manual() -> Self {
        MilliClock { source: ClockSource::Manual(Arc::default()) }
    }

    /// The current time.
    pub fn now(&self) -> MilliTime {
        match &self.source {
            ClockSource::Monotonic(origin) => MilliTime(origin.elapsed().as_millis() as u64),
            ClockSource::Boottime => boottime_now(),
            ClockSource::Manual(time) => MilliTime(time.millis.load(Ordering::Acquire)),
        }
    }

    /// Advances a manual clock; the other clocks ignore it.
    pub fn advance(&self, span: Duration) {
        if let ClockSource::Manual(time) = &self.source {
            time.millis.fetch_add(span.as_millis() as u64, Ordering::AcqRel);
            time.advanced.notify_waiters();
        }
    }

    /// Waits until `span` has passed on this clock.
    pub async fn sleep(&self, span: Duration) {
        let ClockSource::Manual(time) = &self.source else {
            return tokio::time::sleep(span).await;
        };
        let end = self.now() + span;
        loop {
            let advanced = time.advanced.notified();
            if self.now() >= end {
                return;
            }
            advanced.await;
        }
    }
}

fn boottime_now() -> MilliTime {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let millis = time.tv_sec * 1_000 + time.tv_nsec / 1_000_000;
    MilliTime(u64::try_from(millis).unwrap_or_default())
}

/// Wall-clock time in milliseconds since the Unix epoch, for logs and records.
pub fn wall_time() -> MilliTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    MilliTime(elapsed.as_millis() as u64)
}
