//! Structured logs: one JSON object per line on standard error.

use log::{Level, LevelFilter};
use serde::Serialize;
use simplelog::{ConfigBuilder, WriteLogger};

use crate::clock::wall_time;

const LOG_TARGET: &str = "lentilway";

/// Starts logging to standard error at `level`. A second call has no effect.
pub fn init_logging(level: LevelFilter) {
    let config = ConfigBuilder::new()
        .set_max_level(LevelFilter::Off)
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(LOG_TARGET)
        .build();
    // Fails if a logger is installed already, as with several daemons in one test process.
    let _ = WriteLogger::init(level, config, std::io::stderr());
}

#[derive(Serialize)]
struct LogLine<'a, F: Serialize> {
    at_ms: u64,
    level: &'static str,
    event: &'a str,
    #[serde(flatten)]
    fields: F,
}

/// Writes one line with the serialised `fields`, which must not contain keys or other secrets.
pub fn log_event<F: Serialize>(level: Level, event: &str, fields: F) {
    if level > log::max_level() {
        return;
    }
    let line = LogLine { at_ms: wall_time().0, level: level_name(level), event, fields };
    match serde_json::to_string(&line) {
        Ok(text) => log::log!(target: LOG_TARGET, level, "{text}"),
        Err(_) => log::log!(target: LOG_TARGET, Level::Error, "{{\"event\":\"log-failed\"}}"),
    }
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}
