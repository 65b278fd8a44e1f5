//! The released `cyclamenpath` binary.

fn main() -> eyre::Result<()> {
    cyclamenpath::run()
}
