//! A row in the making: groups dropped, repaired and formed.

use std::collections::BTreeMap;

use cyclamen_types::{group, instance, pool};

use crate::listing::Status;
use crate::monitor::Presence;
use crate::plan::Scene;
use crate::repair::Repair;
use crate::row::{Group, Member, Row};

/// What becomes of a member.
enum Fate {
    /// It stays, or may come back.
    Stays,
    /// It comes back as another incarnation.
    Returns(Member),
    /// Another instance has to take its place.
    Lost,
}

/// A row in the making.
pub(crate) struct Draft<'a> {
    scene: &'a Scene<'a>,
    pub(crate) row: Row,
    free: BTreeMap<pool::Name, Vec<Member>>,
    loading: usize,
}

impl<'a> Draft<'a> {
    pub(crate) fn new(scene: &'a Scene<'a>) -> Self {
        let mut draft = Self {
            scene,
            row: scene.row.clone(),
            free: BTreeMap::new(),
            loading: 0,
        };
        draft.find_free();
        draft.loading = draft.count_loading();
        draft
    }

    fn find_free(&mut self) {
        let scene = self.scene;
        for listing in scene.watch.listings() {
            if self.row.group_of(&listing.instance).is_some() {
                continue;
            }
            if let Some((pool, member)) = self.usable(&listing.instance) {
                self.free.entry(pool).or_default().push(member);
            }
        }
    }

    /// The pool and present start of an instance that may join a group.
    fn usable(&self, instance: &instance::Id) -> Option<(pool::Name, Member)> {
        let scene = self.scene;
        let listing = scene.watch.listing(instance)?;
        let report = scene.watch.fresh(scene.now, instance, scene.options)?;
        let pool = scene.pools.of_service(&listing.service)?;
        let zone_out = scene.pools.zones_out.contains(&listing.zone);
        if listing.status == Status::Leaving || zone_out {
            return None;
        }
        let member = Member {
            instance: instance.clone(),
            incarnation: report.incarnation,
        };
        Some((pool.name.clone(), member))
    }

    /// Members that load their part of a model at present.
    fn count_loading(&self) -> usize {
        let scene = self.scene;
        let models = self
            .row
            .groups
            .iter()
            .filter(|g| scene.takes_orders(&g.pool));
        let members = models.flat_map(|g| &g.members);
        let loading = |m: &&Member| {
            let report = scene.watch.fresh(scene.now, &m.instance, scene.options);
            report.is_some_and(|r| !r.ready)
        };
        members.filter(loading).count()
    }

    fn may_load(&self, pool: &pool::Name) -> bool {
        !self.scene.takes_orders(pool) || self.loading < self.scene.options.max_concurrent_loads
    }

    /// Drops groups that have no pool or no members left.
    pub(crate) fn drop_groups(&mut self, idle: impl Fn(&Group) -> bool) {
        let scene = self.scene;
        self.row.groups.retain(|group| {
            let orphan = scene.pools.get(&group.pool).is_none() && idle(group);
            let gone =
                |m: &Member| scene.watch.presence(scene.now, m, scene.options) == Presence::Gone;
            !orphan && !group.members.iter().all(gone)
        });
    }

    /// Repairs groups, those with the most present members first.
    pub(crate) fn repair_groups(&mut self, idle: impl Fn(&Group) -> bool) {
        let mut groups = self.row.groups.clone();
        groups.sort_by_key(|group| std::cmp::Reverse(self.present(group)));
        for group in groups {
            let stands = self.row.group(&group.id).is_some();
            if let Some(members) = stands
                .then(|| self.repaired(&group, idle(&group)))
                .flatten()
            {
                self.replace(&group.id, members);
            }
        }
    }

    /// The members of a group after repair, if they differ.
    ///
    /// Spares are taken only if there are enough of them to make the group whole.
    fn repaired(&mut self, group: &Group, idle: bool) -> Option<Vec<Member>> {
        let mut members = group.members.clone();
        let mut lost = Vec::new();
        for (place, member) in members.iter_mut().enumerate() {
            match self.fate(group, member, idle) {
                Fate::Stays => {}
                Fate::Returns(restarted) => *member = restarted,
                Fate::Lost => lost.push(place),
            }
        }
        if self.collect_spares(group, lost.len()) {
            let free = self.free.get_mut(&group.pool)?;
            for place in lost {
                members[place] = free.pop()?;
                self.loading += 1;
            }
        }
        (members != group.members).then_some(members)
    }

