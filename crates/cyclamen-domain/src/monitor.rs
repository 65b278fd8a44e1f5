//! What the owner has seen of the domain's instances.

use std::collections::BTreeMap;

use cyclamen_tables::Pools;
use cyclamen_tables::pools::Kind;
use cyclamen_types::{Time, instance};

use crate::listing::{Listing, Status};
use crate::options::Options;
use crate::report::Report;
use crate::row::{Group, Member};

/// Whether a group may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Every member is present, confirmed and ready.
    Serving,
    /// The group is whole but its zone, its pool or a member is leaving.
    Draining,
    /// A member is missing, unconfirmed or not ready.
    Incomplete,
}

/// What the owner has seen of the domain's instances.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    listings: BTreeMap<instance::Id, Listing>,
    sights: BTreeMap<instance::Id, Sight>,
    doubts: BTreeMap<instance::Id, Time>,
}

#[derive(Debug)]
pub(crate) struct Sight {
    /// When the last answered question was sent.
    pub(crate) asked: Time,
    pub(crate) report: Report,
}

/// How one member looks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Presence {
    /// Answers, with the incarnation that the group was formed with.
    Present,
    /// Has not answered since this moment.
    Silent(Time),
    /// Answers with another incarnation.
    Restarted,
    /// Not on the platform's list, and silent.
    Gone,
}

impl Watch {
    pub(crate) fn list(&mut self, listings: impl IntoIterator<Item = Listing>) {
        let pairs = listings.into_iter().map(|l| (l.instance.clone(), l));
        self.listings = pairs.collect();
    }

    pub(crate) fn report(&mut self, asked: Time, instance: &instance::Id, report: Report) {
        let late = self.sights.get(instance).is_some_and(|s| s.asked > asked);
        if !late {
            self.sights
                .insert(instance.clone(), Sight { asked, report });
        }
    }

    /// Disbelieves a group's members until they answer a question asked after `now`.
    pub(crate) fn doubt(&mut self, now: Time, group: &Group) {
        for member in &group.members {
            let doubted = self.doubts.entry(member.instance.clone()).or_insert(now);
            *doubted = now.max(*doubted);
        }
    }

    pub(crate) fn listing(&self, instance: &instance::Id) -> Option<&Listing> {
        self.listings.get(instance)
    }

    pub(crate) fn listings(&self) -> impl Iterator<Item = &Listing> {
        self.listings.values()
    }

    /// The report of an instance that answered recently.
    pub(crate) fn fresh(
        &self,
        now: Time,
        instance: &instance::Id,
        options: &Options,
    ) -> Option<&Report> {
        let sight = self.sights.get(instance)?;
        let believed = self
            .doubts
            .get(instance)
            .is_none_or(|doubt| sight.asked >= *doubt);
        (believed && now.since(sight.asked) <= options.silence_timeout).then_some(&sight.report)
    }

    pub(crate) fn presence(&self, now: Time, member: &Member, options: &Options) -> Presence {
        let listed = self.listings.contains_key(&member.instance);
        let Some(sight) = self.sights.get(&member.instance) else {
            return if listed {
                Presence::Silent(Time::default())
            } else {
                Presence::Gone
            };
        };
        if sight.report.incarnation != member.incarnation {
            return Presence::Restarted;
        }
        if now.since(sight.asked) <= options.silence_timeout {
            return Presence::Present;
        }
        if listed {
            Presence::Silent(sight.asked)
        } else {
            Presence::Gone
        }
    }

    pub(crate) fn health(
        &self,
        now: Time,
        group: &Group,
        pools: &Pools,
        options: &Options,
    ) -> Health {
        let plain = pools
            .get(&group.pool)
            .is_some_and(|p| p.kind == Kind::Plain);
        let confirmed = |m: &Member| self.confirmed(now, group, m, plain, options);
        if group.members.is_empty() || !group.members.iter().all(confirmed) {
            return Health::Incomplete;
        }
        let leaving = |m: &Member| self.leaving(m, pools);
        if pools.get(&group.pool).is_none() || group.members.iter().any(leaving) {
            return Health::Draining;
        }
        Health::Serving
    }

    /// Whether the worker's own report agrees with the row; plain workers join no group.
    fn confirmed(
        &self,
        now: Time,
        group: &Group,
        member: &Member,
        plain: bool,
        options: &Options,
    ) -> bool {
        let Some(report) = self.fresh(now, &member.instance, options) else {
            return false;
        };
        let joined = report
            .assignment
            .as_ref()
            .is_some_and(|a| a.group == group.id && a.fence == group.fence);
        report.incarnation == member.incarnation && report.ready && (plain || joined)
    }

    pub(crate) fn leaving(&self, member: &Member, pools: &Pools) -> bool {
        self.listings
            .get(&member.instance)
            .is_none_or(|l| l.status == Status::Leaving || pools.zones_out.contains(&l.zone))
    }
}
