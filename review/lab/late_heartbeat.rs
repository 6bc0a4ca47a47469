//! A daemon is killed and started again beside its upstream. The upstream says that it is gone
//! before its next heartbeat; then a heartbeat arrives late that it had sent before the kill.

use std::thread;
use std::time::Duration;

use crate::fleet::{Fleet, Plan, ROUTE, Request, Site, Tenant};
use crate::http::Connection;
use crate::upstream::HEARTBEAT;
use crate::{Stage, Verdict};

/// `drain_s` of the settings.
const DRAIN: f64 = 2.0;
/// From the restart of the daemon to the leave of the upstream: less than a heartbeat interval.
const LEAVE_AFTER: Duration = Duration::from_millis(700);
/// From the restart to the arrival of the late heartbeat: longer than `stable_window_s`.
const LATE_AFTER: Duration = Duration::from_millis(3_300);
/// Requests that are sent to the daemon afterwards.
const REQUESTS: usize = 20;

pub fn play(stage: &Stage) -> Verdict {
    let recorder = &stage.recorder;
    let plan = Plan {
        sites: vec![Site::new(Duration::from_millis(20))],
        memory_mb: 260,
        tenant: Tenant { name: "pulo780", per_second: 0, burst: 0 },
        runs_once: false,
        timeout_s: 0.8,
    };
    let mut fleet = match Fleet::start(stage, &plan) {
        Ok(fleet) => fleet,
        Err(reason) => return Verdict::NotRun(reason),
    };
    let upstream = fleet.upstreams[0].clone();
    let machine = &mut fleet.machines[0];
    upstream.stop_heartbeats();
    // Ends the heartbeat that is under way.
    thread::sleep(HEARTBEAT);
    let first =
        Connection::open(machine.outbound, Duration::from_secs(2)).and_then(|mut connection| {
            Request { attempt: "before", path: ROUTE, body: b"" }.send(&mut connection)
        });
    if first.map(|answer| answer.status()) != Some(200) {
        return Verdict::NotRun("the fleet does not serve".to_owned());
    }
    upstream.send(machine.control, &upstream.next_heartbeat("ready"));
    thread::sleep(HEARTBEAT);
    // This one arrives late.
    let late = upstream.next_heartbeat("ready");
    recorder.note(&format!("sent, under way: {late}"));
    thread::sleep(Duration::from_millis(50));
    if stage.has_trouble {
        machine.kill();
        recorder.note("the daemon is killed");
        thread::sleep(Duration::from_millis(300));
        machine.start();
        recorder.note("the daemon is started");
    }
    if !machine.wait_ready(Duration::from_secs(5)) {
        return Verdict::NotRun("the daemon is not ready again".to_owned());
    }
    thread::sleep(LEAVE_AFTER);
    if !upstream.leave(machine.control) {
        return Verdict::NotRun("the leave was not acknowledged".to_owned());
    }
    let acknowledged = recorder.now();
    recorder.note("the leave is acknowledged");
    thread::sleep(LATE_AFTER - LEAVE_AFTER);
    upstream.send(machine.control, &late);
    thread::sleep(Duration::from_millis(200));
    for number in 0..REQUESTS {
        let attempt = format!("after{number}");
        recorder.note(&format!("send {attempt}"));
        let answer = Connection::open(machine.outbound, Duration::from_secs(2)).and_then(
            |mut connection| {
                Request { attempt: &attempt, path: ROUTE, body: b"" }.send(&mut connection)
            },
        );
        let status = answer.map_or(0, |answer| answer.status());
        recorder.note(&format!("answer {attempt} {status}"));
        thread::sleep(Duration::from_millis(50));
    }
    let late_runs = fleet.runs().iter().filter(|run| run.at > acknowledged + DRAIN).count();
    recorder.say(&format!("{late_runs} requests ran over {DRAIN} s after the acknowledgement"));
    if late_runs > 0 { Verdict::Broken } else { Verdict::Held }
}
