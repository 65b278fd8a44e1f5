//! A stand-in of a worker of a plain service.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message};
use crate::store::Store;

/// A request that a worker has run.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    #[allow(dead_code)]
    pub at: Instant,
    pub request: Message,
}

/// How a worker answers a request that it runs: it writes the answer, and returns whether the connection is
/// kept.
pub type Answer = Arc<dyn Fn(&Worker, &Message, &mut TcpStream) -> bool + Send + Sync>;

/// A worker; clones share it.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    born: u128,
    answer: Answer,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Worker {
    /// Starts a worker on a free port of loopback, and registers it.
    pub fn start(store: &Store, id: &str, service: &str, answer: Answer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let worker = Self {
            id: id.into(),
            service: service.into(),
            address: listener.local_addr().expect("an address"),
            born: born.map_or(0, |born| born.as_millis()),
            answer,
            runs: Arc::default(),
        };
        worker.register(store, "ready");
        let shared = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = shared.clone();
                std::thread::spawn(move || worker.serve(stream));
            }
        });
        worker
    }

    /// Writes the worker's entry.
    pub fn register(&self, store: &Store, state: &str) {
        let Self {
            service, address, ..
        } = self;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"v1\",\
             \"slots\":16,\"state\":\"{state}\",\"cold_left_ms\":0,\"sequence\":0,\"born\":{}}}",
            self.born
        );
        store.put("servers", &self.id, &entry);
    }

    /// Returns the requests that the worker has run.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.message(false) {
            let (_, target) = request.request();
            let is_own = target == "/healthz" || target == "/v1/report";
            let expected = request.header("x-expect-instance");
            let id = request.header("x-attempt-id").unwrap_or("").to_string();
            let kept = if is_own {
                let head = format!("X-Instance-Id: {}\r\n", self.id);
                respond(&mut connection.stream, 200, &head, "{}")
            } else if expected.is_some_and(|expected| expected != self.id) {
                let head = format!("X-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n");
                respond(&mut connection.stream, 421, &head, "")
            } else {
                let run = Run {
                    id,
                    at: Instant::now(),
                    request: request.clone(),
                };
                self.runs.lock().unwrap().push(run);
                (self.answer)(self, &request, &mut connection.stream)
            };
            if !kept {
                return;
            }
        }
    }
}

/// Writes a response with a length; returns whether it was written.
pub fn respond(stream: &mut TcpStream, status: u16, head: &str, body: &str) -> bool {
    let len = body.len();
    let response = format!("HTTP/1.1 {status} X\r\n{head}Content-Length: {len}\r\n\r\n{body}");
    stream.write_all(response.as_bytes()).is_ok()
}

/// The answer of a sound worker: the caller's id, the worker's stamp and a whole body.
pub fn sound(worker: &Worker, request: &Message, stream: &mut TcpStream) -> bool {
    let id = request.header("x-attempt-id").unwrap_or("");
    let head = format!(
        "X-Attempt-Id: {id}\r\nX-Server-Stamp: {}\r\n",
        stamp(worker, id)
    );
    respond(stream, 200, &head, &body(worker, id))
}

/// Returns the stamp of a worker's answer.
pub fn stamp(worker: &Worker, id: &str) -> String {
    format!("stamp.{}.{id}", worker.id)
}

/// Returns the body of a worker's answer.
pub fn body(worker: &Worker, id: &str) -> String {
    format!("answer of {} to {id}\n", worker.id)
}
