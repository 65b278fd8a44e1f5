//! Workers, which crash while they run some requests and come back after some seconds, or leave.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::gateway::host;
use crate::http::{Request, respond};
use crate::json::Json;
use crate::store::Store;

/// How long a crashed worker is away.
const AWAY: Duration = Duration::from_secs(2);
/// The time after a crash at which the store removes a worker's row: three heartbeat intervals.
const LAPSE: Duration = Duration::from_millis(3_600);
/// How long a worker that leaves serves on; longer than `drain_ms`.
const SERVES_ON: Duration = Duration::from_secs(9);
/// How long a worker takes to join a group.
const JOIN: Duration = Duration::from_millis(200);
/// How long the head of a group takes to open it.
const FORM: Duration = Duration::from_millis(300);

/// A request that reached a worker.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub worker: String,
    pub request: Request,
}

/// What all workers share.
pub struct Site {
    pub store: Store,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// What workers did, in order, as lines of the record.
    pub events: Mutex<Vec<(Instant, String)>>,
    /// The joins that a worker took while the head of its group was open or closing.
    pub joined_twice: Mutex<Vec<String>>,
    workers: Mutex<HashMap<String, Arc<Worker>>>,
    /// Whether a request crashes the worker that begins to run it.
    pub crashes: Box<dyn Fn(&Request) -> bool + Send + Sync>,
    started: AtomicU64,
}

/// The membership of a worker in a group.
#[derive(Debug, Clone)]
struct Membership {
    group: String,
    epoch: u64,
    model: String,
    members: Vec<String>,
    state: &'static str,
}

/// One life of a worker.
struct Worker {
    site: Arc<Site>,
    id: String,
    born: u128,
    place: Place,
    address: SocketAddr,
    alive: Mutex<bool>,
    connections: Mutex<Vec<TcpStream>>,
    membership: Mutex<Option<Membership>>,
    /// Whether it is leaving.
    is_leaving: AtomicBool,
    sequence: AtomicU64,
    seen_epoch: AtomicU64,
}

/// Where a worker belongs.
#[derive(Debug, Clone)]
pub struct Place {
    pub service: &'static str,
    pub zone: &'static str,
    /// The fabric domain and the model that the host holds, for workers of models.
    pub model: Option<(String, &'static str)>,
}

impl Site {
    pub fn new(
        store: Store,
        crashes: impl Fn(&Request) -> bool + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Self {
            store,
            arrivals: Mutex::default(),
            events: Mutex::default(),
            joined_twice: Mutex::default(),
            workers: Mutex::default(),
            crashes: Box::new(crashes),
            started: AtomicU64::new(0),
        })
    }

    fn record(&self, line: String) {
        self.events
            .lock()
            .expect("the events")
            .push((Instant::now(), line));
    }

    fn worker(&self, id: &str) -> Option<Arc<Worker>> {
        self.workers.lock().expect("the workers").get(id).cloned()
    }

    /// Lets all living workers write their rows again, each at its next heartbeat.
    pub fn list_again(&self, within: Duration) {
        let workers: Vec<_> = self
            .workers
            .lock()
            .expect("the workers")
            .values()
            .cloned()
            .collect();
        for worker in workers {
            std::thread::spawn(move || {
                std::thread::sleep(within);
                worker.list();
            });
        }
    }

    /// Lets a worker leave: it says so, serves on for a while, and ends.
    pub fn drain(&self, id: &str) {
        let Some(worker) = self.worker(id) else {
            return;
        };
        worker.is_leaving.store(true, Ordering::Relaxed);
        worker.list();
        std::thread::spawn(move || {
            std::thread::sleep(SERVES_ON);
            worker.end();
            worker.site.store.remove("servers", &worker.id);
        });
    }

