//! Sample tables and settings, and the demonstration: a platform, engines, a service and two
//! entries on loopback in one process.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use cyclamen_cache::Revision;
use cyclamen_domain::Listing;
use cyclamen_domain::listing::Status;
use cyclamen_entry::Settings;
use cyclamen_entry::settings::{Bounds, Secret, Timing};
use cyclamen_platform::{Transaction, keys};
use cyclamen_tables::key::Digest;
use cyclamen_tables::pools::{Fencing, Kind, Limits};
use cyclamen_tables::routes::{Contract, Priority, Repeat};
use cyclamen_tables::{Document, Pool, Pools, Route, Routes, Team, Version};

use crate::{engine, platform, registration, server, service};

/// The API key of the team in the sample tables.
pub const API_KEY: &str = "demo-key";
/// The token of operators in the sample settings.
pub const OPERATOR_TOKEN: &str = "demo-operator-token";
const PEER_SECRET: &str = "demo-secret-of-peers";
const FIRST_PORT: u16 = 18_080;
const ENTRY_COUNT: u16 = 2;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Returns an address on loopback.
pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::from([127, 0, 0, 1]), port)
}

/// Returns the sample pools: a model in groups of four, and a plain service.
pub fn pools() -> eyre::Result<Pools> {
    let pool = |name: &str, kind, group_size| -> eyre::Result<Pool> {
        Ok(Pool {
            name: name.parse()?,
            service: name.parse()?,
            kind,
            group_size,
            fencing: Fencing::Checked,
            limits: Limits {
                cold: 4,
                ramp_ms: 200,
                ..Limits::default()
            },
        })
    };
    Ok(Pools {
        pools: vec![
            pool("herd-llm", Kind::Model, 4)?,
            pool("registry-app", Kind::Plain, 1)?,
        ],
        ..Pools::default()
    })
}

/// Returns the sample routes to those pools, and one team.
pub fn routes() -> eyre::Result<Routes> {
    let route = |name: &str, repeat| -> eyre::Result<Route> {
        Ok(Route {
            name: name.parse()?,
            pool: name.parse()?,
            repeat,
            priority: Priority::Interactive,
            deadline_ms: 10_000,
        })
    };
    Ok(Routes {
        routes: vec![
            route("herd-llm", Repeat::Idempotent)?,
            route("registry-app", Repeat::Once)?,
        ],
        teams: vec![Team {
            name: "vets".parse()?,
            keys: vec![Digest::of(API_KEY)],
            contract: Contract {
                rate: 6_000,
                concurrency: 6_000,
                share: 1,
            },
        }],
    })
}

/// Returns the transaction that writes the first version of both tables.
pub fn first_tables(routes: Routes, pools: Pools) -> Transaction {
    let first = Version(1);
    let edit: Arc<str> = "first".into();
    let routes = Document {
        version: first,
        edit: edit.clone(),
        body: routes,
    };
    let pools = Document {
        version: first,
        edit,
        body: pools,
    };
    Transaction::default()
        .when(keys::routes(), Revision::ABSENT)
        .put(keys::routes(), &routes)
        .put(keys::pools(), &pools)
        .put(keys::history("routes", first), &routes)
        .put(keys::history("pools", first), &pools)
}

/// Returns the sample settings of one entry.
///
/// `listen` holds the addresses of the caller, operator and peer listeners, in this order.
pub fn settings(
    name: &str,
    platform: SocketAddr,
    listen: [SocketAddr; 3],
) -> eyre::Result<Settings> {
    let [caller_listen, operator_listen, peer_listen] = listen;
    Ok(Settings {
        name: name.parse()?,
        zone: "sofia-a".parse()?,
        caller_listen,
        operator_listen,
        peer_listen,
        peer_allowed: vec![IpAddr::from([127, 0, 0, 1])],
        peer_secret: Secret::new(PEER_SECRET),
        operator_token: Secret::new(OPERATOR_TOKEN),
        platform,
        traces: None,
        timing: Timing {
            load_ms: 1_000,
            drain_notice_ms: 500,
            ..Timing::default()
        },
        bounds: Bounds::default(),
    })
}

/// Runs the demonstration until the process is interrupted.
pub fn run() -> eyre::Result<()> {
    let platform = platform::Platform::default();
    platform.transact(first_tables(routes()?, pools()?));
    let platform = server::listen(loopback(0), platform)?;
    let mut domains = Vec::new();
    for zone in ["sofia-a", "sofia-b"] {
        let domain = format!("{zone}-d1").parse()?;
        let options = engine::Options::quick("herd-llm".parse()?, zone.parse()?, domain);
        domains.push(engine::start(&options, platform.address)?);
    }
    let registry = server::listen(loopback(0), service::Service::default())?;
    let listing = Listing {
        instance: "registry-1".parse()?,
        service: "registry-app".parse()?,
        zone: "sofia-a".parse()?,
        domain: "sofia-a-d1".parse()?,
        address: registry.address,
        status: Status::Live,
    };
    smol::spawn(registration::run(platform.address, move || {
        vec![listing.clone()]
    }))
    .detach();
    let mut entries = Vec::new();
    for index in 0..ENTRY_COUNT {
        let port = FIRST_PORT + 3 * index;
        let listen = [loopback(port), loopback(port + 1), loopback(port + 2)];
        let settings = settings(&format!("entry-{}", index + 1), platform.address, listen)?;
        entries.push(cyclamen_entry::start(settings)?);
    }
    smol::block_on(wait_until_ready(loopback(FIRST_PORT)));
    println!(
        "ready; two entries listen on ports {FIRST_PORT} and {}. Try:",
        FIRST_PORT + 3
    );
    println!(
        "curl -N http://127.0.0.1:{FIRST_PORT}/v1/chat/completions -H 'authorization: Bearer \
         {API_KEY}' -d '{{\"model\":\"herd-llm\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\
         \"content\":\"Summarise the spring count.\"}}]}}'"
    );
    smol::block_on(std::future::pending())
}

/// Waits until a completion through the entry at this address succeeds.
async fn wait_until_ready(address: SocketAddr) {
    let http = cyclamen_http::Client::new(cyclamen_http::Options::default());
    let url = format!("http://{address}/v1/chat/completions");
    loop {
        let mut headers = trillium::Headers::new();
        headers.insert("authorization", format!("Bearer {API_KEY}"));
        let request = cyclamen_http::Request {
            method: trillium::Method::Post,
            url: &url,
            headers,
            body: br#"{"model":"herd-llm","messages":[]}"#.to_vec(),
            ..cyclamen_http::Request::default()
        };
        if http
            .call(request)
            .await
            .is_ok_and(|response| response.is_success())
        {
            return;
        }
        smol::Timer::after(READY_POLL_INTERVAL).await;
    }
}
