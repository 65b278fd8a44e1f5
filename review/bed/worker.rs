//! Plain workers: they register themselves, answer requests, and may crash at a request.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::store::Store;
use crate::Record;

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A request as a worker got it.
#[derive(Debug, Clone)]
pub struct Seen {
    pub at: Instant,
    pub method: String,
    pub target: String,
    pub id: String,
    pub body: Vec<u8>,
}

/// What all workers have got.
pub type Log = Arc<Mutex<Vec<Seen>>>;

/// What a worker does with a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Deed {
    Answer,
    Crash,
    /// Streams events for some seconds.
    Stream,
}

/// The number of events of a stream.
const EVENTS: u64 = 60;
/// The time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// What a script makes a worker suffer.
#[derive(Default)]
pub struct Fate {
    /// Whether its streams stand still.
    pub stalled: AtomicBool,
    /// Whether it is to crash, once.
    pub crashes: AtomicBool,
}

/// A place at which a worker runs; one that crashes comes back some seconds later, under a new id.
pub struct Place {
    pub store: Store,
    pub service: String,
    pub zone: String,
    pub seen: Log,
    pub record: Record,
    pub back_after: Duration,
    pub deed: fn(&Message) -> Deed,
    pub fate: Arc<Fate>,
    /// Whether the record names each request that is run.
    pub records_runs: bool,
}

impl Place {
    /// Runs a worker for good.
    pub fn run(self) -> Result<(), String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let place = Arc::new(self);
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                let listening = listener.take().or_else(|| TcpListener::bind(address).ok());
                let Some(listening) = listening else {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                };
                place.live(listening, address);
                thread::sleep(place.back_after);
            }
        });
        Ok(())
    }

    /// Runs one incarnation until it crashes.
    fn live(self: &Arc<Self>, listener: TcpListener, address: SocketAddr) {
        let id = format!(
            "i-{:08x}",
            0x7f3a_0000 + NEXT.fetch_add(1, Ordering::Relaxed)
        );
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |since| since.as_millis());
        let crashed = Arc::new(AtomicBool::new(false));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let row = |sequence: u64| {
            format!(
                "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":1,\
                 \"slots\":26,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":{sequence},\
                 \"born\":{born}}}",
                self.service, self.zone
            )
        };
        self.store.write("servers", &id, Some(&row(1)));
        self.record.line(format!("worker {id} starts at {address}"));
        let _ = listener.set_nonblocking(true);
        while !crashed.load(Ordering::SeqCst) && !self.fate.crashes.swap(false, Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            connections.lock().unwrap().extend(stream.try_clone());
            let (place, id, crashed) = (self.clone(), id.clone(), crashed.clone());
            thread::spawn(move || place.serve(stream, &id, born, &crashed));
        }
        crashed.store(true, Ordering::SeqCst);
        drop(listener);
        for stream in connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(format!("worker {id} crashes"));
        // The entry of a worker that sends nothing is removed after three heartbeat intervals.
        let (store, id) = (self.store.clone(), id.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3_600));
            store.write("servers", &id, None);
        });
    }

    fn serve(&self, mut stream: TcpStream, id: &str, born: u128, crashed: &AtomicBool) {
        let mut rest = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut rest) {
            if crashed.load(Ordering::SeqCst) {
                return;
            }
            let (method, target) = request.target();
            let attempt = request.header("x-attempt-id").unwrap_or("").to_string();
            let seen = Seen {
                at: Instant::now(),
                method: method.to_string(),
                target: target.to_string(),
                id: attempt.clone(),
                body: request.body.clone(),
            };
            if let Some((status, body)) = own_answer(method, target, born) {
                if !attempt.is_empty() {
                    self.record.line(format!(
                        "worker {id} takes {attempt} for a call to itself: {method} {target}, {}",
                        String::from_utf8_lossy(&request.body)
                    ));
                    self.seen.lock().unwrap().push(seen);
                }
                let headers = [("X-Instance-Id", id)];
                let _ = http::respond(&mut stream, status, &headers, body.as_bytes());
                continue;
            }
            if request
                .header("x-expect-instance")
                .is_some_and(|expected| expected != id)
            {
                let headers = [("X-Instance-Id", id), ("X-Attempt-Id", attempt.as_str())];
                let _ = http::respond(&mut stream, 421, &headers, b"");
                continue;
            }
            let line = || {
                format!(
                    "worker {id} runs {attempt}: {method} {target}, {} bytes",
                    seen.body.len()
                )
            };
            if self.records_runs {
                self.record.line(line());
            }
            self.seen.lock().unwrap().push(seen);
            thread::sleep(Duration::from_millis(15));
            if (self.deed)(&request) == Deed::Crash {
                crashed.store(true, Ordering::SeqCst);
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            let stamp = format!("{attempt}.{id}");
            if (self.deed)(&request) == Deed::Stream {
                let after = request.header("last-event-id");
                let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
                let _ = self.stream(&mut stream, &attempt, &stamp, after);
                return;
            }
            let headers = [
                ("X-Attempt-Id", attempt.as_str()),
                ("X-Server-Stamp", &stamp),
            ];
            if http::respond(&mut stream, 200, &headers, b"done").is_err() {
                return;
            }
            let _ = stream.flush();
        }
    }
}

impl Place {
    /// Streams the events after the one with this id.
    fn stream(
        &self,
        to: &mut TcpStream,
        attempt: &str,
        stamp: &str,
        after: u64,
    ) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: {stamp}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        to.write_all(head.as_bytes())?;
        for event in after + 1..=EVENTS {
            while self.fate.stalled.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
            let text = format!("id: {event}\ndata: {stamp}\n\n");
            to.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(EVENT_INTERVAL);
        }
        to.write_all(b"0\r\n\r\n")
    }
}

/// Returns a worker's answer to a call that concerns the worker itself: a report, a health check or
/// an order.
fn own_answer(method: &str, target: &str, born: u128) -> Option<(u16, String)> {
    match (method, target) {
        ("GET", "/v1/report") => Some((
            200,
            format!(
                "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,\
                 \"running\":0,\"kv_used\":0,\"kv_total\":0,\"handles\":0,\"born\":{born}}}"
            ),
        )),
        ("GET", "/healthz") => Some((200, format!("{{\"born\":{born}}}"))),
        ("POST", "/v1/order") => Some((202, String::new())),
        _ => None,
    }
}
