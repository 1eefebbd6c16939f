//! Ownership of upstreams by rendezvous hashing over the live processes of a
//! data centre.

use crate::prefix::hash;

/// Returns the member with the highest rendezvous weight for `item`.
///
/// A join or a leave moves only the items of the member concerned, about
/// `1/n` of them.
pub fn owner<'a, M>(members: impl IntoIterator<Item = &'a M>, item: &str) -> Option<&'a M>
where
    M: AsRef<str> + ?Sized + 'a,
{
    members.into_iter().max_by_key(|member| weight(member.as_ref(), item))
}

/// Returns the rendezvous weight of one member for one item.
pub fn weight(member: &str, item: &str) -> u64 {
    let mixed = hash(format!("{member}\u{0}{item}").as_bytes());
    finish(mixed)
}

/// Spreads the bits of an FNV hash, whose high bits are weak for short texts.
fn finish(mut x: u64) -> u64 {
    x ^= x >> 33;
    x = x.wrapping_mul(0xff51_afd7_ed55_8ccd);
    x ^= x >> 33;
    x = x.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}
