//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use cyclamen_tables::Version;
use cyclamen_types::zone;
use log::LevelFilter;

/// Serves models whose replicas span several instances.
#[derive(Debug, Parser)]
#[command(name = "cyclamenpath", version)]
pub(crate) struct Arguments {
    /// The least severe level to log.
    #[arg(long, global = true, default_value_t = LevelFilter::Info)]
    pub(crate) log: LevelFilter,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Run an entry instance until it receives a signal.
    Entry {
        /// The settings file.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Run an entry instance in front of workers that manage their own replica groups.
    Gateway {
        /// The settings file.
        #[arg(long)]
        settings: PathBuf,
        /// The time from SIGTERM until the platform kills the process, in seconds; by it goes the drain
        /// limit, in place of that in the settings.
        #[arg(long, value_parser = seconds)]
        grace_s: Option<Duration>,
    },
    /// Check a settings file without starting.
    Check {
        /// The settings file.
        #[arg(long)]
        settings: PathBuf,
        /// Check the file as the settings of the `gateway` command.
        #[arg(long)]
        gateway: bool,
    },
    /// Check a configuration of the users' platform before it is sent.
    ///
    /// Exits with 0 if entries adopt all of it, and with 2 if they do not.
    CheckConfiguration {
        /// The configuration, as a JSON file; `-` is standard input.
        #[arg(long)]
        file: PathBuf,
        #[command(flatten)]
        comparison: Comparison,
        #[command(flatten)]
        report: ReportOptions,
    },
    /// Check the routes and pools tables before they are sent.
    ///
    /// Exits with 0 if entries accept them, and with 2 if they do not.
    CheckTables {
        #[command(flatten)]
        files: CheckedTables,
        #[command(flatten)]
        report: ReportOptions,
    },
    /// Print a JSON schema.
    Schema {
        /// The document that the schema describes.
        of: Schema,
    },
    /// Read or edit the routes table.
    Routes {
        #[command(subcommand)]
        action: TableAction,
    },
    /// Read or edit the pools table.
    Pools {
        #[command(subcommand)]
        action: TableAction,
    },
    /// Take an availability zone out of service or return it to service.
    Zone {
        #[command(subcommand)]
        action: ZoneAction,
    },
    /// Show the status of an entry instance.
    Status {
        #[command(flatten)]
        target: Target,
    },
    /// Print the digest of an API key, for the routes table.
    KeyDigest {
        /// The API key.
        key: String,
    },
}

impl Command {
    /// Returns whether the command runs until it receives a signal.
    pub(crate) fn is_server(&self) -> bool {
        matches!(self, Self::Entry { .. } | Self::Gateway { .. })
    }
}

/// What a configuration is compared with.
#[derive(Debug, Clone, Args)]
pub(crate) struct Comparison {
    /// The configuration in force, as a JSON file.
    #[arg(long)]
    pub(crate) in_force: Option<PathBuf>,
    /// The settings of a gateway, whose store holds the configuration in force; it is only read.
    #[arg(long)]
    pub(crate) settings: Option<PathBuf>,
}

/// The tables that are checked together.
#[derive(Debug, Clone, Args)]
pub(crate) struct CheckedTables {
    /// The routes table, as a JSON file.
    #[arg(long)]
    pub(crate) routes: PathBuf,
    /// The pools table, as a JSON file.
    #[arg(long)]
    pub(crate) pools: PathBuf,
}

/// How the result of a check is reported.
#[derive(Debug, Clone, Copy, Args)]
pub(crate) struct ReportOptions {
    /// The form of the report.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    pub(crate) format: Format,
    /// Exit with 1 if there are warnings and no errors.
    #[arg(long)]
    pub(crate) deny_warnings: bool,
}

/// The form of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum Format {
    /// Lines for people.
    Text,
    /// A JSON document for scripts.
    Json,
}

/// The document that a schema describes.
#[derive(Debug, Clone, Copy, ValueEnum)]
pub(crate) enum Schema {
    /// The settings of an entry instance.
    Settings,
    /// The settings of a gateway.
    Gateway,
    /// The routes table.
    Routes,
    /// The pools table.
    Pools,
}

/// The entry instance that a command calls.
#[derive(Debug, Clone, Args)]
pub(crate) struct Target {
    /// The operator listener of any entry instance.
    #[arg(long)]
    pub(crate) entry: SocketAddr,
    /// A file that contains the operator token.
    #[arg(long)]
    pub(crate) token_file: PathBuf,
}

#[derive(Debug, Subcommand)]
pub(crate) enum TableAction {
    /// Print the current table with its version.
    Get {
        #[command(flatten)]
        target: Target,
    },
    /// Replace a version of the table.
    Apply {
        #[command(flatten)]
        target: Target,
        /// The new table, as a JSON file.
        #[arg(long)]
        file: PathBuf,
        /// The version that the new table replaces.
        #[arg(long)]
        replaces: Version,
        /// The ID of the edit; reuse it to retry the edit after a lost response.
        #[arg(long)]
        id: String,
    },
    /// Print the most recent versions of the table.
    History {
        #[command(flatten)]
        target: Target,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum ZoneAction {
    /// Send no new work to the zone.
    Out {
        /// The zone.
        zone: zone::Name,
        #[command(flatten)]
        target: Target,
    },
    /// Send work to the zone again, from a cold start.
    In {
        /// The zone.
        zone: zone::Name,
        #[command(flatten)]
        target: Target,
    },
}

/// Parses a number of seconds above zero.
fn seconds(text: &str) -> Result<Duration, String> {
    let seconds: f64 = text.parse().map_err(|_| "is not a number".to_string())?;
    let duration = Duration::try_from_secs_f64(seconds).map_err(|error| error.to_string())?;
    if duration.is_zero() {
        return Err("is zero".to_string());
    }
    Ok(duration)
}
