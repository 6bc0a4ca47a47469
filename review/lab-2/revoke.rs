// Case: a starting daemon dates the answer to its request for records by its last request.

const KEY_KEPT: &str = "8pjbvk9m68k7b2ex5wa5";
/// How long the link to the starting daemon holds up what it carries to it.
const LINK_HOLD: Duration = Duration::from_millis(1_800);
/// How long both machines are cut off from the store.
const STORE_CUT: Duration = Duration::from_millis(5_400);
const REVOKE_BOUND: Duration = Duration::from_secs(5);

/// A relay in front of a daemon's listener for other daemons.
struct LinkRelay {
    address: SocketAddr,
    /// Whether the next link is held up, and until when the current one is.
    hold: Arc<Mutex<(bool, Option<Instant>)>>,
}

impl LinkRelay {
    fn start(lab: &Lab, target: SocketAddr) -> Self {
        let hold: Arc<Mutex<(bool, Option<Instant>)>> = Arc::default();
        let (held, lab) = (hold.clone(), lab.clone());
        let address = serve(local(0), move |stream| {
            let Ok(onward) = TcpStream::connect(target) else { return };
            let _ = stream.set_nodelay(true);
            let _ = onward.set_nodelay(true);
            let (Ok(from), Ok(to)) = (onward.try_clone(), stream.try_clone()) else { return };
            thread::spawn(move || copy(from, to, || None));
            let (held, lab) = (held.clone(), lab.clone());
            let hold_until = move || {
                let mut hold = held.lock().unwrap();
                if std::mem::take(&mut hold.0) {
                    hold.1 = Some(Instant::now() + LINK_HOLD);
                    lab.record("the link begins to hold up what it carries to the starting daemon");
                }
                hold.1
            };
            copy(stream, onward, hold_until);
        });
        LinkRelay { address, hold }
    }
}

/// Copies in one direction; what arrives before the time that `hold_until` gives waits for it.
fn copy(mut from: TcpStream, mut to: TcpStream, hold_until: impl Fn() -> Option<Instant>) {
    let mut part = [0; 65_536];
    loop {
        let count = match from.read(&mut part) {
            Ok(count) if count > 0 => count,
            _ => break,
        };
        if let Some(until) = hold_until() {
            thread::sleep(until.saturating_duration_since(Instant::now()));
        }
        if to.write_all(&part[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn revoke_case(lab: &Lab) -> CaseResult {
    let store = Store::default();
    let gates = [store.gate(), store.gate()];
    let other = Machine::new(lab, "sidecar-wien-a-1", "wien-a", "huvo11a", &gates[0]);
    let starting = Machine::new(lab, "sidecar-ibk-a-1", "ibk-a", "huvo11a", &gates[1]);
    let relay = LinkRelay::start(lab, starting.inbound);
    let addresses = (starting.inbound, relay.address);
    store.0.relays.lock().unwrap().insert(starting.name.clone(), addresses);
    let route = || Route { name: "leny950", destination: to_service("huvo11a"), timeout_s: 1.0, is_public: false };
    store.write_config(&config(7, &[route()], &["huvo11a"], &[KEY, KEY_KEPT]));
    let runs = Runs::default();
    for machine in [&other, &starting] {
        start_upstream(machine, &runs, 100);
        machine.start()?;
    }
    for machine in [&other, &starting] {
        wait_served(lab, machine, "/leny950/2f", KEY)?;
    }
    wait_for(Duration::from_secs(5), || store.has_record("keyed.daemons", &starting.name))?;
    lab.record("both machines serve the key");
    thread::sleep(Duration::from_millis(4_000));
    gates[0].wait_config_read()?;
    let cut = Instant::now();
    if lab.trouble() {
        gates.iter().for_each(|gate| gate.cut(true));
        lab.record("both machines are cut off from the store");
    }
    store.write_config(&config(9, &[route()], &["huvo11a"], &[KEY_KEPT]));
    let revoked = Instant::now();
    lab.record("the operator takes the key away: acknowledged");
    if lab.trouble() {
        thread::sleep(Duration::from_millis(300));
        starting.kill();
        lab.record(&format!("{}: killed", starting.name));
        thread::sleep(Duration::from_millis(500));
        relay.hold.lock().unwrap().0 = true;
        starting.start()?;
    }
    let mut sent = Vec::new();
    while revoked.elapsed() < Duration::from_secs(9) {
        if cut.elapsed() > STORE_CUT && gates[0].way.is_cut.load(Ordering::SeqCst) {
            gates.iter().for_each(|gate| gate.cut(false));
            lab.record("both machines reach the store again");
        }
        for machine in [&starting, &other] {
            let sent_at = Instant::now();
            let (id, answer) = request(lab, machine, "/leny950/2f", KEY, Duration::from_secs(1));
            let after = sent_at.duration_since(revoked).as_secs_f64();
            lab.record(&format!("{}: request {id} sent {after:.3} s after the revocation: {answer:?}", machine.name));
            sent.push((id, sent_at));
        }
        thread::sleep(Duration::from_millis(40));
    }
    // What was sent may still run.
    thread::sleep(Duration::from_millis(1_200));
    let runs = runs.lock().unwrap();
    let late = sent.iter().filter(|(id, sent_at)| {
        sent_at.duration_since(revoked) > REVOKE_BOUND && runs.iter().any(|run| run.id == *id)
    });
    let late = late.count();
    for run in runs.iter().filter(|run| sent.iter().any(|(id, _)| *id == run.id)) {
        let after = run.at.duration_since(revoked).as_secs_f64();
        lab.record(&format!("{} ran at {} for {} {after:.3} s after the revocation", run.id, run.service, run.tenant));
    }
    match late {
        0 => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken(format!("{late} requests with the key ran that were sent more than 5 s after"))),
    }
}
