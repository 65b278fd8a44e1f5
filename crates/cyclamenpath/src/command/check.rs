//! Checks a settings file.

use std::path::Path;

use cyclamen_entry::Settings;
use eyre::{WrapErr, bail, eyre};
use serde::de::DeserializeOwned;

/// Reads and validates a settings file; each error names the key at fault.
pub(crate) fn read<S, F>(path: &Path, validate: impl Fn(&S) -> Vec<F>) -> eyre::Result<S>
where
    S: DeserializeOwned,
    F: ToString,
{
    let text = std::fs::read(path).wrap_err("the settings file cannot be read")?;
    let decoder = &mut serde_json::Deserializer::from_slice(&text);
    let settings: S = serde_path_to_error::deserialize(decoder)
        .map_err(|error| eyre!("{}: {}", error.path(), error.inner()))?;
    let faults = validate(&settings);
    if !faults.is_empty() {
        let faults: Vec<_> = faults.iter().map(ToString::to_string).collect();
        bail!("{}", faults.join("\n"));
    }
    Ok(settings)
}

pub(crate) fn run(path: &Path, gateway: bool) -> eyre::Result<()> {
    let name = if gateway {
        read(path, cyclamen_gateway::Settings::faults)?.name
    } else {
        read(path, Settings::faults)?.name
    };
    println!("{name}: well");
    Ok(())
}
