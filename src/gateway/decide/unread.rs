//! Which unread answer is cut off where there are too many.

use std::collections::BTreeMap;

/// Returns the oldest answer of the customer that has most of them, with their number; `None` without
/// answers. `answers` are numbers in the order of age, each with its customer.
pub fn choose_unread<'a>(
    answers: impl IntoIterator<Item = (u64, &'a str)>,
) -> Option<(u64, usize)> {
    let mut by_customer: BTreeMap<&str, (u64, usize)> = BTreeMap::new();
    for (number, customer) in answers {
        by_customer.entry(customer).or_insert((number, 0)).1 += 1;
    }
    by_customer.into_values().max_by_key(|(_, count)| *count)
}
