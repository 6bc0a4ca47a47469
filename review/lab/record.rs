//! What was sent, answered and run, written to `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of one play; its times are in seconds since the start.
#[derive(Clone)]
pub struct Recorder {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Recorder {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Recorder { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        let mut file = self.file.lock().expect("lock not poisoned");
        let _ = file.write_all(line.as_bytes());
    }

    /// Writes a line also to standard output.
    pub fn say(&self, text: &str) {
        // Nobody may be reading.
        let _ = writeln!(std::io::stdout(), "{text}");
        self.note(text);
    }
}
