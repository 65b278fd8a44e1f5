//! The platform's store: rows, conditional transactions and feeds, as PROTOCOL.md tells them.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

#[derive(Clone)]
struct Row {
    value: Option<String>,
    ver: u64,
}

/// A way from one gateway to another.
#[derive(Clone, Copy)]
pub struct Link {
    /// The address on which the other gateway listens.
    pub far: SocketAddr,
    /// The address at which the link begins.
    pub near: SocketAddr,
}

#[derive(Default)]
struct Rows {
    ver: u64,
    /// By table, part and key; a dropped row has no value.
    rows: BTreeMap<(String, String, String), Row>,
}

/// A store; clones are the same one.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Rows>, Condvar)>,
    begun: Instant,
}

impl Store {
    pub fn start() -> Result<Self, String> {
        let mut store = Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            shared: Arc::default(),
            begun: Instant::now(),
        };
        store.address = store.listen(Vec::new())?;
        Ok(store)
    }

    /// Listens at one more address for a gateway that reaches others over links: where a row of the
    /// gateways' own tables holds the far address of a link, it reads the near one, as if the link
    /// were the only way there.
    pub fn listen(&self, links: Vec<Link>) -> Result<SocketAddr, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let (store, links) = (self.clone(), Arc::new(links));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, links) = (store.clone(), links.clone());
                thread::spawn(move || store.serve(stream, &links));
            }
        });
        Ok(address)
    }

    /// Writes a row, as an operator or a worker does; `None` drops it.
    pub fn write(&self, table: &str, key: &str, value: Option<&str>) {
        let (rows, changed) = &*self.shared;
        let mut rows = rows.lock().unwrap();
        rows.ver += 1;
        let row = Row {
            value: value.map(|text| encode(text.as_bytes())),
            ver: rows.ver,
        };
        let key = (table.to_string(), String::new(), key.to_string());
        rows.rows.insert(key, row);
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream, links: &[Link]) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(request)) = http::read(&mut stream, &mut rest) {
            let (status, body) = self.answer(&request, links);
            let headers = [("Content-Type", "application/json")];
            if http::respond(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, links: &[Link]) -> (u16, String) {
        let (_, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key, unescape(value)))
            .collect();
        let text = |key: &str| query.get(key).cloned().unwrap_or_default();
        let number = |key: &str| text(key).parse::<u64>().unwrap_or(0);
        match path {
            "/v1/rows-get" => self.get(
                &text("table"),
                &text("part"),
                &text("from"),
                number("limit"),
                links,
            ),
            "/v1/rows-feed" => self.feed(&text("table"), number("after"), number("wait_ms")),
            "/v1/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => (404, String::new()),
        }
    }

    fn now_ms(&self) -> u128 {
        self.begun.elapsed().as_millis()
    }

    fn get(
        &self,
        table: &str,
        part: &str,
        from: &str,
        limit: u64,
        links: &[Link],
    ) -> (u16, String) {
        let rows = self.shared.0.lock().unwrap();
        let limit = if limit == 0 { 500 } else { limit.min(500) } as usize;
        let found = rows.rows.iter().filter(|((t, p, k), row)| {
            t == table && p == part && k.as_str() >= from && row.value.is_some()
        });
        let found: Vec<String> = found
            .map(|(key, row)| show(key, &linked(table, row, links)))
            .collect();
        let more = found.len() > limit;
        let shown = found[..found.len().min(limit)].join(",");
        let body = format!(
            "{{\"rows\":[{shown}],\"has_more\":{more},\"ver\":{},\"now_ms\":{}}}",
            rows.ver,
            self.now_ms()
        );
        (200, body)
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let (rows, changed) = &*self.shared;
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut rows = rows.lock().unwrap();
        loop {
            let mut found: Vec<_> = rows
                .rows
                .iter()
                .filter(|((t, ..), row)| t == table && row.ver > after)
                .collect();
            found.sort_by_key(|(_, row)| row.ver);
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let shown: Vec<String> = found.iter().map(|(key, row)| show(key, row)).collect();
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                    shown.join(","),
                    rows.ver,
                    self.now_ms()
                );
                return (200, body);
            }
            rows = changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let conditions = objects(body, "precondition");
        let puts = objects(body, "put");
        let removes = objects(body, "remove");
        let (rows, changed) = &*self.shared;
        let mut rows = rows.lock().unwrap();
        let key = |object: &str| {
            (
                field(object, "table"),
                field(object, "part"),
                field(object, "key"),
            )
        };
        let holds = conditions.iter().all(|object| {
            let row = rows
                .rows
                .get(&key(object))
                .filter(|row| row.value.is_some());
            row.map_or(0, |row| row.ver).to_string() == field(object, "ver")
        });
        if !holds {
            let current: Vec<String> = conditions
                .iter()
                .filter_map(|object| rows.rows.get_key_value(&key(object)))
                .map(|(key, row)| show(key, row))
                .collect();
            let body = format!(
                "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{}}}",
                current.join(","),
                rows.ver,
                self.now_ms()
            );
            return (412, body);
        }
        rows.ver += 1;
        let ver = rows.ver;
        for object in &puts {
            let value = Some(field(object, "value"));
            rows.rows.insert(key(object), Row { value, ver });
        }
        for object in &removes {
            rows.rows.insert(key(object), Row { value: None, ver });
        }
        changed.notify_all();
        (
            200,
            format!("{{\"ver\":{ver},\"now_ms\":{}}}", self.now_ms()),
        )
    }
}

