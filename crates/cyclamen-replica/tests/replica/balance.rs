//! Tests of the decision which domains turn groups of one model into groups of another.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_directory::service::{Engine, Model};
use cyclamen_replica::{Balance, Demand, GroupCounts, Guidance, Site};
use cyclamen_types::{Time, model};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::simulation;

const TICK: Duration = Duration::from_millis(500);
const SMALL_REQUESTS: f64 = 400.0;
const LARGE_REQUESTS: f64 = 50.0;

fn name(model: &str) -> model::Name {
    model.parse().unwrap()
}

/// An engine whose groups of `large` have eight workers, and those of `small` four.
fn engine() -> Engine {
    let mut engine = simulation::engine();
    engine.slots = 34;
    for (model, (size, pace)) in engine.models.iter_mut().zip([(8, 1.0), (4, 0.6)]) {
        (model.size, model.pace) = (size, pace);
    }
    engine
}

fn size(engine: &Engine, model: &str) -> usize {
    engine.model(&name(model)).map_or(0, |m: &Model| m.size)
}

/// The demand, in requests per second of `large` and `small`.
fn demand(large: f64, small: f64) -> BTreeMap<model::Name, Demand> {
    let of = |model: &str, requests: f64, prompt: f64| Demand {
        service: "llm".parse().unwrap(),
        model: name(model),
        requests,
        prompt_tokens: requests * prompt,
        answer_tokens: requests * 100.0,
        refused: 0.0,
    };
    let demands = [of("large", large, 1_700.0), of("small", small, 700.0)];
    demands.into_iter().map(|d| (d.model.clone(), d)).collect()
}

/// Nine domains in three zones.
struct Fleet {
    engine: Engine,
    balance: Balance,
    now: Time,
    sites: Vec<Site>,
}

impl Fleet {
    fn new() -> Self {
        let counts =
            |large, small| GroupCounts::from([(name("large"), large), (name("small"), small)]);
        let site = |n: usize| Site {
            domain: format!("d{n}").parse().unwrap(),
            zone: format!("z{}", n % 3).parse().unwrap(),
            workers: 19,
            serving: counts(1, 2),
            coming: GroupCounts::new(),
            prepared: GroupCounts::new(),
        };
        Self {
            engine: engine(),
            balance: Balance::default(),
            now: Time::default(),
            sites: (0..9).map(site).collect(),
        }
    }

    fn update(&mut self, demand: Option<&BTreeMap<model::Name, Demand>>) -> Guidance {
        self.now = self.now + TICK;
        self.balance
            .update(self.now, &self.engine, demand, &self.sites)
    }

    /// Runs for some seconds with a demand; returns the last guidance.
    fn run(&mut self, seconds: u64, demand: &BTreeMap<model::Name, Demand>) -> Guidance {
        let steps = seconds * 1_000 / TICK.as_millis() as u64;
        let guidances = (0..steps).map(|_| self.update(Some(demand)));
        guidances.last().unwrap_or_default()
    }

    /// Carries out all shifts at once.
    fn carry_out(&mut self, guidance: &Guidance) {
        for site in &mut self.sites {
            let Some(shift) = guidance.shifts.get(&site.domain) else {
                continue;
            };
            let from = size(&self.engine, shift.from.as_str());
            let to = size(&self.engine, shift.to.as_str());
            let given = to.div_ceil(from);
            *site.serving.entry(shift.from.clone()).or_default() -= given;
            *site.serving.entry(shift.to.clone()).or_default() += given * from / to;
        }
    }

    fn count(&self, model: &str) -> usize {
        let counts = self
            .sites
            .iter()
            .filter_map(|s| s.serving.get(&name(model)));
        counts.sum()
    }
}

#[test]
fn demand_that_most_groups_do_not_fit_moves_groups() {
    let mut fleet = Fleet::new();
    let usual = demand(LARGE_REQUESTS, SMALL_REQUESTS);
    for _ in 0..10 {
        let guidance = fleet.run(10, &usual);
        fleet.carry_out(&guidance);
    }
    assert!(fleet.count("small") >= 21, "{}", fleet.count("small"));
    assert!(
        (5..9).contains(&fleet.count("large")),
        "{}",
        fleet.count("large")
    );
    let last = fleet.run(10, &usual);
    assert_eq!(last.shifts, BTreeMap::new(), "does not come to rest");
}

#[test]
fn demand_that_moves_to_the_other_model_moves_groups_back() {
    let mut fleet = Fleet::new();
    for (large, small, more) in [(20.0, 500.0, "small"), (150.0, 20.0, "large")] {
        let before = fleet.count(more);
        for _ in 0..10 {
            let guidance = fleet.run(10, &demand(large, small));
            fleet.carry_out(&guidance);
        }
        assert!(fleet.count(more) > before, "{more}: {before}");
    }
    assert!(fleet.count("small") >= 2);
}

