//! JSON log lines that explain decisions.
//!
//! Each event has a limit of lines per second; the next line of the event reports how many were
//! left out. Lines go through a bounded buffer to a separate thread, so that a slow reader of
//! standard output delays nothing.

use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use serde::Serialize;

use crate::clock::{MilliClock, MilliTime, wall_time};

/// Maximum size of the write buffer; lines beyond it are dropped and counted.
const BUFFER_BYTES_MAX: usize = 256 * 1024;
/// Time between writes, so that one write covers many lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
const ROUTINE_LINES_PER_SECOND: u32 = 5;
const FAILURE_LINES_PER_SECOND: u32 = 40;
const CHANGE_LINES_PER_SECOND: u32 = 20;
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The category of an event, which limits its lines per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineCategory {
    /// It happens for every request.
    Routine,
    /// It explains a failure.
    Failure,
    /// It reports a change of state.
    Change,
}

impl LineCategory {
    fn lines_per_second(self) -> u32 {
        match self {
            LineCategory::Routine => ROUTINE_LINES_PER_SECOND,
            LineCategory::Failure => FAILURE_LINES_PER_SECOND,
            LineCategory::Change => CHANGE_LINES_PER_SECOND,
        }
    }
}

#[derive(Debug, Default)]
struct EventRate {
    window_start: MilliTime,
    written: u32,
    left_out: u64,
}

#[derive(Debug, Default)]
struct LineBuffer {
    bytes: Vec<u8>,
    dropped: u64,
    closed: bool,
}

#[derive(Debug, Default)]
struct SharedBuffer {
    buffer: Mutex<LineBuffer>,
    filled: Condvar,
    closing: Condvar,
}

/// Writes rate-limited JSON lines.
#[derive(Debug)]
pub struct DecisionLog {
    clock: MilliClock,
    rates: Mutex<HashMap<&'static str, EventRate>>,
    shared: Arc<SharedBuffer>,
    writer: Mutex<Option<std::thread::JoinHandle<()>>>,
}

#[derive(Serialize)]
struct DecisionLine<'a, F: Serialize> {
    at_ms: u64,
    event: &'static str,
    #[serde(skip_serializing_if = "is_zero")]
    left_out: u64,
    #[serde(flatten)]
    fields: &'a F,
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

impl DecisionLog {
    /// A log that writes to `output` from a separate thread.
    pub fn new(clock: MilliClock, output: Box<dyn Write + Send>) -> Self {
        let shared = Arc::new(SharedBuffer::default());
        let buffer = shared.clone();
        let writer = std::thread::spawn(move || write_lines(&buffer, output));
        DecisionLog { clock, rates: Mutex::default(), shared, writer: Mutex::new(Some(writer)) }
    }

    /// Writes a line unless its event reached the limit for this second.
    pub fn write<F: Serialize>(&self, category: LineCategory, event: &'static str, fields: &F) {
        let Some(left_out) = self.admit_line(category, event) else {
            return;
        };
        let line = DecisionLine { at_ms: wall_time().0, event, left_out, fields };
        let Ok(text) = serde_json::to_string(&line) else {
            // Fields are structs with string keys, so this is a programming error.
            debug_assert!(false, "a decision line could not be serialised");
            return;
        };
        self.append(&text);
    }

    /// Writes the buffered lines and ends the thread.
    pub fn close(&self) {
        self.shared.buffer.lock().expect("lock not poisoned").closed = true;
        self.shared.filled.notify_one();
        self.shared.closing.notify_one();
        let writer = self.writer.lock().expect("lock not poisoned").take();
        if let Some(writer) = writer {
            // A writer that panicked has nothing left to write.
            let _ = writer.join();
        }
    }

    fn admit_line(&self, category: LineCategory, event: &'static str) -> Option<u64> {
        let now = self.clock.now();
        let mut rates = self.rates.lock().expect("lock not poisoned");
        let rate = rates.entry(event).or_default();
        if now.since(rate.window_start) >= RATE_WINDOW {
            rate.window_start = now;
            rate.written = 0;
        }
        if rate.written >= category.lines_per_second() {
            rate.left_out += 1;
            return None;
        }
        rate.written += 1;
        Some(std::mem::take(&mut rate.left_out))
    }

    fn append(&self, text: &str) {
        let mut buffer = self.shared.buffer.lock().expect("lock not poisoned");
        if buffer.bytes.len() + text.len() >= BUFFER_BYTES_MAX {
            buffer.dropped += 1;
            return;
        }
        let was_empty = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(text.as_bytes());
        buffer.bytes.push(b'\n');
        if was_empty {
            self.shared.filled.notify_one();
        }
    }
}

fn write_lines(shared: &SharedBuffer, mut output: Box<dyn Write + Send>) {
    loop {
        let (bytes, dropped, closed) = take_lines(shared);
        // A failed write to standard output cannot be reported anywhere.
        let _ = output.write_all(&bytes);
        if dropped > 0 {
            let _ = writeln!(output, "{{\"event\":\"log-lines-dropped\",\"count\":{dropped}}}");
        }
        let _ = output.flush();
        if closed {
            return;
        }
        wait_interval(shared);
    }
}

/// Waits until the next write is due or the log is closed.
fn wait_interval(shared: &SharedBuffer) {
    let buffer = shared.buffer.lock().expect("lock not poisoned");
    let is_open = |buffer: &mut LineBuffer| !buffer.closed;
    let waited = shared.closing.wait_timeout_while(buffer, WRITE_INTERVAL, is_open);
    drop(waited.expect("lock not poisoned"));
}

fn take_lines(shared: &SharedBuffer) -> (Vec<u8>, u64, bool) {
    let mut buffer = shared.buffer.lock().expect("lock not poisoned");
    while buffer.bytes.is_empty() && !buffer.closed {
        buffer = shared.filled.wait(buffer).expect("lock not poisoned");
    }
    let bytes = std::mem::take(&mut buffer.bytes);
    let dropped = std::mem::take(&mut buffer.dropped);
    (bytes, dropped, buffer.closed)
}
