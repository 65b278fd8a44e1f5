//! The released `cyclamenpath` binary.

fn main() -> eyre::Result<std::process::ExitCode> {
    cyclamenpath::run()
}
