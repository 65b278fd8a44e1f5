//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or response: its first line, its headers with lower-case names, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Reads one message; `None` if the connection ends before a whole one.
///
/// `rest` holds bytes that were read beyond the last message.
pub fn read(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = find(rest, b"\r\n\r\n") {
            break at;
        }
        if !more(stream, rest)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&rest[..end]).into_owned();
    rest.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        first: lines.next().unwrap_or("").to_string(),
        ..Message::default()
    };
    for line in lines {
        if let Some((key, value)) = line.split_once(':') {
            let key = key.trim().to_ascii_lowercase();
            message.headers.push((key, value.trim().to_string()));
        }
    }
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let Some(line) = read_line(stream, rest)? else {
                return Ok(None);
            };
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
            let Some(chunk) = take(stream, rest, size + 2)? else {
                return Ok(None);
            };
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = message.header("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let Some(body) = take(stream, rest, length)? else {
        return Ok(None);
    };
    message.body = body;
    Ok(Some(message))
}

fn read_line(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(at) = find(rest, b"\r\n") {
            let line = String::from_utf8_lossy(&rest[..at]).into_owned();
            rest.drain(..at + 2);
            return Ok(Some(line));
        }
        if !more(stream, rest)? {
            return Ok(None);
        }
    }
}

fn take(stream: &mut TcpStream, rest: &mut Vec<u8>, len: usize) -> io::Result<Option<Vec<u8>>> {
    while rest.len() < len {
        if !more(stream, rest)? {
            return Ok(None);
        }
    }
    Ok(Some(rest.drain(..len).collect()))
}

fn more(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<bool> {
    let mut part = [0; 16 << 10];
    let count = stream.read(&mut part)?;
    rest.extend_from_slice(&part[..count]);
    Ok(count > 0)
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|part| part == what)
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request over a new connection and returns its response; an error names what happened
/// instead.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> Result<Message, String> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1));
    let mut stream = stream.map_err(|error| format!("no connection: {error}"))?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    let sent = stream.write_all(request);
    sent.map_err(|error| format!("not sent: {error}"))?;
    match read(&mut stream, &mut Vec::new()) {
        Ok(Some(message)) => Ok(message),
        Ok(None) => Err("closed".to_string()),
        Err(error) => Err(format!("no answer: {error}")),
    }
}
