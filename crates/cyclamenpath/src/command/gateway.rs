//! Runs a gateway.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_adapter::{Adapter, Options};
use cyclamen_gateway::Settings;
use cyclamen_http::Client;

use crate::command::check;

/// Runs a gateway that ends within a grace, if one is given.
pub(crate) fn run(path: &Path, grace: Option<Duration>) -> eyre::Result<()> {
    let settings = read(path, grace)?;
    let options = Options {
        store: settings.store,
        timeout: Duration::from_millis(settings.timing.store_timeout_ms),
    };
    let http = Client::new(cyclamen_http::Options::default());
    let platform = Arc::new(Adapter::new(http, options));
    cyclamen_gateway::run(settings, platform, || read(path, grace))
}

fn read(path: &Path, grace: Option<Duration>) -> eyre::Result<Settings> {
    let mut settings = check::read(path, Settings::faults)?;
    if let Some(grace) = grace {
        settings.timing = settings.timing.within_grace(grace);
    }
    Ok(settings)
}
