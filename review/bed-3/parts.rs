//! A part of prompts that crashes each worker that begins to write an answer on it.
//!
//! BUDGET: more than three requests with the part reach workers, sent by machines in touch later
//! than `contact_ms` after the fifth crash.

use std::path::Path;
use std::time::{Duration, Instant};

use crate::client;
use crate::gateway::Gateway;
use crate::http::Request;
use crate::record::{Record, Temporary};
use crate::store::Store;
use crate::worker::{Place, Site, start};

const CONTACT: Duration = Duration::from_millis(3_000);
const ALLOWED: usize = 3;
/// The part that crashes workers.
const POISON: &str = "bad0c0de";
/// The number of parts of a prompt that all requests share.
const SHARED: usize = 32;
/// The time between two rounds of requests.
const PAUSE: Duration = Duration::from_millis(300);
const ROUNDS: usize = 80;
const ZONES: [&str; 3] = ["sofia-a", "sofia-b", "sofia-c"];

fn configuration() -> String {
    r#"{"version":1,"routes":[{"name":"r-1","host":"site.example","prefix":"/sum/","route_type":"streaming",
    "timeout_ms":8000,"latency_goal_ms":500,"priority":1,"service":"llm","attempts":2,"anonymous":false,
    "sticky":true,"resumable":true,"gap_goal_ms":300}],
    "services":[{"name":"llm","health_path":"/healthz","max_conns":464,"protocol":"h1","tls":false,
    "cold_start_s":3.0,"cold_per_s":36.0,"engine":{"slots":26,"kv_capacity":1400000,"stride":5,
    "models":[{"name":"m0","size":1,"share":1.0,"pace":1.0,"load_s":16.0,"warm_s":0.2}],
    "step_ms":6.07,"per_seq_ms":0.241,"context_per_k":0.00488,"read_per_s":46000.0,"pairs_per_m":0.7,
    "chunk":2048,"report_lag_ms":200.0,"loads_per_s":4.0,"loads_at_once":6,"delays":[],
    "usual":{"prompt":1076,"answer":116},"cached_prefixes":1,"far_x":3.0,"form_ms":300.0}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
    "idle_timeout_ms":15000},"tenants":[{"name":"herders","api_keys":["key-of-herders"],"priority":1}]}"#
        .into()
}

/// Returns whether a part of a prompt that requests share is the one that crashes workers.
fn has_part(request: &Request) -> bool {
    let parts: Vec<&str> = request.header("x-prefix-hash").split(',').collect();
    let shared = parts.len().saturating_sub(1);
    parts[..shared].iter().any(|part| part.starts_with(POISON))
}

/// Returns the parts of a prompt: those that all share, the one that crashes workers if it has it, and
/// the request's own.
fn prompt(number: usize, with_poison: bool) -> String {
    let shared = std::env::var("SHARED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SHARED);
    let mut parts: Vec<String> = (0..shared)
        .map(|index| format!("{:08x}:24", 0x5c1e_0000 + index))
        .collect();
    if with_poison {
        parts.push(format!("{POISON}:24"));
    }
    parts.push(format!("{:08x}:40", 0x9100_0000 + number));
    parts.join(",")
}

/// Runs the case; returns whether the rule was broken.
pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let temporary = Temporary::create()?;
    let store = Store::start();
    store.put("op", "config", &configuration());
    let site = Site::new(store.clone(), move |request| trouble && has_part(request));
    for index in 0..12 {
        let zone = ZONES[index % ZONES.len()];
        let model = Some((format!("domain-{zone}"), "m0"));
        start(
            &site,
            Place {
                service: "llm",
                zone,
                model,
            },
        );
    }
    let mut gateways = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        gateways.push(Gateway::start(
            &temporary.0,
            &format!("edge-{zone}-{index}"),
            zone,
            store.address,
        )?);
    }
    for gateway in &gateways {
        gateway.wait_until_ready()?;
    }
    // The groups form, and all machines are in touch from here on.
    std::thread::sleep(Duration::from_secs(6));
    for round in 0..ROUNDS {
        let gateway = &gateways[round % gateways.len()];
        for (what, with_poison) in [("with", true), ("without", false)] {
            // No two alike; one round in three has a request with the part.
            if with_poison && round % 3 != 0 {
                continue;
            }
            let number = 2 * round + usize::from(with_poison);
            let id = format!("request-{number}");
            let answer = client::send(
                gateway.callers,
                ("POST", "/sum/2f"),
                &[
                    ("X-Attempt-Id", id.as_str()),
                    ("X-Deadline-Ms", "8000"),
                    ("X-Model", "m0"),
                    ("X-Token-Count", "1000,25"),
                    ("X-Prefix-Hash", prompt(number, with_poison).as_str()),
                    ("Authorization", "Token key-of-herders"),
                ],
                format!("prompt {number}").as_bytes(),
            );
            let end = if answer.is_complete { "whole" } else { "cut" };
            record.write(format!(
                "{id}, {what} the part, is sent to {}: answer {}, {end}",
                gateway.name(),
                answer.status
            ));
        }
        std::thread::sleep(PAUSE);
    }
    let arrivals = site.arrivals();
    let runs: Vec<_> = arrivals
        .iter()
        .filter(|arrival| has_part(&arrival.request))
        .collect();
    for run in &runs {
        let then = if run.crashed { " and crashes" } else { "" };
        let id = run.request.header("x-attempt-id");
        record.write_at(
            run.at,
            format!("worker {} begins to run {id}{then}", run.worker),
        );
    }
    let sound = arrivals.len() - runs.len();
    let crashes: Vec<Instant> = runs
        .iter()
        .filter(|run| run.crashed)
        .map(|run| run.at)
        .collect();
    let Some(fifth) = crashes.get(4) else {
        record.write(format!(
            "fewer than five crashes; {sound} requests without the part reached workers"
        ));
        return Ok(false);
    };
    let from = *fifth + CONTACT;
    let late = runs.iter().filter(|run| run.at > from).count();
    record.write(format!(
        "{late} requests with the part reached workers later than contact_ms after the fifth crash ({ALLOWED} are \
         allowed); {} crashes; {sound} requests without the part reached workers",
        crashes.len()
    ));
    Ok(late > ALLOWED)
}
