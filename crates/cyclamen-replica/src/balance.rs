//! Decides which fabric domains turn groups of one model into groups of another.
//!
//! Every owner of a domain computes the decision for all domains from what every entry knows, and
//! acts on it for its own. A lack has to last, so that a short burst moves nothing.

mod sites;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_directory::service::{Engine, Model};
use cyclamen_types::{Time, domain, model, zone};

use crate::counts::Shares;
use crate::demand::{Demand, Needs, needs};
pub use sites::{Site, sites};

/// How long a shift has to be wanted without a break before domains begin it.
const MIN_LACK: Duration = Duration::from_secs(5);
/// How long a shift that domains have begun may be not wanted before it ends.
const MAX_LAPSE: Duration = Duration::from_secs(3);
/// The least number of groups that a model keeps when it gives some up, so that the loss of one
/// does not leave it without any.
const MIN_GROUPS: usize = 2;
/// At most one of so many groups of a model is given up at once, but at least one.
const GROUPS_PER_SHIFT: usize = 4;

/// Groups of one model that become groups of another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shift {
    /// The model that gives groups up.
    pub from: model::Name,
    /// The model that gets groups.
    pub to: model::Name,
}

/// What the owners of domains are to do.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Guidance {
    /// The number of groups that each model needs, if it is known.
    pub needs: Option<Needs>,
    /// The shares by which free workers are divided; `None` for those of the configuration.
    pub shares: Option<Shares>,
    /// The domains that shift groups.
    pub shifts: BTreeMap<domain::Name, Shift>,
}

/// A shift that is wanted.
#[derive(Debug)]
struct Wanted {
    shift: Shift,
    since: Time,
    /// When it was last wanted.
    seen_at: Time,
    /// The number of domains that shift.
    domains: usize,
    /// The domains that shifted at the last decision.
    chosen: BTreeSet<domain::Name>,
}

/// The groups that a domain gives up in a shift, and those that they become.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Exchange {
    pub(crate) given: usize,
    pub(crate) gained: usize,
}

impl Exchange {
    /// Returns the least exchange that gains a group.
    pub(crate) fn between(from: &Model, to: &Model) -> Option<Self> {
        if from.size == 0 || to.size == 0 {
            return None;
        }
        let given = to.size.div_ceil(from.size);
        let gained = given.checked_mul(from.size)? / to.size;
        Some(Self { given, gained })
    }
}

/// Decides which domains shift groups between the models of one service.
#[derive(Debug, Default)]
pub struct Balance {
    wanted: Option<Wanted>,
    shares: Option<Shares>,
}

impl Balance {
    /// Returns what the owners are to do now.
    ///
    /// `demand` is the demand at all entries, if it is known.
    pub fn update(
        &mut self,
        now: Time,
        engine: &Engine,
        demand: Option<&BTreeMap<model::Name, Demand>>,
        sites: &[Site],
    ) -> Guidance {
        let workers = sites.iter().map(|site| site.workers).sum();
        let needs = demand.map(|demand| needs(engine, workers, demand));
        let found = needs
            .as_ref()
            .and_then(|needs| wanted_shift(engine, needs, sites));
        self.follow(now, found);
        let active = self
            .wanted
            .as_mut()
            .filter(|w| now.since(w.since) >= MIN_LACK);
        let mut shifts = BTreeMap::new();
        if let Some(wanted) = active {
            wanted.chosen = wanted.shifting(now, engine, sites);
            let chosen = wanted.chosen.iter();
            shifts.extend(chosen.map(|name| (name.clone(), wanted.shift.clone())));
            if let Some(needs) = &needs {
                self.shares = Some(shares(engine, needs));
            }
        }
        Guidance {
            needs,
            shares: self.shares.clone(),
            shifts,
        }
    }

    fn follow(&mut self, now: Time, found: Option<(Shift, usize)>) {
        let Some((shift, domains)) = found else {
            let lapsed = |w: &Wanted| {
                let begun = w.seen_at.since(w.since) >= MIN_LACK;
                !begun || now.since(w.seen_at) >= MAX_LAPSE
            };
            self.wanted = self.wanted.take().filter(|w| !lapsed(w));
            return;
        };
        let last = self.wanted.take().filter(|w| w.shift == shift);
        self.wanted = Some(Wanted {
            shift,
            since: last.as_ref().map_or(now, |w| w.since),
            seen_at: now,
            domains,
            chosen: last.map(|w| w.chosen).unwrap_or_default(),
        });
    }
}

