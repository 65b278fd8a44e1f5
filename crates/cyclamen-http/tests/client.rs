//! Calls to servers that send late, excess or endless bytes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use cyclamen_http::{Client, Error, Options, Request};
use futures::StreamExt;

/// The timeout of the calls; a call to a server that never stops has to end long before.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The time within which a client closes a connection after its call has failed.
const CLOSE_TIME: Duration = Duration::from_millis(300);
/// The largest body that a client reads into memory, in bytes, when it arrives in chunks of four
/// bytes with five bytes of framing each.
const MAX_BODY_BYTES: usize = (8 << 20) / 4 * 9;
/// The most that the kernel may buffer on a connection, in bytes.
const MAX_BUFFERED_BYTES: usize = 36 << 20;
/// The most that a client may accept of an endless response, in bytes.
const MAX_ACCEPTED_BYTES: usize = MAX_BODY_BYTES + MAX_BUFFERED_BYTES;

/// A server that answers each request on a connection with `respond`.
struct Server {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    /// The number of bytes that clients have accepted.
    accepted: Arc<AtomicUsize>,
}

/// A connection of a server, which counts the accepted bytes.
struct Connection {
    stream: TcpStream,
    accepted: Arc<AtomicUsize>,
}

impl Connection {
    /// Sends bytes; returns whether the client accepted them.
    fn send(&mut self, bytes: &[u8]) -> bool {
        let sent = self.stream.write_all(bytes).is_ok();
        self.accepted.fetch_add(bytes.len(), Ordering::Relaxed);
        sent
    }

    /// Sends the same bytes until the client closes the connection.
    fn send_forever(&mut self, bytes: &[u8]) {
        while self.send(bytes) {}
    }

    /// Reads the head of a request; returns whether there was one.
    fn read_request(&mut self) -> bool {
        let mut received = Vec::new();
        let mut byte = [0];
        while !received.ends_with(b"\r\n\r\n") {
            match self.stream.read(&mut byte) {
                Ok(1) => received.push(byte[0]),
                _ => return false,
            }
        }
        true
    }
}

impl Server {
    /// Starts a server; `respond` gets the number of the request on the server, from zero.
    fn start(respond: impl Fn(usize, &mut Connection) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let accepted = Arc::new(AtomicUsize::new(0));
        let (counted, total) = (connections.clone(), accepted.clone());
        let respond = Arc::new(respond);
        let requests = Arc::new(AtomicUsize::new(0));
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                counted.fetch_add(1, Ordering::Relaxed);
                let mut connection = Connection {
                    stream: stream.unwrap(),
                    accepted: total.clone(),
                };
                let (respond, requests) = (respond.clone(), requests.clone());
                std::thread::spawn(move || {
                    while connection.read_request() {
                        let number = requests.fetch_add(1, Ordering::Relaxed);
                        respond(number, &mut connection);
                    }
                });
            }
        });
        Self {
            address,
            connections,
            accepted,
        }
    }

    /// Checks that clients have accepted a bounded number of bytes and read no more.
    fn assert_closed(&self) {
        std::thread::sleep(CLOSE_TIME);
        let accepted = self.accepted.load(Ordering::Relaxed);
        assert!(accepted < MAX_ACCEPTED_BYTES, "{accepted} bytes");
        std::thread::sleep(CLOSE_TIME);
        let later = self.accepted.load(Ordering::Relaxed);
        assert_eq!(later, accepted, "the client reads on");
    }

    fn url(&self) -> String {
        format!("http://{}/", self.address)
    }
}

fn answer(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn request(url: &str) -> Request<'_> {
    Request {
        url,
        timeout: TIMEOUT,
        ..Request::default()
    }
}

fn client() -> Client {
    Client::new(Options::default())
}

fn get(client: &Client, url: &str) -> Result<String, Error> {
    let response = smol::block_on(client.call(request(url)))?;
    Ok(String::from_utf8(response.body).unwrap())
}

/// The first call is answered twice, with this pause between the answers.
macro_rules! answered_twice {
    ($($name:ident: $pause:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let server = Server::start(|number, connection| {
                    connection.send(&answer(&format!("answer {number}")));
                    if number == 0 {
                        std::thread::sleep($pause);
                        connection.send(&answer("a second copy"));
                    }
                });
                let client = client();
                let url = server.url();
                assert_eq!(get(&client, &url).unwrap(), "answer 0");
                std::thread::sleep(Duration::from_millis(300));
                assert_eq!(get(&client, &url).unwrap(), "answer 1");
                assert_eq!(get(&client, &url).unwrap(), "answer 2");
            }
        )*
    };
}

answered_twice! {
    a_second_answer_at_once_reaches_no_other_call: Duration::ZERO;
    a_second_answer_on_an_idle_connection_reaches_no_other_call: Duration::from_millis(100);
}

