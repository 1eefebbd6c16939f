//! Fingerprints of prompt prefixes, for cache-aware placement.

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = 256;
/// Maximum number of blocks of a prompt that are fingerprinted.
pub const MAX_BLOCKS: usize = 64;

/// Hash of a prompt prefix that ends on a block boundary.
pub type Fingerprint = u64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hashes bytes with 64-bit FNV-1a, starting from `state`.
pub fn fnv1a(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |hash, b| (hash ^ u64::from(*b)).wrapping_mul(FNV_PRIME))
}

/// Hashes bytes with 64-bit FNV-1a.
pub fn hash(bytes: &[u8]) -> u64 {
    fnv1a(FNV_OFFSET, bytes)
}

/// Mixes the bits of a hash so that each of them affects the whole result: hashes of similar
/// names differ in few bits.
pub fn mix(hash: u64) -> u64 {
    let multipliers = [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb];
    let mixed = multipliers.iter().fold(hash, |h, m| (h ^ (h >> 29)).wrapping_mul(*m));
    mixed ^ (mixed >> 32)
}

/// Returns the fingerprints of all prefixes of `text` that consist of complete blocks,
/// shortest first, at most [`MAX_BLOCKS`]. Each covers all bytes up to its end.
pub fn fingerprints(text: &str) -> Vec<Fingerprint> {
    text.as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .scan(FNV_OFFSET, |state, block| {
            *state = fnv1a(*state, block);
            Some(*state)
        })
        .collect()
}
