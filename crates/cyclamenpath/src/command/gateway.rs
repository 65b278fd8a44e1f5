//! Runs a gateway.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cyclamen_adapter::{Adapter, Options};
use cyclamen_gateway::Settings;
use cyclamen_http::Client;

use crate::command::check;

pub(crate) fn run(path: &Path) -> eyre::Result<()> {
    let settings = check::read(path, Settings::faults)?;
    let options = Options {
        store: settings.store,
        timeout: Duration::from_millis(settings.timing.store_timeout_ms),
    };
    let http = Client::new(cyclamen_http::Options::default());
    let platform = Arc::new(Adapter::new(http, options));
    cyclamen_gateway::run(settings, platform, || check::read(path, Settings::faults))
}
