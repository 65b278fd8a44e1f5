//! Prints the digest of an API key.

use cyclamen_tables::key::Digest;

pub(crate) fn run(key: &str) -> eyre::Result<()> {
    println!("{}", Digest::of(key));
    Ok(())
}
