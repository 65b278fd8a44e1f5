//! One worker of six is killed while it streams.
//!
//! The workers are processes of their own. Their streams have neither a length nor chunks, and end with their
//! connection. A stream whose worker was killed goes on at another worker, or is broken off; it may not end as
//! a complete one before its last event.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::client::{Request, exchange};
use crate::gateway::{Gateway, die_with_parent};
use crate::http::{Connection, Message};
use crate::site;
use crate::store::Store;
use crate::worker::respond;
use crate::{Setting, Verdict};

/// The number of events of a stream, and the pause before each.
const EVENTS: u64 = 40;
const PAUSE: Duration = Duration::from_millis(50);
const WORKERS: usize = 6;
const STREAMS: usize = 36;
/// When the worker is killed, in the middle of the streams.
const KILLED_AFTER: Duration = Duration::from_millis(900);
/// The heartbeat interval of the deployment; an entry is removed after three of them.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A worker in a process of its own.
struct Worker {
    id: String,
    address: SocketAddr,
    child: Child,
}

impl Worker {
    fn start(id: String) -> Self {
        let program = std::env::current_exe().expect("this program");
        let mut command = Command::new(program);
        command
            .args(["stream-worker", &id])
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        unsafe { command.pre_exec(die_with_parent) };
        let mut child = command.spawn().expect("a worker");
        let mut line = String::new();
        let output = child.stdout.take().expect("its output");
        BufReader::new(output)
            .read_line(&mut line)
            .expect("its address");
        Self {
            id,
            address: line.trim().parse().expect("its address"),
            child,
        }
    }

    fn register(&self, store: &Store) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |born| born.as_millis());
        let entry = format!(
            "{{\"service\":\"registry-app\",\"address\":\"{}\",\"zone\":\"z1\",\"version\":\"v1\",\
             \"slots\":16,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":0,\"born\":{born}}}",
            self.address
        );
        store.put("servers", &self.id, &entry);
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Serves requests as a worker until the process is killed.
pub fn serve(id: &str) -> ! {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    println!("{}", listener.local_addr().expect("an address"));
    for stream in listener.incoming().flatten() {
        let id = id.to_string();
        std::thread::spawn(move || {
            let mut connection = Connection::new(stream);
            while let Ok(request) = connection.message(false) {
                if !answer(&id, &request, &mut connection.stream) {
                    return;
                }
            }
        });
    }
    std::process::exit(2);
}

fn answer(worker: &str, request: &Message, stream: &mut TcpStream) -> bool {
    let (_, target) = request.request();
    let id = request.header("x-attempt-id").unwrap_or("");
    if target == "/healthz" || target == "/v1/report" {
        return respond(stream, 200, &format!("X-Instance-Id: {worker}\r\n"), "{}");
    }
    if request
        .header("x-expect-instance")
        .is_some_and(|expected| expected != worker)
    {
        let head = format!("X-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n");
        return respond(stream, 421, &head, "");
    }
    let after = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: stamp.{worker}.{id}\r\n\
         Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    );
    let mut written = stream.write_all(head.as_bytes());
    for event in after + 1..=EVENTS {
        std::thread::sleep(PAUSE);
        let event = format!("id: {event}\ndata: {worker} to {id}\n\n");
        written = written.and_then(|()| stream.write_all(event.as_bytes()));
    }
    // The end of the connection is the end of the stream.
    false
}

/// What a client saw of its stream.
struct Seen {
    id: String,
    status: u16,
    stamp: String,
    /// Whether the answer is complete by its framing.
    is_complete: bool,
    events: Vec<u64>,
    workers: Vec<String>,
}

fn read_stream(gateway: SocketAddr, number: usize) -> Seen {
    let id = format!("a{number:015}");
    let request = Request {
        method: "POST",
        path: "/summary/draft",
        id: &id,
        key: Some(site::KEY),
        deadline_ms: 8_000,
        body: "counts of the spring",
    };
    let answer = exchange(gateway, &request.bytes(), Duration::from_secs(9));
    let (is_complete, answer) = match answer {
        Ok(answer) => (true, answer),
        Err(_) => (
            false,
            Message {
                line: String::new(),
                headers: Vec::new(),
                body: Vec::new(),
            },
        ),
    };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let events = text
        .lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    let mut workers: Vec<String> = text
        .lines()
        .filter_map(|line| {
            line.strip_prefix("data: ")?
                .split(' ')
                .next()
                .map(str::to_string)
        })
        .collect();
    workers.dedup();
    Seen {
        id,
        status: answer.status(),
        stamp: answer
            .header("x-server-stamp")
            .unwrap_or("none")
            .to_string(),
        is_complete,
        events: events.collect(),
        workers,
    }
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    store.put("op", "config", &site::configuration(1, &[site::KEY]));
    let mut workers: Vec<Worker> = (0..WORKERS)
        .map(|n| Worker::start(format!("i-0000000{n}")))
        .collect();
    workers.iter().for_each(|worker| worker.register(&store));
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
    let (seen_tx, seen_rx) = mpsc::channel();
    for number in 0..STREAMS {
        let gateway = gateways[number % gateways.len()].front;
        let seen_tx = seen_tx.clone();
        std::thread::spawn(move || seen_tx.send(read_stream(gateway, number)));
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(seen_tx);
    record.line(format!("{STREAMS} streams of {EVENTS} events sent"));
    std::thread::sleep(KILLED_AFTER);
    if setting.trouble {
        let killed = &mut workers[0];
        let _ = killed.child.kill();
        let _ = killed.child.wait();
        record.line(format!("worker {} is killed (SIGKILL)", killed.id));
        let (store, id) = (store.clone(), killed.id.clone());
        std::thread::spawn(move || {
            std::thread::sleep(HEARTBEAT * 3);
            store.remove("servers", &id);
        });
    }
    let (mut whole, mut broken_off, mut refused, mut short) = (0, 0, 0, 0);
    for seen in seen_rx {
        let is_whole = seen.events == (1..=EVENTS).collect::<Vec<_>>();
        let is_success = seen.is_complete && (200..300).contains(&seen.status);
        let what = match (is_success, is_whole) {
            (true, true) => {
                whole += 1;
                "whole"
            }
            (true, false) => {
                short += 1;
                "ENDS AS COMPLETE BEFORE ITS LAST EVENT"
            }
            (false, _) if seen.is_complete => {
                refused += 1;
                "refused or failed"
            }
            (false, _) => {
                broken_off += 1;
                "broken off"
            }
        };
        let Seen {
            id,
            status,
            stamp,
            events,
            workers,
            ..
        } = &seen;
        record.line(format!(
            "{id}: status {status}, X-Server-Stamp {stamp}, {} events, the last {:?}, by {workers:?}: {what}",
            events.len(),
            events.last()
        ));
    }
    if gateways.iter_mut().any(|gateway| !gateway.is_running()) {
        record.line("a gateway has ended");
        return Verdict::Unclear;
    }
    record.line(format!(
        "{whole} whole, {broken_off} broken off, {refused} refused or failed; ORDER: {short} streams ended as \
         complete before their last event"
    ));
    match short {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
