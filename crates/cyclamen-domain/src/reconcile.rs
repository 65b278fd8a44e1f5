//! Reconciliation of a domain's row: drops, repairs and forms groups.

use std::collections::BTreeMap;

use cyclamen_types::{group, instance, pool};

use crate::listing::Status;
use crate::monitor::Presence;
use crate::plan::View;
use crate::repair::Repair;
use crate::row::{Group, Member, Row};

/// The change to one member of a group.
enum Change {
    /// Keep the member, which is present or may return.
    Keep,
    /// Keep the instance in its new incarnation.
    Rejoin(Member),
    /// Replace the member by another instance.
    Replace,
}

/// Computes the next row of a domain.
pub(crate) struct Reconciler<'a> {
    view: &'a View<'a>,
    /// Whether a group is known to have no request in progress.
    is_idle: &'a dyn Fn(&Group) -> bool,
    pub(crate) row: Row,
    /// Instances that are in no group of the row and may join one.
    free: BTreeMap<pool::Name, Vec<Member>>,
    loading: usize,
}

impl<'a> Reconciler<'a> {
    pub(crate) fn new(view: &'a View<'a>, is_idle: &'a dyn Fn(&Group) -> bool) -> Self {
        let mut reconciler = Self {
            view,
            is_idle,
            row: view.row.clone(),
            free: BTreeMap::new(),
            loading: 0,
        };
        reconciler.collect_free();
        reconciler.loading = reconciler.count_loading();
        reconciler
    }

    fn collect_free(&mut self) {
        let view = self.view;
        for listing in view.monitor.listings() {
            if self.row.group_of(&listing.instance).is_some() {
                continue;
            }
            if let Some((pool, member)) = self.candidate(&listing.instance) {
                self.free.entry(pool).or_default().push(member);
            }
        }
    }

    /// Returns the pool and the current incarnation of an instance, if it may join a group.
    fn candidate(&self, instance: &instance::Id) -> Option<(pool::Name, Member)> {
        let view = self.view;
        let listing = view.monitor.listing(instance)?;
        let report = view
            .monitor
            .fresh_report(view.now, instance, view.options)?;
        let pool = view.pools.of_service(&listing.service)?;
        let zone_out = view.pools.zones_out.contains(&listing.zone);
        if listing.status == Status::Leaving || zone_out {
            return None;
        }
        let member = Member {
            instance: instance.clone(),
            incarnation: report.incarnation,
        };
        Some((pool.name.clone(), member))
    }

    /// Returns the number of members that are loading their part of a model.
    fn count_loading(&self) -> usize {
        let view = self.view;
        let model_groups = self
            .row
            .groups
            .iter()
            .filter(|g| view.accepts_orders(&g.pool));
        let members = model_groups.flat_map(|g| &g.members);
        let is_loading = |m: &&Member| {
            let report = view
                .monitor
                .fresh_report(view.now, &m.instance, view.options);
            report.is_some_and(|r| !r.ready)
        };
        members.filter(is_loading).count()
    }

    /// Returns whether another worker of the pool may load now.
    fn may_load(&self, pool: &pool::Name) -> bool {
        !self.view.accepts_orders(pool) || self.loading < self.view.options.max_concurrent_loads
    }

    /// Drops idle groups whose pool no longer exists, and groups whose members are all gone.
    pub(crate) fn drop_groups(&mut self) {
        let (view, is_idle) = (self.view, self.is_idle);
        self.row.groups.retain(|group| {
            let is_orphan = view.pools.get(&group.pool).is_none() && is_idle(group);
            let is_gone =
                |m: &Member| view.monitor.presence(view.now, m, view.options) == Presence::Gone;
            !is_orphan && !group.members.iter().all(is_gone)
        });
    }

    /// Repairs groups, in descending order of present members.
    pub(crate) fn repair_groups(&mut self) {
        let mut groups = self.row.groups.clone();
        groups.sort_by_key(|group| std::cmp::Reverse(self.count_present(group)));
        for group in groups {
            let exists = self.row.group(&group.id).is_some();
            if let Some(members) = exists.then(|| self.repaired_members(&group)).flatten() {
                self.set_members(&group.id, members);
            }
        }
    }

    /// Returns the members of a group after repair, if they differ.
    ///
    /// Uses spares only if there are enough of them to complete the group.
    fn repaired_members(&mut self, group: &Group) -> Option<Vec<Member>> {
        let mut members = group.members.clone();
        let mut vacant = Vec::new();
        for (position, member) in members.iter_mut().enumerate() {
            match self.member_change(group, member) {
                Change::Keep => {}
                Change::Rejoin(restarted) => *member = restarted,
                Change::Replace => vacant.push(position),
            }
        }
        if self.reserve_spares(group, vacant.len()) {
            let free = self.free.get_mut(&group.pool)?;
            for position in vacant {
                members[position] = free.pop()?;
                self.loading += 1;
            }
        }
        (members != group.members).then_some(members)
    }

