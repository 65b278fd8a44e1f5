//! Decides whether an entry has lost its path to the workers of a service.
//!
//! If several workers of a service fail one after the other and none responds in between, the
//! cause may be the path of the entry itself. Some more workers are then probed, so that a loss of
//! only some workers is not taken for it. Only other entries that still reach workers of the
//! service tell it from a loss of all workers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cyclamen_types::{Time, instance, pool};

/// The number of different workers of a service that have to fail in a row, since one can fail by
/// itself.
const MIN_FAILED: usize = 2;
/// The minimum interval between checks of the path to a service.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How the state of the path to a service has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Other entries reach workers of the service, and this entry does not.
    CutOff,
    /// The entry is no longer cut off, as it was for this time.
    Reached(Duration),
}

/// The probes of a few workers that check a path after a worker has failed.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Check {
    /// None has begun since a worker was last reached.
    #[default]
    Missing,
    /// So many probes are in progress.
    Running(usize),
    /// All probes failed.
    Failed,
}

/// What an entry knows of its path to the workers of one service.
#[derive(Debug, Default)]
struct Path {
    /// Some of the workers that failed since one was last reached, at most [`MIN_FAILED`].
    failed: BTreeSet<instance::Id>,
    check: Check,
    /// Whether so many have failed that the path may be lost.
    is_lost: bool,
    /// Since when other entries are known to reach the service although this one does not.
    cut_off_since: Option<Time>,
    /// When workers were last probed to check the path.
    checked_at: Option<Time>,
}

/// The paths of an entry to the workers of each service.
#[derive(Debug, Default)]
pub struct Reach {
    paths: BTreeMap<pool::Service, Path>,
}

impl Reach {
    /// Records that a worker of a service was reached, which ends all doubts about the path.
    pub fn record_success(&mut self, now: Time, service: &pool::Service) -> Option<Change> {
        let path = self.paths.get_mut(service)?;
        path.failed.clear();
        path.check = Check::Missing;
        path.is_lost = false;
        let since = path.cut_off_since.take()?;
        Some(Change::Reached(now.since(since)))
    }

    /// Records that a connection to a worker or a probe of it failed; returns whether that is a
    /// further worker.
    ///
    /// A worker that had failed before another one was last reached tells nothing about the path.
    pub fn record_failure(&mut self, service: &pool::Service, worker: &instance::Id) -> bool {
        let path = self.paths.entry(service.clone()).or_default();
        path.failed.len() < MIN_FAILED && path.failed.insert(worker.clone())
    }

    /// Decides whether this entry is cut off from a service.
    ///
    /// `all_failed` is whether none of its listed workers is left that has not failed, and
    /// `others_reach` whether another entry reaches the service.
    pub fn judge(
        &mut self,
        now: Time,
        service: &pool::Service,
        all_failed: bool,
        others_reach: bool,
    ) -> Option<Change> {
        let path = self.paths.get_mut(service)?;
        let count = path.failed.len();
        let enough = count >= MIN_FAILED || (count > 0 && all_failed);
        // Only a worker that responds ends the loss, not one that is new.
        path.is_lost |= enough && path.check == Check::Failed;
        if !(path.is_lost && others_reach) {
            let since = path.cut_off_since.take()?;
            return Some(Change::Reached(now.since(since)));
        }
        if path.cut_off_since.is_some() {
            return None;
        }
        path.cut_off_since = Some(now);
        Some(Change::CutOff)
    }

    /// Returns the services of which a worker failed since one was last reached.
    pub fn doubtful(&self) -> impl Iterator<Item = &pool::Service> {
        let doubtful = self
            .paths
            .iter()
            .filter(|(_, path)| !path.failed.is_empty());
        doubtful.map(|(service, _)| service)
    }

    /// Returns whether a worker is one of those that failed since one was last reached.
    pub fn has_failed(&self, service: &pool::Service, worker: &instance::Id) -> bool {
        let path = self.paths.get(service);
        path.is_some_and(|path| path.failed.contains(worker))
    }

    /// Returns whether this entry reaches no worker of a service, for whatever reason.
    pub fn is_lost(&self, service: &pool::Service) -> bool {
        self.paths.get(service).is_some_and(|path| path.is_lost)
    }

    /// Returns whether this entry reaches no worker of some service.
    pub fn has_lost(&self) -> bool {
        self.paths.values().any(|path| path.is_lost)
    }

    /// Returns since when this entry has been cut off from a service; `None` if it is not.
    pub fn cut_off_since(&self, service: &pool::Service) -> Option<Time> {
        self.paths.get(service)?.cut_off_since
    }

    /// Returns the number of services from which this entry is cut off.
    pub fn cut_off_count(&self) -> usize {
        let is_cut_off = |path: &&Path| path.cut_off_since.is_some();
        self.paths.values().filter(is_cut_off).count()
    }

    /// Returns whether the path to a service is to be checked now.
    pub fn is_check_due(&self, now: Time, service: &pool::Service) -> bool {
        let Some(path) = self.paths.get(service) else {
            return false;
        };
        let checked_at = path.checked_at;
        let is_recent = checked_at.is_some_and(|at| now.since(at) < CHECK_INTERVAL);
        let is_running = matches!(path.check, Check::Running(_));
        !path.failed.is_empty() && !is_recent && !is_running
    }

    /// Records that so many workers of a service are being probed to check the path to it.
    pub fn record_check(&mut self, now: Time, service: &pool::Service, probes: usize) {
        if let Some(path) = self.paths.get_mut(service).filter(|_| probes > 0) {
            path.checked_at = Some(now);
            path.check = Check::Running(probes);
        }
    }

    /// Records that one of the probes that check a path has failed; returns whether it was the
    /// last one.
    pub fn record_failed_check(&mut self, service: &pool::Service) -> bool {
        let Some(path) = self.paths.get_mut(service) else {
            return false;
        };
        path.check = match path.check {
            Check::Running(count) if count > 1 => Check::Running(count - 1),
            Check::Running(_) => Check::Failed,
            check => check,
        };
        path.check == Check::Failed
    }

    /// Forgets the path to a service that is not configured or has no listed worker.
    pub fn forget(&mut self, service: &pool::Service) {
        self.paths.remove(service);
    }
}
