//! The generator of the simulated fleet: splitmix64, written out here so that no library can change the runs.

/// One stream of numbers.
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

    /// A number from `from` up to but not including `to`.
    pub(crate) fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.next() % (to - from).max(1)
    }

    pub(crate) fn place(&mut self, count: usize) -> usize {
        self.between(0, count as u64) as usize
    }

    pub(crate) fn percent(&mut self, percent: u64) -> bool {
        self.between(0, 100) < percent
    }
}
