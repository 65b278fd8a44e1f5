//! The shipped command line, built together with the tests that start it.

fn main() -> eyre::Result<()> {
    cyclamenpath::run()
}
