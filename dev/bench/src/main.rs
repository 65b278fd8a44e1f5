//! Load tool and experiments.

mod idle;
mod load;
mod policy;
mod repair;
mod report;
mod scale;
mod usage;
mod zones;

use clap::{Parser, Subcommand};

/// Measures the system; each command prints JSON and then a short table.
#[derive(Debug, Parser)]
#[command(name = "cyclamenpath-bench")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Compares ways to choose an endpoint, on the same arrivals in virtual time.
    Policy(policy::Options),
    /// Compares ways to repair replica groups, on the same losses in virtual time.
    Repair(repair::Options),
    /// Compares a ramp with a rush while a zone leaves and returns, in virtual time.
    Zones(zones::Options),
    /// Sends requests at a fixed rate to entries that run.
    Load(load::Options),
    /// Measures what processes use while no requests come.
    Idle(idle::Options),
    /// Measures what the decisions of one node cost as the site grows.
    Scale(scale::Options),
}

fn main() -> eyre::Result<()> {
    match Arguments::parse().command {
        Command::Policy(options) => policy::run(&options),
        Command::Repair(options) => repair::run(&options),
        Command::Zones(options) => zones::run(&options),
        Command::Load(options) => load::run(&options),
        Command::Idle(options) => idle::run(&options),
        Command::Scale(options) => scale::run(&options),
    }
}
