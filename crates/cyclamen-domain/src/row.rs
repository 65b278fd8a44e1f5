//! The row of a fabric domain in the table service.

use std::collections::BTreeSet;
use std::fmt;

use cyclamen_types::{entry, group, instance, pool};
use serde::{Deserialize, Serialize};

/// The owner and the replica groups of one fabric domain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The highest fencing token issued in this domain.
    pub fence: group::Fence,
    /// The entry that owns the domain, if any.
    pub owner: Option<Owner>,
    /// The fencing token issued at the last change of owner.
    #[serde(default)]
    pub taken: group::Fence,
    /// The replica groups.
    pub groups: Vec<Group>,
}

/// One incarnation of an entry instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// The entry instance.
    pub entry: entry::Name,
    /// The incarnation of its process.
    pub incarnation: entry::Incarnation,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.entry, self.incarnation)
    }
}

/// A replica group: the instances that together serve one replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The group's id.
    pub id: group::Id,
    /// The pool that the group belongs to.
    pub pool: pool::Name,
    /// The fencing token of the group's current membership.
    pub fence: group::Fence,
    /// The members; the first one is the head, to which requests are sent.
    pub members: Vec<Member>,
}

impl Group {
    /// Returns whether the instance is a member.
    pub fn contains(&self, instance: &instance::Id) -> bool {
        self.members.iter().any(|m| m.instance == *instance)
    }
}

/// One incarnation of a worker as a member of a group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: instance::Id,
    /// The incarnation of its worker process.
    pub incarnation: instance::Incarnation,
}

/// A violated invariant of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// An instance is a member of more than one group.
    DuplicateMember(instance::Id),
    /// A group's fencing token is higher than the row's.
    FenceAhead(group::Id),
}

impl Row {
    /// Returns the row after a change of owner, which gets a new fencing token.
    pub fn with_owner(&self, owner: Option<Owner>) -> Self {
        let fence = self.fence.next();
        Self {
            fence,
            owner,
            taken: fence,
            groups: self.groups.clone(),
        }
    }

    /// Returns the invariants that the row violates.
    pub fn violations(&self) -> Vec<Violation> {
        let mut seen = BTreeSet::new();
        let mut violations = Vec::new();
        for group in &self.groups {
            if group.fence > self.fence {
                violations.push(Violation::FenceAhead(group.id.clone()));
            }
            for member in &group.members {
                if !seen.insert(&member.instance) {
                    violations.push(Violation::DuplicateMember(member.instance.clone()));
                }
            }
        }
        violations
    }

    /// Returns the group that an instance is a member of.
    pub fn group_of(&self, instance: &instance::Id) -> Option<&Group> {
        self.groups.iter().find(|g| g.contains(instance))
    }

    /// Returns the group with that id.
    pub fn group(&self, id: &group::Id) -> Option<&Group> {
        self.groups.iter().find(|g| g.id == *id)
    }
}
