//! The `cyclamenpath` binary, built in this package so that its tests can start it.

fn main() -> eyre::Result<std::process::ExitCode> {
    cyclamenpath::run()
}