/// Returns a row as it is read over links.
fn linked(table: &str, row: &Row, links: &[Link]) -> Row {
    let mut row = row.clone();
    if table == "servers" || links.is_empty() {
        return row;
    }
    row.value = row.value.map(|value| {
        let mut text = decode(&value);
        for Link { far, near } in links {
            text = text.replace(&format!("\"{far}\""), &format!("\"{near}\""));
        }
        encode(text.as_bytes())
    });
    row
}

fn show((table, part, key): &(String, String, String), row: &Row) -> String {
    let head = format!("{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\"");
    match &row.value {
        Some(value) => format!("{head},\"value\":\"{value}\",\"ver\":{}}}", row.ver),
        None => format!("{head},\"deleted\":true,\"ver\":{}}}", row.ver),
    }
}

/// Returns the flat objects of a list in a transaction; their texts hold no quotes or braces.
fn objects(body: &str, list: &str) -> Vec<String> {
    let Some(at) = body.find(&format!("\"{list}\":[")) else {
        return Vec::new();
    };
    let rest = &body[at..];
    let inner = &rest[rest.find('[').unwrap() + 1..];
    let inner = &inner[..inner.find(']').unwrap_or(0)];
    inner
        .split('}')
        .filter_map(|part| part.split_once('{'))
        .map(|(_, object)| object.to_string())
        .collect()
}

/// Returns a field of a flat object, as text.
fn field(object: &str, name: &str) -> String {
    let Some(at) = object.find(&format!("\"{name}\":")) else {
        return String::new();
    };
    let value = &object[at + name.len() + 3..];
    match value.strip_prefix('"') {
        Some(text) => text.split('"').next().unwrap_or("").to_string(),
        None => value.split(',').next().unwrap_or("").trim().to_string(),
    }
}

fn unescape(text: &str) -> String {
    text.replace("%00", "\0").replace("%2F", "/")
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Decodes Base64 text.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for digit in text.bytes() {
        let Some(value) = DIGITS.iter().position(|known| *known == digit) else {
            break;
        };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 255) as u8);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Encodes bytes in Base64.
fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let bits = part
            .iter()
            .fold(0u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - part.len()));
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= part.len() { digit as char } else { '=' });
        }
    }
    text
}
