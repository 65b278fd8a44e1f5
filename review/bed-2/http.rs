//! Heads and bodies of HTTP/1.1, as far as the stand-ins need them.

use std::io::{self, Read};
use std::net::TcpStream;

/// A message as it was received.
#[derive(Debug, Clone)]
pub struct Message {
    /// The request line or status line.
    pub line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(n, _)| n == name);
        header.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let buffer = Vec::new();
        Self { stream, buffer }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|b| b == b"\r\n") {
                let rest = self.buffer.split_off(end + 2);
                let line = std::mem::replace(&mut self.buffer, rest);
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        let rest = self.buffer.split_off(count);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    fn to_end(&mut self) -> io::Result<Vec<u8>> {
        let mut body = std::mem::take(&mut self.buffer);
        self.stream.read_to_end(&mut body)?;
        Ok(body)
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Message> {
        let line = self.line()?;
        let mut headers = Vec::new();
        loop {
            let field = self.line()?;
            let Some((name, value)) = field.split_once(':') else {
                break;
            };
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
        let body = Vec::new();
        Ok(Message {
            line,
            headers,
            body,
        })
    }

    /// Reads a message; a response without a length ends with its connection.
    pub fn message(&mut self, is_response: bool) -> io::Result<Message> {
        let mut message = self.head()?;
        let is_chunked = message.header("transfer-encoding").is_some();
        let len = message
            .header("content-length")
            .and_then(|l| l.parse().ok());
        message.body = if is_chunked {
            let mut body = Vec::new();
            loop {
                let size = self.line()?;
                let size = size.split(';').next().unwrap_or_default();
                let size = usize::from_str_radix(size, 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    break body;
                }
                body.extend(self.exactly(size)?);
                self.exactly(2)?;
            }
        } else if let Some(len) = len {
            self.exactly(len)?
        } else if is_response {
            self.to_end()?
        } else {
            Vec::new()
        };
        Ok(message)
    }
}
