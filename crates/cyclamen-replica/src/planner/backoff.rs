//! Workers for which orders have failed, and until when the planner passes them over.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_directory::Instance;
use cyclamen_types::{Time, instance};

/// How long a worker is passed over after a first failure; the time doubles with each further
/// one.
const MIN_BACKOFF: Duration = Duration::from_secs(3);
/// The maximum time for which a worker is passed over.
const MAX_BACKOFF: Duration = Duration::from_secs(48);

/// The failures of one incarnation of a worker.
#[derive(Debug)]
struct Failures {
    /// The incarnation, once the worker was seen after its first failure.
    incarnation: Option<instance::Incarnation>,
    count: u32,
    passed_over_until: Time,
    /// Whether another worker responded at its address.
    is_displaced: bool,
}

/// Workers for which orders have failed, and until when they are passed over.
#[derive(Debug, Default)]
pub(super) struct Backoff {
    failures: BTreeMap<instance::Id, Failures>,
}

impl Backoff {
    /// Records a failure of a worker, which is passed over for longer each time.
    pub(super) fn record_failure(&mut self, now: Time, id: &instance::Id) {
        let failures = self.failures.entry(id.clone()).or_insert(Failures {
            incarnation: None,
            count: 0,
            passed_over_until: now,
            is_displaced: false,
        });
        if now < failures.passed_over_until {
            return;
        }
        let time = MIN_BACKOFF.saturating_mul(1 << failures.count.min(8));
        failures.count += 1;
        failures.passed_over_until = now + time.min(MAX_BACKOFF);
    }

    /// Records that another worker responded at the address of a worker.
    pub(super) fn record_displaced(&mut self, now: Time, id: &instance::Id) {
        self.record_failure(now, id);
        if let Some(failures) = self.failures.get_mut(id) {
            failures.is_displaced = true;
        }
    }

    /// Forgets the failures of a worker that has become ready.
    pub(super) fn record_success(&mut self, id: &instance::Id) {
        self.failures.remove(id);
    }

    /// Forgets the failures of workers that are not in the list or have restarted.
    pub(super) fn update(&mut self, listed: &BTreeMap<&instance::Id, &Instance>) {
        self.failures.retain(|id, failures| {
            let Some(instance) = listed.get(id) else {
                return false;
            };
            let known = failures.incarnation.get_or_insert(instance.incarnation);
            *known == instance.incarnation
        });
    }

    /// Returns whether a worker should not be selected for a group now.
    pub(super) fn is_passed_over(&self, now: Time, id: &instance::Id) -> bool {
        let failures = self.failures.get(id);
        failures.is_some_and(|f| f.is_displaced || now < f.passed_over_until)
    }

    /// Returns whether another worker responded at the address of a worker.
    pub(super) fn is_displaced(&self, id: &instance::Id) -> bool {
        self.failures.get(id).is_some_and(|f| f.is_displaced)
    }
}
