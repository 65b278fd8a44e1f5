//! Requests as servers read them.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;

/// A request that was read from a connection.
#[derive(Debug, Clone)]
pub struct Request {
    pub path: String,
    pub query: String,
    /// The headers, by their names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    /// Reads the next request of a connection; `None` at its end.
    pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Self> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut words = line.split_whitespace();
        words.next()?;
        let target = words.next()?.to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let (path, query) = (path.to_string(), query.to_string());
        let headers = headers(reader)?;
        let body = body(reader, &headers)?;
        Some(Self {
            path,
            query,
            headers,
            body,
        })
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns a parameter of the query.
    pub fn parameter(&self, name: &str) -> String {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let mut values = pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| decode(value));
        values.next().unwrap_or_default()
    }
}

pub fn headers(reader: &mut impl BufRead) -> Option<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
}

/// Reads a body with a length or in chunks; `None` if it ends early.
pub fn body(reader: &mut impl BufRead, headers: &HashMap<String, String>) -> Option<Vec<u8>> {
    if let Some(length) = headers.get("content-length") {
        let mut body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        return Some(body);
    }
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_none() {
        return Some(body);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Writes a response with a length.
pub fn respond(mut stream: &TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat()).is_ok()
}
