//! One client of each machine sends small requests ahead on its connection, and reads no answers.
//!
//! The platform's stand-in ends a process that holds more memory than its machine has, and starts it again. The
//! requests of other clients, over connections that they keep, may not lose their answers by that.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::Request;
use crate::gateway::Gateway;
use crate::http::{Connection, Message};
use crate::record::Record;
use crate::site;
use crate::store::Store;
use crate::worker::{Worker, body, sound, stamp};
use crate::{Setting, Verdict};

/// The time that a worker takes for a request.
const WORK: Duration = Duration::from_millis(100);
/// The memory of a machine, in kB (260 MB; a MB of 1,024 kB is to the process's favor).
const MEMORY_KB: u64 = 260 << 10;
/// The most that a client sends, in bytes a second: less than a machine's link of 1,000 Mbit/s carries.
const RATE: f64 = 100e6;
/// How long a client sends ahead at most, and how much.
const BURST: Duration = Duration::from_secs(6);
const BURST_BYTES: usize = 400_000_000;
const BURSTS: usize = 3;
/// The pause between two bursts of a client.
const PAUSE: Duration = Duration::from_secs(4);
const RESTART: Duration = Duration::from_millis(500);
const CLIENTS: usize = 12;
/// The most requests over kept connections that may end without an answer.
const MOST: usize = 3;

struct Site {
    record: Arc<Record>,
    trouble: bool,
    is_over: AtomicBool,
    /// The processes that were ended for their memory, by machine.
    ends: Mutex<Vec<String>>,
    peak_kb: Mutex<u64>,
    answered: AtomicUsize,
    /// The requests over a kept connection that ended without an answer, with what was seen.
    cut: Mutex<Vec<(String, String)>>,
    wrong: AtomicUsize,
}

