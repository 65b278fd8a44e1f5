//! Targets as they are sent, and as receivers read them.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

use cyclamen_http::{Client, Error, Forward, InvalidTarget, Options, Target};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use trillium_http::{Headers, Method};

/// A large body, which the library announces and sends in many pieces.
const LARGE_BODY: usize = 1 << 20;

fn run<T: std::fmt::Debug>(cases: u32, values: &impl Strategy<Value = T>, test: impl Fn(T)) {
    let config = Config {
        failure_persistence: None,
        ..Config::with_cases(cases)
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let test = |value| {
        test(value);
        Ok(())
    };
    runner.run(values, test).unwrap();
}

/// Returns how many bytes of the body are missing, once the head is complete; its end is sought from
/// an index on.
fn missing_bytes(received: &[u8], from: usize) -> Option<usize> {
    let mut ends = received[from..].windows(4);
    let end = from + 4 + ends.position(|bytes| bytes == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..end]).to_lowercase();
    let length = head.split_once("content-length: ");
    let length = length.and_then(|(_, rest)| rest.lines().next()?.parse().ok());
    Some((end + length.unwrap_or(0)) - received.len())
}

/// Starts a server that answers each request and passes on what it received.
fn start() -> (SocketAddr, Receiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut received = Vec::new();
            let mut buffer = [0; 65_536];
            let mut missing = None;
            while missing != Some(0) {
                let count = match stream.read(&mut buffer) {
                    Ok(0) | Err(_) => break,
                    Ok(count) => count,
                };
                let searched = received.len().saturating_sub(3);
                received.extend_from_slice(&buffer[..count]);
                let is_head = missing.is_none();
                missing = match missing {
                    Some(length) => Some(length - count),
                    None => missing_bytes(&received, searched),
                };
                if is_head && missing.is_some_and(|length| length > 0) {
                    let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
                }
            }
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            let _ = stream.write_all(answer);
            let _ = sender.send(received);
        }
    });
    (address, receiver)
}

fn forward(
    client: &Client,
    address: SocketAddr,
    target: &Target,
    body: Vec<u8>,
) -> Result<u16, Error> {
    let request = Forward {
        address,
        method: Method::Put,
        target,
        headers: Headers::new(),
        body: body.into(),
        timeout: Duration::from_secs(10),
    };
    let response = smol::block_on(client.forward(request))?;
    Ok(response.status)
}

/// Guards against targets that the HTTP library changes, and heads and bodies that are damaged with
/// the request line.
#[test]
fn any_target_is_sent_as_it_is() {
    let (address, received) = start();
    let client = Client::new(Options::default());
    let targets = (
        "/[!-~&&[^#\\\\]]{0,60}",
        prop_oneof![Just(0), 1..100_usize, Just(LARGE_BODY)],
    );
    run(256, &targets, |(text, length)| {
        let target = text.parse().unwrap();
        let body = vec![b'b'; length];
        assert_eq!(
            forward(&client, address, &target, body.clone()).unwrap(),
            200
        );
        let received = received.recv().unwrap();
        let line = format!("PUT {text} HTTP/1.1\r\n");
        let rest = received.strip_prefix(line.as_bytes());
        let rest = rest.unwrap_or_else(|| panic!("{}", String::from_utf8_lossy(&received)));
        let end = rest
            .windows(4)
            .position(|bytes| bytes == b"\r\n\r\n")
            .unwrap();
        let head = std::str::from_utf8(&rest[..end]).unwrap();
        assert!(head.lines().all(|line| line.contains(": ")), "{head}");
        assert!(
            head.to_lowercase().contains(&format!("host: {address}")),
            "{head}"
        );
        assert_eq!(rest[end + 4..], body);
    });
}

/// Guards against a target too long for one write that arrives in part.
#[test]
fn a_long_target_is_sent_completely() {
    let (address, received) = start();
    let text = format!("/{}", "../".repeat(1 << 20));
    let status = forward(
        &Client::new(Options::default()),
        address,
        &text.parse().unwrap(),
        Vec::new(),
    );
    assert_eq!(status.unwrap(), 200);
    let line = format!("PUT {text} HTTP/1.1\r\n");
    assert!(received.recv().unwrap().starts_with(line.as_bytes()));
}

/// Guards against a request that is called sent, or possibly sent, though nobody listens.
#[test]
fn a_request_that_is_refused_a_connection_is_not_sent() {
    let address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let target = "/a/../b".parse().unwrap();
    let result = forward(
        &Client::new(Options::default()),
        address,
        &target,
        Vec::new(),
    );
    assert!(matches!(result, Err(Error::NotSent)), "{result:?}");
}

/// Guards against bytes in a target that end the request line, or divide it.
macro_rules! invalid {
    ($($name:ident: $text:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!($text.parse::<Target>(), Err(InvalidTarget));
            }
        )*
    };
}

