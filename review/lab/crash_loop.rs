//! One daemon is killed several times in a row while a tenant sends many times its rate.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::fleet::{Client, Fleet, Load, Plan, Site, Tenant};
use crate::{Stage, Verdict};

const MACHINES: usize = 8;
const PER_SECOND: u32 = 5;
const BURST: u32 = 5;
/// `quota_window_s`, `quota_overage` and `quota_slack` of the settings.
const WINDOW: f64 = 5.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Clients on each machine, and the time between the requests of each: 5 times the rate, which is 8
/// times what a tenant sends usually.
const CLIENTS: usize = 1;
const PAUSE: Duration = Duration::from_millis(320);
/// Time without requests before the load.
const IDLE: Duration = Duration::from_secs(12);
/// The machine whose daemon is killed: the one that holds the tokens of this tenant, by their names.
const VICTIM: usize = 6;
const KILLS: usize = 4;
/// The daemon is down for this long after each kill, and up for this long before the next one.
const DOWN: Duration = Duration::from_millis(300);
const UP: Duration = Duration::from_millis(900);

pub fn play(stage: &Stage) -> Verdict {
    let recorder = &stage.recorder;
    let plan = Plan {
        sites: vec![Site::new(Duration::from_millis(20)); MACHINES],
        memory_mb: 260,
        tenant: Tenant { name: "pulo780", per_second: PER_SECOND, burst: BURST },
        runs_once: false,
        timeout_s: 0.8,
    };
    let mut fleet = match Fleet::start(stage, &plan) {
        Ok(fleet) => fleet,
        Err(reason) => return Verdict::NotRun(reason),
    };
    thread::sleep(IDLE);
    let body = Arc::new(Vec::new());
    let addresses = fleet.machines.iter().map(|machine| machine.outbound);
    let clients = addresses.flat_map(|address| {
        let client = Client { address, pause: PAUSE, body: body.clone() };
        std::iter::repeat_n(client, CLIENTS)
    });
    let load = Load::start(clients.collect(), recorder);
    thread::sleep(Duration::from_millis(500));
    for _ in 0..KILLS {
        if !stage.has_trouble {
            thread::sleep(DOWN + UP);
            continue;
        }
        let machine = &mut fleet.machines[VICTIM];
        machine.kill();
        recorder.note(&format!("the daemon {} is killed", machine.name));
        thread::sleep(DOWN);
        machine.start();
        recorder.note(&format!("the daemon {} is started", machine.name));
        thread::sleep(UP);
    }
    thread::sleep(Duration::from_secs(4));
    load.stop();
    let bound = f64::from(PER_SECOND) * WINDOW + f64::from(BURST);
    let bound = bound * (1.0 + OVERAGE) + SLACK;
    let mut times: Vec<f64> = fleet.runs().iter().map(|run| run.at).collect();
    times.sort_by(f64::total_cmp);
    let in_window = |first: usize| times[first..].partition_point(|at| *at < times[first] + WINDOW);
    let most = (0..times.len()).map(in_window).max().unwrap_or(0);
    recorder.say(&format!("at most {most} runs in {WINDOW} s; the bound is {bound:.1}"));
    if most as f64 > bound { Verdict::Broken } else { Verdict::Held }
}
