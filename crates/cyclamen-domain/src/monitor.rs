//! Listings and reports of the domain's instances, and the health derived from them.

use std::collections::{BTreeMap, BTreeSet};

use cyclamen_tables::Pools;
use cyclamen_tables::pools::Kind;
use cyclamen_types::{Time, instance};

use crate::listing::{Listing, Status};
use crate::options::Options;
use crate::report::Report;
use crate::row::{Group, Member};

/// The health of a group, which decides whether it may get new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Every member is present, confirmed and ready.
    Serving,
    /// The group is complete, but its zone, its pool or a member is being taken out.
    Draining,
    /// A member is missing, unconfirmed or not ready.
    Incomplete,
}

/// Latest listings and reports of the domain's instances.
#[derive(Debug, Default)]
pub(crate) struct Monitor {
    /// Since when this owner has owned the domain and probed its workers.
    observed_from: Time,
    /// The platform's list, or `None` until it was read.
    listings: Option<BTreeMap<instance::Id, Listing>>,
    /// The last listings of members of groups that the list lacks.
    unlisted: BTreeMap<instance::Id, Listing>,
    observations: BTreeMap<instance::Id, Observation>,
    /// Reports to probes sent before these times are invalid.
    invalid_before: BTreeMap<instance::Id, Time>,
}

/// The latest report of an instance.
#[derive(Debug)]
pub(crate) struct Observation {
    /// The time at which the answered probe was sent.
    pub(crate) probed_at: Time,
    pub(crate) report: Report,
}

/// The liveness of one group member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Presence {
    /// Answers probes, with the incarnation that the group was formed with.
    Present,
    /// Has answered no probe sent after this time, or since this owner began to probe.
    Silent(Time),
    /// Reported another incarnation.
    Restarted,
    /// Neither on the platform's list nor answering probes.
    Gone,
}

impl Monitor {
    /// Forgets all reports, as another owner may have changed the groups since they arrived.
    ///
    /// A member counts as silent only for the time since then, not for the time before.
    pub(crate) fn start(&mut self, now: Time) {
        self.observed_from = now;
        self.observations.clear();
        self.invalid_before.clear();
    }

    /// Replaces the list, and forgets the instances that are neither on it nor members of a group.
    pub(crate) fn set_listings(
        &mut self,
        listings: impl IntoIterator<Item = Listing>,
        members: &BTreeSet<&instance::Id>,
    ) {
        let pairs = listings.into_iter().map(|l| (l.instance.clone(), l));
        let listings: BTreeMap<_, _> = pairs.collect();
        self.unlisted
            .extend(self.listings.take().unwrap_or_default());
        let is_listed = |id: &instance::Id| listings.contains_key(id);
        self.unlisted
            .retain(|id, _| members.contains(id) && !is_listed(id));
        let is_known = |id: &instance::Id| is_listed(id) || members.contains(id);
        self.observations.retain(|id, _| is_known(id));
        self.invalid_before.retain(|id, _| is_known(id));
        self.listings = Some(listings);
    }

    /// Returns the number of instances of which any state is held.
    pub(crate) fn known_instances(&self) -> usize {
        let reported = self.observations.keys().chain(self.invalid_before.keys());
        let probed = self.probed().map(|listing| &listing.instance);
        let known: BTreeSet<_> = reported.chain(probed).collect();
        known.len()
    }

    /// Records a report, unless one to a later probe was recorded before or its probe was sent
    /// under an earlier ownership.
    pub(crate) fn record_report(
        &mut self,
        probed_at: Time,
        instance: &instance::Id,
        report: Report,
    ) {
        let is_outdated = self
            .observations
            .get(instance)
            .is_some_and(|o| o.probed_at > probed_at);
        if !is_outdated && probed_at >= self.observed_from {
            self.observations
                .insert(instance.clone(), Observation { probed_at, report });
        }
    }

    /// Invalidates the reports of a group's members that answer probes sent before `now`.
    pub(crate) fn invalidate_reports(&mut self, now: Time, group: &Group) {
        for member in &group.members {
            let before = self
                .invalid_before
                .entry(member.instance.clone())
                .or_insert(now);
            *before = now.max(*before);
        }
    }

    pub(crate) fn listing(&self, instance: &instance::Id) -> Option<&Listing> {
        self.listings.as_ref()?.get(instance)
    }

    pub(crate) fn listings(&self) -> impl Iterator<Item = &Listing> {
        self.listings.iter().flat_map(BTreeMap::values)
    }

    /// Returns the instances to probe: the listed ones, and the members of groups that the list lacks.
    pub(crate) fn probed(&self) -> impl Iterator<Item = &Listing> {
        self.listings().chain(self.unlisted.values())
    }

    /// Returns the last report of an instance if it is valid and within the silence timeout.
    pub(crate) fn fresh_report(
        &self,
        now: Time,
        instance: &instance::Id,
        options: &Options,
    ) -> Option<&Report> {
        let last = self.observations.get(instance)?;
        let is_valid = self
            .invalid_before
            .get(instance)
            .is_none_or(|before| last.probed_at >= *before);
        (is_valid && now.since(last.probed_at) <= options.silence_timeout).then_some(&last.report)
    }

    pub(crate) fn presence(&self, now: Time, member: &Member, options: &Options) -> Presence {
        let last = self.observations.get(&member.instance);
        if last.is_some_and(|o| o.report.incarnation != member.incarnation) {
            return Presence::Restarted;
        }
        let since = last.map_or(self.observed_from, |o| o.probed_at);
        let is_recent = now.since(since) <= options.silence_timeout;
        let listings = self.listings.as_ref();
        let is_unlisted = listings.is_some_and(|l| !l.contains_key(&member.instance));
        match last {
            Some(_) if is_recent => Presence::Present,
            _ if is_unlisted && !is_recent => Presence::Gone,
            _ => Presence::Silent(since),
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
        let is_confirmed = |m: &Member| self.is_confirmed(now, group, m, plain, options);
        if group.members.is_empty() || !group.members.iter().all(is_confirmed) {
            return Health::Incomplete;
        }
        let is_draining = |m: &Member| self.is_draining(m, pools);
        if pools.get(&group.pool).is_none() || group.members.iter().any(is_draining) {
            return Health::Draining;
        }
        Health::Serving
    }

    /// Returns whether the worker's own report matches the row; plain workers join no group.
    fn is_confirmed(
        &self,
        now: Time,
        group: &Group,
        member: &Member,
        plain: bool,
        options: &Options,
    ) -> bool {
        let Some(report) = self.fresh_report(now, &member.instance, options) else {
            return false;
        };
        let joined = report
            .assignment
            .as_ref()
            .is_some_and(|a| a.group == group.id && a.fence == group.fence);
        report.incarnation == member.incarnation && report.ready && (plain || joined)
    }

    /// Returns whether a member is unlisted, is leaving or is in a zone that is out.
    pub(crate) fn is_draining(&self, member: &Member, pools: &Pools) -> bool {
        self.listing(&member.instance)
            .is_none_or(|l| l.status == Status::Leaving || pools.zones_out.contains(&l.zone))
    }
}
