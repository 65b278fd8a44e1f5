//! Reads and edits a table.

use std::path::Path;

use cyclamen_tables::Version;
use eyre::WrapErr;
use serde_json::{Value, json};

use crate::operator;
use crate::options::TableAction;

pub(crate) fn run(table: &str, action: TableAction) -> eyre::Result<()> {
    match action {
        TableAction::Get { target } => {
            operator::print(&operator::get(&target, &format!("/tables/{table}"))?)
        }
        TableAction::History { target } => operator::print(&operator::get(
            &target,
            &format!("/tables/{table}/history"),
        )?),
        TableAction::Apply {
            target,
            file,
            replaces,
            id,
        } => {
            let edit = read_edit(&file, replaces, &id)?;
            operator::print(&operator::post(
                &target,
                &format!("/tables/{table}"),
                &edit,
            )?)
        }
    }
}

fn read_edit(file: &Path, replaces: Version, id: &str) -> eyre::Result<Value> {
    let text = std::fs::read(file).wrap_err("the table file cannot be read")?;
    let body: Value = serde_json::from_slice(&text).wrap_err("the table file is not JSON")?;
    Ok(json!({"id": id, "replaces": replaces, "body": body}))
}
