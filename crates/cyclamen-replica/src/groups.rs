//! Replica groups, derived from the list of instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use cyclamen_directory::Instance;
use cyclamen_directory::instance::Phase;
use cyclamen_directory::service::Engine;
use cyclamen_types::{group, instance, model};

/// A replica group, derived from the memberships of its members.
#[derive(Debug, Clone)]
pub struct Group {
    /// The group.
    pub id: group::Id,
    /// The fencing token of its membership.
    pub fence: group::Fence,
    /// The model, if any member reports one.
    pub model: Option<model::Name>,
    /// The members that are present, by rank.
    pub members: BTreeMap<usize, Arc<Instance>>,
}

/// The serving state of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// A member still loads its part of the model.
    Joining,
    /// Every member is ready; the head does not serve.
    Ready,
    /// Every member is present; the head serves.
    Serving,
    /// Every member is present; the head drains its requests.
    Closing,
    /// A member is missing or lost, the head reports the group as broken, or the model is
    /// unknown.
    Partial,
}

impl Group {
    /// Returns the head, if it is present.
    pub fn head(&self) -> Option<&Arc<Instance>> {
        self.members.get(&0)
    }

    /// Returns the phase of the head's membership, if the head is present.
    pub fn head_phase(&self) -> Option<Phase> {
        let membership = self.head()?.membership.as_ref();
        membership.map(|m| m.phase)
    }

    /// Returns whether the instance is a member.
    pub fn contains(&self, id: &instance::Id) -> bool {
        self.members.values().any(|m| m.id == *id)
    }

    /// Returns the state of the group; `is_lost` returns whether a member counts as lost.
    pub fn state(&self, engine: &Engine, is_lost: impl Fn(&Instance) -> bool) -> State {
        let model = self.model.as_ref().and_then(|m| engine.model(m));
        let size = model.map_or(usize::MAX, |m| m.size);
        if self.members.len() != size || self.members.values().any(|m| is_lost(m)) {
            return State::Partial;
        }
        let joining = |m: &Arc<Instance>| {
            let phase = m.membership.as_ref().map(|m| m.phase);
            phase == Some(Phase::Joining)
        };
        if self.members.values().any(joining) {
            return State::Joining;
        }
        match self.head_phase() {
            Some(Phase::Open) => State::Serving,
            Some(Phase::Closing) => State::Closing,
            Some(Phase::Ready) => State::Ready,
            Some(Phase::Joining) => State::Joining,
            Some(Phase::Broken) | None => State::Partial,
        }
    }
}

/// The replica groups of a set of instances.
#[derive(Debug, Default)]
pub struct Groups {
    groups: BTreeMap<(group::Id, group::Fence), Group>,
}

impl Groups {
    /// Collects the groups that the instances are members of.
    pub fn from_instances<'a>(instances: impl IntoIterator<Item = &'a Arc<Instance>>) -> Self {
        let mut groups = BTreeMap::new();
        for instance in instances {
            let Some(membership) = &instance.membership else {
                continue;
            };
            let key = (membership.group.clone(), membership.fence);
            let group = groups.entry(key).or_insert_with(|| Group {
                id: membership.group.clone(),
                fence: membership.fence,
                model: None,
                members: BTreeMap::new(),
            });
            if group.model.is_none() {
                group.model.clone_from(&instance.model);
            }
            group.members.insert(membership.rank, instance.clone());
        }
        Self { groups }
    }

    /// Returns all groups.
    pub fn iter(&self) -> impl Iterator<Item = &Group> {
        self.groups.values()
    }

    /// Returns the group with this id and fencing token.
    pub fn get(&self, id: &group::Id, fence: group::Fence) -> Option<&Group> {
        self.groups.get(&(id.clone(), fence))
    }
}
