//! Requests of clients, each on a new connection.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http;

/// An answer to a client.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status; zero if the connection ended without an answer.
    pub status: u16,
}

const NO_ANSWER: u16 = 0;

/// Sends a request and reads its answer.
pub fn send(
    to: SocketAddr,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &[u8],
) -> Answer {
    exchange(to, (method, path), headers, body).unwrap_or(Answer { status: NO_ANSWER })
}

fn exchange(
    to: SocketAddr,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(9))).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: site.example\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if method != "GET" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    stream
        .write_all(&[head.as_bytes(), b"\r\n", body].concat())
        .ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = http::headers(&mut reader)?;
    http::body(&mut reader, &headers);
    Some(Answer { status })
}
