//! The `cyclamenpath` binary, built in this package so that its tests can start it.

fn main() -> eyre::Result<()> {
    cyclamenpath::run()
}
