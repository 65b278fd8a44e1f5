//! What every entry knows of the groups in each fabric domain.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cyclamen_directory::Instance;
use cyclamen_directory::instance::Status;
use cyclamen_directory::service::Engine;
use cyclamen_types::{domain, instance, model, zone};

use crate::counts::GroupCounts;
use crate::groups::{Group, Groups, State};

/// The groups and workers of one fabric domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Site {
    /// The domain.
    pub domain: domain::Name,
    /// The availability zone of its workers.
    pub zone: zone::Name,
    /// The number of its workers.
    pub workers: usize,
    /// The groups of each model that serve.
    pub serving: GroupCounts,
    /// The groups of each model that are being formed, that have a leaving member, or that free
    /// workers with its weights could form.
    pub coming: GroupCounts,
    /// The members of groups of other models whose hosts hold the weights of a model.
    pub prepared: GroupCounts,
}

/// Returns the fabric domains of the workers of one service, in the order of their names.
pub fn sites<'a>(
    engine: &Engine,
    instances: impl IntoIterator<Item = &'a Arc<Instance>>,
    is_lost: impl Fn(&Instance) -> bool,
) -> Vec<Site> {
    let present = |i: &&Arc<Instance>| i.domain.is_some() && !is_lost(i);
    let instances: Vec<_> = instances.into_iter().filter(present).collect();
    let mut sites: BTreeMap<domain::Name, Site> = BTreeMap::new();
    for instance in &instances {
        let Some(domain) = &instance.domain else {
            continue;
        };
        let site = sites.entry(domain.clone()).or_insert_with(|| Site {
            domain: domain.clone(),
            zone: instance.zone.clone(),
            workers: 0,
            serving: GroupCounts::new(),
            coming: GroupCounts::new(),
            prepared: GroupCounts::new(),
        });
        site.workers += 1;
    }
    let mut bound: BTreeSet<instance::Id> = BTreeSet::new();
    for group in Groups::from_instances(instances.iter().copied()).iter() {
        let state = group.state(engine, |_| false);
        let domain = group.members.values().find_map(|m| m.domain.clone());
        let site = domain.and_then(|domain| sites.get_mut(&domain));
        let (Some(site), Some(model)) = (site, &group.model) else {
            continue;
        };
        let counts = match state {
            // A group with a leaving member is formed again.
            State::Serving if has_leaving(group) => &mut site.coming,
            State::Serving => &mut site.serving,
            State::Joining => &mut site.coming,
            State::Ready | State::Closing | State::Partial => continue,
        };
        *counts.entry(model.clone()).or_default() += 1;
        bound.extend(group.members.values().map(|m| m.id.clone()));
        let staged = group.members.values().flat_map(|m| &m.staged);
        for other in staged.filter(|staged| *staged != model) {
            *site.prepared.entry(other.clone()).or_default() += 1;
        }
    }
    count_free(engine, &instances, &bound, &mut sites);
    sites.into_values().collect()
}

fn has_leaving(group: &Group) -> bool {
    let mut members = group.members.values();
    members.any(|m| m.status == Status::Leaving)
}

/// Counts the groups that workers outside groups could form at once.
fn count_free(
    engine: &Engine,
    instances: &[&Arc<Instance>],
    bound: &BTreeSet<instance::Id>,
    sites: &mut BTreeMap<domain::Name, Site>,
) {
    let mut holders: BTreeMap<(&domain::Name, &model::Name), usize> = BTreeMap::new();
    for instance in instances.iter().filter(|i| !bound.contains(&i.id)) {
        if let Some(domain) = &instance.domain {
            for model in &instance.staged {
                *holders.entry((domain, model)).or_default() += 1;
            }
        }
    }
    for ((domain, name), count) in holders {
        let model = engine.model(name).filter(|model| model.size > 0);
        if let (Some(site), Some(model)) = (sites.get_mut(domain), model) {
            *site.coming.entry(name.clone()).or_default() += count / model.size;
        }
    }
}
