//! Streams are split into complete events at any chunk boundaries, and only end-to-end
//! headers are forwarded.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use cyclamen_relay::{Event, EventBuffer, end_to_end, has_ambiguous_length};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use trillium_http::Headers;

fn drain_events(events: &mut EventBuffer) -> Vec<Event> {
    std::iter::from_fn(|| events.next_event()).collect()
}

macro_rules! split {
    ($($name:ident: $bytes:expr => $ids:expr, $partial:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut events = EventBuffer::default();
                events.push($bytes.as_bytes()).unwrap();
                let ids: Vec<Option<u64>> = drain_events(&mut events).iter().map(|e| e.id).collect();
                let expected: Vec<Option<u64>> = $ids.to_vec();
                assert_eq!(ids, expected);
                assert_eq!(events.has_partial_event(), $partial);
            }
        )*
    };
}

split! {
    two_events: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" => [Some(1), Some(2)], false;
    an_event_without_its_end_is_partial: "id: 1\ndata: a\n\nid: 2\ndata: b\n" => [Some(1)], true;
    line_feeds_with_carriage_returns: "id:7\r\ndata: a\r\n\r\n" => [Some(7)], false;
    an_event_without_an_id: "data: a\n\n" => [None], false;
    an_id_that_is_not_a_number: "id: x\ndata: a\n\n" => [None], false;
    no_bytes: "" => [], false;
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn events_are_the_same_for_any_chunk_sizes(
        count in 1..8_u64,
        line_end in prop_oneof![Just("\n"), Just("\r\n")],
        chunk_sizes in prop::collection::vec(1..9_usize, 1..60),
    ) {
        let text: String = (1..=count)
            .map(|id| format!("id: {id}{line_end}data: piece {id}{line_end}{line_end}"))
            .collect();
        let mut events = EventBuffer::default();
        let mut found = Vec::new();
        let mut rest = text.as_bytes();
        for size in chunk_sizes.iter().cycle() {
            let (chunk, remainder) = rest.split_at((*size).min(rest.len()));
            events.push(chunk).unwrap();
            found.extend(drain_events(&mut events));
            rest = remainder;
            if rest.is_empty() {
                break;
            }
        }
        let ids: Vec<u64> = found.iter().filter_map(|e| e.id).collect();
        prop_assert_eq!(ids, (1..=count).collect::<Vec<_>>());
        let bytes: Vec<u8> = found.into_iter().flat_map(|e| e.bytes).collect();
        prop_assert_eq!(bytes, text.into_bytes());
        prop_assert!(!events.has_partial_event());
    }
}

#[test]
fn size_of_an_event_without_an_end_is_bounded() {
    let mut events = EventBuffer::default();
    let piece = [b'x'; 64 << 10];
    let pushed = (0..64).map(|_| events.push(&piece)).find(Result::is_err);
    assert!(pushed.is_some());
}

fn headers(pairs: &[(&'static str, &'static str)]) -> Headers {
    let mut headers = Headers::new();
    for (name, value) in pairs {
        headers.append(*name, *value);
    }
    headers
}

#[test]
fn hop_by_hop_headers_are_removed() {
    let forwarded = end_to_end(&headers(&[
        ("Connection", "close, X-Hop"),
        ("X-Hop", "1"),
        ("Keep-Alive", "timeout=5"),
        ("Transfer-Encoding", "chunked"),
        ("Content-Length", "3"),
        ("X-Kept", "yes"),
    ]));
    let names: Vec<String> = forwarded.iter().map(|(name, _)| name.to_string()).collect();
    assert_eq!(names, ["X-Kept"]);
}

macro_rules! framing {
    ($($name:ident: $headers:expr => $ambiguous:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(has_ambiguous_length(&headers(&$headers)), $ambiguous);
            }
        )*
    };
}

framing! {
    one_length: [("Content-Length", "3")] => false;
    chunks: [("Transfer-Encoding", "chunked")] => false;
    chunks_and_a_length: [("Transfer-Encoding", "chunked"), ("Content-Length", "3")] => true;
    two_lengths: [("Content-Length", "3"), ("Content-Length", "4")] => true;
}
