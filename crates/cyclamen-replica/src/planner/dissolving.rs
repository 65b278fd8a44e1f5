//! Groups that this planner does not form: they serve, close, or are dissolved.

use std::collections::BTreeSet;

use cyclamen_directory::instance::Status;
use cyclamen_types::instance;

use crate::groups::{Group, Groups, State};
use crate::order::{CloseMode, Command, Order};
use crate::planner::forming::Forming;
use crate::planner::loads::LOAD_TIMEOUT_FACTOR;
use crate::planner::spares::is_warm_up;
use crate::planner::{Planner, View, command_head};

/// A group that is being dissolved.
#[derive(Debug)]
pub(super) struct Dissolving {
    /// The members that were present when its dissolution began.
    pub(super) members: BTreeSet<instance::Id>,
    /// Whether these are all members of the group.
    pub(super) is_complete: bool,
}

impl Planner {
    /// Closes groups that have a leaving member and dissolves those that can no longer serve.
    pub(super) fn reconcile_formed(
        &mut self,
        view: &View<'_>,
        groups: &Groups,
        orders: &mut Vec<Command>,
    ) {
        for group in groups.iter() {
            if self.forming.contains_key(&group.id) || self.is_warming(view, group) {
                continue;
            }
            let has_leaving = group.members.values().any(|m| m.status == Status::Leaving);
            match group.state(view.engine, |m| view.is_lost(m)) {
                State::Joining => self.dissolve_overdue(view, group, orders),
                State::Closing => {}
                State::Serving if has_leaving => {
                    orders.extend(command_head(group, |group, fence| Order::Close {
                        group,
                        fence,
                        mode: CloseMode::Drain,
                    }));
                }
                State::Serving => {}
                // A group that is not being formed is not opened: a member may still get a
                // delayed order to join another group that was to replace this one.
                State::Ready | State::Partial => self.dissolve(view, group, orders),
            }
        }
    }

    /// Dissolves a group that this planner does not form if its members should be ready.
    fn dissolve_overdue(&mut self, view: &View<'_>, group: &Group, orders: &mut Vec<Command>) {
        let key = (group.id.clone(), group.fence);
        let model = group.model.as_ref().and_then(|m| view.engine.model(m));
        let load = model.map(|m| m.load).unwrap_or_default();
        let deadline = view.now + load.saturating_mul(LOAD_TIMEOUT_FACTOR);
        let deadline = *self.ready_deadlines.entry(key).or_insert(deadline);
        if view.now >= deadline {
            self.dissolve(view, group, orders);
        }
    }

    /// Orders every member that counts as alive to leave the group, except those that were ordered
    /// to join another one.
    fn dissolve(&mut self, view: &View<'_>, group: &Group, orders: &mut Vec<Command>) {
        if !is_warm_up(&group.id) {
            let key = (group.id.clone(), group.fence);
            let model = group.model.as_ref().and_then(|m| view.engine.model(m));
            let members = group.members.values().map(|m| m.id.clone());
            self.dissolving.entry(key).or_insert_with(|| Dissolving {
                members: members.collect(),
                is_complete: model.is_some_and(|m| group.members.len() >= m.size),
            });
        }
        let joining: BTreeSet<_> = self.forming.values().flat_map(Forming::ids).collect();
        let members = group.members.values();
        let remaining = members.filter(|m| !view.is_lost(m) && !joining.contains(&m.id));
        orders.extend(remaining.map(|member| Command {
            instance: member.id.clone(),
            address: member.address,
            order: Order::Leave {
                group: group.id.clone(),
                fence: group.fence,
            },
        }));
    }
}
