//! Turns groups of the domain into groups of another model.
//!
//! The hosts of members load the weights of the other model while the group serves. Then the group
//! is closed, and dissolved as any closed group; its workers are free to form new ones.

use std::collections::BTreeSet;
use std::time::Duration;

use cyclamen_directory::instance::Status;
use cyclamen_types::{Time, group};

use crate::balance::{Exchange, Shift};
use crate::counts::{GroupCounts, Shares, following_counts, target_counts};
use crate::groups::{Group, Groups, State};
use crate::order::{CloseMode, Command, Order};
use crate::planner::{Planner, View, Worker, command_head};

/// The time in which closed groups have to end; the planner then leaves them to themselves.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(15);

/// The time after a conversion in which the given needs may not account for it yet.
const MIN_INTERVAL: Duration = Duration::from_secs(5);

/// The needs of the fleet, as a planner is given them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Direction {
    /// The shares by which free workers are divided; `None` for those of the configuration.
    pub shares: Option<Shares>,
    /// The groups that this domain should turn into groups of another model.
    pub shift: Option<Shift>,
    /// The number of domains that turn groups into others, and share the weight store with this one.
    pub shifting_domains: usize,
}

/// Groups of the domain that become groups of another model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conversion {
    /// The models.
    pub shift: Shift,
    /// The groups that are given up.
    pub groups: Vec<(group::Id, group::Fence)>,
    /// Since when they have been ordered to close.
    pub closing_since: Option<Time>,
}

impl Planner {
    /// Sets what the planner is to do about the needs of the fleet.
    pub fn set_direction(&mut self, direction: Direction) {
        self.direction = direction;
    }

    /// Returns the conversion in progress, if any.
    pub fn conversion(&self) -> Option<&Conversion> {
        self.conversion.as_ref()
    }

    /// Returns the target number of groups of each model.
    pub(super) fn wanted_groups(
        &self,
        view: &View<'_>,
        workers: usize,
        existing: &GroupCounts,
    ) -> GroupCounts {
        let remote = view.remote_groups;
        match &self.direction.shares {
            Some(shares) => following_counts(view.engine, workers, existing, remote, shares),
            None => target_counts(view.engine, workers, existing, remote),
        }
    }

    /// Returns whether the workers of groups that a conversion closes have to be waited for; once
    /// all of them are free, they form the new groups.
    pub(super) fn awaits_closed(
        &mut self,
        view: &View<'_>,
        groups: &Groups,
        free: &mut Vec<&Worker>,
        orders: &mut Vec<Command>,
    ) -> bool {
        let closing = self.conversion.take_if(|c| c.closing_since.is_some());
        let Some(conversion) = closing else {
            return false;
        };
        let mut ids = conversion.groups.iter();
        if ids.any(|(id, fence)| groups.get(id, *fence).is_some()) {
            self.conversion = Some(conversion);
            return true;
        }
        self.converted_at = Some(view.now);
        let Shift { from, to } = &conversion.shift;
        if let Some((from, to)) = view.engine.model(from).zip(view.engine.model(to)) {
            let gained = Exchange::between(from, to).map_or(0, |exchange| exchange.gained);
            self.form_of(view, to, gained, free, orders);
        }
        false
    }

    /// Advances the conversion of groups of this domain, or begins one.
    pub(super) fn convert(
        &mut self,
        view: &View<'_>,
        groups: &Groups,
        free: &[&Worker],
        orders: &mut Vec<Command>,
    ) {
        let conversion = match self.conversion.take() {
            Some(conversion) => self.continued(view, groups, conversion),
            None => self.begun(view, groups),
        };
        let Some(mut conversion) = conversion else {
            return;
        };
        let serving: Vec<&Group> = conversion
            .groups
            .iter()
            .filter_map(|(id, fence)| groups.get(id, *fence))
            .collect();
        if conversion.closing_since.is_none()
            && self.is_prepared(view, &conversion.shift, &serving, free, orders)
        {
            conversion.closing_since = Some(view.now);
        }
        if conversion.closing_since.is_some() {
            let open = serving
                .iter()
                .filter(|group| group_state(view, group) == State::Serving);
            orders.extend(open.filter_map(|group| {
                command_head(group, |group, fence| Order::Close {
                    group,
                    fence,
                    mode: CloseMode::Drain,
                })
            }));
        }
        self.conversion = Some(conversion);
    }