invalid! {
    an_empty_text_is_invalid: "";
    a_text_without_a_slash_is_invalid: "a/b";
    an_asterisk_is_invalid: "*";
    an_absolute_form_is_invalid: "http://host/a";
    a_space_is_invalid: "/a b";
    the_end_of_a_line_is_invalid: "/a HTTP/1.1\r\nX: y";
    a_line_feed_is_invalid: "/a\nb";
    a_tab_is_invalid: "/a\tb";
    a_zero_byte_is_invalid: "/a\0b";
    a_deletion_is_invalid: "/a\x7fb";
    a_byte_over_0x7f_is_invalid: "/\u{e9}";
    a_fragment_is_invalid: "/a#b";
    a_backslash_is_invalid: "/a\\b";
}

/// A step by which a receiver may read a path.
#[derive(Debug, Clone, Copy)]
enum Step {
    Decode,
    IgnoreCase,
    TakeBackslashes,
    RemoveEmpty,
    RemoveDots,
    RemoveParameters,
    EndAt(char),
    RemoveHost,
    RemoveLastSlash,
}

const STEPS: [Step; 11] = [
    Step::Decode,
    Step::IgnoreCase,
    Step::TakeBackslashes,
    Step::RemoveEmpty,
    Step::RemoveDots,
    Step::RemoveParameters,
    Step::EndAt('?'),
    Step::EndAt('#'),
    Step::EndAt('\0'),
    Step::RemoveHost,
    Step::RemoveLastSlash,
];

fn decode(path: &str) -> String {
    let mut decoded = String::new();
    let mut rest = path;
    while let Some(first) = rest.chars().next() {
        let digits = rest.strip_prefix('%').and_then(|digits| digits.get(..2));
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(byte.map_or(first, char::from));
        rest = &rest[if byte.is_some() { 3 } else { first.len_utf8() }..];
    }
    decoded
}

fn remove_dots(path: &str) -> String {
    let mut kept: Vec<&str> = Vec::new();
    for segment in path.trim_start_matches('/').split('/') {
        match segment {
            "." => {}
            ".." => drop(kept.pop()),
            _ => kept.push(segment),
        }
    }
    format!("/{}", kept.join("/"))
}

impl Step {
    fn apply(self, path: &str) -> String {
        let each = |change: fn(&str) -> &str| {
            let segments: Vec<&str> = path.split('/').map(change).collect();
            segments.join("/")
        };
        match self {
            Self::Decode => decode(path),
            Self::IgnoreCase => path.to_lowercase(),
            Self::TakeBackslashes => path.replace('\\', "/"),
            Self::RemoveEmpty => {
                let segments: Vec<&str> = path.split('/').filter(|s| !s.is_empty()).collect();
                format!("/{}", segments.join("/"))
            }
            Self::RemoveDots => remove_dots(path),
            Self::RemoveParameters => each(|s| s.split(';').next().unwrap_or_default()),
            Self::EndAt(mark) => path.split(mark).next().unwrap_or_default().to_string(),
            Self::RemoveHost => match path.strip_prefix("//") {
                Some(rest) => rest.find('/').map_or("/", |at| &rest[at..]).to_string(),
                None => path.to_string(),
            },
            Self::RemoveLastSlash => path.strip_suffix('/').unwrap_or(path).to_string(),
        }
    }
}

/// Guards against spellings of a path that some receiver takes for another one: receivers that take
/// any steps in any order.
#[test]
fn a_path_that_any_receiver_takes_for_another_is_found() {
    let pieces = [
        "v1",
        "V1",
        "%76%31",
        "order",
        "%6frder",
        "ORDER",
        "healthz",
        "%2568ealthz",
        "x",
        "..",
        "%2e%2e",
        "%252e.",
        ".",
        "/",
        "/",
        "/",
        "//",
        "%2f",
        "%5c",
        ";",
        "%3b",
        "%3f",
        "%23",
        "%00",
        "/v1/order",
        "/../",
        "..;",
    ];
    let text = prop::collection::vec(prop::sample::select(pieces.to_vec()), 0..10);
    let steps = prop::collection::vec(prop::sample::select(STEPS.to_vec()), 0..12);
    let found = std::cell::Cell::new(0);
    run(100_000, &(text, steps), |(text, steps)| {
        let text = format!("/{}", text.concat());
        let read = steps
            .iter()
            .fold(text.clone(), |path, step| step.apply(&path));
        let target: Target = text.parse().unwrap();
        for own in ["/v1/order", "/healthz"]
            .into_iter()
            .filter(|own| *own == read)
        {
            found.set(found.get() + 1);
            assert!(
                target.may_be_read_as(own),
                "{text} is read as {read} by {steps:?}"
            );
        }
    });
    assert!(found.get() > 1_000, "{} paths only", found.get());
}

/// Guards against paths that are taken for another one though no receiver does so.
macro_rules! different {
    ($($name:ident: $text:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let target: Target = $text.parse().unwrap();
                assert!(!target.may_be_read_as("/v1/order"));
            }
        )*
    };
}

different! {
    a_path_below: "/v1/order/x";
    a_path_above: "/v1";
    a_root: "/";
    a_path_with_another_beginning: "/x/v1/order";
    a_longer_name: "/v1/orders";
    a_query_that_names_it: "/x?/../v1/order";
    a_query_after_dots: "/x/../y?v1/order";
    names_in_another_order: "/x/../order/v1";
    one_of_the_names: "/x/../order";
    a_name_in_two_segments: "/v1/or/der";
}
