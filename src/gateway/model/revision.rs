//! Revisions of the platform's store, ordered across its eras.

/// Revision in the platform's store; a higher one is newer. It is composed of an [`Era`] and the
/// number that the store gave out in it, so that every revision of a later era is higher. 0 stands
/// for none.
pub type Revision = u64;

/// Number of times that the platform's store has returned from a copy, counted by the store. What
/// it acknowledged between the copy and the return is lost, and its numbers are given out again.
pub type Era = u64;

/// Numbers in an era. Decimal, so that both parts can be read in a log; at 5,000 writes a second
/// they last for 60 years.
const NUMBERS_PER_ERA: u64 = 10_000_000_000_000;

/// Composes the revision with a number in an era; `None` if it is out of range.
pub fn revision_in_era(era: Era, number: u64) -> Option<Revision> {
    let in_range = number < NUMBERS_PER_ERA;
    era.checked_mul(NUMBERS_PER_ERA)?.checked_add(number).filter(|_| in_range)
}

/// Returns the era of a revision.
pub fn era_of(revision: Revision) -> Era {
    revision / NUMBERS_PER_ERA
}

/// Returns the number that the store gave out for a revision.
pub fn number_in_era(revision: Revision) -> u64 {
    revision % NUMBERS_PER_ERA
}
