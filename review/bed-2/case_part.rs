//! A part of prompts crashes each worker that begins to answer on it, whatever else the request holds.
//!
//! The requests with that part are about a new document, whose part sound requests share. Sound requests of the
//! same caller and with the same first part have to be served on, also while such requests still come.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::client::{Request, exchange};
use crate::gateway::{Gateway, die_with_parent};
use crate::http::{Connection, Message};
use crate::record::Record;
use crate::site;
use crate::store::Store;
use crate::worker::respond;
use crate::{Setting, Verdict};

const WORKERS: usize = 12;
const EVENTS: u64 = 8;
const PAUSE: Duration = Duration::from_millis(50);
/// `contact_ms` of the deployment.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// How long a worker that crashed is away, and when its entry is removed: after three heartbeats.
const AWAY: Duration = Duration::from_millis(2_500);
const LISTED: Duration = Duration::from_millis(3_600);
/// The pause between two sound requests, and between two that crash workers.
const SOUND_PAUSE: Duration = Duration::from_millis(100);
const CRASH_PAUSE: Duration = Duration::from_millis(1_000);
/// How long before the sound ones the first requests about the new document come.
const LEAD: Duration = Duration::from_millis(1_000);

/// The first part of all prompts, the part that crashes workers, and those of two documents.
pub const FIRST: &str = "5c1e07a2:40";
pub const CRASHING: &str = "91bd3f06:410";
pub const DOCUMENT: &str = "2af07c11:250";
const NEW_DOCUMENT: &str = "e4402b7d:250";

