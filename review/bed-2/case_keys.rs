//! An operator takes a tenant's keys away, one after the other, until the tenant holds none.
//!
//! From `config_ms` after the acknowledgement on, no request with one of these keys may run, and none with
//! a key that no configuration ever held. Without the disruption only the first key is taken away.

use std::time::{Duration, Instant};

use crate::client::{Request, exchange};
use crate::gateway::Gateway;
use crate::site::{self, configuration};
use crate::store::Store;
use crate::worker::{Worker, sound};
use crate::{Setting, Verdict};

/// The time between two keys that are taken away.
const GAP: Duration = Duration::from_millis(1_500);
/// What is waited beyond `config_ms` before requests count.
const MARGIN: Duration = Duration::from_millis(1_000);

const FIRST_KEY: &str = site::KEY;
const SECOND_KEY: &str = "anfqasnmgkcuyj8pjbvk";
/// A key that no configuration holds.
const UNKNOWN_KEY: &str = "zzzzzzzzzzzzzzzzzzzz";

struct Site<'a> {
    setting: &'a Setting,
    gateways: Vec<Gateway>,
    workers: Vec<Worker>,
    sent: u32,
}

impl Site<'_> {
    /// Sends a head-count entry with a key, if any, to each gateway; returns how many of them ran.
    fn try_key(&mut self, what: &str, key: Option<&str>) -> usize {
        let mut ran = 0;
        for gateway in &self.gateways {
            self.sent += 1;
            let id = format!("a{:015}", self.sent);
            let request = Request {
                method: "POST",
                path: "/entry/count",
                id: &id,
                key,
                deadline_ms: 1_500,
                body: "herd=17&count=204",
            };
            let answer = exchange(gateway.front, &request.bytes(), Duration::from_secs(3));
            let answer = answer.map_or_else(|e| e.to_string(), |answer| answer.line);
            let runs = self.workers.iter().flat_map(Worker::runs);
            let runs: Vec<_> = runs.filter(|run| run.id == id).collect();
            let tenants: Vec<_> = runs
                .iter()
                .map(|run| run.request.header("x-tenant"))
                .collect();
            self.setting.record.line(format!(
                "{what}: sent {id} to {} with key {key:?}; answered {answer:?}; ran {} times, X-Tenant {tenants:?}",
                gateway.name,
                runs.len()
            ));
            ran += runs.len();
        }
        ran
    }
}

pub fn run(setting: &Setting) -> Verdict {
    let record = &setting.record;
    let store = Store::start();
    store.put("op", "config", &configuration(1, &[FIRST_KEY, SECOND_KEY]));
    let worker = |id: &str| Worker::start(&store, id, "registry-app", std::sync::Arc::new(sound));
    let workers = ["i-0000000a", "i-0000000b", "i-0000000c"]
        .map(worker)
        .into();
    let gateway = |name: &str| Gateway::new(&setting.scratch, name, store.address, site::BOUNDS);
    let mut gateways: Vec<Gateway> = ["edge-1", "edge-2"].map(gateway).into();
    gateways.iter_mut().for_each(Gateway::start);
    if !gateways
        .iter()
        .all(|g| g.wait_ready(Duration::from_secs(15)))
    {
        record.line("the gateways are not ready");
        return Verdict::Unclear;
    }
    // All machines are in touch from `contact_ms` after their start.
    std::thread::sleep(Duration::from_secs(4));
    let mut site = Site {
        setting,
        gateways,
        workers,
        sent: 0,
    };
    let all = site.gateways.len();
    let before = [
        site.try_key("before", Some(FIRST_KEY)) == all,
        site.try_key("before", Some(SECOND_KEY)) == all,
        site.try_key("before", Some(UNKNOWN_KEY)) == 0,
        site.try_key("before", None) == 0,
    ];
    if before.contains(&false) {
        record.line("the keys don't count as configured before the disruption");
        return Verdict::Unclear;
    }
    let mut acknowledged = store.put("op", "config", &configuration(2, &[SECOND_KEY]));
    record.line("version 2 acknowledged: the first key is taken away");
    if setting.trouble {
        std::thread::sleep(GAP);
        acknowledged = store.put("op", "config", &configuration(3, &[]));
        record.line("version 3 acknowledged: the second key is taken away, the tenant holds none");
    }
    let due = acknowledged + Duration::from_millis(site::BOUNDS.0) + MARGIN;
    std::thread::sleep(due.saturating_duration_since(Instant::now()));
    let (mut dropped, mut unknown, mut without) = (0, 0, 0);
    for _ in 0..5 {
        dropped += site.try_key("after", Some(FIRST_KEY));
        if setting.trouble {
            dropped += site.try_key("after", Some(SECOND_KEY));
        } else if site.try_key("after", Some(SECOND_KEY)) != all {
            record.line("the key that is left doesn't count");
            return Verdict::Unclear;
        }
        unknown += site.try_key("after", Some(UNKNOWN_KEY));
        without += site.try_key("after", None);
        std::thread::sleep(Duration::from_millis(500));
    }
    if site
        .gateways
        .iter_mut()
        .any(|gateway| !gateway.is_running())
    {
        record.line("a gateway has ended");
        return Verdict::Unclear;
    }
    record.line(format!(
        "ROUTE: {unknown} requests ran whose key no configuration ever held; CONFIG: {dropped} ran with a key \
         that was dropped; besides, {without} ran without a key"
    ));
    match unknown + dropped {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