    /// Returns a conversion unless it has ended or is not wanted any more.
    fn continued(
        &self,
        view: &View<'_>,
        groups: &Groups,
        conversion: Conversion,
    ) -> Option<Conversion> {
        let serves = |(id, fence): &(group::Id, group::Fence)| {
            let group = groups.get(id, *fence);
            group.is_some_and(|group| group_state(view, group) == State::Serving)
        };
        let goes_on = match conversion.closing_since {
            Some(since) => view.now.since(since) < CLOSE_TIMEOUT,
            None => {
                let wanted = self.direction.shift.as_ref() == Some(&conversion.shift);
                wanted && conversion.groups.iter().all(serves)
            }
        };
        goes_on.then_some(conversion)
    }

    /// Returns a conversion to begin now, if one is wanted and the domain is complete otherwise.
    fn begun(&self, view: &View<'_>, groups: &Groups) -> Option<Conversion> {
        let recent = self
            .converted_at
            .is_some_and(|at| view.now.since(at) < MIN_INTERVAL);
        let allowed = !recent && !self.is_busy();
        let shift = self.direction.shift.clone().filter(|_| allowed)?;
        let from = view.engine.model(&shift.from)?;
        let exchange = Exchange::between(from, view.engine.model(&shift.to)?)?;
        let mut fitting: Vec<&Group> = groups
            .iter()
            .filter(|group| group.model.as_ref() == Some(&shift.from))
            .filter(|group| group_state(view, group) == State::Serving)
            .filter(|group| group.members.values().all(|m| m.status == Status::Ready))
            .collect();
        let held = |group: &Group| {
            let members = group.members.values();
            members.filter(|m| m.staged.contains(&shift.to)).count()
        };
        fitting.sort_by_key(|group| std::cmp::Reverse(held(group)));
        let chosen = fitting.get(..exchange.given)?.iter();
        let groups = chosen
            .map(|group| (group.id.clone(), group.fence))
            .collect();
        Some(Conversion {
            shift,
            groups,
            closing_since: None,
        })
    }

    /// Returns whether enough workers hold the weights of the new model, and orders members to load
    /// them otherwise.
    fn is_prepared(
        &mut self,
        view: &View<'_>,
        shift: &Shift,
        groups: &[&Group],
        free: &[&Worker],
        orders: &mut Vec<Command>,
    ) -> bool {
        let models = view
            .engine
            .model(&shift.from)
            .zip(view.engine.model(&shift.to));
        let Some((from, to)) = models else {
            return false;
        };
        let gained = Exchange::between(from, to).map_or(0, |exchange| exchange.gained);
        let needed = gained.saturating_mul(to.size);
        let members: Vec<_> = groups.iter().flat_map(|g| g.members.values()).collect();
        let free = free.iter().map(|w| &w.instance);
        let holds = |staged: &[_]| staged.contains(&to.name);
        let holders = members.iter().copied().chain(free.clone());
        let holders = holders.filter(|i| holds(&i.staged)).count();
        if holders >= needed {
            return true;
        }
        let ids: BTreeSet<_> = members.iter().copied().chain(free).map(|i| &i.id).collect();
        let loading = ids
            .iter()
            .filter(|id| self.loads.is_loading(id, to))
            .count();
        let mut missing = needed.saturating_sub(holders + loading);
        for member in members {
            let passed_over = self.backoff.is_passed_over(view.now, &member.id);
            if missing == 0 || !self.may_load_beside(view, self.direction.shifting_domains) {
                break;
            }
            if holds(&member.staged) || self.loads.is_staging(&member.id) || passed_over {
                continue;
            }
            self.loads.record_stage(view.now, &member.id, &to.name);
            missing -= 1;
            orders.push(Command {
                instance: member.id.clone(),
                address: member.address,
                order: Order::Stage {
                    model: to.name.clone(),
                },
            });
        }
        false
    }
}

fn group_state(view: &View<'_>, group: &Group) -> State {
    group.state(view.engine, |m| view.is_lost(m))
}
