// Case: the read buffer of a link between daemons keeps the size of the largest message.

const LINK_MACHINES: usize = 18;
/// The last machines have the upstreams that take the uploads.
const LINK_RECEIVERS: usize = 2;
const UPLOAD_BYTES: usize = 16 << 20;
const LINK_CASE_SPAN: Duration = Duration::from_secs(80);

fn links_case(lab: &Lab) -> CaseResult {
    let store = Store::default();
    let first_receiver = LINK_MACHINES - LINK_RECEIVERS;
    let service_of = |index: usize| match index.checked_sub(first_receiver) {
        Some(number) => format!("upload{number}"),
        None => "huvo11a".to_owned(),
    };
    let machines: Vec<Machine> = (0..LINK_MACHINES)
        .map(|index| {
            let zone = if index % 2 == 0 { "wien-a" } else { "ibk-a" };
            Machine::new(lab, &format!("sidecar-{zone}-{index}"), zone, &service_of(index), &store.gate())
        })
        .collect();
    let receivers = &machines[first_receiver..];
    let routes: Vec<Route> = receivers
        .iter()
        .map(|receiver| Route {
            name: &receiver.service,
            destination: to_service(&receiver.service),
            timeout_s: 10.0,
            is_public: false,
        })
        .collect();
    let services: Vec<&str> = receivers.iter().map(|receiver| receiver.service.as_str()).collect();
    store.write_config(&config(7, &routes, &services, &[KEY]));
    let runs = Runs::default();
    for machine in &machines {
        start_upstream(machine, &runs, 100);
        machine.start()?;
    }
    let is_served = |machine: &Machine, receiver: &Machine| {
        wait_served(lab, machine, &format!("/{}/2f", receiver.service), KEY)
    };
    for machine in &machines {
        for receiver in receivers {
            is_served(machine, receiver)?;
        }
    }
    lab.record("all machines reach both upstreams");
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Vec<Arc<MemoryCounts>> = receivers.iter().map(|_| Arc::default()).collect();
    for (receiver, counts) in receivers.iter().zip(&counts) {
        let (receiver, counts, over) = (receiver.clone(), counts.clone(), is_over.clone());
        thread::spawn(move || watch_memory(&receiver, &counts, &over));
    }
    let bytes = if lab.trouble() { UPLOAD_BYTES } else { UPLOAD_BYTES / 256 };
    let end = Instant::now() + LINK_CASE_SPAN;
    let is_shown =
        || counts.iter().all(|counts| counts.ends.load(Ordering::SeqCst) >= ENDS_COUNTED);
    let mut rounds = 0;
    while Instant::now() < end && !is_shown() && rounds < 8 {
        rounds += 1;
        for machine in &machines[..first_receiver] {
            for (receiver, counts) in receivers.iter().zip(&counts) {
                let ends = counts.ends.load(Ordering::SeqCst);
                if ends >= ENDS_COUNTED || is_served(machine, receiver).is_err() {
                    continue;
                }
                upload(machine, receiver, bytes, counts);
                if counts.ends.load(Ordering::SeqCst) > ends {
                    thread::sleep(Duration::from_millis(700));
                }
            }
        }
    }
    thread::sleep(Duration::from_millis(300));
    is_over.store(true, Ordering::SeqCst);
    record_runs(lab, &runs);
    report_memory(lab, receivers, &counts)
}

/// Sends one request with a large body from a client of `machine`; one at a time.
fn upload(machine: &Machine, receiver: &Machine, bytes: usize, counts: &MemoryCounts) {
    let lab = &machine.lab;
    let id = lab.attempt_id();
    let text = format!(
        "POST /{}/2f HTTP/1.1\r\nhost: {HOST}\r\nx-lentilway-attempt-id: {id}\r\n\
         x-lentilway-deadline-ms: 10000\r\nauthorization: Bearer {KEY}\r\ncontent-length: {bytes}\r\n\r\n",
        receiver.service
    );
    counts.sent.fetch_add(1, Ordering::SeqCst);
    let answer = open(machine.outbound, Duration::from_secs(10)).and_then(|mut connection| {
        connection.stream.write_all(text.as_bytes())?;
        connection.stream.write_all(&vec![b'u'; bytes])?;
        connection.read_message()
    });
    let resident = receiver.resident_bytes().unwrap_or(0) >> 20;
    let outcome = match answer {
        Ok(Some(answer)) => answer.status().to_string(),
        Ok(None) => "closed".to_owned(),
        Err(error) => error.to_string(),
    };
    let count = if outcome == "200" { &counts.whole } else { &counts.failed };
    count.fetch_add(1, Ordering::SeqCst);
    lab.record(&format!(
        "{}: request {id}, {bytes} bytes to {}: {outcome}; its daemon then has {resident} MB",
        machine.name, receiver.service
    ));
}