/// Returns the shares that are in proportion to needs.
fn shares(engine: &Engine, needs: &Needs) -> Shares {
    let models = engine.models.iter();
    let work = models.filter_map(|m| Some((m, needs.get(&m.name)? * m.size as f64)));
    let work: Vec<_> = work.collect();
    let all: f64 = work.iter().map(|(_, work)| work).sum();
    let share = |work: f64| work / all.max(f64::MIN_POSITIVE);
    let shares = work.iter().map(|(m, work)| (m.name.clone(), share(*work)));
    shares.collect()
}

/// Returns the shift to the model that lacks most groups from the one that has most to spare, and
/// the number of domains that are to shift.
fn wanted_shift(engine: &Engine, needs: &Needs, sites: &[Site]) -> Option<(Shift, usize)> {
    let need = |model: &Model| needs.get(&model.name).copied().unwrap_or(0.0);
    let serving = |model: &Model| count(sites, |site| site.serving.get(&model.name));
    let coming = |model: &Model| count(sites, |site| site.coming.get(&model.name));
    let lack = |model: &Model| need(model) - (serving(model) + coming(model)) as f64;
    let spare = |model: &Model| {
        let kept = (need(model).ceil().max(0.0) as usize).max(MIN_GROUPS);
        serving(model).saturating_sub(kept)
    };
    let models = engine.models.iter().filter(|model| model.size > 0);
    let to = models
        .clone()
        .max_by(|a, b| lack(a).total_cmp(&lack(b)))
        .filter(|model| lack(model) >= 1.0)?;
    let from = models
        .filter(|model| model.name != to.name)
        .max_by_key(|model| spare(model).saturating_mul(model.size))?;
    let exchange = Exchange::between(from, to)?;
    let lacking = (lack(to) / exchange.gained.max(1) as f64).ceil() as usize;
    let domains = lacking.min(spare(from) / exchange.given);
    let domains = domains.min(max_domains(serving(from), exchange));
    let shift = Shift {
        from: from.name.clone(),
        to: to.name.clone(),
    };
    (domains > 0).then_some((shift, domains))
}

/// Returns how many domains may give groups of a model up at once.
fn max_domains(groups: usize, exchange: Exchange) -> usize {
    let at_once = (groups / GROUPS_PER_SHIFT.saturating_mul(exchange.given)).max(1);
    at_once.min(groups.saturating_sub(MIN_GROUPS) / exchange.given)
}

impl Wanted {
    /// Returns the domains that shift: those that have begun first, then those in the zones that
    /// have most groups of the model that gives. No further ones begin while the shift is not wanted.
    fn shifting(&self, now: Time, engine: &Engine, sites: &[Site]) -> BTreeSet<domain::Name> {
        let shift = &self.shift;
        let models = engine.model(&shift.from).zip(engine.model(&shift.to));
        let Some(exchange) = models.and_then(|(from, to)| Exchange::between(from, to)) else {
            return BTreeSet::new();
        };
        let groups = |site: &Site| site.serving.get(&shift.from).copied().unwrap_or(0);
        let mut in_zone: BTreeMap<&zone::Name, usize> = BTreeMap::new();
        for site in sites {
            *in_zone.entry(&site.zone).or_default() += groups(site);
        }
        let limit = max_domains(in_zone.values().sum(), exchange);
        let lapsed = self.seen_at < now;
        let mut chosen = BTreeSet::new();
        for _ in 0..self.domains.min(limit) {
            let candidates = sites.iter().filter(|site| {
                let allowed = !lapsed || self.chosen.contains(&site.domain);
                allowed && groups(site) >= exchange.given && !chosen.contains(&site.domain)
            });
            let rank = |site: &&Site| {
                let prepared = site.prepared.get(&shift.to).copied().unwrap_or(0);
                let begun = (prepared, self.chosen.contains(&site.domain));
                let zone = in_zone.get(&site.zone).copied().unwrap_or(0);
                (begun, zone, groups(site), Reverse(site.domain.clone()))
            };
            let Some(site) = candidates.max_by_key(rank) else {
                break;
            };
            chosen.insert(site.domain.clone());
            let left = in_zone.entry(&site.zone).or_default();
            *left = left.saturating_sub(exchange.given);
        }
        chosen
    }
}

fn count<'a>(sites: &'a [Site], groups: impl Fn(&'a Site) -> Option<&'a usize>) -> usize {
    sites.iter().filter_map(groups).sum()
}
