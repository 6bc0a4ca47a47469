// Case: answers that slow clients have not read yet are in no budget of the daemon's memory.

const KEY: &str = "6wsjnbanfqasnmgkcuyj";
const ANSWER_BYTES: usize = 8 << 20;
/// Clients of each machine that read at the same time.
const SLOW_CLIENTS: usize = 60;
/// What a slow client reads in a second.
const SLOW_BYTES_PER_SECOND: usize = 400 << 10;
const CLIENT_DEADLINE: Duration = Duration::from_secs(30);
const CLIENT_GAP: Duration = Duration::from_millis(100);
/// The ends by itself on a machine that the rule counts.
const ENDS_COUNTED: usize = 3;
const MEMORY_CASE_SPAN: Duration = Duration::from_secs(85);

#[derive(Default)]
struct MemoryCounts {
    sent: AtomicUsize,
    whole: AtomicUsize,
    cut: AtomicUsize,
    failed: AtomicUsize,
    ends: AtomicUsize,
    peak: AtomicU64,
}

fn memory_case(lab: &Lab) -> CaseResult {
    let store = Store::default();
    let machines: Vec<Machine> = [("sidecar-wien-a-1", "wien-a", "huvo11a"), ("sidecar-ibk-a-1", "ibk-a", "lovo22d")]
        .into_iter()
        .map(|(name, zone, service)| Machine::new(lab, name, zone, service, &store.gate()))
        .collect();
    let routes = machines.iter().map(|machine| Route {
        name: &machine.service,
        destination: to_service(&machine.service),
        timeout_s: CLIENT_DEADLINE.as_secs_f64(),
        is_public: false,
    });
    let routes: Vec<Route> = routes.collect();
    store.write_config(&config(7, &routes, &["huvo11a", "lovo22d"], &[KEY]));
    let runs = Runs::default();
    for machine in &machines {
        start_upstream(machine, &runs, ANSWER_BYTES);
        machine.start()?;
    }
    for machine in &machines {
        wait_served(lab, machine, &format!("/{}/2f", machine.service), KEY)?;
    }
    lab.record("all machines serve");
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Vec<Arc<MemoryCounts>> = machines.iter().map(|_| Arc::default()).collect();
    for (machine, counts) in machines.iter().zip(&counts) {
        let (machine, counts, over) = (machine.clone(), counts.clone(), is_over.clone());
        thread::spawn(move || watch_memory(&machine, &counts, &over));
    }
    let span = if lab.trouble() { MEMORY_CASE_SPAN } else { Duration::from_secs(30) };
    let end = Instant::now() + span;
    let is_shown =
        || counts.iter().all(|counts| counts.ends.load(Ordering::SeqCst) >= ENDS_COUNTED);
    let open_clients = Arc::new(AtomicUsize::new(0));
    while Instant::now() < end && !is_shown() {
        for (machine, counts) in machines.iter().zip(&counts) {
            let limit = SLOW_CLIENTS * machines.len();
            if open_clients.load(Ordering::SeqCst) >= limit || !machine.is_ready() {
                continue;
            }
            let (machine, counts, open_clients) = (machine.clone(), counts.clone(), open_clients.clone());
            open_clients.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || {
                download(&machine, &counts);
                open_clients.fetch_sub(1, Ordering::SeqCst);
            });
        }
        thread::sleep(CLIENT_GAP);
    }
    is_over.store(true, Ordering::SeqCst);
    record_runs(lab, &runs);
    report_memory(lab, &machines, &counts)
}

fn record_runs(lab: &Lab, runs: &Runs) {
    for run in runs.lock().unwrap().iter() {
        let at = run.at.duration_since(lab.0.start).as_secs_f64();
        lab.record(&format!("{} ran at {} for {} at {at:.3} s", run.id, run.service, run.tenant));
    }
}

/// The rule counts machines whose processes ended three times, two machines at least.
fn report_memory(lab: &Lab, machines: &[Machine], counts: &[Arc<MemoryCounts>]) -> CaseResult {
    let mut ended = 0;
    for (machine, counts) in machines.iter().zip(counts) {
        let get = |count: &AtomicUsize| count.load(Ordering::SeqCst);
        let ends = get(&counts.ends);
        ended += usize::from(ends >= ENDS_COUNTED);
        lab.record(&format!(
            "{}: {} requests sent, {} answered whole, {} answers cut off, {} failed; {ends} ends for memory, \
             peak {} MB of {MEMORY_MB}",
            machine.name,
            get(&counts.sent),
            get(&counts.whole),
            get(&counts.cut),
            get(&counts.failed),
            counts.peak.load(Ordering::SeqCst) >> 20,
        ));
    }
    match ended >= 2 {
        true => Ok(Verdict::Broken(format!("{ended} machines ended {ENDS_COUNTED} times for memory"))),
        false => Ok(Verdict::Held),
    }
}

/// Does what the platform does with a process over its memory: ends it and starts it again.
fn watch_memory(machine: &Machine, counts: &MemoryCounts, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        let resident = machine.resident_bytes().unwrap_or(0);
        counts.peak.fetch_max(resident, Ordering::SeqCst);
        if resident > MEMORY_MB << 20 {
            machine.kill();
            counts.ends.fetch_add(1, Ordering::SeqCst);
            let used = resident >> 20;
            machine.lab.record(&format!("{}: {used} MB of {MEMORY_MB}: the process is killed", machine.name));
            thread::sleep(Duration::from_millis(500));
            if machine.start().is_err() {
                return;
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Fetches one answer, slowly if the case has its disruption.
fn download(machine: &Machine, counts: &MemoryCounts) {
    let lab = &machine.lab;
    let id = lab.attempt_id();
    let text = request_text(&format!("/{}/2f", machine.service), &id, KEY, CLIENT_DEADLINE);
    counts.sent.fetch_add(1, Ordering::SeqCst);
    let record = |what: &str| lab.record(&format!("{}: request {id}: {what}", machine.name));
    record("sent");
    let started = Instant::now();
    let head = open(machine.outbound, CLIENT_DEADLINE).and_then(|mut connection| {
        connection.stream.write_all(text.as_bytes())?;
        let head = connection.read_head()?;
        Ok((connection, head))
    });
    let Ok((mut connection, Some(head))) = head else {
        counts.failed.fetch_add(1, Ordering::SeqCst);
        return record("no answer");
    };
    if head.status() != 200 {
        counts.failed.fetch_add(1, Ordering::SeqCst);
        return record(&format!("answered {}", head.status()));
    }
    let length = head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut received = connection.buffer.len();
    let mut part = vec![0; 16 << 10];
    while received < length {
        match connection.stream.read(&mut part) {
            Ok(count) if count > 0 => received += count,
            _ => {
                counts.cut.fetch_add(1, Ordering::SeqCst);
                return record(&format!("200, cut off after {received} of {length} bytes"));
            }
        }
        if lab.trouble() {
            let due = Duration::from_secs_f64(received as f64 / SLOW_BYTES_PER_SECOND as f64);
            thread::sleep(due.saturating_sub(started.elapsed()));
        }
    }
    counts.whole.fetch_add(1, Ordering::SeqCst);
    record("200, whole");
}
