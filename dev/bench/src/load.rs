//! Load generator: streaming requests at a fixed mean rate to running entries or engines.

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

/// Targets, rate and size of the load.
#[derive(Debug, Args)]
pub(crate) struct Options {
    /// Address of an entry, on loopback; may be repeated.
    #[arg(long)]
    entry: Vec<SocketAddr>,
    /// Process ID whose CPU time and memory are measured; may be repeated.
    #[arg(long)]
    pid: Vec<i32>,
    /// Requests per second, summed over all targets.
    #[arg(long, default_value_t = 50.0)]
    rate: f64,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Tokens per response.
    #[arg(long, default_value_t = 32)]
    tokens: u64,
    /// Random seed of the arrival times and the targets.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Operator listener of an entry; requests go directly to the engines of the groups it owns.
    #[arg(long, requires = "platform")]
    straight: Option<SocketAddr>,
    /// Address of the platform, which lists the addresses of the engines.
    #[arg(long)]
    platform: Option<SocketAddr>,
}

/// Upper bound of `--seconds`.
const MAX_SECONDS: f64 = 120.0;
/// Upper bound of `--rate`, in requests per second.
const MAX_RATE: f64 = 5_000.0;
const TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Debug)]
enum Outcome {
    Complete {
        /// Time from sending the request to the first event; zero without events.
        time_to_first: Duration,
        /// Times between successive events.
        gaps: Vec<Duration>,
    },
    /// Value of the outcome header of a response that is not a stream.
    Refused(String),
    /// The request failed without a response, or its stream ended before `[DONE]`.
    Broken,
}

#[derive(Debug, Serialize)]
struct Row {
    offered: usize,
    /// Number of complete responses.
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
    eyre::ensure!(
        !targets.is_empty(),
        "no entry or serving group to send requests to"
    );
    eyre::ensure!(
        targets.iter().all(|t| t.address.ip().is_loopback()),
        "all targets must have loopback addresses"
    );
    eyre::ensure!(
        options.seconds <= MAX_SECONDS && options.rate <= MAX_RATE,
        "--seconds must be at most {MAX_SECONDS} and --rate at most {MAX_RATE}"
    );
    let total_cpu = |pids: &[i32]| -> eyre::Result<f64> {
        pids.iter().map(|pid| Ok(usage::read(*pid)?.cpu)).sum()
    };
    let before = total_cpu(&options.pid)?;
    let begin = Instant::now();
    let outcomes = smol::block_on(generate_load(options, &targets));
    let elapsed_s = begin.elapsed().as_secs_f64();
    let cpu_seconds = total_cpu(&options.pid)? - before;
    let usages: Vec<_> = options
        .pid
        .iter()
        .filter_map(|pid| usage::read(*pid).ok())
        .collect();
    let max_memory_bytes = usages.iter().map(|u| u.memory).max().unwrap_or(0);
    report::print(&[summarize(
        &outcomes,
        elapsed_s,
        cpu_seconds,
        max_memory_bytes,
    )?])
}

/// Destination of requests: an entry, or the head of a group.
#[derive(Debug, Clone)]
struct Target {
    address: SocketAddr,
    group: Option<Assignment>,
}

fn targets(options: &Options) -> eyre::Result<Vec<Target>> {
    let (Some(operator_listener), Some(platform)) = (options.straight, options.platform) else {
        let entries = options.entry.iter().map(|address| Target {
            address: *address,
            group: None,
        });
        return Ok(entries.collect());
    };
    let http = Client::new(cyclamen_http::Options::default());
    let mut headers = Headers::new();
    headers.insert("authorization", format!("Bearer {OPERATOR_TOKEN}"));
    let request = Request {
        url: &format!("http://{operator_listener}/status"),
        headers,
        ..Request::default()
    };
    let status: Value = smol::block_on(http.call(request))?.json()?;
    let url = format!("http://{platform}/instances");
    let list: List = smol::block_on(http.get_json(&url, TIMEOUT))?;
    let domains = status["domains"].as_array().into_iter().flatten();
    let groups = domains.flat_map(|d| d["groups"].as_array().into_iter().flatten());
    let serving = groups.filter(|g| g["health"] == "serving");
    Ok(serving
        .filter_map(|group| group_target(group, &list))
        .collect())
}

fn group_target(group: &Value, list: &List) -> Option<Target> {
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

async fn generate_load(options: &Options, targets: &[Target]) -> Vec<Outcome> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let http = Client::new(cyclamen_http::Options::default());
    let begin = Instant::now();
    let mut at = 0.0;
    let mut running = Vec::new();
    while at < options.seconds {
        at += -(1.0 - rng.random::<f64>()).ln() / options.rate;
        Timer::at(begin + Duration::from_secs_f64(at)).await;
        let target = targets[rng.random_range(0..targets.len())].clone();
        let completion = stream_completion(http.clone(), target, options.tokens);
        running.push(smol::spawn(completion));
    }
    futures::future::join_all(running).await
}

async fn stream_completion(http: Client, target: Target, tokens: u64) -> Outcome {
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
    let mut events = match http.open_event_stream(request).await {
        Ok(Ok(events)) => events,
        Ok(Err(response)) => {
            let outcome = response.headers.get_str(OUTCOME_HEADER);
            return Outcome::Refused(outcome.unwrap_or("none").to_string());
        }
        Err(_) => return Outcome::Broken,
    };
    let mut times = Vec::new();
    while let Some(Ok(event)) = events.next().await {
        if event.data() == "[DONE]" {
            let time_to_first = times
                .first()
                .map_or(Duration::ZERO, |t: &Instant| *t - begin);
            let gaps = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
            return Outcome::Complete {
                time_to_first,
                gaps,
            };
        }
        times.push(Instant::now());
    }
    Outcome::Broken
}

fn summarize(
    outcomes: &[Outcome],
    elapsed_s: f64,
    cpu_seconds: f64,
    max_memory_bytes: u64,
) -> eyre::Result<Row> {
    let mut first_times = Histogram::<u64>::new(3)?;
    let mut gaps = Histogram::<u64>::new(3)?;
    let micros = |duration: &Duration| u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    let mut complete = 0;
    for outcome in outcomes {
        if let Outcome::Complete {
            time_to_first,
            gaps: stream_gaps,
        } = outcome
        {
            complete += 1;
            first_times.record(micros(time_to_first))?;
            stream_gaps
                .iter()
                .try_for_each(|gap| gaps.record(micros(gap)))?;
        }
    }
    let refused = |value: &str| {
        outcomes
            .iter()
            .filter(|o| matches!(o, Outcome::Refused(v) if v == value))
            .count()
    };
    let ms = |histogram: &Histogram<u64>, quantile: f64| {
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    };
    Ok(Row {
        offered: outcomes.len(),
        whole: complete,
        not_run: refused("not-run"),
        unknown: refused("unknown"),
        failed: refused("failed"),
        broken: outcomes
            .iter()
            .filter(|o| matches!(o, Outcome::Broken))
            .count(),
        goodput_per_s: complete as f64 / elapsed_s,
        first_p50_ms: ms(&first_times, 0.5),
        first_p95_ms: ms(&first_times, 0.95),
        first_p99_ms: ms(&first_times, 0.99),
        gap_p50_ms: ms(&gaps, 0.5),
        gap_p95_ms: ms(&gaps, 0.95),
        gap_p99_ms: ms(&gaps, 0.99),
        cpu_s: cpu_seconds,
        cpu_ms_per_request: cpu_seconds * 1_000.0 / outcomes.len().max(1) as f64,
        memory_mb: max_memory_bytes as f64 / 1e6,
    })
}