    /// Returns the change to one member.
    fn member_change(&self, group: &Group, member: &Member) -> Change {
        let view = self.view;
        let repair = match view.monitor.presence(view.now, member, view.options) {
            Presence::Present if self.must_replace(group, member) && (self.is_idle)(group) => {
                Repair::Replace
            }
            Presence::Present => Repair::Wait,
            Presence::Restarted => match self.candidate(&member.instance) {
                Some((_, restarted)) => return Change::Rejoin(restarted),
                None => Repair::Replace,
            },
            Presence::Gone => Repair::Replace,
            Presence::Silent(since) => {
                let silent = view.now.since(since);
                view.options.repair.decide(silent, view.options.load_time)
            }
        };
        match repair {
            Repair::Wait => Change::Keep,
            Repair::Replace => Change::Replace,
        }
    }

    /// Returns whether a present member prevents the others of its group from serving.
    ///
    /// A group whose members are all in zones that are out is kept for their return.
    fn must_replace(&self, group: &Group, member: &Member) -> bool {
        let zone_out = self.is_zone_out(member);
        let others_stay = group.members.iter().any(|m| !self.is_zone_out(m));
        self.is_leaving(member) || (zone_out && others_stay)
    }

    fn is_zone_out(&self, member: &Member) -> bool {
        let listing = self.view.monitor.listing(&member.instance);
        listing.is_some_and(|l| self.view.pools.zones_out.contains(&l.zone))
    }

    /// Returns whether a member is leaving, or is no longer listed although it may still respond.
    fn is_leaving(&self, member: &Member) -> bool {
        let listing = self.view.monitor.listing(&member.instance);
        listing.is_none_or(|l| l.status == Status::Leaving)
    }

    /// Ensures that `count` spares for a group are free, dropping weaker groups if necessary.
    ///
    /// Returns `false` and drops no group if no spare is needed, if no further worker may load
    /// or if there are too few spares.
    fn reserve_spares(&mut self, target: &Group, count: usize) -> bool {
        if count == 0 || !self.may_load(&target.pool) {
            return false;
        }
        let mut donors = self.donors(target);
        let available = donors.iter().map(|donor| self.spares_of(donor).len());
        if self.free_count(&target.pool) + available.sum::<usize>() < count {
            return false;
        }
        while self.free_count(&target.pool) < count
            && let Some(donor) = donors.pop()
        {
            let spares = self.spares_of(&donor);
            self.row.groups.retain(|g| g.id != donor.id);
            self.free
                .entry(target.pool.clone())
                .or_default()
                .extend(spares);
        }
        self.free_count(&target.pool) >= count
    }

    fn free_count(&self, pool: &pool::Name) -> usize {
        self.free.get(pool).map_or(0, Vec::len)
    }

    /// Returns the groups of the pool that are weaker than `target` and cannot serve with their
    /// present members, the weakest last.
    ///
    /// A group is weaker if it has fewer present members, or as many and a lower id. One whose
    /// members all stay may still run requests.
    fn donors(&self, target: &Group) -> Vec<Group> {
        let strength = |g: &Group| (self.count_present(g), g.id.clone());
        let others = self
            .row
            .groups
            .iter()
            .filter(|g| g.id != target.id && g.pool == target.pool);
        let weaker = others.filter(|g| self.changes(g) && strength(g) < strength(target));
        let mut donors: Vec<_> = weaker.cloned().collect();
        donors.sort_by_key(|g| std::cmp::Reverse(strength(g)));
        donors
    }

    /// Returns whether any member of a group has to rejoin it or to be replaced.
    fn changes(&self, group: &Group) -> bool {
        let mut members = group.members.iter();
        members.any(|m| !matches!(self.member_change(group, m), Change::Keep))
    }

    /// Returns the members of a group that may join another group.
    fn spares_of(&self, group: &Group) -> Vec<Member> {
        let members = group.members.iter();
        members
            .filter_map(|m| self.candidate(&m.instance))
            .map(|(_, member)| member)
            .collect()
    }

    /// Returns the number of members that are present, not leaving and not in a zone that is out.
    fn count_present(&self, group: &Group) -> usize {
        let view = self.view;
        let is_present = |m: &&Member| {
            let presence = view.monitor.presence(view.now, m, view.options);
            presence == Presence::Present && !self.is_leaving(m) && !self.is_zone_out(m)
        };
        group.members.iter().filter(is_present).count()
    }

    fn set_members(&mut self, id: &group::Id, members: Vec<Member>) {
        let fence = self.row.fence.next();
        if let Some(group) = self.row.groups.iter_mut().find(|g| g.id == *id) {
            group.members = members;
            group.fence = fence;
            self.row.fence = fence;
        }
    }

    /// Forms new groups from free instances.
    pub(crate) fn form_groups(&mut self) {
        for pool in &self.view.pools.pools {
            let size = usize::try_from(pool.group_size).unwrap_or(usize::MAX);
            while self.may_load(&pool.name) && self.form_group(&pool.name, size) {}
        }
    }

    fn form_group(&mut self, pool: &pool::Name, size: usize) -> bool {
        let Some(free) = self.free.get_mut(pool).filter(|f| f.len() >= size) else {
            return false;
        };
        let fence = self.row.fence.next();
        let Ok(id) = format!("{}-{}", self.view.domain, fence).parse() else {
            return false;
        };
        self.row.groups.push(Group {
            id,
            pool: pool.clone(),
            fence,
            members: free.drain(..size).collect(),
        });
        self.row.fence = fence;
        self.loading += size;
        true
    }
}