    /// What becomes of one member.
    fn fate(&self, group: &Group, member: &Member, idle: bool) -> Fate {
        let scene = self.scene;
        let repair = match scene.watch.presence(scene.now, member, scene.options) {
            Presence::Present if self.must_go(group, member) && idle => Repair::Replace,
            Presence::Present => Repair::Wait,
            Presence::Restarted => match self.usable(&member.instance) {
                Some((_, restarted)) => return Fate::Returns(restarted),
                None => Repair::Replace,
            },
            Presence::Gone => Repair::Replace,
            Presence::Silent(since) => {
                let silent = scene.now.since(since);
                scene.options.repair.decide(silent, scene.options.load_time)
            }
        };
        match repair {
            Repair::Wait => Fate::Stays,
            Repair::Replace => Fate::Lost,
        }
    }

    /// Whether a member that answers keeps the others of its group from serving.
    ///
    /// A group that lies wholly in a zone that is out stays as it is for its return.
    fn must_go(&self, group: &Group, member: &Member) -> bool {
        let zone_out = self.is_zone_out(member);
        let others_stay = group.members.iter().any(|m| !self.is_zone_out(m));
        self.is_leaving(member) || (zone_out && others_stay)
    }

    fn is_zone_out(&self, member: &Member) -> bool {
        let listing = self.scene.watch.listing(&member.instance);
        listing.is_some_and(|l| self.scene.pools.zones_out.contains(&l.zone))
    }

    /// Whether a member is about to leave, or has left the list while it still answers.
    fn is_leaving(&self, member: &Member) -> bool {
        let listing = self.scene.watch.listing(&member.instance);
        listing.is_none_or(|l| l.status == Status::Leaving)
    }

    /// Sees to it that enough spares are free, from weaker groups if need be.
    fn collect_spares(&mut self, needy: &Group, count: usize) -> bool {
        if count == 0 || !self.may_load(&needy.pool) {
            return false;
        }
        let mut donors = self.donors(needy);
        let given = donors.iter().map(|donor| self.spares_of(donor).len());
        if self.free_count(&needy.pool) + given.sum::<usize>() < count {
            return false;
        }
        while self.free_count(&needy.pool) < count
            && let Some(donor) = donors.pop()
        {
            let spares = self.spares_of(&donor);
            self.row.groups.retain(|g| g.id != donor.id);
            self.free
                .entry(needy.pool.clone())
                .or_default()
                .extend(spares);
        }
        self.free_count(&needy.pool) >= count
    }

    fn free_count(&self, pool: &pool::Name) -> usize {
        self.free.get(pool).map_or(0, Vec::len)
    }

    /// Incomplete groups with fewer present members, the weakest last.
    fn donors(&self, needy: &Group) -> Vec<Group> {
        let strength = |g: &Group| (self.present(g), g.id.clone());
        let others = self
            .row
            .groups
            .iter()
            .filter(|g| g.id != needy.id && g.pool == needy.pool);
        let weaker =
            others.filter(|g| self.present(g) < g.members.len() && strength(g) < strength(needy));
        let mut donors: Vec<_> = weaker.cloned().collect();
        donors.sort_by_key(|g| std::cmp::Reverse(strength(g)));
        donors
    }

    /// Members of a group that could serve in another.
    fn spares_of(&self, group: &Group) -> Vec<Member> {
        let members = group.members.iter();
        members
            .filter_map(|m| self.usable(&m.instance))
            .map(|(_, member)| member)
            .collect()
    }

    fn present(&self, group: &Group) -> usize {
        let scene = self.scene;
        let present = |m: &&Member| {
            let presence = scene.watch.presence(scene.now, m, scene.options);
            presence == Presence::Present && !self.is_leaving(m) && !self.is_zone_out(m)
        };
        group.members.iter().filter(present).count()
    }

    fn replace(&mut self, id: &group::Id, members: Vec<Member>) {
        let fence = self.row.fence.next();
        if let Some(group) = self.row.groups.iter_mut().find(|g| g.id == *id) {
            group.members = members;
            group.fence = fence;
            self.row.fence = fence;
        }
    }

    /// Forms new groups of free instances.
    pub(crate) fn form_groups(&mut self) {
        for pool in &self.scene.pools.pools {
            let size = usize::try_from(pool.group_size).unwrap_or(usize::MAX);
            while self.may_load(&pool.name) && self.form_group(&pool.name, size) {}
        }
    }

    fn form_group(&mut self, pool: &pool::Name, size: usize) -> bool {
        let Some(free) = self.free.get_mut(pool).filter(|f| f.len() >= size) else {
            return false;
        };
        let fence = self.row.fence.next();
        let Ok(id) = format!("{}-{}", self.scene.domain, fence).parse() else {
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
