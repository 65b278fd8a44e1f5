//! The order and the forms of revisions.

#![allow(clippy::unwrap_used)]

use cyclamen_cache::{Era, Revision};
use proptest::prelude::*;

fn revision(era: u64, version: u64) -> Revision {
    Revision {
        era: Era(era),
        version,
    }
}

/// Names a test for each pair of revisions of which the first is lower.
macro_rules! lower_than {
    ($($name:ident: $lower:expr, $higher:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert!($lower < $higher);
            }
        )*
    };
}

lower_than! {
    a_version_of_the_same_era: revision(2, 4), revision(2, 5);
    any_version_of_a_former_era: revision(1, u64::MAX), revision(2, 0);
    a_revision_without_era: Revision::from(9), revision(1, 1);
    an_absent_row: Revision::ABSENT, Revision::from(1);
}

#[test]
fn a_revision_without_era_is_a_number_in_json() {
    let json = serde_json::to_string(&Revision::from(7)).unwrap();
    assert_eq!(json, "7");
    let decoded: Revision = serde_json::from_str(&json).unwrap();
    assert_eq!(decoded, Revision::from(7));
}

/// The own table service knows no eras, so the era would be lost.
#[test]
fn a_revision_with_an_era_has_no_json_form() {
    assert!(serde_json::to_string(&revision(1, 7)).is_err());
}

proptest! {
    #[test]
    fn the_text_form_is_read_back(era: u64, version: u64) {
        let revision = revision(era, version);
        prop_assert_eq!(revision.to_string().parse(), Ok(revision));
    }
}
