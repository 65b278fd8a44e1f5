//! A failure detector for workers that combines local probes with suspicions reported by other
//! entries.
//!
//! An entry reports only suspicions that its own probes raised. A suspicion
//! reported by another entry triggers a probe, and a successful probe overrides
//! such reports, so that a false suspicion does not spread. It is reported too: a
//! worker that another entry reaches has not failed, though it gets no work from
//! the entries that do not reach it.

mod timing;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_directory::Instance;
use cyclamen_types::{Time, entry, instance};

pub use timing::Timing;

/// One incarnation of a worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Start {
    /// The worker.
    pub instance: instance::Id,
    /// The incarnation, which changes when the worker restarts under the same id.
    pub incarnation: instance::Incarnation,
}

impl From<&Instance> for Start {
    fn from(instance: &Instance) -> Self {
        Self {
            instance: instance.id.clone(),
            incarnation: instance.incarnation,
        }
    }
}

/// A suspicion that this entry's own probes raised.
#[derive(Debug, Clone, Copy)]
struct Suspicion {
    since: Time,
    /// When a probe last failed.
    last_failure: Time,
    /// When a failed probe or a report last confirmed the suspicion.
    last_confirmed: Time,
}

/// What another entry reported of workers.
#[derive(Debug)]
struct Report {
    /// When it arrived.
    at: Time,
    suspected: BTreeSet<Start>,
    /// Workers that responded to the other entry although some entry suspects them, and when it
    /// last reported so. One that it suspects is not among them.
    reached: BTreeMap<Start, Time>,
}

/// A failure detector for workers.
#[derive(Debug, Default)]
pub struct Detector {
    timing: Timing,
    local: BTreeMap<Start, Suspicion>,
    /// The last report of each other entry.
    reports: BTreeMap<entry::Name, Report>,
    /// Workers that are being probed because another entry suspects them.
    probing: BTreeMap<Start, Probing>,
    /// When each worker last responded to a probe.
    last_success: BTreeMap<Start, Time>,
    /// When each worker last responded to a request or a probe.
    last_contact: BTreeMap<Start, Time>,
}

/// A probe of a worker that another entry suspects.
#[derive(Debug, Clone, Copy)]
struct Probing {
    since: Time,
    /// Whether the worker gets no new work until it responds: it has not done so lately.
    is_suspected: bool,
}

impl Detector {
    /// Records a failed probe and returns whether it raised a new suspicion.
    pub fn suspect(&mut self, now: Time, start: &Start) -> bool {
        self.probing.remove(start);
        self.last_success.remove(start);
        self.last_contact.remove(start);
        let known = self.local.get(start);
        let suspicion = Suspicion {
            since: known.map_or(now, |known| known.since),
            last_failure: now,
            last_confirmed: now,
        };
        self.local.insert(start.clone(), suspicion).is_none()
    }

    /// Records a successful probe and returns whether the worker was suspected.
    pub fn restore(&mut self, now: Time, start: &Start) -> bool {
        self.last_success.insert(start.clone(), now);
        self.record_contact(now, start);
        let probing = self.probing.remove(start);
        let was_suspected = probing.is_some_and(|probing| probing.is_suspected);
        self.local.remove(start).is_some() || was_suspected
    }

    /// Records that a worker responded to a request.
    pub fn record_contact(&mut self, now: Time, start: &Start) {
        match self.last_contact.get_mut(start) {
            Some(at) => *at = now,
            None => {
                self.last_contact.insert(start.clone(), now);
            }
        }
    }

    /// Records the complete sets of workers that another entry suspects and of suspected ones that
    /// it reaches, and returns those to probe now.
    pub fn record_report(
        &mut self,
        now: Time,
        entry: &entry::Name,
        suspected: impl IntoIterator<Item = Start>,
        reached: impl IntoIterator<Item = Start>,
    ) -> Vec<Start> {
        let suspected: BTreeSet<Start> = suspected.into_iter().collect();
        for start in &suspected {
            if let Some(suspicion) = self.local.get_mut(start) {
                suspicion.last_confirmed = now;
            }
        }
        let known =
            |start: &Start| self.local.contains_key(start) || self.probing.contains_key(start);
        let to_probe = suspected
            .iter()
            .filter(|s| !self.is_alive(now, s) && !known(s));
        let to_probe: Vec<Start> = to_probe.cloned().collect();
        for start in &to_probe {
            let contact = self.last_contact.get(start);
            let is_suspected = !is_recent(now, contact, self.timing.contact_ttl);
            let probing = Probing {
                since: now,
                is_suspected,
            };
            self.probing.insert(start.clone(), probing);
        }
        let reached = self.still_reached(now, entry, &suspected, reached);
        let report = Report {
            at: now,
            suspected,
            reached,
        };
        self.reports.insert(entry.clone(), report);
        to_probe
    }

    /// Records that a worker that another entry suspects is left to the entries that it concerns: it
    /// is not probed here, and may still get new work.
    pub fn leave_to_others(&mut self, start: &Start) {
        if let Some(probing) = self.probing.get_mut(start) {
            probing.is_suspected = false;
        }
    }

