//! Runs an entry instance.

use std::path::Path;

use cyclamen_entry::Settings;

use crate::command::check;

pub(crate) fn run(path: &Path) -> eyre::Result<()> {
    cyclamen_entry::run(check::read(path, Settings::faults)?)
}
