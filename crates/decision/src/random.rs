//! The random numbers of one balancer. Equal seeds and equal events must give equal actions, so every
//! decision draws from this one source, in the order of the events.

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// A seeded source of uniform random numbers.
pub(crate) struct RandomSource {
    generator: Xoshiro256PlusPlus,
}

impl RandomSource {
    /// A source that gives the same numbers for the same seed.
    pub(crate) fn new(seed: u64) -> RandomSource {
        RandomSource { generator: Xoshiro256PlusPlus::seed_from_u64(seed) }
    }

    /// The next number, from 0 and under 1.
    pub(crate) fn next_unit(&mut self) -> f64 {
        (self.generator.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
