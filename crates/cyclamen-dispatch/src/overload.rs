//! Admission by what can still be in time, when there is less room than demand.
//!
//! Each entry decides for itself, from the loads of workers and from what it
//! saw in the last seconds: how long requests occupy slots, how far forecasts
//! err, and who asks.

mod decayed;
mod kinds;
mod pool;
mod shares;
mod standing;

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{Time, model};
use rand::Rng;

use crate::request::{Criteria, Dispatch, Outcome, TeamWork};
pub(crate) use pool::Load as PoolLoad;
use pool::Pool;
pub use shares::fair_level;
pub(crate) use standing::{Standing, View};

/// The most teams whose work is reported to other entries for each service and model.
const MAX_REPORTED_TEAMS: usize = 16;

/// Options of admission under overload.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// The time within which demand and measurements are forgotten.
    pub window: Duration,
    /// The wait behind other requests that is always accepted, as a fraction of the goal, since
    /// forecasts err.
    pub margin: f64,
    /// The part of the slots of a worker that is kept from requests without a claim on them.
    pub reserve: f64,
    /// How often a kind or a team is served at least, as a fraction of how often all are.
    pub floor: f64,
    /// The part of the room that is left for returning callers at the usual demand.
    pub spare: f64,
    /// The number of entries up to which each receives the loads of all others at short intervals; the
    /// bound on waits then keeps queues short enough, and nothing more has to be refused.
    pub small_fleet: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(2),
            margin: 0.25,
            reserve: 0.25,
            floor: 0.4,
            spare: 0.2,
            small_fleet: 9,
        }
    }
}

type Key = (cyclamen_types::pool::Service, Option<model::Name>);

/// What decides about admission, for each service and model.
#[derive(Debug)]
pub(crate) struct Control {
    options: Options,
    pools: BTreeMap<Key, Pool>,
}

impl Control {
    pub(crate) fn new(options: Options) -> Self {
        Self {
            options,
            pools: BTreeMap::new(),
        }
    }

    /// Returns whether a fleet of so many entries needs it.
    pub(crate) fn is_needed(&self, entries: usize) -> bool {
        entries > self.options.small_fleet
    }

    fn pool(&mut self, criteria: &Criteria<'_>) -> &mut Pool {
        let key = (criteria.service.clone(), criteria.model.cloned());
        self.pools.entry(key).or_default()
    }

    fn pool_of(&mut self, dispatch: &Dispatch) -> Option<&mut Pool> {
        let target = &dispatch.target;
        let key = (target.service.clone(), target.model.clone());
        self.pools.get_mut(&key)
    }

    /// Records a request and returns what part of the room it may use; `draw` is a random number from
    /// zero to one.
    pub(crate) fn standing(
        &mut self,
        now: Time,
        criteria: &Criteria<'_>,
        load: PoolLoad,
        draw: f64,
    ) -> Standing {
        let options = self.options;
        self.pool(criteria)
            .standing(now, &options, criteria, load, draw)
    }

    /// Records whether a request was admitted.
    pub(crate) fn record(&mut self, now: Time, criteria: &Criteria<'_>, is_admitted: bool) {
        let options = self.options;
        self.pool(criteria)
            .record(now, &options, criteria, is_admitted);
    }

    /// Returns when a caller who is refused for want of room may return.
    pub(crate) fn return_after(
        &mut self,
        now: Time,
        criteria: &Criteria<'_>,
        least: Duration,
        rng: &mut impl Rng,
    ) -> Duration {
        let options = self.options;
        let draw = rng.random::<f64>();
        self.pool(criteria)
            .return_after(now, &options, criteria, least, draw)
    }

    /// Records that the first part of a response has arrived.
    pub(crate) fn record_started(&mut self, now: Time, dispatch: &Dispatch) {
        let window = self.options.window;
        if let Some(pool) = self.pool_of(dispatch) {
            pool.record_started(now, window, dispatch);
        }
    }

    /// Records how a request ended.
    pub(crate) fn record_outcome(&mut self, now: Time, dispatch: &Dispatch, outcome: Outcome) {
        let window = self.options.window;
        if outcome == Outcome::Complete
            && let Some(pool) = self.pool_of(dispatch)
        {
            pool.record_complete(now, window, dispatch);
        }
    }

    /// Returns the work of the teams of each service and model that refused requests lately.
    pub(crate) fn team_work(&self, now: Time) -> Vec<TeamWork> {
        let window = self.options.window;
        let pressed = self.pools.iter();
        let pressed = pressed.filter(|(_, pool)| pool.is_pressed(now, window));
        let work = pressed.flat_map(|((service, model), pool)| {
            let teams = pool.teams().admitted(now, window).into_iter();
            teams
                .take(MAX_REPORTED_TEAMS)
                .map(|(team, tokens)| TeamWork {
                    service: service.clone(),
                    model: model.clone(),
                    team,
                    tokens,
                })
        });
        work.collect()
    }

    /// Replaces the work of teams that another entry reports.
    pub(crate) fn record_team_work(&mut self, now: Time, peer: &str, work: Vec<TeamWork>) {
        for ((service, model), pool) in &mut self.pools {
            let of_pool = work
                .iter()
                .filter(|each| each.service == *service && each.model == *model);
            let of_pool = of_pool.map(|each| (each.team.clone(), each.tokens));
            pool.teams_mut().record_report(now, peer, of_pool);
        }
    }

    /// Returns the share of the requests of each service and model that were lately refused.
    pub(crate) fn refused(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (&cyclamen_types::pool::Service, Option<&model::Name>, f64)> {
        let window = self.options.window;
        self.pools.iter().map(move |((service, model), pool)| {
            (service, model.as_ref(), pool.refused_share(now, window))
        })
    }
}
