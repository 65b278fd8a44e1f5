//! Transactions whose values cannot be encoded.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::time::Duration;

use cyclamen_cache::Key;
use cyclamen_platform::{Client, Error, Options, Transaction};

#[test]
fn a_value_that_cannot_be_encoded_is_not_a_deletion() {
    // Keys of JSON objects are texts, so this map has no JSON form.
    let value = BTreeMap::from([(vec![1], 2)]);
    let key = Key::new("shared/", "row");
    let transaction = Transaction::default().put(key, &value);
    assert_eq!(transaction.writes, []);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let options = Options {
        address: listener.local_addr().unwrap(),
        timeout: Duration::from_secs(1),
    };
    let http = cyclamen_http::Client::new(cyclamen_http::Options::default());
    let client = Client::new(http, options);
    let result = smol::block_on(client.transact(&transaction));
    assert_eq!(result, Err(Error::NotEncoded));
    assert!(listener.accept().is_err(), "the transaction was sent");
}
