//! The connections that each listener may hold, by the limit of descriptors.

use rustix::process::{Resource, getrlimit};

use crate::settings::Machine;

/// The descriptors that a machine reserves for files.
const MACHINE_FILES: usize = 200;
/// The descriptors of files and listeners if only the limit of the process is known.
const OWN_FILES: usize = 32;
/// The least number of connections of a listener.
const LEAST_CONNECTIONS: usize = 16;

/// The maximum number of connections of each listener; `None` without a limit of descriptors.
///
/// The sum leaves room for the connections to workers, the store and other entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Shares {
    /// Those of callers.
    pub(crate) callers: Option<usize>,
    /// Those of other entries that hand requests over.
    pub(crate) handovers: Option<usize>,
    /// Those of readiness checks, and those of metrics.
    pub(crate) operators: Option<usize>,
}

impl Shares {
    /// Divides what the machine allows, or else the limit of this process.
    pub(crate) fn of(machine: &Machine) -> Self {
        let sockets = sockets(machine);
        let share = |part: usize| sockets.map(|all| (all / 32 * part).max(LEAST_CONNECTIONS));
        Self {
            callers: share(16),
            handovers: share(6),
            operators: share(4),
        }
    }
}

/// Returns the number of descriptors that sockets may take.
fn sockets(machine: &Machine) -> Option<usize> {
    if let Some(max_fds) = machine.max_fds {
        return Some((max_fds as usize).saturating_sub(MACHINE_FILES));
    }
    let limit = getrlimit(Resource::Nofile).current?;
    let limit = usize::try_from(limit).ok()?;
    Some(limit.saturating_sub(OWN_FILES))
}
