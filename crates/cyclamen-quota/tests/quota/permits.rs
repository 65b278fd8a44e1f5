//! Unused permits and holds of one entry.

use std::time::Duration;

use cyclamen_quota::{Permit, Permits};

use crate::{FIRST, SECOND, at, worker};

fn permit(expires_at: u64) -> Permit {
    Permit {
        instance: worker(),
        incarnation: FIRST,
        expires_at: at(expires_at),
    }
}

#[test]
fn a_permit_whose_request_was_not_sent_serves_another_one_once() {
    let mut permits = Permits::default();
    permits.put_back(at(0), permit(250));
    let id = worker();
    assert_eq!(permits.take(at(100), (&id, SECOND)), None);
    assert_eq!(permits.take(at(100), (&id, FIRST)), Some(permit(250)));
    assert_eq!(permits.take(at(100), (&id, FIRST)), None);
}

#[test]
fn a_permit_expires() {
    let mut permits = Permits::default();
    permits.put_back(at(0), permit(250));
    assert_eq!(permits.take(at(250), (&worker(), FIRST)), None);
}

#[test]
fn a_hold_is_that_of_one_incarnation() {
    let mut permits = Permits::default();
    let id = worker();
    permits.record_hold(at(0), (&id, FIRST), 1, Duration::from_millis(100));
    assert_eq!(
        permits.hold(at(40), (&id, FIRST), 1),
        Some(Duration::from_millis(60))
    );
    assert_eq!(permits.hold(at(40), (&id, SECOND), 1), None);
    assert_eq!(permits.hold(at(40), (&id, FIRST), 0), None);
    assert_eq!(permits.hold(at(100), (&id, FIRST), 1), None);
}
