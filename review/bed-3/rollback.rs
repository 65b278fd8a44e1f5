//! The store comes back from a copy while a gateway is stopped and started again as planned.
//!
//! TWO: a worker takes a join of another group while the head of its group is open or closing.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::gateway::Gateway;
use crate::record::{Record, Temporary};
use crate::store::Store;
use crate::worker::{Place, Site, start};

const ZONES: [&str; 2] = ["sofia-a", "sofia-b"];
/// The fabric domains, each of eight workers.
const DOMAINS: [&str; 4] = ["rack-1", "rack-2", "rack-3", "rack-4"];
const MODEL: &str = "m1";
/// The number of members of a group.
const SIZE: usize = 2;
/// The groups that the workers form, three a domain; the others are spares.
const GROUPS: usize = 3 * DOMAINS.len();
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// The time after the store's return at which workers write their rows again; the pages say about two
/// seconds.
const LISTED_AGAIN: Duration = Duration::from_millis(1_700);

fn configuration() -> String {
    r#"{"version":1,"routes":[{"name":"r-1","host":"site.example","prefix":"/sum/","route_type":"streaming",
    "timeout_ms":8000,"latency_goal_ms":500,"priority":1,"service":"llm","attempts":2,"anonymous":false,
    "sticky":true,"resumable":true,"gap_goal_ms":300}],
    "services":[{"name":"llm","health_path":"/healthz","max_conns":464,"protocol":"h1","tls":false,
    "cold_start_s":3.0,"cold_per_s":36.0,"engine":{"slots":26,"kv_capacity":1400000,"stride":5,
    "models":[{"name":"m1","size":2,"share":1.0,"pace":0.6,"load_s":12.0,"warm_s":1.1}],
    "step_ms":6.07,"per_seq_ms":0.241,"context_per_k":0.00488,"read_per_s":46000.0,"pairs_per_m":0.7,
    "chunk":2048,"report_lag_ms":200.0,"loads_per_s":4.0,"loads_at_once":6,"delays":[],
    "usual":{"prompt":1076,"answer":116},"cached_prefixes":1,"far_x":3.0,"form_ms":300.0}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
    "idle_timeout_ms":15000},"tenants":[{"name":"herders","api_keys":["key-of-herders"],"priority":1}]}"#
        .into()
}

/// Waits until so many groups serve.
fn wait_for_groups(site: &Site, count: usize) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if open_groups(site) >= count {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(format!("{count} groups do not stand: {:?}", site.groups()))
}

fn open_groups(site: &Site) -> usize {
    let groups = site.groups();
    let heads = groups.iter().filter_map(|(_, group)| group.as_ref());
    heads
        .filter(|(_, state, rank)| *rank == 0 && *state == "open")
        .count()
}

/// Returns whether a part of the disruption is not left out.
fn is_on(part: &str) -> bool {
    std::env::var(part).as_deref() != Ok("0")
}

/// Starts gateways and workers, and waits until groups serve and all machines are in touch.
fn start_all(temporary: &Path, store: &Store, site: &Arc<Site>) -> Result<Vec<Gateway>, String> {
    store.put("op", "config", &configuration());
    for index in 0..4 * SIZE * DOMAINS.len() {
        let model = Some((DOMAINS[index % DOMAINS.len()].into(), MODEL));
        start(
            site,
            Place {
                service: "llm",
                zone: ZONES[0],
                model,
            },
        );
    }
    let mut gateways = Vec::new();
    for (index, zone) in ZONES.into_iter().enumerate() {
        let name = format!("edge-{zone}-{index}");
        gateways.push(Gateway::start(temporary, &name, zone, store.address)?);
    }
    gateways.iter().try_for_each(Gateway::wait_until_ready)?;
    wait_for_groups(site, GROUPS)?;
    std::thread::sleep(Duration::from_secs(6));
    Ok(gateways)
}

/// Lets the head of one group of each domain leave; the spares are to replace the group.
fn drain_heads(record: &Record, site: &Site) -> Result<(), String> {
    let groups = site.groups();
    for domain in DOMAINS {
        let is_head = |group: &Option<(String, _, usize)>| {
            group
                .as_ref()
                .is_some_and(|(name, _, rank)| *rank == 0 && name.starts_with(domain))
        };
        let head = groups.iter().find(|(_, group)| is_head(group));
        let (head, _) = head.ok_or("no group has a head")?;
        record.write(format!("worker {head} of {domain} is leaving"));
        site.drain(head);
    }
    Ok(())
}

/// Returns the gateway that owns most domains.
fn owner(store: &Store, gateways: &[Gateway]) -> Result<usize, String> {
    let rows = DOMAINS.map(|domain| store.value("domains", domain).unwrap_or_default());
    let owned = |index: &usize| {
        rows.iter()
            .filter(|row| row.contains(gateways[*index].name()))
            .count()
    };
    let most = (0..gateways.len()).max_by_key(owned);
    most.filter(|index| owned(index) > 0)
        .ok_or_else(|| "no gateway owns a domain".into())
}

/// Runs the case; returns whether the rule was broken.
pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let record = Record::create(folder)?;
    let temporary = Temporary::create()?;
    let store = Store::start();
    let site = Site::new(store.clone(), |_| false);
    let mut gateways = start_all(&temporary.0, &store, &site)?;
    let copy = store.copy();
    let copied_at = Instant::now();
    record.write(format!("the store is copied: {:?}", site.groups()));
    drain_heads(&record, &site)?;
    wait_for_groups(&site, GROUPS)?;
    record.write(format!("all groups serve again: {:?}", site.groups()));
    std::thread::sleep(Duration::from_millis(300));
    if trouble {
        let owner = owner(&store, &gateways)?;
        let owner = &mut gateways[owner];
        let (stops, drills) = (is_on("STOP"), is_on("DRILL"));
        record.write(format!("{} owns most domains", owner.name()));
        if stops {
            record.write(format!("{} gets SIGTERM", owner.name()));
            owner.stop()?;
            record.write(format!("{} has ended", owner.name()));
        }
        if drills {
            store.leave();
            record.write("the store goes away");
        }
        std::thread::sleep(AWAY);
        if drills {
            let age = copied_at.elapsed().as_millis();
            store.come_back(copy);
            site.list_again(LISTED_AGAIN);
            record.write(format!(
                "the store is back, from the copy, which is {age} ms old"
            ));
        }
        if stops {
            owner.restart()?;
            record.write(format!("{} starts again", owner.name()));
        }
    }
    std::thread::sleep(Duration::from_secs(8));
    judge(&record, &site)
}

fn judge(record: &Record, site: &Arc<Site>) -> Result<bool, String> {
    for (at, line) in site.events.lock().expect("the events").iter() {
        record.write_at(*at, line);
    }
    let joins = site.joined_twice.lock().expect("the joins");
    record.write(format!(
        "{} joins were taken while the head of the worker's group served",
        joins.len()
    ));
    Ok(!joins.is_empty())
}
