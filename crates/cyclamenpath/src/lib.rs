//! The cyclamenpath command line, as a library behind a thin binary.

mod command;
mod logging;
mod operator;
mod options;

pub mod output;

use std::process::ExitCode;

use clap::Parser;

use options::{Arguments, Command};

/// Parses the process arguments and runs the selected command.
///
/// Returns the exit code, which only checks set to anything but zero.
pub fn run() -> eyre::Result<ExitCode> {
    let arguments = Arguments::parse();
    logging::init(arguments.log, arguments.command.is_server())?;
    let result = execute(arguments.command);
    log::logger().flush();
    result
}

fn execute(command: Command) -> eyre::Result<ExitCode> {
    let done = match command {
        Command::CheckConfiguration {
            file,
            comparison,
            report,
        } => {
            let code = command::configuration::run(&file, &comparison, &report)?;
            return Ok(code.into());
        }
        Command::CheckTables { files, report } => {
            let code = command::configuration::run_tables(&files, &report)?;
            return Ok(code.into());
        }
        Command::Entry { settings } => command::entry::run(&settings),
        Command::Gateway { settings, grace_s } => command::gateway::run(&settings, grace_s),
        Command::Check { settings, gateway } => command::check::run(&settings, gateway),
        Command::Schema { of } => command::schema::run(of),
        Command::Routes { action } => command::table::run("routes", action),
        Command::Pools { action } => command::table::run("pools", action),
        Command::Zone { action } => command::zone::run(action),
        Command::Status { target } => command::status::run(target),
        Command::KeyDigest { key } => command::key_digest::run(&key),
    };
    done.map(|()| ExitCode::SUCCESS)
}