#[test]
fn a_pooled_connection_is_used_again() {
    let server = Server::start(|number, connection| {
        connection.send(&answer(&format!("answer {number}")));
    });
    let client = client();
    for number in 0..3 {
        let expected = format!("answer {number}");
        assert_eq!(get(&client, &server.url()).unwrap(), expected);
    }
    assert_eq!(server.connections.load(Ordering::Relaxed), 1);
}

/// Guards against counting what is not an interim response, or those to earlier requests.
#[test]
fn some_interim_responses_to_each_request_are_skipped() {
    const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    const SKIPPED: usize = 16;
    let body = INTERIM.repeat(2 * SKIPPED);
    let sent = body.clone();
    let server = Server::start(move |_, connection| {
        let response = [INTERIM.repeat(SKIPPED).into_bytes(), answer(&sent)].concat();
        for piece in response.chunks(7) {
            connection.send(piece);
        }
    });
    let client = client();
    for _ in 0..3 {
        assert_eq!(get(&client, &server.url()).unwrap(), body);
    }
    assert_eq!(server.connections.load(Ordering::Relaxed), 1);
}

const ENDLESS_LINE: &[u8] = &[b'x'; 16 << 10];

/// The server sends this without end; the call fails before its timeout.
macro_rules! endless {
    ($($name:ident: $head:expr, $rest:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let server = Server::start(|_, connection| {
                    connection.send($head);
                    connection.send_forever($rest);
                });
                let start = Instant::now();
                let url = server.url();
                let result = smol::block_on(client().call_unpooled(request(&url)));
                assert!(result.is_err());
                assert!(start.elapsed() < TIMEOUT / 2, "{:?}", start.elapsed());
                server.assert_closed();
            }
        )*
    };
}

endless! {
    endless_bytes_that_are_no_answer: b"", ENDLESS_LINE;
    an_endless_status_line: b"HTTP/1.1 200 ", ENDLESS_LINE;
    an_endless_header: b"HTTP/1.1 200 OK\r\nX-Long: ", ENDLESS_LINE;
    endless_headers: b"HTTP/1.1 200 OK\r\n", b"X-Many: 1\r\n";
    endless_interim_responses: b"", b"HTTP/1.1 100 Continue\r\n\r\n";
    an_endless_body_without_a_length: b"HTTP/1.1 200 OK\r\n\r\n", ENDLESS_LINE;
    an_endless_body_in_chunks: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"4\r\nabcd\r\n";
    an_endless_chunk_size: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"0000000000000000";
}

#[test]
fn an_endless_event_ends_the_stream_with_an_error() {
    let server = Server::start(|_, connection| {
        connection.send(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
        connection.send_forever(ENDLESS_LINE);
    });
    let start = Instant::now();
    let url = server.url();
    let failed = smol::block_on(async {
        let opened = client().open_event_stream(request(&url)).await;
        let mut stream = opened.unwrap().unwrap();
        stream.next().await.is_none_or(|event| event.is_err())
    });
    assert!(failed);
    assert!(start.elapsed() < TIMEOUT / 2, "{:?}", start.elapsed());
    server.assert_closed();
}

/// Guards against a call after a timeout that takes another connection that is silent as well.
#[test]
fn after_a_timeout_no_kept_connection_is_used() {
    const KEPT: usize = 4;
    let connections = Arc::new(AtomicUsize::new(0));
    let is_silent = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let (opened, silent) = (connections.clone(), is_silent.clone());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let number = opened.fetch_add(1, Ordering::SeqCst);
            let silent = silent.clone();
            std::thread::spawn(move || answer_until_silent(stream, number < KEPT, &silent));
        }
    });
    let client = Client::new(Options::default());
    let call = || {
        let timeout = Duration::from_millis(300);
        let request = Request {
            url: &url,
            timeout,
            ..Request::default()
        };
        client.call(request)
    };
    smol::block_on(async {
        let calls = futures::future::join_all((0..KEPT).map(|_| call())).await;
        assert!(calls.iter().all(Result::is_ok));
        is_silent.store(true, Ordering::SeqCst);
        assert!(matches!(call().await, Err(Error::TimedOut)));
        assert_eq!(call().await.unwrap().status, 200);
    });
    assert_eq!(connections.load(Ordering::SeqCst), KEPT + 1);
}

/// Answers requests on a connection; one that `may_fall_silent` stops without closing it.
fn answer_until_silent(
    stream: TcpStream,
    may_fall_silent: bool,
    is_silent: &std::sync::atomic::AtomicBool,
) {
    let accepted = Arc::default();
    let mut connection = Connection { stream, accepted };
    while connection.read_request() {
        if may_fall_silent && is_silent.load(Ordering::SeqCst) {
            std::thread::sleep(TIMEOUT);
        }
        // Answers late enough that all first calls use a connection each.
        std::thread::sleep(Duration::from_millis(50));
        connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
}
