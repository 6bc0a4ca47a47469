// Case: daemons give each other back a position of the store's log that the store has dropped.

const OUTAGE: Duration = Duration::from_millis(4_500);
/// How long the store works again before the case ends.
const AFTER_OUTAGE: Duration = Duration::from_secs(30);
/// From then on the rule binds: `config_s`, and `stable_window_s` for the core.
const BINDS_AFTER: Duration = Duration::from_secs(5);

fn history_case(lab: &Lab) -> CaseResult {
    let store = Store::default();
    let places = [("wien-a", "huvo11a"), ("ibk-a", "lovo22d"), ("wien-b", "huvo11a"), ("ibk-b", "lovo22d")];
    let gates: Vec<StoreGate> = places.iter().map(|_| store.gate()).collect();
    let machines: Vec<Machine> = places
        .iter()
        .zip(&gates)
        .map(|((zone, service), gate)| {
            Machine::new(lab, &format!("sidecar-{zone}-1"), zone, service, gate)
        })
        .collect();
    // One route moves to the other service; another one, with a key, stays.
    let write = |version: u64, moved_to: &str| {
        let routes = [
            Route { name: "puka111", destination: to_service(moved_to), timeout_s: 1.0, is_public: true },
            Route { name: "leny950", destination: to_service("huvo11a"), timeout_s: 1.0, is_public: false },
        ];
        store.write_config(&config(version, &routes, &["huvo11a", "lovo22d"], &[KEY]));
        lab.record(&format!("version {version}, /puka111/ to {moved_to}: acknowledged"));
    };
    write(7, "huvo11a");
    let runs = Runs::default();
    for machine in &machines {
        start_upstream(machine, &runs, 100);
        machine.start()?;
    }
    for machine in &machines {
        wait_served(lab, machine, "/leny950/2f", KEY)?;
        wait_served(lab, machine, "/puka111/2f", KEY)?;
    }
    thread::sleep(Duration::from_secs(4));
    lab.record("all machines serve both routes");
    if lab.trouble() {
        gates.iter().for_each(|gate| gate.way.is_silent.store(true, Ordering::SeqCst));
        lab.record("the store is down: silent");
        thread::sleep(OUTAGE);
    }
    write(9, "huvo11a");
    write(12, "lovo22d");
    let moved = Instant::now();
    if lab.trouble() {
        store.drop_history("keyed.op");
        lab.record("the store forgets its history, but for the newest record of each key");
        gates.iter().for_each(|gate| gate.way.is_silent.store(false, Ordering::SeqCst));
        lab.record("the store is up");
    }
    let mut sent = Vec::new();
    while moved.elapsed() < AFTER_OUTAGE {
        for machine in &machines {
            for path in ["/puka111/2f", "/leny950/2f"] {
                let sent_at = Instant::now();
                let (id, answer) = request(lab, machine, path, KEY, Duration::from_secs(1));
                let after = sent_at.duration_since(moved).as_secs_f64();
                lab.record(&format!("{}: request {id} for {path} sent {after:.3} s after: {answer:?}", machine.name));
                sent.push((id, path, sent_at, answer));
            }
        }
        thread::sleep(Duration::from_millis(250));
    }
    record_runs(lab, &runs);
    for (machine, gate) in machines.iter().zip(&gates) {
        let answers = gate.way.answers.lock().unwrap();
        let late = answers.iter().filter(|(at, what)| *at > moved + BINDS_AFTER && what.contains("keyed.op"));
        let late: Vec<&str> = late.map(|(_, what)| what.as_str()).collect();
        let gone = late.iter().filter(|what| what.ends_with("410")).count();
        lab.record(&format!("{}: {} reads of the configuration later than {BINDS_AFTER:?}, {gone} of them got 410", machine.name, late.len()));
    }
    let runs = runs.lock().unwrap();
    let bound = sent.iter().filter(|(_, _, at, _)| at.duration_since(moved) > BINDS_AFTER);
    let bound: Vec<_> = bound.collect();
    let served = bound.iter().filter(|(_, _, _, answer)| *answer == Ok(200)).count();
    let old = bound.iter().filter(|(id, path, _, _)| {
        *path == "/puka111/2f" && runs.iter().any(|run| run.id == *id && run.service == "huvo11a")
    });
    let old = old.count();
    lab.record(&format!("of {} requests sent later than {BINDS_AFTER:?}, {served} are served; {old} on the moved route run at the old service", bound.len()));
    match old {
        0 => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken(format!("{old} requests ran at the old service"))),
    }
}
