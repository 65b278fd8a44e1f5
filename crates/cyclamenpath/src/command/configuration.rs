//! Checks a configuration before it is sent.

mod report;
mod tables;

use std::io::{IsTerminal, Read, stdout};
use std::path::Path;
use std::time::Duration;

use cyclamen_adapter::{Adapter, configuration};
use cyclamen_directory::draft::{Change, Context, Draft, Finding};
use cyclamen_gateway::Settings;
use cyclamen_gateway::platform::{Platform, Subject, Table};
use cyclamen_http::Client;
use eyre::{WrapErr, bail, eyre};
use smol::Timer;
use smol::future::or;

use crate::command::check;
use crate::options::{CheckedTables, Comparison, ReportOptions};

/// The time within which the store has to return the version in force.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The name of standard input as a file.
const STANDARD_INPUT: &str = "-";

/// What a check found.
#[derive(Debug, Default)]
struct Report {
    /// Errors and warnings.
    findings: Vec<Finding>,
    /// What differs from the version in force; `None` if nothing was compared.
    changes: Option<Vec<Change>>,
}

/// Checks a configuration of the users' platform; returns the exit code.
pub(crate) fn run(
    file: &Path,
    comparison: &Comparison,
    options: &ReportOptions,
) -> eyre::Result<u8> {
    let text = read_text(file)?;
    let settings = comparison.settings.as_deref();
    let settings = settings.map(|path| check::read(path, Settings::faults));
    let settings = settings.transpose()?;
    let report = match configuration::read(&text) {
        Ok(reading) => {
            let mut findings = reading.errors;
            let context = settings.as_ref().map(context).unwrap_or_default();
            findings.extend(reading.draft.warnings(&context));
            let in_force = in_force(comparison, settings.as_ref())?;
            Report {
                changes: in_force.map(|in_force| reading.draft.changes(&in_force)),
                findings,
            }
        }
        Err(error) => Report {
            findings: vec![error],
            changes: None,
        },
    };
    print(&report, options)
}

/// Checks the two tables of the own interface; returns the exit code.
pub(crate) fn run_tables(files: &CheckedTables, options: &ReportOptions) -> eyre::Result<u8> {
    print(&tables::check(files)?, options)
}

fn print(report: &Report, options: &ReportOptions) -> eyre::Result<u8> {
    let stdout = stdout();
    let is_terminal = stdout.is_terminal();
    report.write(&mut stdout.lock(), options.format, is_terminal)?;
    Ok(report.exit_code(options.deny_warnings))
}

/// Reads a file, or standard input.
fn read_text(file: &Path) -> eyre::Result<String> {
    if file.as_os_str() != STANDARD_INPUT {
        let text = std::fs::read_to_string(file);
        return text.wrap_err_with(|| format!("{} cannot be read", file.display()));
    }
    let mut text = String::new();
    let read = std::io::stdin().read_to_string(&mut text);
    read.wrap_err("standard input cannot be read")?;
    Ok(text)
}

fn context(settings: &Settings) -> Context {
    Context {
        drain_limit: Some(Duration::from_millis(settings.timing.drain_limit_ms)),
        ..Context::default()
    }
}

/// Returns the version in force, from a file or from the store that the settings name.
fn in_force(comparison: &Comparison, settings: Option<&Settings>) -> eyre::Result<Option<Draft>> {
    let text = match (&comparison.in_force, settings) {
        (Some(file), _) => Some(read_text(file)?),
        (None, Some(settings)) => Some(read_store(settings)?),
        (None, None) => None,
    };
    let Some(text) = text else {
        return Ok(None);
    };
    let reading = configuration::read(&text);
    let reading = reading.map_err(|error| eyre!("the version in force: {error}"))?;
    Ok(Some(reading.draft))
}

/// Reads the configuration in force from the store.
fn read_store(settings: &Settings) -> eyre::Result<String> {
    let options = cyclamen_adapter::Options {
        store: settings.store,
        timeout: CALL_TIMEOUT,
    };
    let platform = Adapter::new(Client::new(cyclamen_http::Options::default()), options);
    let reading = async { Some(platform.read(Table::Operators).await) };
    let timeout = async {
        Timer::after(STORE_TIMEOUT).await;
        None
    };
    let Some(read) = smol::block_on(or(reading, timeout)) else {
        bail!("the store at {} did not answer in time", settings.store);
    };
    let snapshot = read.map_err(|error| eyre!("{}: {error}", settings.store))?;
    let mut rows = snapshot.rows.into_iter();
    let row = rows.find(|row| platform.subject(row.table, &row.key) == Subject::Catalog);
    let value = row.and_then(|row| row.value);
    value
        .map(|value| value.to_string())
        .ok_or_else(|| eyre!("the store at {} holds no configuration", settings.store))
}
