//! One worker of three hands out wrong bytes in the place of one answer of twenty.
//!
//! What it sends then begins like an answer, but is not that of the worker: it lacks the worker's stamp. A
//! client may not get it as a success.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::client::{Request, exchange};
use crate::gateway::Gateway;
use crate::http::Message;
use crate::site;
use crate::store::Store;
use crate::worker::{Worker, body, respond, sound, stamp};
use crate::{Setting, Verdict};

/// Of so many answers of the faulty worker, one is spoiled.
const SPOILED: usize = 20;
const REQUESTS: usize = 600;
const WRONG_BYTES: &str = "not an answer of the register\n";

/// Spoils some answers: of these, one in two still names the request.
fn faulty(count: &AtomicUsize, worker: &Worker, request: &Message, stream: &mut TcpStream) -> bool {
    let number = count.fetch_add(1, Ordering::Relaxed) + 1;
    if number % SPOILED != 0 {
        return sound(worker, request, stream);
    }
    let id = request.header("x-attempt-id").unwrap_or("");
    let head = match number / SPOILED % 2 {
        0 => format!("X-Attempt-Id: {id}\r\n"),
        _ => String::new(),
    };
    respond(stream, 200, &head, WRONG_BYTES)
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    store.put("op", "config", &site::configuration(1, &[site::KEY]));
    let count = AtomicUsize::new(0);
    let spoils =
        Arc::new(move |w: &Worker, r: &Message, s: &mut TcpStream| faulty(&count, w, r, s));
    let mut workers = Vec::new();
    for (index, id) in ["i-0000000a", "i-0000000b", "i-0000000c"]
        .into_iter()
        .enumerate()
    {
        let answer: crate::worker::Answer = match index {
            0 if setting.trouble => spoils.clone(),
            _ => Arc::new(sound),
        };
        workers.push(Worker::start(&store, id, "registry-app", answer));
    }
    let gateway = |name: &str| Gateway::new(&setting.scratch, name, store.address, site::BOUNDS);
    let mut gateways: Vec<Gateway> = ["edge-1", "edge-2"].map(gateway).into();
    gateways.iter_mut().for_each(Gateway::start);
    if !gateways
        .iter()
        .all(|g| g.wait_ready(Duration::from_secs(15)))
    {
        record.line("the gateways are not ready");
        return Verdict::Unclear;
    }
    std::thread::sleep(Duration::from_secs(4));
    let (mut whole, mut failed, mut wrong) = (0, 0, 0);
    for number in 0..REQUESTS {
        let id = format!("a{number:015}");
        let request = Request {
            method: "POST",
            path: "/entry/count",
            id: &id,
            key: Some(site::KEY),
            deadline_ms: 1_500,
            body: "herd=17&count=204",
        };
        let gateway = &gateways[number % gateways.len()];
        let answer = exchange(gateway.front, &request.bytes(), Duration::from_secs(3));
        let Ok(answer) = answer else {
            failed += 1;
            record.line(format!("{id}: no answer from {}", gateway.name));
            continue;
        };
        if !(200..300).contains(&answer.status()) {
            failed += 1;
            record.line(format!("{id}: {} from {}", answer.line, gateway.name));
            continue;
        }
        let ran = workers
            .iter()
            .filter(|w| w.runs().iter().any(|run| run.id == id));
        let is_of = |w: &Worker| {
            answer.header("x-server-stamp") == Some(&stamp(w, &id))
                && answer.body == body(w, &id).as_bytes()
        };
        let ran: Vec<&Worker> = ran.collect();
        if ran.iter().any(|w| is_of(w)) {
            whole += 1;
            record.line(format!(
                "{id}: run by {}, whole, by {}",
                ran[0].id, gateway.name
            ));
            continue;
        }
        wrong += 1;
        let ids: Vec<&str> = ran.iter().map(|w| w.id.as_str()).collect();
        record.line(format!(
            "{id}: run by {ids:?}; the client gets {:?} from {}, X-Server-Stamp {:?}, body {:?}",
            answer.line,
            gateway.name,
            answer.header("x-server-stamp"),
            String::from_utf8_lossy(&answer.body)
        ));
    }
    if gateways.iter_mut().any(|gateway| !gateway.is_running()) {
        record.line("a gateway has ended");
        return Verdict::Unclear;
    }
    record.line(format!(
        "{REQUESTS} requests: {whole} whole successes, {failed} failures; MIXED: {wrong} successes without the \
         worker's stamp and body"
    ));
    match wrong {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
