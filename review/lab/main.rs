//! Plays one case of the review: `lab CASE FOLDER`. Writes `FOLDER/record.txt` and exits with 1 if
//! the rule was broken, 0 if it held and 2 if the case could not run. `TROUBLE=0` leaves out the
//! disruption.

mod crash_loop;
mod daemon;
mod fleet;
mod http;
mod late_heartbeat;
mod record;
mod slow_stop;
mod store;
mod uploads;
mod upstream;
mod withdrawn_key;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Recorder;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// What a case is played with.
pub struct Stage {
    pub recorder: Recorder,
    /// A temporary folder.
    pub scratch: PathBuf,
    /// Whether the disruption is played.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: lab CASE FOLDER");
        return ExitCode::from(2);
    };
    let scratch = std::env::temp_dir().join(format!("lentilway-review-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let recorder = Recorder::create(&Path::new(folder).join("record.txt"));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let stage = Stage { recorder: recorder.clone(), scratch: scratch.clone(), has_trouble };
    let verdict = match case.as_str() {
        "late-heartbeat" => late_heartbeat::play(&stage),
        "uploads" => uploads::play(&stage),
        "slow-stop" => slow_stop::play(&stage),
        "withdrawn-key" => withdrawn_key::play(&stage),
        "crash-loop" => crash_loop::play(&stage),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&scratch);
    } else {
        eprintln!("logs: {}", scratch.display());
    }
    match verdict {
        Verdict::Held => {
            recorder.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            recorder.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(reason) => {
            recorder.say(&format!("not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
