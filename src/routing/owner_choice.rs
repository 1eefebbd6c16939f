//! Order in which a process asks owners for a slot.

use std::time::Duration;

use crate::{ids::EntryId, ownership};

/// Age at which an owner's published supply counts for nothing.
const STALE_AFTER: Duration = Duration::from_secs(20);

/// An owner as the asking process sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerView {
    /// Name.
    pub id: EntryId,
    /// Free slots for the model when last heard of.
    pub free: u32,
    /// Slots for the model in all.
    pub total: u32,
    /// Age of that news; `None` where nothing was heard.
    pub age: Option<Duration>,
}

/// An owner to ask, with why it has its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerChoice {
    /// Name.
    pub id: EntryId,
    /// Whether the prompt's prefix is kept together there.
    pub by_prefix: bool,
}

/// Ranks owners: the one where the prefix is kept together first if it has
/// room, then those with known free slots, most first, then those not heard of.
///
/// An owner known to have no slot for the model is left out; one that is
/// silent or whose news is old is kept, last.
pub fn rank_owners(owners: &[OwnerView], prefix: Option<u64>, most: usize) -> Vec<OwnerChoice> {
    let usable = |o: &&OwnerView| o.total > 0 || o.age.is_none_or(|age| age > STALE_AFTER);
    let mut ranked: Vec<&OwnerView> = owners.iter().filter(usable).collect();
    let home = prefix.and_then(|p| prefix_owner(&ranked, p));
    ranked.sort_by_key(|o| {
        let at_home = home == Some(o.id.as_str()) && effective_free(o) > 0;
        (!at_home, std::cmp::Reverse(effective_free(o)))
    });
    let choice =
        |o: &OwnerView| OwnerChoice { id: o.id.clone(), by_prefix: home == Some(o.id.as_str()) };
    ranked.into_iter().take(most).map(choice).collect()
}

fn prefix_owner<'a>(owners: &[&'a OwnerView], prefix: u64) -> Option<&'a str> {
    let with_slots = owners.iter().filter(|o| o.total > 0).map(|o| o.id.as_str());
    ownership::owner(with_slots, &format!("{prefix:x}"))
}

fn effective_free(owner: &OwnerView) -> u32 {
    match owner.age {
        Some(age) if age <= STALE_AFTER => owner.free,
        Some(_) | None => 0,
    }
}
