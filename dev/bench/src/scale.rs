//! Cost of one entry's decisions as the site grows.

use std::hint::black_box;
use std::time::Instant;

use clap::Args;
use cyclamen_cache::{Cache, Delta, Key, Revision, Row as CacheRow};
use cyclamen_domain::{Group, Member, Owner, Row as DomainRow};
use cyclamen_route::balancer::{self, Balancer, Summary};
use cyclamen_route::rendezvous;
use cyclamen_types::{Time, entry, group, instance};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::{report, usage};

/// Site sizes to measure.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Number of entries, comma-separated; the site has the same number of fabric domains.
    #[arg(long, value_delimiter = ',', default_value = "30,110,330,1000")]
    nodes: Vec<usize>,
    /// Groups per domain.
    #[arg(long, default_value_t = 8)]
    groups: usize,
    /// Members per group.
    #[arg(long, default_value_t = 4)]
    members: usize,
}

#[derive(Debug, Serialize)]
struct Row {
    nodes: usize,
    shared_rows_kb: f64,
    memory_mb: f64,
    first_read_ms: f64,
    one_change_bytes: usize,
    one_change_us: f64,
    look_for_news_us: f64,
    owner_of_one_domain_us: f64,
    choose_us: f64,
}

const ITERATIONS: u32 = 200;

pub(crate) fn run(options: &Options) -> eyre::Result<()> {
    let rows: Vec<_> = options
        .nodes
        .iter()
        .map(|n| measure(options, *n))
        .collect::<eyre::Result<_>>()?;
    report::print(&rows)
}

fn owner(number: usize) -> eyre::Result<Owner> {
    Ok(Owner {
        entry: format!("entry-{number}").parse()?,
        incarnation: entry::Incarnation(number as u64 * 7_919),
    })
}

fn domain_row(options: &Options, number: usize) -> eyre::Result<DomainRow> {
    let member = |g: usize, m: usize| -> eyre::Result<Member> {
        Ok(Member {
            instance: format!("d{number}-w{}", g * options.members + m).parse()?,
            incarnation: instance::Incarnation(u64::MAX - (g * 31 + m) as u64),
        })
    };
    let group = |g: usize| -> eyre::Result<Group> {
        Ok(Group {
            id: format!("d{number}-{g}").parse()?,
            pool: "herd-llm".parse()?,
            fence: group::Fence(g as u64),
            members: (0..options.members)
                .map(|m| member(g, m))
                .collect::<eyre::Result<_>>()?,
        })
    };
    Ok(DomainRow {
        fence: group::Fence(100),
        owner: Some(owner(number)?),
        taken: group::Fence(90),
        groups: (0..options.groups)
            .map(group)
            .collect::<eyre::Result<_>>()?,
    })
}

fn rows(options: &Options, entries: usize) -> eyre::Result<Vec<CacheRow>> {
    let mut rows = Vec::new();
    for number in 0..entries {
        let entry = serde_json::json!({"zone": "z", "peer": "127.0.0.1:9000", "draining": false});
        let domain = serde_json::to_string(&domain_row(options, number)?)?;
        let revision = Revision::from(2 * number as u64 + 1);
        rows.push(CacheRow {
            key: Key::new("shared/entry/", owner(number)?),
            revision,
            value: Some(entry.to_string().into()),
        });
        rows.push(CacheRow {
            key: Key::new("shared/domain/", format!("d{number}")),
            revision: Revision::from(revision.version + 1),
            value: Some(domain.into()),
        });
    }
    Ok(rows)
}

/// Returns the mean time of one call, in microseconds.
fn mean_time_us(mut operation: impl FnMut()) -> f64 {
    let begin = Instant::now();
    for _ in 0..ITERATIONS {
        operation();
    }
    begin.elapsed().as_secs_f64() * 1e6 / f64::from(ITERATIONS)
}

fn measure(options: &Options, entries: usize) -> eyre::Result<Row> {
    let pid = i32::try_from(std::process::id())?;
    let as_of = Revision::from(2 * entries as u64);
    let delta = Delta {
        since: Revision::from(0),
        as_of,
        rows: rows(options, entries)?,
    };
    let text = serde_json::to_string(&delta)?;
    drop(delta);
    let before = usage::read(pid)?.memory;
    let begin = Instant::now();
    let mut cache = Cache::default();
    cache.merge(serde_json::from_str(&text)?);
    let parsed: Vec<DomainRow> = cache
        .rows_with_prefix("shared/domain/")
        .filter_map(|row| serde_json::from_str(row.value.as_deref()?).ok())
        .collect();
    let first_read_ms = begin.elapsed().as_secs_f64() * 1e3;
    let memory_bytes = usage::read(pid)?.memory.saturating_sub(before);
    let change = serde_json::to_string(&domain_row(options, 0)?)?;
    let mut revision = as_of.version;
    let one_change_us = mean_time_us(|| {
        let since = Revision::from(revision);
        revision += 1;
        let row = CacheRow {
            key: Key::new("shared/domain/", "d0"),
            revision: Revision::from(revision),
            value: Some(change.clone().into()),
        };
        let record: Option<DomainRow> = serde_json::from_str(&change).ok();
        black_box(record);
        let as_of = Revision::from(revision);
        let rows = vec![row];
        cache.merge(Delta { since, as_of, rows });
    });
    let changes_since_us = mean_time_us(|| {
        black_box(cache.changes_since(cache.as_of()));
    });
    let owners: Vec<_> = (0..entries).map(owner).collect::<eyre::Result<_>>()?;
    let owner_of_one_domain_us = mean_time_us(|| {
        black_box(rendezvous::select("d0", owners.iter()));
    });
    let choose_us = measure_choose(entries)?;
    black_box(&parsed);
    Ok(Row {
        nodes: entries,
        shared_rows_kb: text.len() as f64 / 1e3,
        memory_mb: memory_bytes as f64 / 1e6,
        first_read_ms,
        one_change_bytes: change.len(),
        one_change_us,
        look_for_news_us: changes_since_us,
        owner_of_one_domain_us,
        choose_us,
    })
}

/// Returns the mean time, in microseconds, to choose one of the domains of all entries, when none
/// of them is owned by the choosing entry.
fn measure_choose(entries: usize) -> eyre::Result<f64> {
    let mut balancer = Balancer::new(balancer::Options::default());
    let pool = "herd-llm".parse()?;
    let summary = Summary {
        serving: 8,
        free: 20,
        wait_ms: 0,
    };
    let now = Time::from_millis(1);
    for number in 0..entries {
        let domain = format!("d{number}").parse()?;
        balancer.record_summary(now, &domain, &pool, summary, false);
    }
    let mut rng = SmallRng::seed_from_u64(1);
    Ok(mean_time_us(|| {
        black_box(balancer.choose(now, &pool, &Default::default(), &mut rng));
    }))
}
