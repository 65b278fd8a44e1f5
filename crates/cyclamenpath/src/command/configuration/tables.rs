//! Checks the two tables of the own interface.

use std::path::Path;
use std::sync::Arc;

use cyclamen_directory::draft::{Finding, Place, Severity};
use cyclamen_tables::{Pools, Routes, check};
use serde::de::DeserializeOwned;

use crate::command::configuration::{Report, read_text};
use crate::options::CheckedTables;

/// Checks the two tables as entries do, each alone and both together.
pub(super) fn check(files: &CheckedTables) -> eyre::Result<Report> {
    let routes: Result<Routes, Finding> = decode("routes", &files.routes)?;
    let pools: Result<Pools, Finding> = decode("pools", &files.pools)?;
    let findings = match (routes, pools) {
        (Ok(routes), Ok(pools)) => {
            let faults = check::tables(&routes, &pools).into_iter();
            let mut findings: Vec<Finding> = faults
                .map(|fault| finding(Severity::Error, fault.path, fault.reason))
                .collect();
            findings.extend(warnings(&routes, &pools));
            findings
        }
        (routes, pools) => routes.err().into_iter().chain(pools.err()).collect(),
    };
    Ok(Report {
        findings,
        changes: None,
    })
}

fn decode<T: DeserializeOwned>(table: &str, file: &Path) -> eyre::Result<Result<T, Finding>> {
    let text = read_text(file)?;
    let decoder = &mut serde_json::Deserializer::from_str(&text);
    let decoded = serde_path_to_error::deserialize(decoder).map_err(|error| Finding {
        severity: Severity::Error,
        place: Place {
            path: format!("{table}: {}", error.path()).into(),
            line: error.inner().line(),
            column: error.inner().column(),
        },
        reason: error.inner().to_string().into(),
    });
    Ok(decoded)
}

/// Returns what has no effect.
fn warnings(routes: &Routes, pools: &Pools) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, pool) in pools.pools.iter().enumerate() {
        if !routes.routes.iter().any(|route| route.pool == pool.name) {
            let path = format!("pools[{index}]");
            let reason = "gets no requests: no route leads to it";
            findings.push(finding(Severity::Warning, path, reason));
        }
    }
    for (index, team) in routes.teams.iter().enumerate() {
        if team.keys.is_empty() {
            let path = format!("teams[{index}]");
            let reason = "no caller belongs to it: it has no keys";
            findings.push(finding(Severity::Warning, path, reason));
        }
    }
    findings
}

/// Returns a finding in a table, whose position is not known.
fn finding(severity: Severity, path: impl Into<Arc<str>>, reason: impl Into<Arc<str>>) -> Finding {
    Finding {
        severity,
        place: Place {
            path: path.into(),
            line: 0,
            column: 0,
        },
        reason: reason.into(),
    }
}
