//! Load generator, measurements and simulations.

mod choice;
mod idle;
mod load;
mod policy;
mod repair;
mod report;
mod scale;
mod usage;
mod zones;

use clap::{Parser, Subcommand};

/// Measurements and simulations; each command prints one line of JSON per row, then a table.
#[derive(Debug, Parser)]
#[command(name = "cyclamenpath-bench")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Compares policies for choosing an endpoint, on the same arrivals in virtual time.
    Policy(policy::Options),
    /// Compares policies for repairing replica groups, on the same losses in virtual time.
    Repair(repair::Options),
    /// Compares admission with and without a ramp while a zone leaves and returns, in virtual time.
    Zones(zones::Options),
    /// Sends requests at a fixed mean rate to running entries or engines.
    Load(load::Options),
    /// Measures the CPU and memory use of idle processes.
    Idle(idle::Options),
    /// Measures the cost of one entry's decisions as the site grows.
    Scale(scale::Options),
    /// Measures the cost of choosing the worker of one request.
    Choice(choice::Options),
}

fn main() -> eyre::Result<()> {
    match Arguments::parse().command {
        Command::Policy(options) => policy::run(&options),
        Command::Repair(options) => repair::run(&options),
        Command::Zones(options) => zones::run(&options),
        Command::Load(options) => load::run(&options),
        Command::Idle(options) => idle::run(&options),
        Command::Scale(options) => scale::run(&options),
        Command::Choice(options) => choice::run(&options),
    }
}
