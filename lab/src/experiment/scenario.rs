//! The scenarios of an experiment and their phases.

use std::time::Duration;

use clap::ValueEnum;
use serde::Serialize;

/// The steady load as a fraction of the capacity.
pub const BASE_LOAD: f64 = 0.7;
const SURGE_FACTOR: f64 = 3.0;
const SLOW_FACTOR: f64 = 10.0;
const GREEDY_FACTOR: f64 = 5.0;
const HARD_RETRIES: u32 = 3;
/// Scales rates so far above the capacity that only admission control refuses requests.
const OPEN_RATE_SCALE: f64 = 20.0;

/// The phases of an experiment.
#[derive(Clone, Copy, Debug)]
pub struct PhaseTimes {
    /// Steady load before the trigger.
    pub before: Duration,
    /// The disturbance, such as a surge.
    pub trigger: Duration,
    /// Steady load after the trigger.
    pub after: Duration,
}

impl PhaseTimes {
    /// Phases with these lengths in seconds.
    pub fn seconds(before: f64, trigger: f64, after: f64) -> Self {
        PhaseTimes {
            before: Duration::from_secs_f64(before),
            trigger: Duration::from_secs_f64(trigger),
            after: Duration::from_secs_f64(after),
        }
    }

    /// When the trigger ends.
    pub fn trigger_end(&self) -> Duration {
        self.before + self.trigger
    }

    /// When the load ends.
    pub fn end(&self) -> Duration {
        self.trigger_end() + self.after
    }

    /// Whether a time since the start is within the trigger.
    pub fn in_trigger(&self, at: Duration) -> bool {
        (self.before..self.trigger_end()).contains(&at)
    }
}

/// A disturbance during the trigger phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// The load rises to three times the capacity.
    Surge,
    /// The deepest service becomes ten times slower, then recovers.
    Slow,
    /// One organisation sends five times its rate.
    Greedy,
    /// A surge whose callers retry failed requests immediately.
    HardRetry,
    /// An availability zone is lost and stays lost.
    ZoneLost,
    /// The platform's log is down throughout, under a surge.
    StoreDownSurge,
    /// The deepest service becomes ten times slower during a surge.
    SlowSurge,
    /// An availability zone is lost during a surge.
    ZoneLostSurge,
}

impl Scenario {
    /// The factor on the steady load of organisation `index` during the trigger.
    pub fn load_factor(self, index: usize) -> f64 {
        match self {
            Scenario::Slow | Scenario::ZoneLost => 1.0,
            Scenario::Greedy => {
                if index == 0 {
                    GREEDY_FACTOR
                } else {
                    1.0
                }
            }
            Scenario::Surge
            | Scenario::HardRetry
            | Scenario::StoreDownSurge
            | Scenario::SlowSurge
            | Scenario::ZoneLostSurge => SURGE_FACTOR / BASE_LOAD,
        }
    }

    /// The factor on the deepest service's service time during the trigger.
    pub fn slow_factor(self) -> f64 {
        match self {
            Scenario::Slow | Scenario::SlowSurge => SLOW_FACTOR,
            _ => 1.0,
        }
    }

    /// Number of immediate retries of a failed request by its caller.
    pub fn caller_retries(self) -> u32 {
        if self == Scenario::HardRetry { HARD_RETRIES } else { 0 }
    }

    /// Whether an availability zone is lost at the start of the trigger.
    pub fn loses_zone(self) -> bool {
        matches!(self, Scenario::ZoneLost | Scenario::ZoneLostSurge)
    }

    /// Whether the log is down from the start.
    pub fn store_down(self) -> bool {
        self == Scenario::StoreDownSurge
    }

    /// The scale of the organisations' rates relative to their share of the capacity.
    pub fn rate_scale(self) -> f64 {
        if self == Scenario::Greedy { 1.0 } else { OPEN_RATE_SCALE }
    }
}
