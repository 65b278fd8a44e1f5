//! Checks a settings file.

use std::path::Path;

use cyclamen_entry::Settings;
use eyre::{WrapErr, bail, eyre};

/// Reads a settings file; every fault names its key.
pub(crate) fn read(path: &Path) -> eyre::Result<Settings> {
    let text = std::fs::read(path).wrap_err("the settings file cannot be read")?;
    let decoder = &mut serde_json::Deserializer::from_slice(&text);
    let settings: Settings = serde_path_to_error::deserialize(decoder)
        .map_err(|error| eyre!("{}: {}", error.path(), error.inner()))?;
    let faults = settings.faults();
    if !faults.is_empty() {
        let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
        bail!("{}", faults.join("\n"));
    }
    Ok(settings)
}

pub(crate) fn run(path: &Path) -> eyre::Result<()> {
    let settings = read(path)?;
    println!("{}: well", settings.name);
    Ok(())
}
