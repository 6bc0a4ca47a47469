//! The log lines of a daemon under test.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::Value;
use tokio::time::sleep;

/// Longer than the time after which the log is written out.
const WRITE_TIME: Duration = Duration::from_millis(600);

/// Keeps what a daemon logs.
#[derive(Clone, Default)]
pub(super) struct LogOutput {
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl Write for LogOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.bytes.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl LogOutput {
    /// The lines of an event that were logged up to now.
    pub(super) async fn lines(&self, event: &str) -> Vec<Value> {
        sleep(WRITE_TIME).await;
        let bytes = self.bytes.lock().unwrap().clone();
        let lines = bytes.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        let values = lines.map(|line| serde_json::from_slice::<Value>(line).unwrap());
        values.filter(|value| value["event"] == event).collect()
    }
}
