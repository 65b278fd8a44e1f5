//! The configuration of a small deployment.

/// The key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// The bounds `config_ms` and `drain_ms` of the deployment, as on the users' first sheets.
pub const BOUNDS: (u64, u64) = (2_000, 2_000);

fn route(name: &str, prefix: &str, kind: &str, attempts: u32) -> String {
    let is_stream = kind == "streaming";
    let timeout_ms = if is_stream { 8_000 } else { 1_500 };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"herd.example\",\"prefix\":\"{prefix}\",\
         \"route_type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"latency_goal_ms\":100,\"priority\":2,\
         \"service\":\"registry-app\",\"attempts\":{attempts},\"anonymous\":false,\"sticky\":false,\
         \"resumable\":{is_stream},\"gap_goal_ms\":300}}"
    )
}

/// Returns a configuration with one plain service, and one tenant that holds these keys.
pub fn configuration(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[{{\"name\":\"registry-app\",\
         \"health_path\":\"/healthz\",\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"vets\",\"api_keys\":[{}],\"priority\":1}}]}}",
        route("r-entry", "/entry/", "non_idempotent", 1),
        route("r-lookup", "/lookup/", "idempotent", 2),
        route("r-summary", "/summary/", "streaming", 2),
        keys.join(",")
    )
}
