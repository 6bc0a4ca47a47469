//! The rule MIXED: a success whose body isn't the upstream's whole body.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::CaseRun;
use crate::fleet::{Machine, body_for, wait_ready};
use crate::http::{call_once, request_bytes};
use crate::store::Store;

const CONFIG: &str = r#"{"version":1,"resources":[
{"entry_kind":"routes","metadata":{"name":"r-statement"},"spec":{"hostname":"shop.example","path_prefix":"/statement/","kind":"safe","timeout_s":2,"target_latency_s":1,"priority":0,"service":"pfand","max_attempts":2,"public":true}},
{"entry_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]}"#;
/// One answer in this many is garbled: 0.03 of them.
const GARBLED_ONE_IN: u64 = 33;
const BODY_BYTES: usize = 1_500;
const CLIENTS: usize = 4;
const REQUESTS: usize = 150;

/// Clients ask for statements while the upstream garbles some of its answers; whether one gets a success with
/// another body than the upstream's.
pub fn deliver(run: &CaseRun) -> bool {
    let store = Arc::new(Store::default());
    store.append("keyed.op", "config", CONFIG.replace('\n', "").as_bytes());
    let store = store.open();
    let place = ("sidecar-wien-a-1", "wien-a", "pfand");
    let machine = Machine::new(&run.record, store, &run.folder, place);
    machine.start_daemon();
    wait_ready(std::slice::from_ref(&machine));
    thread::sleep(Duration::from_secs(4));
    if run.has_trouble {
        machine.upstream.garbles_one_in.store(GARBLED_ONE_IN, Ordering::SeqCst);
    }
    let mixed = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, machine, mixed) = (run.record.clone(), machine.clone(), mixed.clone());
            thread::spawn(move || {
                for number in 0..REQUESTS {
                    let id = format!("client-{client}-statement-{number}");
                    let headers = [
                        ("Host", "shop.example"),
                        ("X-Lentilway-Attempt-Id", id.as_str()),
                        ("X-Lentilway-Deadline-Ms", "3000"),
                    ];
                    let path = format!("/statement/{number}/b{BODY_BYTES}/10");
                    let request = request_bytes("GET", &path, &headers, b"");
                    record.note(&format!("send {id}"));
                    let answer = call_once(machine.outbound, &request, Duration::from_secs(3));
                    let Ok(answer) = answer else {
                        record.note(&format!("no answer to {id}"));
                        continue;
                    };
                    let signature = answer.header("x-lentilway-server-signature").unwrap_or("-");
                    record.note(&format!("answer {} to {id}, signed {signature}", answer.status()));
                    let is_whole = answer.body == body_for(&id, BODY_BYTES);
                    if answer.status() == 200 && !is_whole {
                        let end = &answer.body[answer.body.len().saturating_sub(300)..];
                        let end = String::from_utf8_lossy(end).replace("\r\n", " | ");
                        record.note(&format!("MIXED: the body of the success ends with: {end}"));
                        mixed.fetch_add(1, Ordering::SeqCst);
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().expect("a client does not panic"));
    let (count, all) = (mixed.load(Ordering::SeqCst), CLIENTS * REQUESTS);
    let text = format!("MIXED: {count} of {all} requests got a success with another body");
    run.record.note(&text);
    println!("{text}");
    count > 0
}
