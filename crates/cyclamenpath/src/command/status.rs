//! Shows the status of an entry instance.

use crate::operator;
use crate::options::Target;

pub(crate) fn run(target: Target) -> eyre::Result<()> {
    operator::print(&operator::get(&target, "/status")?)
}
