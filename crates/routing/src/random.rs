//! Random numbers for choices.

/// A source of random numbers, passed in so that choices can be repeated from a seed.
pub trait RandomSource {
    /// The next number, uniform over all 64-bit values.
    fn next_u64(&mut self) -> u64;

    /// A number from 0 to `bound` - 1, or 0 if `bound` is 0.
    fn below(&mut self, bound: usize) -> usize {
        ((u128::from(self.next_u64()) * bound as u128) >> 64) as usize
    }
}

/// SplitMix64, a small generator that is good enough for choosing endpoints and not for secrets.
#[derive(Debug, Clone)]
pub struct SplitMix64(u64);

impl SplitMix64 {
    /// Makes a generator from a seed.
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