#[test]
fn a_burst_of_three_seconds_moves_nothing() {
    let mut fleet = Fleet::new();
    let calm = demand(20.0, 200.0);
    for _ in 0..5 {
        assert_eq!(fleet.run(10, &calm), fleet.run(1, &calm), "is not calm");
        let burst = fleet.run(3, &demand(20.0, 2_000.0));
        assert_eq!((burst.shifts, burst.shares), (BTreeMap::new(), None));
    }
}

#[test]
fn demand_that_fits_leaves_the_shares_of_the_configuration() {
    let mut fleet = Fleet::new();
    let guidance = fleet.run(60, &demand(30.0, 200.0));
    assert_eq!((guidance.shifts, guidance.shares), (BTreeMap::new(), None));
}

#[test]
fn unknown_demand_ends_shifts_after_a_while_and_keeps_the_shares() {
    let mut fleet = Fleet::new();
    let active = fleet.run(10, &demand(LARGE_REQUESTS, SMALL_REQUESTS));
    assert!(!active.shifts.is_empty());
    let at_once = fleet.update(None);
    assert_eq!(at_once.shifts, active.shifts, "ends at once");
    let last = (0..10).map(|_| fleet.update(None)).last().unwrap();
    assert_eq!(last.shifts, BTreeMap::new());
    assert_eq!(last.shares, active.shares);
}

#[test]
fn shares_add_up() {
    let mut fleet = Fleet::new();
    let guidance = fleet.run(10, &demand(LARGE_REQUESTS, SMALL_REQUESTS));
    let sum: f64 = guidance.shares.unwrap().values().sum();
    assert!((sum - 1.0).abs() < 1e-9, "{sum}");
}

#[test]
fn domains_that_have_begun_go_on() {
    let mut fleet = Fleet::new();
    let usual = demand(LARGE_REQUESTS, SMALL_REQUESTS);
    fleet.sites[7].prepared.insert(name("small"), 1);
    let guidance = fleet.run(10, &usual);
    assert!(
        guidance.shifts.contains_key(&fleet.sites[7].domain),
        "{guidance:?}"
    );
}

#[test]
fn domains_of_different_zones_shift() {
    let mut fleet = Fleet::new();
    let guidance = fleet.run(10, &demand(LARGE_REQUESTS, SMALL_REQUESTS));
    let shifting = fleet
        .sites
        .iter()
        .filter(|s| guidance.shifts.contains_key(&s.domain));
    let zones: Vec<_> = shifting.map(|site| site.zone.clone()).collect();
    let different: std::collections::BTreeSet<_> = zones.iter().collect();
    assert!(
        zones.len() > 1 && different.len() == zones.len(),
        "{zones:?}"
    );
}

/// Guards against one domain more that shifts while the group of another is closed or formed.
#[test]
fn a_shift_halfway_counts_for_the_model_that_gets_the_groups() {
    let mut fleet = Fleet::new();
    let usual = demand(LARGE_REQUESTS, SMALL_REQUESTS);
    let before = fleet.run(10, &usual).shifts.len();
    let shifting = fleet.run(1, &usual).shifts;
    let site = fleet
        .sites
        .iter_mut()
        .find(|s| shifting.contains_key(&s.domain))
        .unwrap();
    site.serving.insert(name("large"), 0);
    site.coming.insert(name("small"), 2);
    let after = fleet.run(1, &usual).shifts.len();
    assert_eq!(after, before - 1);
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(1), failure_persistence: None, ..Config::default() })]

    /// Guards against shifts that leave a model without groups, take more groups than there are, or
    /// stop too many at once.
    #[test]
    fn shifts_are_bounded_and_leave_every_model_groups(
        demands in prop::collection::vec((0.0..5_000.0, 0.0..5_000.0, 1..15_u64), 1..8),
        sizes in (1..9_usize, 1..9_usize),
    ) {
        let mut fleet = Fleet::new();
        fleet.engine.models[0].size = sizes.0;
        fleet.engine.models[1].size = sizes.1;
        for (large, small, seconds) in demands {
            let counts = (fleet.count("large"), fleet.count("small"));
            let guidance = fleet.run(seconds, &demand(large, small));
            if let Some(shift) = guidance.shifts.values().next() {
                let from = fleet.count(shift.from.as_str());
                prop_assert!(guidance.shifts.len() <= (from / 4).max(1), "{guidance:?}");
                prop_assert!(guidance.shifts.values().all(|other| other == shift));
            }
            fleet.carry_out(&guidance);
            let now = (fleet.count("large"), fleet.count("small"));
            prop_assert!(now.0 >= counts.0.min(2) && now.1 >= counts.1.min(2), "{now:?}");
        }
    }
}
