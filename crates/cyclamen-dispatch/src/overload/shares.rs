//! Shares of teams of scarce room.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{Time, team};

use crate::overload::decayed::Sum;

/// How long sums over all entries are used before they are computed again.
const SUMS_TTL: Duration = Duration::from_millis(100);
/// How long the work reported by another entry stays valid.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// The most work a second that is believed of a team at one entry; more counts as none.
const MAX_REPORTED: f64 = 1e8;
/// A team with less work than this is forgotten.
const MIN_WORK: f64 = 0.01;
/// The most teams that an entry keeps or believes of another one.
const MAX_TEAMS: usize = 256;

/// Returns the level of max-min fairness: the room is used up, or all is served, if each gets what
/// it asks for but no more than the level.
pub fn fair_level(asked: impl IntoIterator<Item = f64>, room: f64) -> f64 {
    let mut asked: Vec<f64> = asked.into_iter().filter(|a| *a > 0.0).collect();
    asked.sort_unstable_by(f64::total_cmp);
    let mut left = room.max(0.0);
    for (i, ask) in asked.iter().enumerate() {
        let level = left / (asked.len() - i) as f64;
        if *ask > level {
            return level;
        }
        left -= ask;
    }
    f64::INFINITY
}

/// The work of one team at this entry.
#[derive(Debug, Clone, Copy, Default)]
struct Work {
    admitted: Sum,
    refused: Sum,
}

/// The work of a team at this entry and at those that report theirs.
#[derive(Debug, Clone, Copy, Default)]
struct Total {
    admitted: f64,
    asked: f64,
}

/// The work of teams on one service and model, here and at other entries.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    teams: BTreeMap<team::Name, Work>,
    reports: BTreeMap<String, (Time, BTreeMap<team::Name, f64>)>,
    totals: BTreeMap<team::Name, Total>,
    level: f64,
    /// The share of the asked work that is admitted.
    served: f64,
    summed_at: Option<Time>,
}

impl Shares {
    /// Records work that was asked for a team.
    pub(crate) fn record(
        &mut self,
        now: Time,
        window: Duration,
        team: &team::Name,
        work: f64,
        is_admitted: bool,
    ) {
        if !self.teams.contains_key(team) && self.teams.len() >= MAX_TEAMS {
            self.teams
                .retain(|_, work| work.total(now, window) >= MIN_WORK);
            if self.teams.len() >= MAX_TEAMS {
                return;
            }
        }
        let team = self.teams.entry(team.clone()).or_default();
        let sum = if is_admitted {
            &mut team.admitted
        } else {
            &mut team.refused
        };
        sum.add(now, window, work);
    }

    /// Replaces the work, a second, that another entry admitted for teams.
    pub(crate) fn record_report(
        &mut self,
        now: Time,
        peer: &str,
        work: impl IntoIterator<Item = (team::Name, f64)>,
    ) {
        self.reports
            .retain(|_, (at, _)| now.since(*at) < REPORT_TTL);
        let work = work.into_iter().take(MAX_TEAMS);
        let sane = work.filter(|(_, rate)| *rate > 0.0 && *rate <= MAX_REPORTED);
        self.reports.insert(peer.to_string(), (now, sane.collect()));
    }

    /// Returns the work a second that this entry admitted for each team, the most first.
    pub(crate) fn admitted(&self, now: Time, window: Duration) -> Vec<(team::Name, f64)> {
        let rate = |work: &Work| work.admitted.value(now, window) / window.as_secs_f64();
        let teams = self
            .teams
            .iter()
            .map(|(team, work)| (team.clone(), rate(work)));
        let mut teams: Vec<_> = teams.filter(|(_, rate)| *rate >= MIN_WORK).collect();
        teams.sort_unstable_by(|(_, a), (_, b)| b.total_cmp(a));
        teams
    }

    /// Returns whether a team was lately admitted more than its fair share, by more than `slack`
    /// work a second, and is served at least `floor` times as often as all teams.
    pub(crate) fn is_over(
        &mut self,
        now: Time,
        window: Duration,
        team: &team::Name,
        slack: f64,
        floor: f64,
    ) -> bool {
        if self.summed_at.is_none_or(|at| now.since(at) >= SUMS_TTL) {
            self.sum_up(now, window);
        }
        let Some(total) = self.totals.get(team) else {
            return false;
        };
        let is_served = total.admitted >= floor * self.served * total.asked;
        is_served && total.admitted > self.level + slack
    }

    fn sum_up(&mut self, now: Time, window: Duration) {
        let fresh = self.reports.values();
        let fresh: Vec<_> = fresh
            .filter(|(at, _)| now.since(*at) < REPORT_TTL)
            .collect();
        // Refusals are known of this entry only; those of the others are taken to be like them.
        let entries = (fresh.len() + 1) as f64;
        let seconds = window.as_secs_f64();
        let mut totals: BTreeMap<team::Name, Total> = BTreeMap::new();
        for (team, work) in &self.teams {
            let admitted = work.admitted.value(now, window) / seconds;
            let refused = work.refused.value(now, window) / seconds;
            let asked = admitted + refused * entries;
            totals.insert(team.clone(), Total { admitted, asked });
        }
        for (team, rate) in fresh.iter().flat_map(|(_, work)| work) {
            let total = totals.entry(team.clone()).or_default();
            total.admitted += rate;
            total.asked += rate;
        }
        let room: f64 = totals.values().map(|total| total.admitted).sum();
        let asked: f64 = totals.values().map(|total| total.asked).sum();
        self.level = fair_level(totals.values().map(|total| total.asked), room);
        self.served = if asked > 0.0 { room / asked } else { 1.0 };
        self.totals = totals;
        self.summed_at = Some(now);
    }
}

impl Work {
    fn total(&self, now: Time, window: Duration) -> f64 {
        self.admitted.value(now, window) + self.refused.value(now, window)
    }
}
