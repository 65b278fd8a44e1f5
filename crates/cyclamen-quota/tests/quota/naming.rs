//! What values of the header mean.

use cyclamen_quota::{Naming, Rate};

use crate::rate;

macro_rules! values {
    ($($name:ident: [$($value:literal),*] => $naming:expr;)*) => {$(
        #[test]
        fn $name() {
            let values: Vec<&str> = vec![$($value),*];
            assert_eq!(Naming::read(values), $naming);
        }
    )*};
}

values! {
    no_header_names_no_limit: [] => Naming::None;
    a_whole_number_is_a_limit: ["7"] => Naming::Limit(rate(7.0));
    a_fraction_is_a_limit: ["0.4"] => Naming::Limit(rate(0.4));
    space_around_a_number_is_ignored: [" 7.4 "] => Naming::Limit(rate(7.4));
    zero_is_a_limit: ["0"] => Naming::Limit(rate(0.0));
    minus_zero_is_zero: ["-0"] => Naming::Limit(rate(0.0));
    a_negative_number_is_unclear: ["-1"] => Naming::Unclear;
    what_is_not_a_number_is_unclear: ["NaN"] => Naming::Unclear;
    infinity_is_unclear: ["inf"] => Naming::Unclear;
    letters_are_unclear: ["few"] => Naming::Unclear;
    an_empty_value_is_unclear: [""] => Naming::Unclear;
    a_list_in_one_value_is_unclear: ["3, 4"] => Naming::Unclear;
    a_number_with_an_exponent_is_read: ["2e0"] => Naming::Limit(rate(2.0));
    a_rate_that_no_fleet_reaches_is_no_limit: ["1e300"] => Naming::None;
    a_number_that_overflows_is_unclear: ["1e999"] => Naming::Unclear;
    the_lowest_of_several_counts: ["5", "3", "4"] => Naming::Limit(rate(3.0));
    one_that_can_be_read_counts: ["few", "3"] => Naming::Limit(rate(3.0));
    one_that_cannot_be_read_does_not: ["3", ""] => Naming::Limit(rate(3.0));
}

#[test]
fn a_rate_is_written_as_it_is_read() {
    let rate: Rate = "7.4".parse().unwrap();
    assert_eq!(rate.to_string(), "7.4");
}