    /// Returns the ids of the living workers that are not leaving, with the group, the state and the rank of those in one.
    pub fn groups(&self) -> Vec<(String, Option<(String, &'static str, usize)>)> {
        let workers: Vec<_> = self
            .workers
            .lock()
            .expect("the workers")
            .values()
            .cloned()
            .collect();
        let living = workers
            .iter()
            .filter(|worker| *worker.alive.lock().expect("the state"));
        let living = living.filter(|worker| !worker.is_leaving.load(Ordering::Relaxed));
        let mut groups: Vec<_> = living
            .map(|worker| (worker.id.clone(), worker.place_in_group()))
            .collect();
        groups.sort();
        groups
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("the arrivals").clone()
    }
}

/// Starts a worker, which lists itself in the store.
pub fn start(site: &Arc<Site>, place: Place) {
    let number = site.started.fetch_add(1, Ordering::Relaxed);
    let listener = TcpListener::bind((host(), 0)).expect("a free port");
    listener.set_nonblocking(true).expect("a listener");
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time")
        .as_millis();
    let worker = Arc::new(Worker {
        site: site.clone(),
        id: format!("i-{number:08x}"),
        born,
        place,
        address: listener.local_addr().expect("an address"),
        alive: Mutex::new(true),
        connections: Mutex::default(),
        membership: Mutex::default(),
        is_leaving: AtomicBool::new(false),
        sequence: AtomicU64::new(0),
        seen_epoch: AtomicU64::new(0),
    });
    let mut workers = site.workers.lock().expect("the workers");
    workers.insert(worker.id.clone(), worker.clone());
    drop(workers);
    site.record(format!("worker {} starts", worker.id));
    worker.list();
    std::thread::spawn(move || {
        while *worker.alive.lock().expect("the state") {
            match listener.accept() {
                Ok((stream, _)) => {
                    let worker = worker.clone();
                    std::thread::spawn(move || worker.serve(stream));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

impl Worker {
    fn place_in_group(&self) -> Option<(String, &'static str, usize)> {
        let membership = self.membership.lock().expect("the membership").clone()?;
        let rank = membership.members.iter().position(|id| *id == self.id)?;
        Some((membership.group, membership.state, rank))
    }

    /// Returns the group to which this worker belongs while its head is open or closing.
    fn serving_group(&self) -> Option<String> {
        let own = self.membership.lock().expect("the membership").clone()?;
        let head = self.site.worker(own.members.first()?)?;
        let is_alive = *head.alive.lock().expect("the state");
        let membership = head.membership.lock().expect("the membership").clone()?;
        let is_of_group = membership.group == own.group && membership.epoch == own.epoch;
        let serves = ["open", "closing"].contains(&membership.state);
        (is_alive && is_of_group && serves).then_some(own.group)
    }

    fn fields(&self) -> String {
        let mut fields = format!(
            "\"sequence\":{},\"born\":{}",
            self.sequence.load(Ordering::Relaxed),
            self.born
        );
        let Some((domain, held)) = &self.place.model else {
            return fields;
        };
        fields += &format!(",\"stage\":\"both\",\"domain\":\"{domain}\",\"staged\":[\"{held}\"]");
        let membership = self.membership.lock().expect("the membership").clone();
        match membership {
            Some(m) => {
                let rank = m.members.iter().position(|id| *id == self.id).unwrap_or(0);
                fields += &format!(
                    ",\"models\":[{{\"name\":\"{}\",\"version\":1,\"adapters\":[]}}],\"group\":{{\"name\":\"{}\",\
                     \"epoch\":{},\"rank\":{rank},\"state\":\"{}\"}}",
                    m.model, m.group, m.epoch, m.state
                );
            }
            None => fields += ",\"models\":[]",
        }
        fields
    }

    /// Writes the worker's row.
    fn list(&self) {
        if !*self.alive.lock().expect("the state") {
            return;
        }
        let Place { service, zone, .. } = &self.place;
        let is_leaving = self.is_leaving.load(Ordering::Relaxed);
        let state = if is_leaving { "draining" } else { "ready" };
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"cold_left_ms\":0,{}}}",
            self.address,
            self.fields()
        );
        self.site.store.put("servers", &self.id, &value);
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        {
            let alive = self.alive.lock().expect("the state");
            if !*alive {
                return;
            }
            let mut connections = self.connections.lock().expect("the connections");
            connections.extend(stream.try_clone());
        }
        let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
        while let Some(request) = Request::read(&mut reader) {
            if !self.respond(&stream, &request) {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Responds to a request; returns whether the connection goes on.
    fn respond(self: &Arc<Self>, stream: &TcpStream, request: &Request) -> bool {
        let expected = request.header("x-expect-instance");
        let leaving = if self.is_leaving.load(Ordering::Relaxed) {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        };
        let echo = format!(
            "X-Attempt-Id: {}\r\nX-Instance-Id: {}\r\n{leaving}",
            request.header("x-attempt-id"),
            self.id
        );
        if !expected.is_empty() && expected != self.id {
            return respond(stream, 421, &echo, b"");
        }
        match request.path.as_str() {
            "/healthz" => respond(stream, 200, &echo, b""),
            "/v1/report" => {
                let body = format!(
                    "{{\"busy\":false,\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":1400000,\"handles\":0,{}}}",
                    self.fields()
                );
                let headers = format!("Content-Type: application/json\r\n{echo}");
                respond(stream, 200, &headers, body.as_bytes())
            }
            "/v1/order" => {
                let status = self.order(&String::from_utf8_lossy(&request.body));
                respond(stream, status, &echo, b"")
            }
            _ => self.run(stream, request, &echo),
        }
    }

    /// Runs a client's request.
    fn run(self: &Arc<Self>, mut stream: &TcpStream, request: &Request, echo: &str) -> bool {
        let crashed = (self.site.crashes)(request);
        self.site
            .arrivals
            .lock()
            .expect("the arrivals")
            .push(Arrival {
                at: Instant::now(),
                worker: self.id.clone(),
                request: request.clone(),
            });
        if crashed {
            std::thread::sleep(Duration::from_millis(10));
            self.crash();
            return false;
        }
        let stamp = format!(
            "{echo}X-Server-Stamp: {}\r\n",
            request.header("x-attempt-id")
        );
        std::thread::sleep(Duration::from_millis(15));
        if self.place.model.is_none() {
            return respond(stream, 200, &stamp, b"done");
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{stamp}\r\n"
        );
        let mut written = stream.write_all(head.as_bytes());
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        for id in last + 1..=5 {
            std::thread::sleep(Duration::from_millis(20));
            let event = format!("id: {id}\ndata: piece {id}\n\n");
            written = stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
        }
        written
            .and_then(|()| stream.write_all(b"0\r\n\r\n"))
            .is_ok()
    }

    /// Ends this life: all connections close, and new ones are refused; returns whether it was alive.
    fn end(&self) -> bool {
        let mut alive = self.alive.lock().expect("the state");
        // The accept loop drops the listener within milliseconds.
        for connection in self.connections.lock().expect("the connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        std::mem::replace(&mut *alive, false)
    }

    /// Ends this life; the next one begins later.
    fn crash(self: &Arc<Self>) {
        if !self.end() {
            return;
        }
        let (site, place, id) = (self.site.clone(), self.place.clone(), self.id.clone());
        std::thread::spawn(move || {
            std::thread::sleep(AWAY);
            start(&site, place);
            std::thread::sleep(LAPSE - AWAY);
            site.store.remove("servers", &id);
        });
    }

    /// Accepts an order, or not; returns the status.
    fn order(self: &Arc<Self>, body: &str) -> u16 {
        let Some(order) = Json::parse(body) else {
            return 400;
        };
        let (group, epoch) = (order.text("group"), order.number("epoch"));
        let operation = order.text("operation");
        let serving = self.serving_group();
        let mut membership = self.membership.lock().expect("the membership");
        let is_of_group = membership
            .as_ref()
            .is_some_and(|m| m.group == group && m.epoch == epoch);
        let state = membership.as_ref().map_or("", |m| m.state);
        match operation.as_str() {
            "join" => {
                let members = order.list("members").iter().filter_map(|id| match id {
                    Json::Text(id) => Some(id.clone()),
                    _ => None,
                });
                let members: Vec<String> = members.collect();
                if epoch < self.seen_epoch.load(Ordering::Relaxed) {
                    return 412;
                }
                if is_of_group {
                    let same = membership.as_ref().is_some_and(|m| m.members == members);
                    return if same { 200 } else { 412 };
                }
                self.seen_epoch.store(epoch, Ordering::Relaxed);
                if let Some(serving) = serving {
                    let line = format!(
                        "worker {} takes a join of {group} while the head of {serving} serves",
                        self.id
                    );
                    self.site.record(line.clone());
                    self.site.joined_twice.lock().expect("the joins").push(line);
                }
                let model = order.text("model");
                *membership = Some(Membership {
                    group: group.clone(),
                    epoch,
                    model,
                    members,
                    state: "joining",
                });
                self.later(JOIN, (group.clone(), epoch), "joining", "ready");
            }
            "open" if is_of_group && state == "open" => return 200,
            "open" if is_of_group && state == "ready" => {
                self.later(FORM, (group.clone(), epoch), "ready", "open")
            }
            "close" if is_of_group && state == "open" => {
                self.later(FORM, (group.clone(), epoch), "open", "ready")
            }
            "leave" if is_of_group => *membership = None,
            "leave" => return 200,
            "stage" => return 200,
            "open" | "close" => return 409,
            _ => return 400,
        }
        drop(membership);
        self.sequence.fetch_add(1, Ordering::Relaxed);
        self.site.record(format!(
            "worker {} accepts {operation} of {group}, epoch {epoch}",
            self.id
        ));
        self.list();
        202
    }

    /// Changes the state of a membership after a while.
    fn later(
        self: &Arc<Self>,
        after: Duration,
        of: (String, u64),
        from: &'static str,
        to: &'static str,
    ) {
        let worker = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(after);
            let mut membership = worker.membership.lock().expect("the membership");
            if let Some(m) = membership.as_mut()
                && (m.group.as_str(), m.epoch, m.state) == (of.0.as_str(), of.1, from)
            {
                m.state = to;
                drop(membership);
                worker.list();
            }
        });
    }
}
