//! Arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use cyclamen_tables::Version;
use cyclamen_types::zone;
use log::LevelFilter;

/// Serving for models whose replicas span several instances.
#[derive(Debug, Parser)]
#[command(name = "cyclamenpath", version)]
pub(crate) struct Arguments {
    /// The least severe events to log.
    #[arg(long, global = true, default_value_t = LevelFilter::Info)]
    pub(crate) log: LevelFilter,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Run an entry instance until a signal.
    Entry {
        /// The settings file.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Run an entry instance before workers that keep their replica groups themselves.
    Gateway {
        /// The settings file.
        #[arg(long)]
        settings: PathBuf,
    },
    /// Check a settings file without starting.
    Check {
        /// The settings file.
        #[arg(long)]
        settings: PathBuf,
        /// Whether the file is for the command `gateway`.
        #[arg(long)]
        gateway: bool,
    },
    /// Print a JSON schema.
    Schema {
        /// What the schema describes.
        of: Schema,
    },
    /// Read or edit the routes table.
    Routes {
        #[command(subcommand)]
        action: Action,
    },
    /// Read or edit the pools table.
    Pools {
        #[command(subcommand)]
        action: Action,
    },
    /// Take an availability zone out or bring it back.
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
    /// Whether the command runs until a signal.
    pub(crate) fn is_server(&self) -> bool {
        matches!(self, Self::Entry { .. } | Self::Gateway { .. })
    }
}

/// What a schema describes.
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

/// The entry instance that a command talks to.
#[derive(Debug, Clone, Args)]
pub(crate) struct Target {
    /// The operators' listener of any entry instance.
    #[arg(long)]
    pub(crate) entry: SocketAddr,
    /// A file that holds the operators' token.
    #[arg(long)]
    pub(crate) token_file: PathBuf,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Action {
    /// Print the table in force, with its version.
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
        /// The version that it replaces.
        #[arg(long)]
        replaces: Version,
        /// The id of the edit; give the same one again after a lost answer.
        #[arg(long)]
        id: String,
    },
    /// Print the last versions of the table.
    History {
        #[command(flatten)]
        target: Target,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum ZoneAction {
    /// Give the zone no new work.
    Out {
        /// The zone.
        zone: zone::Name,
        #[command(flatten)]
        target: Target,
    },
    /// Give the zone work again, from a cold start.
    In {
        /// The zone.
        zone: zone::Name,
        #[command(flatten)]
        target: Target,
    },
}
