//! A request that crashes each worker that begins to run it, and comes again and again.
//!
//! BUDGET: it reaches workers in more than three retries, sent by machines in touch later than
//! `contact_ms` after it has crashed the third.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client;
use crate::gateway::Gateway;
use crate::http::Request;
use crate::record::{Record, Temporary};
use crate::store::Store;
use crate::worker::{Place, Site, start};

/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_millis(3_000);
/// The time between two sends of the request.
const PAUSE: Duration = Duration::from_millis(1_500);
/// The retries that the rule allows.
const ALLOWED: usize = 3;
const PATH: &str = "/book/spring/herd/1";
const BODY: &[u8] = b"the request that crashes workers";
const ZONES: [&str; 3] = ["sofia-a", "sofia-b", "sofia-c"];

/// Returns the configuration whose route of the request has a prefix of so many parts.
fn configuration(version: usize) -> String {
    let prefixes = ["/book/", "/book/spring/", "/book/spring/herd/"];
    let routes = prefixes.iter().take(version).enumerate().map(|(index, prefix)| {
        format!(
            r#"{{"name":"r-{index}","host":"site.example","prefix":"{prefix}","route_type":"non_idempotent",
            "timeout_ms":800,"latency_goal_ms":100,"priority":2,"service":"registry","attempts":1,
            "anonymous":false,"sticky":false,"resumable":false}}"#
        )
    });
    let routes: Vec<String> = routes.collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"registry","health_path":"/healthz",
        "max_conns":96,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}},"tenants":[{{"name":"herders","api_keys":["key-of-herders"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

fn is_poison(request: &Request) -> bool {
    request.body == BODY
}

/// Runs the case; returns whether the rule was broken.
pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let temporary = Temporary::create()?;
    let store = Store::start();
    store.put("op", "config", &configuration(1));
    let site = Site::new(store.clone(), is_poison);
    for zone in ZONES.into_iter().chain(ZONES) {
        start(
            &site,
            Place {
                service: "registry",
                zone,
                model: None,
            },
        );
    }
    let mut gateways = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        let name = format!("edge-{zone}-{index}");
        gateways.push(Gateway::start(&temporary.0, &name, zone, store.address)?);
    }
    for gateway in &gateways {
        gateway.wait_until_ready()?;
    }
    // All machines are in touch from here on.
    std::thread::sleep(CONTACT + Duration::from_millis(500));
    let mut sender = Sender {
        record: &record,
        site: site.clone(),
        count: 0,
    };
    sender.send(&gateways, 4);
    std::thread::sleep(CONTACT);
    for version in [2, 3] {
        if trouble {
            store.put("op", "config", &configuration(version));
            record.write(format!(
                "the store acknowledges version {version}, which splits the route"
            ));
        }
        // Later than `config_ms` after the version was acknowledged.
        std::thread::sleep(CONTACT + Duration::from_millis(500));
        sender.send(&gateways, 4);
    }
    sender.judge()
}

/// The caller of the request.
struct Sender<'a> {
    record: &'a Record,
    site: Arc<Site>,
    count: usize,
}

impl Sender<'_> {
    /// Sends the request some times, to one gateway after the other, and a sound one beside each.
    fn send(&mut self, gateways: &[Gateway], times: usize) {
        for _ in 0..times {
            let gateway = &gateways[self.count % gateways.len()];
            self.count += 1;
            for (what, body) in [("it", BODY), ("a sound request", b"sound")] {
                let id = format!("{}-{}", what.replace(' ', "-"), self.count);
                let answer = client::send(
                    gateway.callers,
                    ("POST", PATH),
                    &[
                        ("X-Attempt-Id", id.as_str()),
                        ("X-Deadline-Ms", "1500"),
                        ("Authorization", "Token key-of-herders"),
                    ],
                    body,
                );
                self.record.write(format!(
                    "{what} ({id}) is sent to {}: answer {}",
                    gateway.name(),
                    answer.status
                ));
            }
            std::thread::sleep(PAUSE);
        }
    }

    /// Returns whether the rule was broken.
    fn judge(&self) -> Result<bool, String> {
        let arrivals = self.site.arrivals();
        let runs: Vec<_> = arrivals
            .iter()
            .filter(|arrival| is_poison(&arrival.request))
            .collect();
        for run in &runs {
            self.record.write_at(
                run.at,
                format!(
                    "worker {} begins to run {} and crashes",
                    run.worker,
                    run.request.header("x-attempt-id")
                ),
            );
        }
        let Some(third) = runs.get(2).map(|run| run.at) else {
            return Err("it has not crashed three workers".into());
        };
        let from: Instant = third + CONTACT;
        let late = runs.iter().filter(|run| run.at > from).count();
        let sound = arrivals.len() - runs.len();
        self.record.write(format!(
            "it reached workers {late} times later than contact_ms after its third crash ({ALLOWED} are allowed); \
             {sound} sound requests reached workers"
        ));
        Ok(late > ALLOWED)
    }
}
