//! Repair policy for replica groups that lost a member.

use std::time::Duration;

/// When a missing member of a group is replaced.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Waits as long as a replacement would take to load, then replaces.
    ///
    /// The downtime is at most twice that of a policy that could predict
    /// whether the member returns.
    #[default]
    Balanced,
    /// Replaces a silent member immediately.
    Immediate,
    /// Waits until the platform no longer lists the member.
    WhenUnlisted,
}

/// The action for one missing member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repair {
    /// Keep the member, which may return.
    Wait,
    /// Replace the member by another instance.
    Replace,
}

impl Policy {
    /// Returns the action for a member that has been silent for `silent`.
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