    /// Returns the workers that another entry reaches, and when it last reported so.
    ///
    /// One that a report no longer names may only be about to be probed again: it stays until its
    /// last report expires, unless the other entry now suspects it.
    fn still_reached(
        &mut self,
        now: Time,
        entry: &entry::Name,
        suspected: &BTreeSet<Start>,
        reached: impl IntoIterator<Item = Start>,
    ) -> BTreeMap<Start, Time> {
        let former = self.reports.remove(entry);
        let mut all = former.map_or_else(BTreeMap::new, |former| former.reached);
        let ttl = self.timing.reached_ttl;
        all.retain(|start, at| now.since(*at) < ttl && !suspected.contains(start));
        all.extend(reached.into_iter().map(|start| (start, now)));
        all
    }

    /// Makes suspicions count as new, since this entry could not reach these workers whether or not
    /// they had failed.
    pub fn renew_suspicions(&mut self, now: Time, is_concerned: impl Fn(&Start) -> bool) {
        let suspicions = self.local.iter_mut();
        for (_, suspicion) in suspicions.filter(|(start, _)| is_concerned(start)) {
            suspicion.since = now;
        }
    }

    /// Returns whether a worker is suspected and should get no new work.
    pub fn is_suspected(&self, start: &Start) -> bool {
        let probing = self.probing.get(start);
        self.local.contains_key(start) || probing.is_some_and(|probing| probing.is_suspected)
    }

    /// Returns whether another entry suspects a worker that this entry is probing now.
    pub fn is_doubted(&self, start: &Start) -> bool {
        self.probing.contains_key(start)
    }

    /// Returns whether a worker failed probes of this entry and has not responded since.
    pub fn has_failed_probes(&self, start: &Start) -> bool {
        self.local.contains_key(start)
    }

    /// Returns all suspected workers.
    pub fn suspected(&self) -> impl Iterator<Item = &Start> {
        let probing = self.probing.iter().filter(|(_, p)| p.is_suspected);
        self.local.keys().chain(probing.map(|(start, _)| start))
    }

    /// Returns whether a worker responded lately to another entry although some entry suspects it.
    pub fn is_reached_by_others(&self, now: Time, start: &Start) -> bool {
        let ttl = self.timing.reached_ttl;
        let mut reported_at = self.reports.values().filter_map(|r| r.reached.get(start));
        reported_at.any(|at| now.since(*at) < ttl)
    }

    /// Returns the workers to report to other entries that suspect them: those that responded
    /// lately to a probe of this entry.
    pub fn reached(&self, now: Time) -> impl Iterator<Item = &Start> {
        let suspected = self.reports.values().flat_map(|report| &report.suspected);
        let suspected: BTreeSet<&Start> = suspected.collect();
        suspected.into_iter().filter(move |start| {
            let responded_at = self.last_success.get(start);
            is_recent(now, responded_at, self.timing.contact_ttl)
        })
    }

    /// Returns whether a worker responded lately to a probe of this entry.
    fn is_alive(&self, now: Time, start: &Start) -> bool {
        let responded_at = self.last_success.get(start);
        is_recent(now, responded_at, self.timing.alive_ttl)
    }

    /// Returns whether a worker counts as failed and is to be replaced. One that another entry
    /// reaches has not failed.
    pub fn is_failed(&self, now: Time, start: &Start) -> bool {
        let Some(suspicion) = self.local.get(start) else {
            return false;
        };
        if self.is_reached_by_others(now, start) {
            return false;
        }
        let is_fresh = |report: &Report| now.since(report.at) < self.timing.suspicion_ttl;
        let mut reports = self.reports.values();
        let others = reports.any(|report| is_fresh(report) && report.suspected.contains(start));
        others || now.since(suspicion.since) >= self.timing.single_observer_timeout
    }

    /// Returns whether a suspected worker should be probed again.
    ///
    /// `near` is whether this entry is one of the few that probe the worker on behalf of
    /// all entries; for other workers, recent reports of those entries replace the probe.
    pub fn is_probe_due(&self, now: Time, start: &Start, near: bool) -> bool {
        let Some(suspicion) = self.local.get(start) else {
            return false;
        };
        let is_new = now.since(suspicion.since) < self.timing.fast_probe_window;
        let interval = if is_new {
            self.timing.fast_probe_interval
        } else {
            self.timing.slow_probe_interval
        };
        let confirmed = now.since(suspicion.last_confirmed) < self.timing.slow_probe_interval;
        now.since(suspicion.last_failure) >= interval && (near || !confirmed)
    }

    /// Returns the suspicions to report to other entries: those that recent probes of this
    /// entry confirmed.
    pub fn local_suspicions(&self, now: Time) -> impl Iterator<Item = &Start> {
        let window = self.timing.report_window;
        let fresh = self
            .local
            .iter()
            .filter(move |(_, s)| now.since(s.last_failure) < window);
        fresh.map(|(start, _)| start)
    }

    /// Removes expired state and returns whether any worker is no longer suspected.
    pub fn expire(&mut self, now: Time) -> bool {
        let Timing {
            alive_ttl,
            contact_ttl,
            suspicion_ttl,
            ..
        } = self.timing;
        let before = self.suspected().count();
        self.local
            .retain(|_, suspicion| now.since(suspicion.last_confirmed) < suspicion_ttl);
        self.probing
            .retain(|_, probing| now.since(probing.since) < alive_ttl);
        self.reports
            .retain(|_, report| now.since(report.at) < suspicion_ttl);
        for contacts in [&mut self.last_success, &mut self.last_contact] {
            contacts.retain(|_, at| now.since(*at) < contact_ttl);
        }
        self.suspected().count() < before
    }
}

fn is_recent(now: Time, at: Option<&Time>, ttl: Duration) -> bool {
    at.is_some_and(|at| now.since(*at) < ttl)
}
