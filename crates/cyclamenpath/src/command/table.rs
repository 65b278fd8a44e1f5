//! Reads and edits a table.

use std::path::Path;

use cyclamen_tables::Version;
use eyre::WrapErr;
use serde_json::{Value, json};

use crate::operator;
use crate::options::Action;

pub(crate) fn run(table: &str, action: Action) -> eyre::Result<()> {
    match action {
        Action::Get { target } => {
            operator::print(&operator::get(&target, &format!("/tables/{table}"))?)
        }
        Action::History { target } => operator::print(&operator::get(
            &target,
            &format!("/tables/{table}/history"),
        )?),
        Action::Apply {
            target,
            file,
            replaces,
            id,
        } => {
            let edit = edit(&file, replaces, &id)?;
            operator::print(&operator::post(
                &target,
                &format!("/tables/{table}"),
                &edit,
            )?)
        }
    }
}

fn edit(file: &Path, replaces: Version, id: &str) -> eyre::Result<Value> {
    let text = std::fs::read(file).wrap_err("the table file cannot be read")?;
    let body: Value = serde_json::from_slice(&text).wrap_err("the table file is not JSON")?;
    Ok(json!({"id": id, "replaces": replaces, "body": body}))
}
