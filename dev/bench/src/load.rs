//! Requests at a fixed rate to entries that run.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::Args;
use cyclamen_domain::report::Assignment;
use cyclamen_endpoint::{FENCE_HEADER, GROUP_HEADER, OUTCOME_HEADER};
use cyclamen_http::{Client, Request};
use cyclamen_platform::instances::List;
use cyclamen_stand_in::demo::{API_KEY, OPERATOR_TOKEN};
use futures::StreamExt;
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use serde_json::{Value, json};
use smol::Timer;
use trillium::{Headers, Method};

use crate::{report, usage};

/// What to send and where.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Entries, on loopback.
    #[arg(long)]
    entry: Vec<SocketAddr>,
    /// Processes whose use is measured.
    #[arg(long)]
    pid: Vec<i32>,
    /// Requests a second over all entries.
    #[arg(long, default_value_t = 50.0)]
    rate: f64,
    /// Seconds to send for.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Tokens of an answer.
    #[arg(long, default_value_t = 32)]
    tokens: u64,
    /// The seed of arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The operators' listener of an entry; requests go straight to the engines it owns.
    #[arg(long, requires = "platform")]
    straight: Option<SocketAddr>,
    /// The platform, which knows where the engines listen.
    #[arg(long)]
    platform: Option<SocketAddr>,
}

/// The longest run, in seconds, and the highest rate.
const MOST_SECONDS: f64 = 120.0;
const MOST_RATE: f64 = 5_000.0;
const TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug)]
enum End {
    Whole {
        first: Duration,
        gaps: Vec<Duration>,
    },
    Refused(String),
    Broken,
}

#[derive(Debug, Serialize)]
struct Row {
    offered: usize,
    whole: usize,
    not_run: usize,
    unknown: usize,
    failed: usize,
    broken: usize,
    goodput_per_s: f64,
    first_p50_ms: f64,
    first_p95_ms: f64,
    first_p99_ms: f64,
    gap_p50_ms: f64,
    gap_p95_ms: f64,
    gap_p99_ms: f64,
    cpu_s: f64,
    cpu_ms_per_request: f64,
    memory_mb: f64,
}

pub(crate) fn run(options: &Options) -> eyre::Result<()> {
    let targets = targets(options)?;
    eyre::ensure!(!targets.is_empty(), "there is nothing to send to");
    eyre::ensure!(
        targets.iter().all(|t| t.address.ip().is_loopback()),
        "load goes to loopback only"
    );
    eyre::ensure!(
        options.seconds <= MOST_SECONDS && options.rate <= MOST_RATE,
        "too much load"
    );
    let cpu = |pids: &[i32]| -> eyre::Result<f64> {
        pids.iter().map(|pid| Ok(usage::of(*pid)?.cpu)).sum()
    };
    let before = cpu(&options.pid)?;
    let begin = Instant::now();
    let ends = smol::block_on(send(options, &targets));
    let took = begin.elapsed().as_secs_f64();
    let spent = cpu(&options.pid)? - before;
    let memory: Vec<_> = options
        .pid
        .iter()
        .filter_map(|pid| usage::of(*pid).ok())
        .collect();
    let most = memory.iter().map(|u| u.memory).max().unwrap_or(0);
    report::print(&[summary(&ends, took, spent, most)?])
}

/// Where requests go: an entry, or a group's first member.
#[derive(Debug, Clone)]
struct Target {
    address: SocketAddr,
    group: Option<Assignment>,
}

fn targets(options: &Options) -> eyre::Result<Vec<Target>> {
    let (Some(operators), Some(platform)) = (options.straight, options.platform) else {
        let entries = options.entry.iter().map(|address| Target {
            address: *address,
            group: None,
        });
        return Ok(entries.collect());
    };
    let caller = Client::new(cyclamen_http::Options::default());
    let mut headers = Headers::new();
    headers.insert("authorization", format!("Bearer {OPERATOR_TOKEN}"));
    let request = Request {
        url: &format!("http://{operators}/status"),
        headers,
        ..Request::default()
    };
    let status: Value = smol::block_on(caller.call(request))?.json()?;
    let url = format!("http://{platform}/instances");
    let list: List = smol::block_on(caller.get_json(&url, TIMEOUT))?;
    let domains = status["domains"].as_array().into_iter().flatten();
    let groups = domains.flat_map(|d| d["groups"].as_array().into_iter().flatten());
    let serving = groups.filter(|g| g["health"] == "serving");
    Ok(serving.filter_map(|group| target(group, &list)).collect())
}

