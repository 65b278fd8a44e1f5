//! The shipped binary.

fn main() -> eyre::Result<()> {
    cyclamenpath::run()
}
