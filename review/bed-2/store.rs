//! A stand-in of the platform's store: one table of versioned rows, with transactions and a feed.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::{Json, encode, quoted};

#[derive(Default)]
struct Rows {
    version: u64,
    /// By table and key: the version and the value in Base64, none of a deleted row.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    since: Instant,
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store on a free port of loopback.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let store = Self {
            rows: Arc::default(),
            since: Instant::now(),
            address: listener.local_addr().expect("an address"),
        };
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row, as operators and workers do; returns when the write was acknowledged.
    pub fn put(&self, table: &str, key: &str, value: &str) -> Instant {
        self.set(table, key, Some(encode(value.as_bytes())))
    }

    /// Deletes a row.
    #[allow(dead_code)]
    pub fn remove(&self, table: &str, key: &str) -> Instant {
        self.set(table, key, None)
    }

    fn set(&self, table: &str, key: &str, value: Option<String>) -> Instant {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let row = (rows.version, value);
        rows.rows.insert((table.into(), key.into()), row);
        changed.notify_all();
        Instant::now()
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.message(false) {
            let (status, body) = self.respond(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let response = [head.as_bytes(), body.as_bytes()].concat();
            if connection.stream.write_all(&response).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let (_, target) = request.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let pair = pairs.find(|(n, _)| *n == name);
            unescape(pair.map_or("", |(_, value)| value))
        };
        match path {
            "/v1/rows-get" => self.get(&parameter("table"), &parameter("from")),
            "/v1/rows-feed" => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = parameter("wait_ms").parse().unwrap_or(0);
                self.feed(&parameter("table"), after, Duration::from_millis(wait))
            }
            "/v1/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => (404, "{}".into()),
        }
    }

    fn get(&self, table: &str, from: &str) -> (u16, String) {
        let rows = self.rows.0.lock().unwrap();
        let of_table = rows
            .rows
            .iter()
            .filter(|((t, key), (_, value))| t == table && key.as_str() >= from && value.is_some());
        let listed: Vec<String> = of_table.map(|((t, k), row)| row_text(t, k, row)).collect();
        (200, self.rows_text(&listed, rows.version))
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        loop {
            let newer = rows.rows.iter();
            let newer = newer.filter(|((t, _), (version, _))| t == table && *version > after);
            let mut newer: Vec<_> = newer.collect();
            newer.sort_by_key(|(_, (version, _))| *version);
            let listed: Vec<String> = newer
                .into_iter()
                .map(|((t, k), row)| row_text(t, k, row))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !listed.is_empty() || left.is_zero() {
                return (200, self.rows_text(&listed, rows.version));
            }
            rows = changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let id = |item: &Json| {
            (
                item.get("table").text().into(),
                item.get("key").text().into(),
            )
        };
        let holds = body.get("precondition").list().iter().all(|item| {
            let row = rows.rows.get(&id(item));
            let version = row.map_or(0, |(version, value)| match value {
                Some(_) => *version,
                None => 0,
            });
            version == item.get("ver").number()
        });
        if !holds {
            return (412, self.rows_text(&[], rows.version));
        }
        rows.version += 1;
        let version = rows.version;
        for item in body.get("put").list() {
            let value = item.get("value").text().to_string();
            rows.rows.insert(id(item), (version, Some(value)));
        }
        for item in body.get("remove").list() {
            rows.rows.insert(id(item), (version, None));
        }
        changed.notify_all();
        (
            200,
            format!("{{\"ver\":{version},\"now_ms\":{}}}", self.now_ms()),
        )
    }

    fn rows_text(&self, rows: &[String], version: u64) -> String {
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"ver\":{version},\"now_ms\":{}}}",
            rows.join(","),
            self.now_ms()
        )
    }

    fn now_ms(&self) -> u128 {
        self.since.elapsed().as_millis()
    }
}

fn row_text(table: &str, key: &str, (version, value): &(u64, Option<String>)) -> String {
    let content = match value {
        Some(value) => format!("\"value\":{}", quoted(value)),
        None => "\"deleted\":true".into(),
    };
    let (table, key) = (quoted(table), quoted(key));
    format!("{{\"table\":{table},\"part\":\"\",\"key\":{key},\"ver\":{version},{content}}}")
}

fn unescape(text: &str) -> String {
    let mut bytes = text.bytes();
    let mut decoded = Vec::new();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            decoded.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
