//! The check of a configuration before it is sent.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use serde_json::{Value, json};

fn route(name: &str, prefix: &str) -> Value {
    json!({"name": name, "host": "site.example", "prefix": prefix, "route_type": "idempotent",
        "timeout_ms": 3000, "latency_goal_ms": 500, "priority": 1, "service": "app", "attempts": 2})
}

fn configuration() -> Value {
    json!({
        "version": 7,
        "routes": [route("entry", "/app/"), route("lookup", "/read/")],
        "services": [{"name": "app", "health_path": "/healthz", "cold_per_s": 0.0}],
        "tenants": [
            {"name": "herders", "api_keys": ["first-secret-key", "second-secret-key"]},
            {"name": "clerks", "api_keys": ["third-secret-key"], "priority": 2},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304},
    })
}

fn file(name: &str, text: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("configuration");
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn check_file(path: &std::path::Path, arguments: &[&str]) -> Output {
    let binary = env!("CARGO_BIN_EXE_cyclamenpath");
    let path = path.to_str().unwrap();
    let command = ["check-configuration", "--file", path];
    Command::new(binary)
        .args(command)
        .args(arguments)
        .output()
        .unwrap()
}

fn check(name: &str, configuration: &Value, arguments: &[&str]) -> (Option<i32>, String) {
    let path = file(&format!("{name}.json"), &configuration.to_string());
    let output = check_file(&path, arguments);
    (
        output.status.code(),
        String::from_utf8(output.stdout).unwrap(),
    )
}

/// Each case: a change of a sound configuration, the exit code, and a line of the report, without the
/// position.
macro_rules! findings {
    ($($name:ident: $change:expr => $code:literal, $label:literal, $path:literal, $reason:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut configuration = configuration();
            let change: fn(&mut Value) = $change;
            change(&mut configuration);
            let (code, report) = check(stringify!($name), &configuration, &[]);
            let found = report.lines().any(|line| {
                line.starts_with($label) && line.contains($path) && line.ends_with($reason)
            });
            assert!(found, "{report}");
            assert_eq!(code, Some($code), "{report}");
        }
    )*};
}

findings! {
    a_missing_field: |c| { c["routes"][1].as_object_mut().unwrap().remove("timeout_ms"); }
        => 2, "error", "routes[1] (line 1", "missing field `timeout_ms`";
    a_field_of_another_type: |c| c["routes"][0]["timeout_ms"] = json!("3s")
        => 2, "error", "routes[0].timeout_ms (line 1", "expected u64";
    an_unknown_kind: |c| c["routes"][0]["route_type"] = json!("fast")
        => 2, "error", "routes[0].route_type (line 1", "`idempotent`, `non_idempotent`, `streaming`";
    a_name_with_a_blank: |c| c["services"][0]["name"] = json!("my app")
        => 2, "error", "services[0] (line 1", "";
    a_version_that_is_no_number: |c| c["version"] = json!("seven")
        => 2, "error", "line 1", "expected u64";
    the_same_host_and_prefix: |c| c["routes"][1]["prefix"] = json!("/app/")
        => 0, "warning", "routes[0] (", "never matches: routes[1] has the same host and prefix";
    a_prefix_without_a_slash: |c| c["routes"][1]["prefix"] = json!("/read")
        => 0, "warning", "routes[1].prefix (", "never matches: a prefix begins and ends with a slash";
    a_host_with_a_port: |c| c["routes"][1]["host"] = json!("site.example:80")
        => 0, "warning", "routes[1].host (", "never matches: a host has no port";
    a_name_twice: |c| c["routes"][1]["name"] = json!("entry")
        => 0, "warning", "routes[1].name (", "also stands at routes[0]";
    a_service_that_is_none: |c| c["routes"][1]["service"] = json!("other")
        => 0, "warning", "routes[1] (", "leads to other, which is no service";
    no_service: |c| { c["routes"][1].as_object_mut().unwrap().remove("service"); }
        => 0, "warning", "routes[1] (", "serves nothing: it leads to no service";
    weights_of_zero: |c| {
        c["routes"][1].as_object_mut().unwrap().remove("service");
        let target = json!({"service": "app", "weight": 0});
        c["routes"][1]["split"] = json!([target, target]);
    } => 0, "warning", "routes[1] (", "its weights add up to zero: the last service gets all";
    a_goal_beyond_the_timeout: |c| c["routes"][0]["latency_goal_ms"] = json!(5000)
        => 0, "warning", "routes[0] (", "its latency goal of 5000 ms is beyond its timeout of 3000 ms";
    attempts_that_do_not_fit: |c| c["routes"][0]["attempts"] = json!(9)
        => 0, "warning", "routes[0].attempts (", "9 attempts of 500 ms each do not fit its timeout of 3000 ms";
    a_service_without_routes: |c| c["services"].as_array_mut().unwrap().push(json!({"name": "spare"}))
        => 0, "warning", "services[1] (", "gets no requests: no route leads to it";
    an_engine_without_models: |c| c["services"][0]["engine"] = json!({"slots": 26, "step_ms": 6.0,
        "per_seq_ms": 0.2, "read_per_s": 46000.0, "chunk": 2048, "stride": 5, "models": []})
        => 0, "warning", "services[0].engine (", "serves nothing: it has no models";
    a_key_of_two_teams: |c| c["tenants"][1]["api_keys"] = json!(["first-secret-key"])
        => 0, "warning", "tenants[1] (", "takes over a key of team herders";
    a_key_twice: |c| c["tenants"][1]["api_keys"] = json!(["a-secret-key", "a-secret-key"])
        => 0, "warning", "tenants[1] (", "holds the same key twice";
    a_team_without_keys: |c| c["tenants"][1]["api_keys"] = json!([])
        => 0, "warning", "tenants[1] (", "no caller belongs to it: it has no keys";
}

