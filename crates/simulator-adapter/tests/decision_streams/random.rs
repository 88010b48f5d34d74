//! The random number generator of the simulated fleet: splitmix64, implemented here so that no library update can
//! change the runs.

/// A seeded random number generator.
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number from `from` up to but not including `to`.
    pub(crate) fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.next() % (to - from).max(1)
    }

    /// Returns a random index into a collection of `count` elements.
    pub(crate) fn index(&mut self, count: usize) -> usize {
        self.between(0, count as u64) as usize
    }

    /// Returns true with a probability of `percent` percent.
    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.between(0, 100) < percent
    }
}
