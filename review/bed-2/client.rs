//! Clients.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Connection, Message};

/// Sends bytes over a new connection, and reads the response.
pub fn exchange(to: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    let mut connection = Connection::new(stream);
    connection.stream.write_all(request)?;
    connection.message(true)
}

/// A request of a client.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    /// The key, unless the client sends none.
    pub key: Option<&'a str>,
    pub deadline_ms: u64,
    pub body: &'a str,
}

impl Request<'_> {
    /// Returns the request as it is sent.
    pub fn bytes(&self) -> Vec<u8> {
        let Self {
            method,
            path,
            id,
            key,
            deadline_ms,
            body,
        } = self;
        let key = key.map_or_else(String::new, |key| format!("Authorization: Token {key}\r\n"));
        let length = match *method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: herd.example\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: {deadline_ms}\r\n{key}{length}\r\n{body}"
        );
        request.into_bytes()
    }
}
