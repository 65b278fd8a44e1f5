//! Takes an availability zone out of service or returns it to service.

use serde_json::Value;

use crate::operator;
use crate::options::ZoneAction;

pub(crate) fn run(action: ZoneAction) -> eyre::Result<()> {
    let (path, target) = match action {
        ZoneAction::Out { zone, target } => (format!("/zones/{zone}/out"), target),
        ZoneAction::In { zone, target } => (format!("/zones/{zone}/in"), target),
    };
    operator::print(&operator::post(&target, &path, &Value::Null)?)
}
