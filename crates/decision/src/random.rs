//! The random number generator of a balancer. Equal seeds and equal events must give equal actions, so all
//! decisions draw from this one generator, in the order of the events.

use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// A seeded source of uniform random numbers.
pub(crate) struct RandomSource {
    generator: Xoshiro256PlusPlus,
}

impl RandomSource {
    /// Creates a source whose sequence of numbers depends only on `seed`.
    pub(crate) fn new(seed: u64) -> RandomSource {
        RandomSource { generator: Xoshiro256PlusPlus::seed_from_u64(seed) }
    }

    /// Returns the next number, from 0 inclusive to 1 exclusive.
    pub(crate) fn next_unit(&mut self) -> f64 {
        (self.generator.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
