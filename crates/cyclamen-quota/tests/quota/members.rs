//! The number of parts into which a limit is divided.

use std::time::Duration;

use cyclamen_quota::Members;

use crate::at;

macro_rules! counts {
    ($($name:ident: [$($step:expr),*] at $now:literal => $parts:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut members = Members::new(Duration::from_secs(10));
            let steps: Vec<(u64, usize)> = vec![$($step),*];
            for (time, count) in steps {
                members.record(at(time), count);
            }
            assert_eq!(members.parts(at($now)), $parts);
        }
    )*};
}

counts! {
    an_entry_that_knows_no_others_has_no_part: [] at 0 => None;
    all_entries_have_a_part: [(0, 6)] at 0 => Some(6);
    the_part_of_an_entry_that_joins_counts_at_once: [(0, 5), (100, 6)] at 100 => Some(6);
    the_part_of_an_entry_that_left_counts_for_a_while: [(0, 6), (100, 5)] at 10_099 => Some(6);
    and_then_no_more: [(0, 6), (100, 5)] at 10_100 => Some(5);
    the_most_of_several_counts: [(0, 6), (5_000, 3), (6_000, 4)] at 14_000 => Some(6);
    the_last_count_stays_in_force: [(0, 6)] at 100_000 => Some(6);
}
