//! Crowds of clients of the own interface that hold what they can, as those of the gateway's tests.
//!
//! Each test runs alone, and checks only what does not depend on the machine's speed: that the entry
//! lives, that its memory and its descriptors stay under a bound, and that an ordinary request is answered
//! while the crowd is still there.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, dead_code)]

#[path = "../../../platform/tests/clients/crowd.rs"]
mod crowd;
mod site;

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crowd::{Client, send_all, send_on};
use cyclamen_stand_in::demo::API_KEY;
use serde_json::json;
use site::Site;

/// The memory of the smallest machines in the users' sheets, in kB.
const MAX_PEAK_KB: u64 = 160_000;
/// The descriptors that an entry may have open beside a crowd: its connections, and its own calls.
const MAX_DESCRIPTORS: usize = 400;
/// The number of clients that send the same bytes on and on, and how many bytes each sends, if they are
/// taken: twice the bound together.
const SENDERS_ON: usize = 40;
const SENT_ON_BYTES: usize = 8 << 20;
/// The number of bodies of the largest size: more than fit into the memory.
const BODIES: usize = 200;
const BODY_BYTES: usize = 1 << 20;
/// The number of requests of very many fields.
const HEADS: usize = 200;
const FIELDS_BYTES: usize = 15 << 10;
/// A number of tokens that takes some seconds.
const LONG: u64 = 1_000;

/// A site with one entry, which is alone on the machine, as far as these tests are concerned.
struct Bed {
    site: Site,
    _alone: MutexGuard<'static, ()>,
}

impl Bed {
    fn start(name: &str) -> Self {
        static ALONE: Mutex<()> = Mutex::new(());
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        Self {
            site: Site::start(name, 1),
            _alone: alone,
        }
    }

    /// Lets a crowd send, and checks what must hold while it is there.
    fn hold(
        mut self,
        count: usize,
        send: impl Fn(&mut TcpStream, usize) -> std::io::Result<()> + Send + Clone + 'static,
    ) {
        let address = self.site.entries[0].caller_address;
        let crowd: Vec<Client> = send_all(count, address, send);
        let process = &mut self.site.entries[0].process;
        let open = process.descriptors();
        assert!(open <= MAX_DESCRIPTORS, "{open} descriptors are open");
        assert!(process.is_running());
        self.site.wait_until("an ordinary request is answered", || {
            self.site.complete(0, "hello", 2).is_ok()
        });
        let peak = self.site.entries[0].process.peak_kb();
        assert!(peak < MAX_PEAK_KB, "peak of {peak} kB");
        drop(crowd);
    }
}

/// Returns the head of a request for a completion with these fields in addition.
fn head(fields: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {API_KEY}\r\n\
         {fields}\r\n"
    )
}

/// Returns a whole request for a completion that takes some seconds.
fn long_request() -> String {
    let body = json!({
        "model": "herd-llm", "max_tokens": LONG,
        "messages": [{"role": "user", "content": "hello"}],
    });
    let body = body.to_string();
    let head = head(&format!("Content-Length: {}\r\n", body.len()));
    format!("{head}{body}")
}

#[test]
fn short_trailers_to_the_own_interface() {
    Bed::start("trailers").hold(SENDERS_ON, |stream, _| {
        let beginning = head("Transfer-Encoding: chunked\r\n") + "0\r\n";
        send_on(stream, &beginning, b"x:1\r\n", SENT_ON_BYTES)
    });
}

#[test]
fn requests_ahead_of_a_long_completion() {
    Bed::start("ahead").hold(SENDERS_ON, |stream, _| {
        let request = long_request();
        send_on(stream, &request, request.as_bytes(), SENT_ON_BYTES)
    });
}

#[test]
fn chunks_of_one_byte_to_the_own_interface() {
    Bed::start("chunks").hold(SENDERS_ON, |stream, _| {
        let beginning = head("Transfer-Encoding: chunked\r\n");
        send_on(stream, &beginning, b"1\r\nx\r\n", SENT_ON_BYTES)
    });
}

#[test]
fn bodies_to_the_own_interface() {
    Bed::start("bodies").hold(BODIES, |stream, _| {
        let head = head(&format!("Content-Length: {BODY_BYTES}\r\n"));
        stream.write_all(head.as_bytes())?;
        stream.write_all(&vec![b'x'; BODY_BYTES - 1])
    });
}

#[test]
fn fields_to_the_own_interface() {
    Bed::start("fields").hold(HEADS, |stream, _| {
        let fields = crowd::short_fields(FIELDS_BYTES) + "Content-Length: 2\r\n";
        stream.write_all(head(&fields).as_bytes())?;
        stream.write_all(b"x")
    });
}