/// Ends the process of a machine each time that it holds too much, and starts it again.
fn guard(site: &Site, gateway: &Mutex<Gateway>) {
    while !site.is_over.load(Ordering::Relaxed) {
        let held = gateway.lock().unwrap().resident_kb();
        let mut peak = site.peak_kb.lock().unwrap();
        *peak = held.max(*peak);
        drop(peak);
        if held > MEMORY_KB {
            let mut gateway = gateway.lock().unwrap();
            gateway.end();
            site.record
                .line(format!("{} held {held} kB and is ended", gateway.name));
            site.ends.lock().unwrap().push(gateway.name.clone());
            std::thread::sleep(RESTART);
            gateway.start();
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn lookup(id: &str) -> Vec<u8> {
    let request = Request {
        method: "GET",
        path: "/lookup/herd",
        id,
        key: Some(site::KEY),
        deadline_ms: 1_500,
        body: "",
    };
    request.bytes()
}

/// An ordinary client: one request after the other, over a connection that it keeps.
fn client(site: &Site, front: SocketAddr, name: &str, workers: &[Worker]) {
    let mut sent = 0;
    while !site.is_over.load(Ordering::Relaxed) {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1));
        let Ok(stream) = stream else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let mut connection = Connection::new(stream);
        let mut kept = false;
        while !site.is_over.load(Ordering::Relaxed) {
            sent += 1;
            let id = format!("{name}{sent:08}");
            let written = connection.stream.write_all(&lookup(&id));
            match written.and_then(|()| connection.message(true)) {
                Ok(answer) => {
                    kept = true;
                    site.answered.fetch_add(1, Ordering::Relaxed);
                    check(site, &answer, &id, workers);
                    if answer.header("connection") == Some("close") {
                        break;
                    }
                }
                Err(error) => {
                    if kept {
                        site.cut.lock().unwrap().push((id, error.to_string()));
                    }
                    break;
                }
            }
        }
    }
}

fn check(site: &Site, answer: &Message, id: &str, workers: &[Worker]) {
    let is_of = |worker: &Worker| {
        let is_stamped = answer.header("x-server-stamp") == Some(&stamp(worker, id));
        is_stamped && answer.body == body(worker, id).as_bytes()
    };
    if answer.status() == 200 && !workers.iter().any(is_of) {
        site.wrong.fetch_add(1, Ordering::Relaxed);
    }
}

/// The client that sends ahead; without the disruption, it waits for each answer.
fn ahead(site: &Site, front: SocketAddr, name: &str) {
    for burst in 0..BURSTS {
        let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
            std::thread::sleep(PAUSE);
            continue;
        };
        let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let mut connection = Connection::new(stream);
        let begun = Instant::now();
        let (mut bytes, mut requests) = (0, 0);
        let mut end = "it has sent enough".to_string();
        while begun.elapsed() < BURST && bytes < BURST_BYTES {
            let many = if site.trouble { 400 } else { 1 };
            let batch: Vec<u8> = (0..many)
                .flat_map(|n| lookup(&format!("{name}{burst}{:08}", requests + n)))
                .collect();
            requests += many;
            let mut written = connection.stream.write_all(&batch);
            if !site.trouble {
                written = written.and_then(|()| connection.message(true)).map(|_| ());
            }
            if let Err(error) = written {
                end = error.to_string();
                break;
            }
            bytes += batch.len();
            let due = Duration::from_secs_f64(bytes as f64 / RATE);
            std::thread::sleep(due.saturating_sub(begun.elapsed()));
        }
        site.record.line(format!(
            "{name}: {requests} requests, {} kB, in {:.2} s over one connection; then: {end}",
            bytes / 1_000,
            begun.elapsed().as_secs_f64()
        ));
        drop(connection);
        std::thread::sleep(PAUSE);
    }
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    store.put("op", "config", &site::configuration(1, &[site::KEY]));
    let answer = |worker: &Worker, request: &Message, stream: &mut TcpStream| {
        std::thread::sleep(WORK);
        sound(worker, request, stream)
    };
    let worker = |id: &str| Worker::start(&store, id, "registry-app", Arc::new(answer));
    let workers: Vec<Worker> = ["i-0000000a", "i-0000000b", "i-0000000c"]
        .map(worker)
        .into();
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
    let fronts: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.front).collect();
    let gateways: Vec<Mutex<Gateway>> = gateways.into_iter().map(Mutex::new).collect();
    let site = Site {
        record: record.clone(),
        trouble: setting.trouble,
        is_over: AtomicBool::new(false),
        ends: Mutex::default(),
        peak_kb: Mutex::default(),
        answered: AtomicUsize::new(0),
        cut: Mutex::default(),
        wrong: AtomicUsize::new(0),
    };
    std::thread::scope(|scope| {
        // The main thread starts and ends the processes, which live as long as the thread that starts them.
        for (index, front) in fronts.iter().enumerate() {
            for number in 0..CLIENTS {
                let (site, workers) = (&site, &workers);
                scope.spawn(move || client(site, *front, &format!("c{index}{number:02}"), workers));
            }
        }
        std::thread::sleep(Duration::from_secs(2));
        let guards: Vec<_> = gateways
            .iter()
            .map(|gateway| scope.spawn(|| guard(&site, gateway)))
            .collect();
        let senders: Vec<_> = fronts
            .iter()
            .enumerate()
            .map(|(index, front)| {
                let site = &site;
                scope.spawn(move || ahead(site, *front, &format!("p{index}")))
            })
            .collect();
        for sender in senders {
            let _ = sender.join();
        }
        std::thread::sleep(Duration::from_secs(1));
        site.is_over.store(true, Ordering::Relaxed);
        drop(guards);
    });
    let ran: BTreeSet<String> = workers
        .iter()
        .flat_map(Worker::runs)
        .map(|run| run.id)
        .collect();
    let cut = site.cut.lock().unwrap();
    let mut lost = 0;
    for (id, error) in cut.iter() {
        let was_run = ran.contains(id);
        lost += usize::from(was_run);
        record.line(format!(
            "{id}: no answer over a kept connection ({error}); run: {was_run}"
        ));
    }
    let ends = site.ends.lock().unwrap();
    record.line(format!(
        "other clients: {} requests answered, {} of these wrongly; the processes held {} kB at most; {} ends of \
         processes for their memory: {ends:?}",
        site.answered.load(Ordering::Relaxed),
        site.wrong.load(Ordering::Relaxed),
        site.peak_kb.lock().unwrap(),
        ends.len()
    ));
    record.line(format!(
        "LOST: {lost} requests of other clients, passed on from kept connections to sound workers, ended without \
         an answer ({MOST} are allowed)"
    ));
    match lost {
        0..=MOST => Verdict::Held,
        _ => Verdict::Broken,
    }
}
