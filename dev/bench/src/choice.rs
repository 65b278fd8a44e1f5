//! Cost of choosing the worker of one request in a large site.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::{Duration, Instant};

use clap::Args;
use cyclamen_directory::service::{Engine, Model};
use cyclamen_dispatch::{Criteria, Dispatcher, Forecast, Load, Observation, Outcome, Target};
use cyclamen_types::{Time, domain, group, instance, model, pool, zone};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::report;

/// The site to measure.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Number of entries.
    #[arg(long, default_value_t = 300)]
    entries: usize,
    /// Numbers of workers that take requests for the model of the request, comma-separated.
    #[arg(long, value_delimiter = ',', default_value = "30,110,330")]
    workers: Vec<usize>,
    /// Number of workers that take requests for other models.
    #[arg(long, default_value_t = 0)]
    others: usize,
    /// Workers that each other entry has requests on.
    #[arg(long, default_value_t = 20)]
    busy: usize,
}

#[derive(Debug, Serialize)]
struct Row {
    entries: usize,
    workers: usize,
    others: usize,
    observed_loads: bool,
    choose_us: f64,
    peer_loads_us: f64,
}

const ITERATIONS: u32 = 2_000;
const FENCE: group::Fence = group::Fence(7);

pub(crate) fn run(options: &Options) -> eyre::Result<()> {
    let mut rows = Vec::new();
    for workers in &options.workers {
        for observed_loads in [false, true] {
            rows.push(measure(options, *workers, observed_loads)?);
        }
    }
    report::print(&rows)
}

fn engine() -> eyre::Result<Engine> {
    let model = |name: &str| -> eyre::Result<Model> {
        Ok(Model {
            name: name.parse()?,
            size: 2,
            share: 0.5,
            pace: 1.0,
            load: Duration::from_secs(12),
            warm: Duration::from_secs(1),
        })
    };
    Ok(Engine {
        slots: 20,
        step: Duration::from_micros(7_800),
        step_per_request: Duration::from_micros(95),
        read_per_second: 45_900.0,
        chunk: 2_048,
        stride: 6,
        loads_per_second: 4.0,
        concurrent_loads: None,
        models: vec![model("large")?, model("other")?],
    })
}

fn target(engine: &Engine, number: usize, model: &Model) -> eyre::Result<Target> {
    Ok(Target {
        instance: format!("i-{number:08}").parse()?,
        incarnation: instance::Incarnation(1),
        fence: FENCE,
        service: "herd-llm".parse()?,
        model: Some(model.name.clone()),
        address: "127.0.0.1:9".parse()?,
        zone: format!("z{}", number % 3).parse()?,
        domain: Some(format!("d{}", number / 9).parse()?),
        slots: engine.slots,
        cold: None,
        limit: None,
        forecast: Some(Forecast::of(engine, model)),
        doubtful: false,
    })
}

fn measure(options: &Options, workers: usize, observed_loads: bool) -> eyre::Result<Row> {
    let engine = engine()?;
    let mut dispatcher = Dispatcher::new(cyclamen_dispatch::Options {
        observed_loads,
        ..cyclamen_dispatch::Options::default()
    });
    let count = workers + options.others;
    let targets = (0..count).map(|n| target(&engine, n, &engine.models[usize::from(n >= workers)]));
    let targets: Vec<Target> = targets.collect::<eyre::Result<_>>()?;
    dispatcher.refresh(targets.clone());
    let now = Time::from_millis(1_000);
    let loads = |entry: usize| -> Vec<Load> {
        let busy = (0..options.busy).map(|i| &targets[(entry * 7 + i * 11) % count]);
        let load = |target: &Target| Load {
            instance: target.instance.clone(),
            fence: FENCE,
            running: 1,
            backlog: 10,
        };
        busy.map(load).collect()
    };
    let begin = Instant::now();
    for entry in 1..options.entries {
        dispatcher.record_peer_loads(now, &format!("e{entry}"), loads(entry));
    }
    let peer_loads_us = begin.elapsed().as_secs_f64() * 1e6 / options.entries as f64;
    let observations = targets.iter().map(|target| Observation {
        instance: target.instance.clone(),
        fence: FENCE,
        running: 6,
        queued: 0,
        pace: 1.0,
        age: Duration::from_millis(200),
    });
    dispatcher.record_observations(now, observations);
    let (service, model): (pool::Service, model::Name) = ("herd-llm".parse()?, "large".parse()?);
    let zone: zone::Name = "z0".parse()?;
    let domains: BTreeSet<domain::Name> = ["d0".parse()?, "d1".parse()?].into();
    let criteria = Criteria {
        service: &service,
        model: Some(&model),
        zone: &zone,
        domains: &domains,
        exclude: &[],
        goal: Duration::from_millis(500),
        remaining: Duration::from_secs(8),
        late: false,
        tokens: 1_400,
        priority: 1,
        caller: cyclamen_dispatch::Caller::default(),
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let mut chosen = Vec::new();
    let begin = Instant::now();
    for _ in 0..ITERATIONS {
        let dispatch = black_box(dispatcher.choose(now, &criteria, &mut rng));
        chosen.extend(dispatch.ok());
        if chosen.len() > 64 {
            let dispatch = chosen.swap_remove(0);
            dispatcher.record_outcome(now, &dispatch, Outcome::Complete, false);
        }
    }
    Ok(Row {
        entries: options.entries,
        workers,
        others: options.others,
        observed_loads,
        choose_us: begin.elapsed().as_secs_f64() * 1e6 / f64::from(ITERATIONS),
        peer_loads_us,
    })
}
