//! Clients of many machines send large bodies to a service of three upstreams. The platform kills a
//! process whose memory is over the limit.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Client, ENTRY_SERVICE, Fleet, Load, Plan, Site, Tenant};
use crate::{Stage, Verdict};

/// Machines with an upstream of the service, and others on which the requests begin.
const SERVERS: usize = 3;
const ENTRIES: usize = 11;
const MEMORY_MB: u64 = 260;
/// Clients on each entry.
const CLIENTS: usize = 6;
/// Bytes of a body, with the disruption and without.
const LARGE: usize = 6 << 20;
const USUAL: usize = 24_000;
/// The time from one request of a client to the next: the machines of the service get 66 MB/s
/// each, over links of 125 MB/s.
const PAUSE: Duration = Duration::from_millis(2_000);
/// How long a request runs.
const WORK: Duration = Duration::from_millis(1_200);
const LOAD: Duration = Duration::from_secs(50);
/// A process that was killed starts again after this time.
const DOWN: Duration = Duration::from_millis(300);

pub fn play(stage: &Stage) -> Verdict {
    let recorder = &stage.recorder;
    let entry = Site { zone: "waw-a", service: ENTRY_SERVICE, work: WORK };
    let sites = [vec![Site::new(WORK); SERVERS], vec![entry; ENTRIES]].concat();
    let plan = Plan {
        sites,
        memory_mb: MEMORY_MB,
        tenant: Tenant { name: "pulo780", per_second: 0, burst: 0 },
        runs_once: true,
        timeout_s: 2.5,
    };
    let mut fleet = match Fleet::start(stage, &plan) {
        Ok(fleet) => fleet,
        Err(reason) => return Verdict::NotRun(reason),
    };
    let body = vec![b'x'; if stage.has_trouble { LARGE } else { USUAL }];
    let body = Arc::new(body);
    let addresses = fleet.machines[SERVERS..].iter().map(|machine| machine.outbound);
    let clients = addresses.flat_map(|address| {
        let client = Client { address, pause: PAUSE, body: body.clone() };
        std::iter::repeat_n(client, CLIENTS)
    });
    let load = Load::start(clients.collect(), recorder);
    let end = Instant::now() + LOAD;
    let mut ends = vec![0; fleet.machines.len()];
    let mut most = vec![0; fleet.machines.len()];
    while Instant::now() < end {
        for (index, machine) in fleet.machines.iter_mut().enumerate() {
            let memory = machine.memory_kb();
            most[index] = most[index].max(memory);
            if memory > MEMORY_MB << 10 {
                machine.kill();
                ends[index] += 1;
                recorder.note(&format!("{} is killed with {memory} kB", machine.name));
                thread::sleep(DOWN);
                machine.start();
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    load.stop();
    recorder.say(&format!("most memory in kB: {most:?}; ends over {MEMORY_MB} MB: {ends:?}"));
    let machines = ends.iter().filter(|ends| **ends >= 3).count();
    let limit = (fleet.machines.len() as f64 / 10.0).max(2.0);
    if machines as f64 >= limit { Verdict::Broken } else { Verdict::Held }
}
