//! Clients that send bodies of legal size in very small chunks, beside ordinary ones.
//!
//! CONFIG: some requests last longer than their route's `timeout_ms`; eight or more of them, and over
//! a quarter, have no final answer half a second after it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::gateway::Gateway;
use crate::record::{Record, Temporary};
use crate::store::Store;
use crate::worker::{Place, Site, start};

const ZONES: [&str; 3] = ["sofia-a", "sofia-b", "sofia-c"];
/// `timeout_ms` of the route.
const TIMEOUT: Duration = Duration::from_millis(800);
/// The time after it at which a final answer is due.
const DUE: Duration = Duration::from_millis(500);
/// The number of late requests without a final answer that breaks the rule, if they are over a quarter.
const MANY: usize = 8;
/// The clients that send small chunks.
const CROWD: usize = 60;
/// What each of them sends a second at most, in bytes: together 77 in 100 of a machine's link.
const RATE: u64 = 1_600_000;
/// The size of a body of theirs, a fourth of `max_body_bytes`.
const BODY: usize = 1 << 20;
const CHUNKS_OF_ONE: usize = 1;
const CHUNKS_OF_MANY: usize = 4 << 10;
/// The ordinary clients, and the time between two requests of one.
const CALLERS: usize = 10;
const PAUSE: Duration = Duration::from_millis(200);
const CALM: Duration = Duration::from_secs(4);
const LASTS: Duration = Duration::from_secs(20);

fn configuration() -> String {
    r#"{"version":1,"routes":[{"name":"r-1","host":"site.example","prefix":"/book/","route_type":"non_idempotent",
    "timeout_ms":800,"latency_goal_ms":100,"priority":2,"service":"registry","attempts":1,
    "anonymous":false,"sticky":false,"resumable":false}],"services":[{"name":"registry","health_path":"/healthz",
    "max_conns":96,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
    "idle_timeout_ms":15000},"tenants":[{"name":"herders","api_keys":["key-of-herders"],"priority":1}]}"#
        .into()
}

fn head(id: &str) -> String {
    format!(
        "POST /book/2f HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\
         Authorization: Token key-of-herders\r\n"
    )
}

/// Sends one body in chunks, no faster than its rate; returns what came back, if anything did.
fn send_in_chunks(to: SocketAddr, id: &str, size: usize, has_ended: &AtomicBool) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream
        .set_write_timeout(Some(Duration::from_secs(5)))
        .ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let head = format!("{}Transfer-Encoding: chunked\r\n\r\n", head(id));
    stream.write_all(head.as_bytes()).ok()?;
    let chunk = format!("{size:x}\r\n{}\r\n", "a".repeat(size));
    let per_write = (CHUNKS_OF_MANY / size).max(1);
    let block = chunk.repeat(per_write);
    let begun = Instant::now();
    let mut sent = 0;
    for _ in 0..BODY / size / per_write {
        if has_ended.load(Ordering::Relaxed) {
            return None;
        }
        stream.write_all(block.as_bytes()).ok()?;
        sent += block.len() as u64;
        let due = Duration::from_micros(sent * 1_000_000 / RATE);
        std::thread::sleep(due.saturating_sub(begun.elapsed()));
    }
    stream.write_all(b"0\r\n\r\n").ok()?;
    read_status(&mut stream)
}

fn read_status(stream: &mut TcpStream) -> Option<String> {
    let mut answer = [0; 1024];
    let count = stream.read(&mut answer).ok()?;
    let answer = String::from_utf8_lossy(&answer[..count]).into_owned();
    answer.split_whitespace().nth(1).map(str::to_string)
}

/// A request of an ordinary client.
struct Call {
    id: String,
    sent_at: Instant,
    took: Duration,
    /// The status, if an answer came in time.
    status: Option<String>,
}

fn call(to: SocketAddr, id: String) -> Option<Call> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(TIMEOUT + DUE)).ok()?;
    let request = format!("{}Content-Length: 5\r\n\r\nhello", head(&id));
    let sent_at = Instant::now();
    stream.write_all(request.as_bytes()).ok()?;
    let status = read_status(&mut stream);
    Some(Call {
        id,
        sent_at,
        took: sent_at.elapsed(),
        status,
    })
}

/// Runs the case; returns whether the rule was broken.
pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let temporary = Temporary::create()?;
    let store = Store::start();
    store.put("op", "config", &configuration());
    let site = Site::new(store.clone(), |_| false);
    for zone in ZONES {
        start(
            &site,
            Place {
                service: "registry",
                zone,
                model: None,
            },
        );
    }
    let gateway = Gateway::start(&temporary.0, "edge-sofia-a-0", ZONES[0], store.address)?;
    gateway.wait_until_ready()?;
    std::thread::sleep(CALM);
    let to = gateway.callers;
    let has_ended = Arc::new(AtomicBool::new(false));
    let bodies = Arc::new(AtomicU64::new(0));
    let size = if trouble {
        CHUNKS_OF_ONE
    } else {
        CHUNKS_OF_MANY
    };
    record.write(format!(
        "{CROWD} clients begin to send bodies of {BODY} bytes in chunks of {size}"
    ));
    let crowd = (0..CROWD).map(|index| {
        let (has_ended, bodies) = (has_ended.clone(), bodies.clone());
        std::thread::spawn(move || {
            let mut count = 0;
            while !has_ended.load(Ordering::Relaxed) {
                count += 1;
                if send_in_chunks(to, &format!("crowd-{index}-{count}"), size, &has_ended).is_some()
                {
                    bodies.fetch_add(1, Ordering::Relaxed);
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        })
    });
    let crowd: Vec<_> = crowd.collect();
    std::thread::sleep(Duration::from_secs(1));
    let calls = Arc::new(Mutex::new(Vec::new()));
    let unconnected = Arc::new(AtomicU64::new(0));
    let until = Instant::now() + LASTS;
    let callers = (0..CALLERS).map(|index| {
        let (calls, unconnected) = (calls.clone(), unconnected.clone());
        std::thread::spawn(move || {
            let mut count = 0;
            while Instant::now() < until {
                count += 1;
                match call(to, format!("caller-{index}-{count}")) {
                    Some(call) => calls.lock().expect("the calls").push(call),
                    None => _ = unconnected.fetch_add(1, Ordering::Relaxed),
                }
                std::thread::sleep(PAUSE);
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    for caller in callers {
        let _ = caller.join();
    }
    has_ended.store(true, Ordering::Relaxed);
    for client in crowd {
        let _ = client.join();
    }
    record.write(format!(
        "the crowd ends; {} of its requests were answered",
        bodies.load(Ordering::Relaxed)
    ));
    let mut calls = std::mem::take(&mut *calls.lock().expect("the calls"));
    calls.sort_by_key(|call| call.sent_at);
    for call in &calls {
        let status = call.status.as_deref().unwrap_or("none");
        record.write_at(
            call.sent_at,
            format!(
                "{} is sent: answer {status} after {} ms",
                call.id,
                call.took.as_millis()
            ),
        );
    }
    let late: Vec<_> = calls.iter().filter(|call| call.took > TIMEOUT).collect();
    let unanswered = late.iter().filter(|call| call.status.is_none()).count();
    record.write(format!(
        "of {} ordinary requests {} lasted longer than timeout_ms, and {unanswered} of these had no final answer half \
         a second after it; {} connections were not established",
        calls.len(),
        late.len(),
        unconnected.load(Ordering::Relaxed)
    ));
    Ok(unanswered >= MANY && 4 * unanswered > late.len())
}
