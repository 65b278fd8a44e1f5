//! The memory that responses share.

use cyclamen_relay::Budget;
use proptest::prelude::*;

proptest! {
    /// Reservations never exceed the budget, and all of it is free again after they are dropped.
    #[test]
    fn reservations_add_up_to_at_most_the_budget(
        limit in 0..1_000_usize,
        steps in prop::collection::vec((0..8_usize, 0..400_usize, 0..3), 0..60),
    ) {
        let budget = Budget::new(limit);
        let mut held: Vec<_> = (0..8).map(|_| (budget.reservation(), 0)).collect();
        for (index, bytes, step) in steps {
            let all: usize = held.iter().map(|(_, bytes)| bytes).sum();
            let (reservation, held_bytes) = &mut held[index];
            let others = all - *held_bytes;
            match step {
                0 => held[index] = (budget.reservation(), 0),
                1 => {
                    let grown = reservation.grow(bytes);
                    prop_assert_eq!(grown, all + bytes <= limit);
                    *held_bytes += if grown { bytes } else { 0 };
                }
                _ => {
                    let resized = reservation.resize(bytes);
                    prop_assert_eq!(resized, bytes <= *held_bytes || others + bytes <= limit);
                    *held_bytes = if resized { bytes } else { *held_bytes };
                }
            }
            let sum: usize = held.iter().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(budget.reserved(), sum);
        }
        drop(held);
        prop_assert_eq!(budget.reserved(), 0);
    }
}
