//! Workers that want no requests from this entry for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use cyclamen_types::{Time, instance};

use crate::request::Target;

/// The longest pause that is kept.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// The pause of one incarnation of a worker.
#[derive(Debug)]
struct Pause {
    incarnation: instance::Incarnation,
    until: Time,
}

/// The workers that are paused, whatever groups they head meanwhile.
#[derive(Debug, Default)]
pub(crate) struct Pauses(BTreeMap<instance::Id, Pause>);

impl Pauses {
    /// Pauses a worker, and forgets pauses that have ended.
    ///
    /// A shorter pause does not end a longer one.
    pub(crate) fn record(&mut self, now: Time, target: &Target, time: Duration) {
        self.0.retain(|_, pause| now < pause.until);
        let until = now + time.min(MAX_PAUSE);
        let known = self.0.get(&target.instance);
        let known = known.filter(|pause| pause.incarnation == target.incarnation);
        let pause = Pause {
            incarnation: target.incarnation,
            until: known.map_or(until, |pause| pause.until.max(until)),
        };
        self.0.insert(target.instance.clone(), pause);
    }

    /// Returns how long a worker is still paused, if it is.
    pub(crate) fn remaining(&self, now: Time, target: &Target) -> Option<Duration> {
        let pause = self.0.get(&target.instance)?;
        let paused = pause.incarnation == target.incarnation && now < pause.until;
        paused.then(|| pause.until.since(now))
    }
}
