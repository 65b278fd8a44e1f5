//! Targets of callers' requests, which workers cannot take for calls of the system's own.

use std::sync::Arc;

use cyclamen_directory::Service;
use trillium::{Conn, Method};

use crate::frontend::refusal::Refusal;
use crate::platform::Dialect;

/// A target that is sent to workers for callers.
///
/// No worker of the services that it was read for can take it for a call of the system's own: an
/// order, a probe or a health check.
#[derive(Debug, Clone)]
pub(crate) struct Target(cyclamen_http::Target);

impl Target {
    /// Reads the target of a request, which keeps its bytes.
    pub(super) fn read<'a>(
        dialect: &Dialect,
        services: impl IntoIterator<Item = &'a Arc<Service>>,
        conn: &Conn,
    ) -> Result<Self, Refusal> {
        let target: Option<cyclamen_http::Target> = conn.path_and_query().parse().ok();
        let target = target.filter(|_| conn.method() != Method::Connect);
        let target = target.ok_or(Refusal::invalid(400, "invalid_target"))?;
        let health_paths = services
            .into_iter()
            .filter_map(|s| s.health_path.as_deref());
        let mut own_paths = dialect.worker_paths.into_iter().chain(health_paths);
        if own_paths.any(|path| target.may_be_read_as(path)) {
            return Err(Refusal::invalid(404, "own_call"));
        }
        Ok(Self(target))
    }

    /// Returns the target as it is sent.
    pub(super) fn as_target(&self) -> &cyclamen_http::Target {
        &self.0
    }
}