fn target(group: &Value, list: &List) -> Option<Target> {
    let first = group["members"][0].as_str()?;
    let listing = list
        .instances
        .iter()
        .find(|l| l.instance.as_str() == first)?;
    Some(Target {
        address: listing.address,
        group: Some(Assignment {
            group: group["id"].as_str()?.parse().ok()?,
            fence: cyclamen_types::group::Fence(group["fence"].as_u64()?),
        }),
    })
}

async fn send(options: &Options, targets: &[Target]) -> Vec<End> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let caller = Client::new(cyclamen_http::Options::default());
    let begin = Instant::now();
    let mut at = 0.0;
    let mut running = Vec::new();
    while at < options.seconds {
        at += -(1.0 - rng.random::<f64>()).ln() / options.rate;
        Timer::at(begin + Duration::from_secs_f64(at)).await;
        let target = targets[rng.random_range(0..targets.len())].clone();
        let one = one(caller.clone(), target, options.tokens);
        running.push(smol::spawn(one));
    }
    futures::future::join_all(running).await
}

async fn one(caller: Client, target: Target, tokens: u64) -> End {
    let mut headers = Headers::new();
    headers.insert("authorization", format!("Bearer {API_KEY}"));
    headers.insert("content-type", "application/json");
    if let Some(assignment) = &target.group {
        headers.insert(GROUP_HEADER, assignment.group.to_string());
        headers.insert(FENCE_HEADER, assignment.fence.to_string());
    }
    let body = json!({
        "model": "herd-llm", "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": "count the herd"}],
    });
    let url = format!("http://{}/v1/chat/completions", target.address);
    let request = Request {
        method: Method::Post,
        url: &url,
        headers,
        body: body.to_string().into_bytes(),
        timeout: TIMEOUT,
    };
    let begin = Instant::now();
    let mut events = match caller.open_event_stream(request).await {
        Ok(Ok(events)) => events,
        Ok(Err(reply)) => {
            let outcome = reply.headers.get_str(OUTCOME_HEADER);
            return End::Refused(outcome.unwrap_or("none").to_string());
        }
        Err(_) => return End::Broken,
    };
    let mut times = Vec::new();
    while let Some(Ok(event)) = events.next().await {
        if event.data() == "[DONE]" {
            let first = times
                .first()
                .map_or(Duration::ZERO, |t: &Instant| *t - begin);
            let gaps = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
            return End::Whole { first, gaps };
        }
        times.push(Instant::now());
    }
    End::Broken
}

fn summary(ends: &[End], took: f64, cpu: f64, memory: u64) -> eyre::Result<Row> {
    let mut firsts = Histogram::<u64>::new(3)?;
    let mut gaps = Histogram::<u64>::new(3)?;
    let micros = |span: &Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    let mut whole = 0;
    for end in ends {
        if let End::Whole { first, gaps: each } = end {
            whole += 1;
            firsts.record(micros(first))?;
            each.iter().try_for_each(|gap| gaps.record(micros(gap)))?;
        }
    }
    let refused = |outcome: &str| {
        ends.iter()
            .filter(|e| matches!(e, End::Refused(o) if o == outcome))
            .count()
    };
    let ms =
        |histogram: &Histogram<u64>, part: f64| histogram.value_at_quantile(part) as f64 / 1_000.0;
    Ok(Row {
        offered: ends.len(),
        whole,
        not_run: refused("not-run"),
        unknown: refused("unknown"),
        failed: refused("failed"),
        broken: ends.iter().filter(|e| matches!(e, End::Broken)).count(),
        goodput_per_s: whole as f64 / took,
        first_p50_ms: ms(&firsts, 0.5),
        first_p95_ms: ms(&firsts, 0.95),
        first_p99_ms: ms(&firsts, 0.99),
        gap_p50_ms: ms(&gaps, 0.5),
        gap_p95_ms: ms(&gaps, 0.95),
        gap_p99_ms: ms(&gaps, 0.99),
        cpu_s: cpu,
        cpu_ms_per_request: cpu * 1_000.0 / ends.len().max(1) as f64,
        memory_mb: memory as f64 / 1e6,
    })
}
