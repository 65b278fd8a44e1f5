//! Command line that runs one stand-in as a process, or the demonstration.

use std::net::SocketAddr;

use clap::{Parser, Subcommand};
use cyclamen_domain::Listing;
use cyclamen_domain::listing::Status;
use cyclamen_stand_in::engine::Options;
use cyclamen_stand_in::{demo, engine, platform, registration, server, service};
use cyclamen_types::{domain, instance, pool, zone};

/// Stand-ins for the platform, model engines and plain services.
#[derive(Debug, Parser)]
#[command(name = "cyclamenpath-stand-in")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run the platform: the table service and the instance list.
    Platform {
        /// The address to listen on.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// Run the workers of one fabric domain.
    Engine {
        /// The address of the first worker; the others use the following ports, or free ports for
        /// port zero.
        #[arg(long)]
        listen: SocketAddr,
        /// The address of the platform.
        #[arg(long)]
        platform: SocketAddr,
        /// The service that the workers belong to.
        #[arg(long)]
        service: pool::Service,
        /// The availability zone of the workers.
        #[arg(long)]
        zone: zone::Name,
        /// The fabric domain of the workers.
        #[arg(long)]
        domain: domain::Name,
        /// The number of workers.
        #[arg(long, default_value_t = 4)]
        workers: usize,
        /// The interval between two tokens, in milliseconds.
        #[arg(long, default_value_t = 5)]
        token_ms: u64,
    },
    /// Run one worker of a plain service.
    Service {
        /// The address to listen on.
        #[arg(long)]
        listen: SocketAddr,
        /// The address of the platform.
        #[arg(long)]
        platform: SocketAddr,
        /// The service that the worker belongs to.
        #[arg(long)]
        service: pool::Service,
        /// The availability zone of the worker.
        #[arg(long)]
        zone: zone::Name,
        /// The fabric domain of the worker.
        #[arg(long)]
        domain: domain::Name,
        /// The instance ID of the worker.
        #[arg(long)]
        instance: instance::Id,
    },
    /// Print sample settings of an entry.
    Settings {
        /// The name of the entry.
        #[arg(long)]
        name: String,
        /// The address of the platform.
        #[arg(long)]
        platform: SocketAddr,
        /// The port of the caller listener; the operator and peer listeners use the following two.
        #[arg(long)]
        port: u16,
    },
    /// Write the sample tables to a platform.
    Tables {
        /// The address of the platform.
        #[arg(long)]
        platform: SocketAddr,
    },
    /// Run a platform, engines, a service and two entries on loopback in one process until
    /// interrupted.
    Demo,
}

fn main() -> eyre::Result<()> {
    match Arguments::parse().command {
        Command::Platform { listen } => {
            let _server = server::listen(listen, platform::Platform::default())?;
            smol::block_on(std::future::pending())
        }
        Command::Engine {
            listen,
            platform,
            service,
            zone,
            domain,
            workers,
            token_ms,
        } => {
            let options = Options {
                workers,
                listen,
                token_interval: std::time::Duration::from_millis(token_ms),
                ..Options::quick(service, zone, domain)
            };
            let _domain = engine::start(&options, platform)?;
            smol::block_on(std::future::pending())
        }
        Command::Service {
            listen,
            platform,
            service,
            zone,
            domain,
            instance,
        } => {
            let server = server::listen(listen, service::Service::default())?;
            let listing = Listing {
                instance,
                service,
                zone,
                domain,
                address: server.address,
                status: Status::Live,
            };
            smol::block_on(registration::run(platform, move || vec![listing.clone()]));
            Ok(())
        }
        Command::Settings {
            name,
            platform,
            port,
        } => {
            let listen = [port, port + 1, port + 2].map(demo::loopback);
            let settings = demo::settings(&name, platform, listen)?;
            println!("{}", serde_json::to_string_pretty(&settings)?);
            Ok(())
        }
        Command::Tables { platform } => {
            let http = cyclamen_http::Client::new(cyclamen_http::Options::default());
            let options = cyclamen_platform::Options {
                address: platform,
                timeout: std::time::Duration::from_secs(2),
            };
            let client = cyclamen_platform::Client::new(http, options);
            let tables = demo::first_tables(demo::routes()?, demo::pools()?);
            smol::block_on(client.transact(&tables))?;
            Ok(())
        }
        Command::Demo => demo::run(),
    }
}
