//! The platform's store: rows, transactions and a feed of changes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::gateway::host;
use crate::http::{Request, respond};
use crate::json::Json;

type Key = (String, String);

#[derive(Default)]
struct State {
    version: u64,
    /// The value, in base64, and the version of each row.
    rows: BTreeMap<Key, (String, u64)>,
    /// All changes, with the value of rows that were put.
    changes: Vec<(u64, Key, Option<String>)>,
    /// How often the store has come back from a copy.
    era: u64,
    /// Whether the store is away: it answers 503.
    is_away: bool,
}

/// A copy of what the store holds.
pub struct Copy {
    version: u64,
    rows: BTreeMap<Key, (String, u64)>,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
    started: Instant,
}

impl State {
    fn apply(&mut self, key: Key, value: Option<String>, version: u64) {
        match &value {
            Some(value) => self.rows.insert(key.clone(), (value.clone(), version)),
            None => self.rows.remove(&key),
        };
        self.changes.push((version, key, value));
    }
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind((host(), 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self {
            state: Arc::default(),
            address,
            started: Instant::now(),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row, as the operators and workers do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(encode(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    /// Copies what the store holds.
    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().expect("the state");
        Copy {
            version: state.version,
            rows: state.rows.clone(),
        }
    }

    /// Returns the value of a row as text.
    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state.0.lock().expect("the state");
        let (value, _) = state.rows.get(&(table.to_string(), key.to_string()))?;
        Some(String::from_utf8_lossy(&decode(value)).into_owned())
    }

    /// Makes the store go away.
    pub fn leave(&self) {
        self.state.0.lock().expect("the state").is_away = true;
        self.state.1.notify_all();
    }

    /// Makes the store come back from a copy: what was written since is gone, and versions are given out
    /// again.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.state.0.lock().expect("the state");
        state.version = copy.version;
        state.rows = copy.rows;
        state
            .changes
            .retain(|(version, ..)| *version <= copy.version);
        state.era += 1;
        state.is_away = false;
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        state.version += 1;
        let version = state.version;
        state.apply((table.into(), key.into()), value, version);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a stream"));
        while let Some(request) = Request::read(&mut reader) {
            std::thread::sleep(Duration::from_millis(3));
            let (status, body) = if self.is_away() {
                (503, String::new())
            } else {
                match request.path.as_str() {
                    "/v1/rows-get" => (200, self.get(&request)),
                    "/v1/rows-feed" => self.feed(&request),
                    "/v1/rows-parts" => (
                        200,
                        self.answer("\"parts\":[\"\"],\"has_more\":false", None),
                    ),
                    "/v1/rows-tx" => self.transact(&request),
                    _ => (404, String::new()),
                }
            };
            let era = self.state.0.lock().expect("the state").era;
            let kind = &format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if !respond(&stream, status, kind, body.as_bytes()) {
                return;
            }
        }
    }

    fn is_away(&self) -> bool {
        self.state.0.lock().expect("the state").is_away
    }

    fn answer(&self, content: &str, version: Option<u64>) -> String {
        let now = self.started.elapsed().as_millis();
        let version = version.unwrap_or_else(|| self.state.0.lock().expect("the state").version);
        format!("{{{content},\"ver\":{version},\"now_ms\":{now}}}")
    }

    fn get(&self, request: &Request) -> String {
        let (table, from, target) = (
            request.parameter("table"),
            request.parameter("from"),
            request.parameter("target"),
        );
        let limit = request.parameter("limit").parse().unwrap_or(500).min(500);
        let state = self.state.0.lock().expect("the state");
        let rows = state.rows.iter().filter(|((of, key), _)| {
            *of == table && *key >= from && (target.is_empty() || *key < target)
        });
        let rows: Vec<_> = rows.collect();
        let has_more = rows.len() > limit;
        let rows = rows
            .iter()
            .take(limit)
            .map(|((_, key), (value, version))| row(&table, key, Some(value.as_str()), *version));
        let rows: Vec<String> = rows.collect();
        let content = format!("\"rows\":[{}],\"has_more\":{has_more}", rows.join(","));
        let version = state.version;
        drop(state);
        self.answer(&content, Some(version))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                return (503, String::new());
            }
            if after > state.version {
                return (410, String::new());
            }
            let mut newest = BTreeMap::new();
            for (version, (of, key), value) in &state.changes {
                if *of == table && *version > after {
                    newest.insert(key.clone(), (*version, value.clone()));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !newest.is_empty() || left.is_zero() {
                let mut rows: Vec<_> = newest.into_iter().collect();
                rows.sort_by_key(|(_, (version, _))| *version);
                let rows = rows
                    .iter()
                    .map(|(key, (version, value))| row(&table, key, value.as_deref(), *version));
                let rows: Vec<String> = rows.collect();
                let version = state.version;
                drop(state);
                let answer = self.answer(&format!("\"rows\":[{}]", rows.join(",")), Some(version));
                return (200, answer);
            }
            state = changed.wait_timeout(state, left).expect("the state").0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, String::new());
        };
        let key = |row: &Json| (row.text("table"), row.text("key"));
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        let version =
            |state: &State, key: &Key| state.rows.get(key).map_or(0, |(_, version)| *version);
        let holds = body
            .list("precondition")
            .iter()
            .all(|row| version(&state, &key(row)) == row.number("ver"));
        if !holds {
            let rows = body.list("precondition").iter().filter_map(|wanted| {
                let (table, key) = key(wanted);
                let (value, version) = state.rows.get(&(table.clone(), key.clone()))?;
                Some(row(&table, &key, Some(value.as_str()), *version))
            });
            let rows: Vec<String> = rows.collect();
            let version = state.version;
            drop(state);
            return (
                412,
                self.answer(&format!("\"rows\":[{}]", rows.join(",")), Some(version)),
            );
        }
        state.version += 1;
        let version = state.version;
        for row in body.list("put") {
            state.apply(key(row), Some(row.text("value")), version);
        }
        for row in body.list("remove") {
            state.apply(key(row), None, version);
        }
        changed.notify_all();
        drop(state);
        (200, self.answer("\"rows\":[]", Some(version)))
    }
}

fn row(table: &str, key: &str, value: Option<&str>, version: u64) -> String {
    let content = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_string(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{content},\"ver\":{version}}}")
}

const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn decode(text: &str) -> Vec<u8> {
    let digits = text
        .bytes()
        .filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte));
    let digits: Vec<usize> = digits.collect();
    let mut out = Vec::new();
    for chunk in digits.chunks(4) {
        let digit = |index: usize| chunk.get(index).copied().unwrap_or(0);
        let bits = digit(0) << 18 | digit(1) << 12 | digit(2) << 6 | digit(3);
        let bytes = [(bits >> 16) as u8, (bits >> 8) as u8, bits as u8];
        out.extend_from_slice(&bytes[..chunk.len().saturating_sub(1)]);
    }
    out
}

fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(char::from(DIGITS[(bits >> (18 - 6 * index) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