/// Each case: a change of the configuration in force, and a line of the report.
macro_rules! changes {
    ($($name:ident: $change:expr => $line:literal;)*) => {$(
        #[test]
        fn $name() {
            let in_force = file(
                concat!(stringify!($name), ".in-force.json"),
                &configuration().to_string(),
            );
            let mut configuration = configuration();
            let change: fn(&mut Value) = $change;
            change(&mut configuration);
            let arguments = ["--in-force", in_force.to_str().unwrap()];
            let (code, report) = check(stringify!($name), &configuration, &arguments);
            assert!(report.lines().any(|line| line == $line), "{report}");
            assert_eq!(code, Some(0), "{report}");
            assert!(!report.contains("secret-key"), "{report}");
        }
    )*};
}

changes! {
    no_difference: |_| {} => "0 errors, 0 warnings, 0 changes";
    an_added_route: |c| c["routes"].as_array_mut().unwrap().push(route("new", "/new/"))
        => "change  route site.example/new/: added";
    a_removed_route: |c| { c["routes"].as_array_mut().unwrap().pop(); }
        => "change  route site.example/read/: removed (its callers get 404, or the route of a shorter prefix)";
    a_shorter_timeout: |c| c["routes"][0]["timeout_ms"] = json!(2000)
        => "change  route site.example/app/: timeout 2000 ms, was 3000 ms";
    a_removed_team: |c| { c["tenants"].as_array_mut().unwrap().pop(); }
        => "change  team clerks: removed (its callers get 401)";
    replaced_keys: |c| c["tenants"][0]["api_keys"] = json!(["first-secret-key", "fourth-secret-key"])
        => "change  team herders: 1 keys added, 1 removed (callers with the removed keys get 401)";
    access_opened_to_all: |c| { c.as_object_mut().unwrap().remove("tenants"); }
        => "change  access of callers: routes open to all, was by the key of a team";
    a_larger_body: |c| c["limits"]["max_body_bytes"] = json!(8_388_608)
        => "change  limits of requests: body 8388608 bytes, was 4194304 bytes";
}

#[test]
fn a_sound_configuration_passes() {
    let (code, report) = check("sound", &configuration(), &["--deny-warnings"]);
    assert_eq!(
        (code, report.as_str()),
        (Some(0), "0 errors, 0 warnings, nothing was compared\n")
    );
}

