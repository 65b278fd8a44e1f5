//! Tests of the command line.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod checked;

use std::process::{Command, Output};

use serde_json::{Value, json};

fn cyclamenpath(arguments: &[&str]) -> Output {
    let binary = env!("CARGO_BIN_EXE_cyclamenpath");
    Command::new(binary).args(arguments).output().unwrap()
}

fn settings() -> Value {
    json!({
        "name": "entry-1", "zone": "sofia-a",
        "caller_listen": "127.0.0.1:8080", "operator_listen": "127.0.0.1:8081",
        "peer_listen": "127.0.0.1:8082", "peer_allowed": ["127.0.0.1"],
        "peer_secret": "a secret of sixteen", "operator_token": "a token of sixteen",
        "platform": "127.0.0.1:9000",
    })
}

fn check(name: &str, settings: &Value) -> (bool, String) {
    checked::check(&[], name, settings)
}

invalid_settings! {
    an_unknown_key: "colour", json!("blue") => "unknown field `colour`";
    a_wrong_unit: "timing", json!({"lease_ms": "6s"}) => "timing.lease_ms";
    a_clash_of_addresses: "operator_listen", json!("127.0.0.1:8080") => "operator_listen";
    a_short_secret: "peer_secret", json!("short") => "peer_secret";
    a_lease_that_cannot_be_kept: "timing", json!({"lease_ms": 1000}) => "timing.lease_ms";
    a_name_with_a_space: "name", json!("entry 1") => "name";
}

#[test]
fn valid_settings_are_accepted() {
    assert!(check("good", &settings()).0);
}

#[test]
fn schemas_are_json() {
    for of in ["settings", "gateway", "routes", "pools"] {
        let output = cyclamenpath(&["schema", of]);
        let schema: Value = serde_json::from_slice(&output.stdout).unwrap();
        assert_eq!(schema["type"], "object");
    }
}
