//! Prints what a check of a configuration found.

use std::io::{self, Write};

use cyclamen_directory::draft::{Change, Finding, Severity};
use serde::Serialize;

use crate::command::configuration::Report;
use crate::options::Format;

/// The exit code of a configuration that entries do not adopt as it is.
const EXIT_ERRORS: u8 = 2;
/// The exit code of a configuration with warnings, if these are denied.
const EXIT_WARNINGS: u8 = 1;
/// The width of the first column.
const LABEL_WIDTH: usize = 8;

/// A color of a terminal.
#[derive(Debug, Clone, Copy)]
enum Color {
    Red,
    Yellow,
    Plain,
}

impl Color {
    fn code(self) -> &'static str {
        match self {
            Self::Red => "\x1b[31m",
            Self::Yellow => "\x1b[33m",
            Self::Plain => "",
        }
    }
}

/// A finding as it is printed in JSON.
#[derive(Debug, Serialize)]
struct JsonFinding<'a> {
    severity: &'static str,
    path: &'a str,
    line: usize,
    column: usize,
    reason: &'a str,
}

/// A change as it is printed in JSON.
#[derive(Debug, Serialize)]
struct JsonChange<'a> {
    kind: &'static str,
    name: &'a str,
    what: &'a str,
    loss: Option<&'static str>,
}

/// A report as it is printed in JSON.
#[derive(Debug, Serialize)]
struct JsonReport<'a> {
    findings: Vec<JsonFinding<'a>>,
    /// `None` if nothing was compared.
    changes: Option<Vec<JsonChange<'a>>>,
}

impl Report {
    /// Writes the report; in color only to a terminal.
    pub(super) fn write(
        &self,
        to: &mut impl Write,
        format: Format,
        is_terminal: bool,
    ) -> io::Result<()> {
        match format {
            Format::Json => {
                serde_json::to_writer_pretty(&mut *to, &self.json())?;
                writeln!(to)
            }
            Format::Text => self.write_text(to, is_terminal),
        }
    }

    /// Returns the exit code.
    pub(super) fn exit_code(&self, deny_warnings: bool) -> u8 {
        match (self.count(Severity::Error), self.warning_count()) {
            (1.., _) => EXIT_ERRORS,
            (0, 1..) if deny_warnings => EXIT_WARNINGS,
            _ => 0,
        }
    }

    fn count(&self, severity: Severity) -> usize {
        let of_severity = self.findings.iter().filter(|f| f.severity == severity);
        of_severity.count()
    }

    /// Counts warnings, those of changes that cut service included.
    fn warning_count(&self) -> usize {
        let changes = self.changes.iter().flatten();
        self.count(Severity::Warning) + changes.filter(|c| c.loss.is_some()).count()
    }

    fn write_text(&self, to: &mut impl Write, colored: bool) -> io::Result<()> {
        for finding in &self.findings {
            let color = match finding.severity {
                Severity::Error => Color::Red,
                Severity::Warning => Color::Yellow,
            };
            write_label(to, finding.severity.as_str(), color, colored)?;
            writeln!(to, "{finding}")?;
        }
        for change in self.changes.iter().flatten() {
            let color = match change.loss {
                Some(_) => Color::Yellow,
                None => Color::Plain,
            };
            write_label(to, "change", color, colored)?;
            writeln!(to, "{change}")?;
        }
        let compared = match &self.changes {
            Some(changes) => format!("{} changes", changes.len()),
            None => "nothing was compared".to_string(),
        };
        let (errors, warnings) = (self.count(Severity::Error), self.warning_count());
        writeln!(to, "{errors} errors, {warnings} warnings, {compared}")
    }

    fn json(&self) -> JsonReport<'_> {
        let changes = self.changes.as_ref();
        JsonReport {
            findings: self.findings.iter().map(json_finding).collect(),
            changes: changes.map(|changes| changes.iter().map(json_change).collect()),
        }
    }
}

fn write_label(to: &mut impl Write, label: &str, color: Color, colored: bool) -> io::Result<()> {
    let (code, reset) = match color {
        Color::Red | Color::Yellow if colored => (color.code(), "\x1b[0m"),
        _ => ("", ""),
    };
    write!(to, "{code}{label:LABEL_WIDTH$}{reset}")
}

fn json_finding(finding: &Finding) -> JsonFinding<'_> {
    JsonFinding {
        severity: finding.severity.as_str(),
        path: &finding.place.path,
        line: finding.place.line,
        column: finding.place.column,
        reason: &finding.reason,
    }
}

fn json_change(change: &Change) -> JsonChange<'_> {
    JsonChange {
        kind: change.kind.as_str(),
        name: &change.name,
        what: &change.what,
        loss: change.loss,
    }
}