#[test]
fn every_error_is_reported_with_its_line_and_column() {
    let mut broken = configuration();
    broken["routes"][0]["timeout_ms"] = json!("3s");
    broken["routes"][1]
        .as_object_mut()
        .unwrap()
        .remove("timeout_ms");
    broken["tenants"][1]["name"] = json!(17);
    let text = serde_json::to_string_pretty(&broken).unwrap();
    let output = check_file(&file("many-errors.json", &text), &[]);
    let report = String::from_utf8(output.stdout).unwrap();
    assert!(
        report.ends_with("3 errors, 0 warnings, nothing was compared\n"),
        "{report}"
    );
    let timeout = text
        .lines()
        .position(|line| line.contains("\"3s\""))
        .unwrap()
        + 1;
    assert!(
        report.contains(&format!("routes[0].timeout_ms (line {timeout}, ")),
        "{report}"
    );
}

#[test]
fn a_text_that_is_not_json_is_one_error_with_its_position() {
    let output = check_file(
        &file("not-json.json", "{\n  \"version\": 7,\n  oops\n}"),
        &[],
    );
    let report = String::from_utf8(output.stdout).unwrap();
    assert!(report.starts_with("error   line 3, column 3: "), "{report}");
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn warnings_are_denied_on_request() {
    let mut configuration = configuration();
    configuration["tenants"][1]["api_keys"] = json!([]);
    let (code, _) = check("denied", &configuration, &["--deny-warnings"]);
    assert_eq!(code, Some(1));
}

#[test]
fn a_script_gets_json() {
    let mut configuration = configuration();
    configuration["routes"][0]["timeout_ms"] = json!("3s");
    let (code, report) = check("json", &configuration, &["--format", "json"]);
    let report: Value = serde_json::from_str(&report).unwrap();
    assert_eq!(code, Some(2));
    assert_eq!(report["findings"][0]["path"], "routes[0].timeout_ms");
    assert_eq!(report["changes"], Value::Null);
}

#[test]
fn standard_input_is_read() {
    let binary = env!("CARGO_BIN_EXE_cyclamenpath");
    let mut command = Command::new(binary);
    command.args(["check-configuration", "--file", "-"]);
    let mut child = command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stdin = child.stdin.take().unwrap();
    stdin
        .write_all(configuration().to_string().as_bytes())
        .unwrap();
    drop(stdin);
    assert!(child.wait_with_output().unwrap().status.success());
}

#[test]
fn a_store_that_cannot_be_reached_is_said() {
    let settings = json!({
        "name": "entry-1", "zone": "a",
        "caller_listen": "127.0.0.1:8080", "ready_listen": "127.0.0.1:8081",
        "peer_listen": "127.0.0.1:8082", "metrics_listen": "127.0.0.1:8083",
        "peer_secret": "a secret of sixteen", "store": "127.0.0.1:1",
    });
    let settings = file("settings.json", &settings.to_string());
    let path = file("unreached.json", &configuration().to_string());
    let output = check_file(&path, &["--settings", settings.to_str().unwrap()]);
    assert!(!output.status.success());
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("127.0.0.1:1"), "{error}");
}

#[test]
fn the_tables_of_the_own_interface_are_checked_together() {
    let routes = json!({"routes": [{"name": "herd-llm", "pool": "nowhere"}], "teams": []});
    let pools =
        json!({"pools": [{"name": "llm", "service": "llm", "kind": "model", "group_size": 4}]});
    let (routes, pools) = (
        file("routes.json", &routes.to_string()),
        file("pools.json", &pools.to_string()),
    );
    let output = Command::new(env!("CARGO_BIN_EXE_cyclamenpath"))
        .args(["check-tables", "--routes", routes.to_str().unwrap()])
        .args(["--pools", pools.to_str().unwrap()])
        .output()
        .unwrap();
    let report = String::from_utf8(output.stdout).unwrap();
    assert!(
        report.contains("error   routes[0].pool: names no pool\n"),
        "{report}"
    );
    assert!(
        report.contains("warning pools[0]: gets no requests: no route leads to it\n"),
        "{report}"
    );
    assert_eq!(output.status.code(), Some(2));
}
