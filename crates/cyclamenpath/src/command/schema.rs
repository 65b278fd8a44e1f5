//! Prints JSON schemas.

use cyclamen_entry::Settings;
use cyclamen_tables::{Pools, Routes};
use schemars::schema_for;

use crate::options::Schema;

pub(crate) fn run(document: Schema) -> eyre::Result<()> {
    let schema = match document {
        Schema::Settings => schema_for!(Settings),
        Schema::Gateway => schema_for!(cyclamen_gateway::Settings),
        Schema::Routes => schema_for!(Routes),
        Schema::Pools => schema_for!(Pools),
    };
    println!("{}", serde_json::to_string_pretty(&schema)?);
    Ok(())
}
