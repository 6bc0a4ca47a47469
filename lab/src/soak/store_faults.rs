//! Faults of the platform's store.

use std::time::Duration;

use lentilway_stand_ins::platform::store::StoreMode;
use tokio::time::sleep;

use super::Soak;
use super::fault::StoreFault;

const STORE_DELAY: Duration = Duration::from_millis(200);
const LOST_ANSWER_FRACTION: f64 = 0.5;
/// Age of the copy that the store comes back from, in times of its absence.
const COPY_AGE_FACTOR: u32 = 3;
/// Versions that the copy lacks besides one with a change, so that fewer are written afterwards.
const LOST_VERSIONS: usize = 4;
/// Part of its absence after which the operator writes its version again.
const REWRITE_DELAY_DIVISOR: u32 = 5;

impl Soak {
    pub(super) async fn fail_store(&self, fault: StoreFault, duration: Duration) {
        self.store.set_mode(store_mode(fault));
        sleep(duration).await;
        self.store.set_mode(StoreMode::Healthy);
    }

    /// Has the store come back, after a silence of `duration`, from a copy that lacks what was
    /// written since shortly before. The operator writes its version again a moment later, and then
    /// goes on.
    pub(super) async fn restore_store(&self, duration: Duration) {
        for _ in 0..LOST_VERSIONS {
            self.write_config(|_| {}).await;
        }
        self.add_route().await;
        sleep(duration).await;
        self.store.set_mode(StoreMode::Silent);
        sleep(duration).await;
        self.store.restore(duration * COPY_AGE_FACTOR);
        self.store.set_mode(StoreMode::Healthy);
        sleep(duration / REWRITE_DELAY_DIVISOR).await;
        let record = self.config.lock().await.record.clone();
        self.store.write_config(&record);
        self.rewrite_evacuations().await;
        sleep(duration / REWRITE_DELAY_DIVISOR).await;
        self.withdraw_key().await;
        self.add_route().await;
    }

    /// Has the store drop its records in a silence of `duration`, in which the operator withdraws a key
    /// and adds a route; what is older than the newest version cannot be read any more.
    pub(super) async fn drop_history(&self, duration: Duration) {
        self.store.set_mode(StoreMode::Silent);
        sleep(duration).await;
        self.withdraw_key().await;
        self.add_route().await;
        self.store.drop_all_history();
        self.store.set_mode(StoreMode::Healthy);
    }
}

fn store_mode(fault: StoreFault) -> StoreMode {
    match fault {
        StoreFault::Busy => StoreMode::Busy,
        StoreFault::Silent => StoreMode::Silent,
        StoreFault::Slow => StoreMode::Slow(STORE_DELAY),
        StoreFault::LosesAnswers => StoreMode::LosesAnswers(LOST_ANSWER_FRACTION),
    }
}
