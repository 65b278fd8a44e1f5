//! What to do about a replica group that lost a member.

use std::time::Duration;

/// How a group that lost a member is repaired.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Waits for as long as a replacement would take to load, then replaces.
    ///
    /// The downtime is at most twice that of knowing the member's fate.
    #[default]
    Balanced,
    /// Replaces a silent member at once.
    Immediate,
    /// Waits until the platform no longer lists the member.
    WhenUnlisted,
}

/// What to do about one missing member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repair {
    /// The member may come back.
    Wait,
    /// Another instance takes the member's place.
    Replace,
}

impl Policy {
    /// Decides about a member that has been silent for some time.
    ///
    /// `load` is the time that a replacement takes to load.
    pub fn decide(self, silent: Duration, load: Duration) -> Repair {
        match self {
            Self::Immediate => Repair::Replace,
            Self::WhenUnlisted => Repair::Wait,
            Self::Balanced if silent < load => Repair::Wait,
            Self::Balanced => Repair::Replace,
        }
    }
}
