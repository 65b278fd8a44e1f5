//! Streams of engines that are slow, or stalled although they send bytes.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use cyclamen_endpoint::{Chunk, Client, OpenError, Options, StreamError, Target};
use serde_json::json;

const CHUNK_TIMEOUT: Duration = Duration::from_millis(500);
const REQUEST_ID: &str = "r1";

/// Starts an engine that sends the head of an event stream and then what `write` sends.
fn start_engine(write: impl FnOnce(TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut received = [0; 4_096];
        let _ = stream.read(&mut received).unwrap();
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {REQUEST_ID}\r\nContent-Type: text/event-stream\r\n\r\n",
            cyclamen_endpoint::REQUEST_ID_HEADER
        );
        stream.write_all(head.as_bytes()).unwrap();
        write(stream);
    });
    address
}

fn token(index: u64) -> String {
    format!("data: {}\n\n", json!({"token_index": index}))
}

/// Reads a stream to its end; returns the number of its tokens, or why it broke.
fn read_all(address: SocketAddr) -> Result<u64, StreamError> {
    let options = Options {
        chunk_timeout: CHUNK_TIMEOUT,
        ..Options::default()
    };
    let http = cyclamen_http::Client::new(cyclamen_http::Options::default());
    let client = Client::new(http, options);
    let target = Target {
        address,
        group: "g".parse().unwrap(),
        fence: Default::default(),
    };
    smol::block_on(async {
        let id: Arc<str> = REQUEST_ID.into();
        let timeout = Duration::from_secs(5);
        let body = json!({});
        let opening = client.open_stream(&target, &id, "", &body, 0, timeout);
        let mut stream = opening.await.unwrap();
        while stream.next().await? != Chunk::End {}
        Ok(stream.position())
    })
}

#[test]
fn a_slow_but_sound_stream_is_read_to_its_end() {
    let address = start_engine(|mut stream| {
        for index in 0..6 {
            std::thread::sleep(CHUNK_TIMEOUT / 2);
            stream.write_all(token(index).as_bytes()).unwrap();
        }
        stream.write_all(b"data: [DONE]\n\n").unwrap();
    });
    assert_eq!(read_all(address), Ok(6));
}

/// The engine sends one token and then these bytes again and again, without a new token.
macro_rules! stalled {
    ($($name:ident: $bytes:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let address = start_engine(|mut stream| {
                    stream.write_all(token(0).as_bytes()).unwrap();
                    while stream.write_all($bytes.as_bytes()).is_ok() {
                        std::thread::sleep(Duration::from_millis(50));
                    }
                });
                let start = Instant::now();
                assert_eq!(read_all(address), Err(StreamError::Silent));
                assert!(start.elapsed() < 3 * CHUNK_TIMEOUT, "{:?}", start.elapsed());
            }
        )*
    };
}

stalled! {
    a_stream_that_drips_bytes_of_a_chunk_ends: "x";
    a_stream_that_only_sends_comments_ends: ": still here\n\n";
    a_stream_that_repeats_a_token_ends: token(0);
}

/// Opens a stream at an engine that answers with a refusal that names this request.
fn open_refused(id: &'static str) -> OpenError {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]).unwrap();
        let refusal = format!(
            "HTTP/1.1 503 Busy\r\n{}: {id}\r\n{}: {}\r\nContent-Length: 0\r\n\r\n",
            cyclamen_endpoint::REQUEST_ID_HEADER,
            cyclamen_endpoint::OUTCOME_HEADER,
            cyclamen_endpoint::NOT_RUN
        );
        stream.write_all(refusal.as_bytes()).unwrap();
    });
    let http = cyclamen_http::Client::new(cyclamen_http::Options::default());
    let client = Client::new(http, Options::default());
    let target = Target {
        address,
        group: "g".parse().unwrap(),
        fence: Default::default(),
    };
    let (id, body) = (REQUEST_ID.into(), json!({}));
    let opening = client.open_stream(&target, &id, "", &body, 0, Duration::from_secs(5));
    smol::block_on(opening).unwrap_err()
}

// A faulty worker wrote an earlier refusal once more: clients were told 'not run' (REFUSED).
#[test]
fn a_refusal_of_another_request_is_none_of_this_one() {
    assert!(matches!(open_refused(REQUEST_ID), OpenError::Response(_)));
    assert!(matches!(open_refused("r0"), OpenError::Error(_)));
}
