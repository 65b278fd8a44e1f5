//! Peers that leave, or stay, while they wait for a response.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use cyclamen_server::{Options, Peer, Server};
use futures::{StreamExt, TryStreamExt, stream};
use smol::Timer;
use trillium::{Body, Conn, Handler};

/// The time within which a peer that has left is noticed.
const LIMIT: Duration = Duration::from_millis(500);
/// The pause between two parts of a response.
const PAUSE: Duration = Duration::from_millis(60);

/// Responds with a body without end, and tells when the peer has left; by the path, with a pause
/// between its parts, or with one part and then nothing.
struct Waiting(Sender<Instant>);

impl Handler for Waiting {
    async fn run(&self, mut conn: Conn) -> Conn {
        let peer: Peer = conn.take_state().unwrap();
        let left = self.0.clone();
        let path = conn.path().to_string();
        let rest = stream::unfold(0, move |count| {
            let (peer, left, path) = (peer.clone(), left.clone(), path.clone());
            async move {
                if count == 0 {
                    return Some((Ok(b"part\n".to_vec()), 1));
                }
                let goes_on = async {
                    if path != "/parts" {
                        std::future::pending::<()>().await;
                    }
                    Timer::after(PAUSE).await;
                    Some((Ok(b"part\n".to_vec()), 1))
                };
                let is_left = async {
                    match &*path {
                        "/closed" => peer.closed().await,
                        _ => {
                            peer.left().await;
                        }
                    }
                    left.send(Instant::now()).unwrap();
                    Some((Err(std::io::ErrorKind::ConnectionAborted.into()), 2))
                };
                smol::future::or(goes_on, is_left).await
            }
        });
        let body = Box::pin(rest.boxed()).into_async_read();
        conn.ok(Body::new_streaming(body, None))
    }
}

fn start() -> (Server, SocketAddr, Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let (left, has_left) = channel();
    let listener = listener.try_into().unwrap();
    let server = Server::start(listener, Options::default(), Waiting(left));
    (server, address, has_left)
}

/// Sends a request and reads up to the end of a text.
fn open(address: SocketAddr, path: &str, end: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    send(&mut stream, path);
    let mut read = Vec::new();
    let mut byte = [0];
    while !read.ends_with(end.as_bytes()) {
        stream.read_exact(&mut byte).unwrap();
        read.push(byte[0]);
    }
    stream
}

fn send(stream: &mut TcpStream, path: &str) {
    let head = format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
}

/// Guards against a peer that has left in this way and isn't noticed while it is sent nothing.
macro_rules! noticed {
    ($($name:ident: $path:expr, read $end:expr, $leave:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (_server, address, has_left) = start();
                let stream = open(address, $path, $end);
                assert_eq!(has_left.recv_timeout(LIMIT), Err(RecvTimeoutError::Timeout));
                let started = Instant::now();
                let leave: fn(TcpStream) -> Option<TcpStream> = $leave;
                let _half_closed = leave(stream);
                let left = has_left.recv_timeout(10 * LIMIT).unwrap();
                assert!(left - started < LIMIT, "{:?}", left - started);
            }
        )*
    };
}

fn close(_stream: TcpStream) -> Option<TcpStream> {
    None
}

fn half_close(stream: TcpStream) -> Option<TcpStream> {
    stream.shutdown(Shutdown::Write).unwrap();
    Some(stream)
}

noticed! {
    a_peer_that_closes: "/", read "part\n", close;
    a_peer_that_resets: "/", read "200", close;
    a_peer_that_closes_behind_another_request: "/", read "part\n", |mut stream| {
        send(&mut stream, "/");
        None
    };
    a_peer_that_closes_its_sending_side_and_is_sent_nothing: "/", read "part\n", half_close;
    a_peer_that_need_not_be_waited_for: "/closed", read "part\n", half_close;
}

/// Guards against peers that are taken for gone: they send no more, or the next request, and wait.
macro_rules! waited_for {
    ($($name:ident: $path:expr, $act:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (_server, address, has_left) = start();
                let mut stream = open(address, $path, "part\n");
                let act: fn(&mut TcpStream) = $act;
                act(&mut stream);
                assert_eq!(has_left.recv_timeout(2 * LIMIT), Err(RecvTimeoutError::Timeout));
            }
        )*
    };
}

waited_for! {
    a_peer_that_waits: "/", |_| {};
    a_peer_that_sends_its_next_request: "/", |stream| send(stream, "/");
    a_peer_that_closes_its_sending_side_and_is_sent_something:
        "/parts", |stream| stream.shutdown(Shutdown::Write).unwrap();
}
