//! Stable hashing, with the same result in every process and release.

/// FNV-1a offset basis, 64 bits.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// FNV-1a prime, 64 bits.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns a 64-bit hash of `parts`. The hash also depends on the boundaries
/// between parts.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_BASIS;
    for part in parts {
        for byte in *part {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        hash = (hash ^ 0xff).wrapping_mul(FNV_PRIME);
    }
    mix(hash)
}

/// Mixes the bits of `hash`, so that hashes can be compared for ranking.
const fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
