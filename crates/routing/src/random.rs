//! Pseudo-random numbers for load balancing.

/// A source of random numbers. It is passed in, so that a run can be reproduced from a seed.
pub trait RandomSource {
    /// Returns the next number, uniformly distributed over all 64-bit values.
    fn next_u64(&mut self) -> u64;

    /// Returns a number from 0 to `bound` - 1, or 0 if `bound` is 0.
    fn below(&mut self, bound: usize) -> usize {
        ((u128::from(self.next_u64()) * bound as u128) >> 64) as usize
    }
}

/// The SplitMix64 generator. Sufficient for load balancing, but not cryptographically secure.
#[derive(Debug, Clone)]
pub struct SplitMix64(u64);

impl SplitMix64 {
    /// Creates a generator from a seed.
    pub const fn new(seed: u64) -> SplitMix64 {
        SplitMix64(seed)
    }
}

impl RandomSource for SplitMix64 {
    fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
