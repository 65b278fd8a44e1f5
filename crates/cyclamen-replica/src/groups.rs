//! Replica groups as the list of instances shows them.

use std::collections::BTreeMap;
use std::sync::Arc;

use cyclamen_directory::Instance;
use cyclamen_directory::instance::Phase;
use cyclamen_directory::service::Engine;
use cyclamen_types::{group, instance, model};

/// A replica group as its members show it.
#[derive(Debug, Clone)]
pub struct Group {
    /// The group.
    pub id: group::Id,
    /// The fencing number of its membership.
    pub fence: group::Fence,
    /// The model, as far as a member says.
    pub model: Option<model::Name>,
    /// The members by rank; those that are missing are left out.
    pub members: BTreeMap<usize, Arc<Instance>>,
}

/// What a group can do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The members load their parts.
    Joining,
    /// Every member is ready, and the head does not serve.
    Ready,
    /// Every member is there, and the head serves.
    Serving,
    /// Every member is there, and the head ends its work.
    Closing,
    /// A member is missing.
    Partial,
}

impl Group {
    /// The head, if it is there.
    pub fn head(&self) -> Option<&Arc<Instance>> {
        self.members.get(&0)
    }

    /// How far the head is, if it is there.
    pub fn head_phase(&self) -> Option<Phase> {
        let membership = self.head()?.membership.as_ref();
        membership.map(|m| m.phase)
    }

    /// Whether the instance is a member.
    pub fn has(&self, id: &instance::Id) -> bool {
        self.members.values().any(|m| m.id == *id)
    }

    /// What the group can do, where `lost` tells which members do not answer.
    pub fn state(&self, engine: &Engine, lost: impl Fn(&Instance) -> bool) -> State {
        let model = self.model.as_ref().and_then(|m| engine.model(m));
        let size = model.map_or(usize::MAX, |m| m.size);
        if self.members.len() != size || self.members.values().any(|m| lost(m)) {
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

/// All replica groups of some instances.
#[derive(Debug, Default)]
pub struct Groups {
    groups: BTreeMap<(group::Id, group::Fence), Group>,
}

impl Groups {
    /// The groups that these instances are members of.
    pub fn of<'a>(instances: impl IntoIterator<Item = &'a Arc<Instance>>) -> Self {
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

    /// All groups.
    pub fn iter(&self) -> impl Iterator<Item = &Group> {
        self.groups.values()
    }

    /// The group with that membership.
    pub fn get(&self, id: &group::Id, fence: group::Fence) -> Option<&Group> {
        self.groups.get(&(id.clone(), fence))
    }
}