/// A worker in a process of its own, which exits when it begins to answer on the part that crashes it.
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
    let parts = request.header("x-prefix-hash").unwrap_or("");
    if parts.split(',').any(|part| part == CRASHING) {
        println!("{id}");
        std::process::exit(1);
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Stamp: stamp.{worker}.{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let after = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let mut written = stream.write_all(head.as_bytes());
    for event in after + 1..=EVENTS {
        std::thread::sleep(PAUSE);
        let event = format!("id: {event}\ndata: {worker} to {id}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        written = written.and_then(|()| stream.write_all(chunk.as_bytes()));
    }
    written
        .and_then(|()| stream.write_all(b"0\r\n\r\n"))
        .is_ok()
}

/// The workers, each of which is replaced when it has crashed.
pub struct Fleet {
    store: Store,
    record: Arc<Record>,
    started: Mutex<usize>,
    /// The crashes, with the requests that caused them.
    pub crashes: Mutex<Vec<(Instant, String)>>,
    children: Mutex<BTreeMap<u32, Child>>,
    is_over: AtomicBool,
}

impl Fleet {
    pub fn start_worker(self: &Arc<Self>) {
        if self.is_over.load(Ordering::Relaxed) {
            return;
        }
        let number = {
            let mut started = self.started.lock().unwrap();
            *started += 1;
            *started
        };
        let id = format!("i-{number:08}");
        let mut command = Command::new(std::env::current_exe().expect("this program"));
        command
            .args(["part-worker", &id])
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        unsafe { command.pre_exec(die_with_parent) };
        let mut child = command.spawn().expect("a worker");
        let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
        let address: SocketAddr = lines
            .next()
            .and_then(Result::ok)
            .and_then(|l| l.parse().ok())
            .expect("its address");
        let pid = child.id();
        self.children.lock().unwrap().insert(pid, child);
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |born| born.as_millis());
        let entry = format!(
            "{{\"service\":\"registry-app\",\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"v1\",\
             \"slots\":16,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":0,\"born\":{born}}}"
        );
        self.store.put("servers", &id, &entry);
        let fleet = self.clone();
        std::thread::spawn(move || {
            // The worker tells the request that crashes it; its output ends with it.
            let request = lines.map_while(Result::ok).last().unwrap_or_default();
            if fleet.is_over.load(Ordering::Relaxed) {
                return;
            }
            fleet
                .record
                .line(format!("worker {id} has crashed on {request}"));
            fleet
                .crashes
                .lock()
                .unwrap()
                .push((Instant::now(), request));
            std::thread::sleep(LISTED);
            fleet.store.remove("servers", &id);
        });
    }

    /// Starts a worker for each that has crashed, some time after.
    pub fn replace(self: &Arc<Self>, replaced: &mut usize) {
        let now = Instant::now();
        let crashes = self.crashes.lock().unwrap().clone();
        let due = crashes
            .iter()
            .filter(|(at, _)| now.duration_since(*at) >= AWAY)
            .count();
        while *replaced < due {
            *replaced += 1;
            self.start_worker();
        }
    }

    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        for (_, mut child) in std::mem::take(&mut *self.children.lock().unwrap()) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// What became of a request.
pub struct Seen {
    pub id: String,
    pub sent_at: Instant,
    pub parts: String,
    pub status: u16,
    retry_after: String,
}

pub struct Clients {
    pub gateways: Vec<SocketAddr>,
    pub sent: usize,
    pub seen_tx: mpsc::Sender<Seen>,
}

impl Clients {
    /// Sends a request whose prompt has these parts, and a last one of its own.
    pub fn send(&mut self, parts: &[&str]) {
        self.sent += 1;
        let (id, own) = (
            format!("a{:015}", self.sent),
            format!("{:08x}:30", 0x7000_0000 + self.sent),
        );
        let parts = format!("{},{own}", parts.join(","));
        let gateway = self.gateways[self.sent % self.gateways.len()];
        let seen_tx = self.seen_tx.clone();
        std::thread::spawn(move || {
            let sent_at = Instant::now();
            let body = format!("draft {id}");
            let request = Request {
                method: "POST",
                path: "/summary/draft",
                id: &id,
                key: Some(site::KEY),
                deadline_ms: 6_000,
                body: &body,
            };
            let bytes = request.bytes();
            let fields =
                format!("\r\nX-Token-Count: 730,40\r\nX-Prefix-Hash: {parts}\r\nContent-Length");
            let bytes = String::from_utf8_lossy(&bytes).replace("\r\nContent-Length", &fields);
            let answer = exchange(gateway, bytes.as_bytes(), Duration::from_secs(7));
            let (status, retry_after) = answer.map_or((0, String::new()), |answer| {
                let retry_after = answer.header("retry-after").unwrap_or("").to_string();
                (answer.status(), retry_after)
            });
            let _ = seen_tx.send(Seen {
                id,
                sent_at,
                parts,
                status,
                retry_after,
            });
        });
    }
}

pub fn run(setting: &Setting) -> Verdict {
    with_site(setting, play)
}

/// Starts workers and gateways, and ends them after a play.
pub fn with_site(
    setting: &Setting,
    play: impl Fn(&Setting, &Arc<Fleet>, &[Gateway]) -> Verdict,
) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    store.put("op", "config", &site::configuration(1, &[site::KEY]));
    let fleet = Arc::new(Fleet {
        store: store.clone(),
        record: record.clone(),
        started: Mutex::default(),
        crashes: Mutex::default(),
        children: Mutex::default(),
        is_over: AtomicBool::new(false),
    });
    (0..WORKERS).for_each(|_| fleet.start_worker());
    let gateway = |name: &str| Gateway::new(&setting.scratch, name, store.address, site::BOUNDS);
    let mut gateways: Vec<Gateway> = ["edge-1", "edge-2"].map(gateway).into();
    gateways.iter_mut().for_each(Gateway::start);
    let verdict = if gateways
        .iter()
        .all(|g| g.wait_ready(Duration::from_secs(15)))
    {
        std::thread::sleep(CONTACT + Duration::from_secs(1));
        play(setting, &fleet, &gateways)
    } else {
        record.line("the gateways are not ready");
        Verdict::Unclear
    };
    fleet.end();
    if gateways.iter_mut().any(|gateway| !gateway.is_running()) {
        record.line("a gateway has ended");
        return Verdict::Unclear;
    }
    verdict
}

/// Records what was sent and answered.
pub fn record_all(record: &Record, seen: &[Seen]) {
    let mut seen: Vec<&Seen> = seen.iter().collect();
    seen.sort_by_key(|seen| seen.sent_at);
    let Some(first) = seen.first().map(|seen| seen.sent_at) else {
        return;
    };
    for Seen {
        id,
        sent_at,
        parts,
        status,
        retry_after,
    } in seen
    {
        let after = sent_at.duration_since(first).as_secs_f64();
        record.line(format!(
            "{id}: sent {after:.3} s after the first one, parts {parts}, answered {status} {retry_after}"
        ));
    }
}

fn play(setting: &Setting, fleet: &Arc<Fleet>, gateways: &[Gateway]) -> Verdict {
    let record = &setting.record;
    let (seen_tx, seen_rx) = mpsc::channel();
    let mut clients = Clients {
        gateways: gateways.iter().map(|gateway| gateway.front).collect(),
        sent: 0,
        seen_tx,
    };
    for _ in 0..30 {
        clients.send(&[FIRST, DOCUMENT]);
        std::thread::sleep(SOUND_PAUSE);
    }
    record.line("30 sound requests sent, about a document");
    std::thread::sleep(Duration::from_secs(1));
    let begun = Instant::now();
    if setting.trouble {
        (0..3).for_each(|_| clients.send(&[FIRST, CRASHING, NEW_DOCUMENT]));
        record.line("3 requests sent that crash workers, about a new document");
    }
    std::thread::sleep(LEAD);
    record.line("from now on: 10 sound requests a second, four of five about the new document");
    let crashes = || fleet.crashes.lock().unwrap().clone();
    let fifth = || {
        let crashes = crashes();
        crashes.get(4).or(crashes.last()).map(|(at, _)| *at)
    };
    let (mut replaced, mut next_crash, mut number) = (0, begun + CRASH_PAUSE, 0);
    // The rule counts from 2 x `contact_ms` after the fifth crash on.
    while Instant::now() < fifth().unwrap_or(begun) + CONTACT * 2 + Duration::from_secs(10) {
        number += 1;
        let document = if number % 5 == 0 {
            DOCUMENT
        } else {
            NEW_DOCUMENT
        };
        clients.send(&[FIRST, document]);
        if setting.trouble && Instant::now() >= next_crash {
            clients.send(&[FIRST, CRASHING, NEW_DOCUMENT]);
            next_crash += CRASH_PAUSE;
        }
        fleet.replace(&mut replaced);
        std::thread::sleep(SOUND_PAUSE);
    }
    let counts_from = fifth().unwrap_or(begun) + CONTACT * 2;
    std::thread::sleep(Duration::from_secs(2));
    drop(clients);
    let seen: Vec<Seen> = seen_rx.into_iter().collect();
    record_all(record, &seen);
    let sound = || seen.iter().filter(|seen| !seen.parts.contains(CRASHING));
    let before: Vec<_> = sound().filter(|seen| seen.sent_at < begun).collect();
    let after: Vec<_> = sound().filter(|seen| seen.sent_at >= counts_from).collect();
    let crashing = seen.iter().filter(|seen| seen.parts.contains(CRASHING));
    let of_new = after
        .iter()
        .filter(|seen| seen.parts.contains(NEW_DOCUMENT));
    for (what, group) in [("before", &before), ("after", &after)] {
        for document in [DOCUMENT, NEW_DOCUMENT] {
            let mut by_status: BTreeMap<(u16, &str), usize> = BTreeMap::new();
            for seen in group.iter().filter(|seen| seen.parts.contains(document)) {
                let retry_after = seen.retry_after.split('.').next().unwrap_or("");
                *by_status.entry((seen.status, retry_after)).or_default() += 1;
            }
            let by_status: Vec<String> = by_status
                .iter()
                .map(|((status, retry_after), count)| match *retry_after {
                    "" => format!("{count} x {status}"),
                    seconds => format!("{count} x {status} (Retry-After {seconds} s)"),
                })
                .collect();
            record.line(format!(
                "sound, {what}, document {document}: {}",
                by_status.join(", ")
            ));
        }
    }
    let served = |group: &[&Seen]| group.iter().filter(|seen| seen.status == 200).count();
    let (begun_before, begun_after) = (served(&before), served(&after));
    record.line(format!(
        "{} crashes; {} requests sent that crash workers; {} sound ones about the new document counted",
        crashes().len(),
        crashing.count(),
        of_new.count()
    ));
    record.line(format!(
        "LOST: sound requests of the same key and first part that began: {begun_before} of {} before, \
         {begun_after} of {} later than 2 x contact_ms after the fifth crash",
        before.len(),
        after.len()
    ));
    if before.len() < 20 || after.len() < 20 || (setting.trouble && crashes().len() < 3) {
        record.line("too few requests or crashes");
        return Verdict::Unclear;
    }
    let less_than_half = 2 * begun_after * before.len() < begun_before * after.len();
    if less_than_half {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
