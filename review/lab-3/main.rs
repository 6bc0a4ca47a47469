//! Stand-ins and cases of the third review: `lab CASE FOLDER`, run in the root of the repository.
//!
//! Uses the standard library only. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

mod cut_answers;
mod fleet;
mod http;
mod quota;
mod slow_readers;
mod store;

use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use fleet::{Record, cannot_run, end};

/// A script runs for 120 seconds at most.
const RUN_MAX: Duration = Duration::from_secs(116);

/// What a case needs.
pub struct CaseRun {
    pub record: std::sync::Arc<Record>,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else { cannot_run("expected CASE FOLDER") };
    thread::spawn(|| {
        thread::sleep(RUN_MAX);
        cannot_run("the time is over");
    });
    let temporary = std::env::temp_dir().join(format!("review-3-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).unwrap_or_else(|_| cannot_run("no temporary folder"));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    record.note(&format!("case {case}, with trouble: {has_trouble}"));
    let run = CaseRun { record: record.clone(), folder: temporary.clone(), has_trouble };
    let is_broken = match case.as_str() {
        "cut-answers" => cut_answers::deliver(&run),
        "quota-freeze" => quota::freeze(&run),
        "slow-readers" => slow_readers::stop(&run),
        _ => cannot_run("no such case"),
    };
    record.note(if is_broken { "the rule was broken" } else { "the rule held" });
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    end(i32::from(is_broken))
}
