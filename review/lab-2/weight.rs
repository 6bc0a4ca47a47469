// Case: a part of a traffic split whose weight has become 0 still gets a request.

const WEIGHT_ROUNDS: usize = 26;
const WEIGHTS_BEFORE: [u32; 3] = [70, 20, 10];
const WEIGHTS_AFTER: [u32; 3] = [80, 20, 0];
/// Longer than `config_s`.
const CONFIG_WAIT: Duration = Duration::from_millis(2_200);

fn weight_case(lab: &Lab) -> CaseResult {
    let store = Store::default();
    let services = ["huvo11a", "kafi81c", "lovo22d"];
    let machines: Vec<Machine> = services
        .iter()
        .map(|service| {
            let name = format!("sidecar-wien-a-{service}");
            Machine::new(lab, &name, "wien-a", service, &store.gate())
        })
        .collect();
    let write = |version, weights: [u32; 3]| {
        let parts = services.iter().zip(weights);
        let parts: Vec<String> = parts
            .map(|(service, weight)| format!("{{\"service\":\"{service}\",\"weight\":{weight}}}"))
            .collect();
        let destination = format!("\"traffic_split\":[{}]", parts.join(","));
        let route = Route { name: "leny950", destination, timeout_s: 1.0, is_public: false };
        store.write_config(&config(version, &[route], &services, &[KEY]));
        lab.record(&format!("version {version} with weights {weights:?}: acknowledged"));
    };
    write(1, WEIGHTS_BEFORE);
    let runs = Runs::default();
    for machine in &machines {
        start_upstream(machine, &runs, 100);
        machine.start()?;
    }
    wait_served(lab, &machines[0], "/leny950/2f", KEY)?;
    thread::sleep(Duration::from_secs(4));
    let send = |count: usize| {
        let mut at_third = 0;
        for _ in 0..count {
            let (id, answer) = request(lab, &machines[0], "/leny950/2f", KEY, Duration::from_secs(2));
            let runs = runs.lock().unwrap();
            let service = runs.iter().find(|run| run.id == id).map_or("none", |run| &run.service);
            lab.record(&format!("request {id}: {answer:?}, run by {service}"));
            at_third += usize::from(service == services[2]);
        }
        at_third
    };
    let mut late = 0;
    for round in 0..WEIGHT_ROUNDS as u64 {
        // An arbitrary number of requests, the same in each play.
        send((round * 7 % 11 + 1) as usize);
        if lab.trouble() {
            write(2 * round + 2, WEIGHTS_AFTER);
        }
        thread::sleep(CONFIG_WAIT);
        let at_third = send(5);
        if lab.trouble() {
            late += at_third;
            write(2 * round + 3, WEIGHTS_BEFORE);
            thread::sleep(Duration::from_millis(500));
        }
    }
    match late {
        0 => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken(format!("{late} requests ran at the part with weight 0"))),
    }
}
