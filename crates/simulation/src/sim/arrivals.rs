//! The calls of a run: a Poisson process whose rate changes, drawn at its highest rate and thinned. It is a stream of
//! its own, so that one seed gives the same calls whatever the proxies do, in simulated time and on sockets alike.

use super::setup::{stream_rng, DrawnFailure, DrawnScenario, Stream};
use crate::model::work;
use crate::random::uniform;
use crate::scenario::FailureKind;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// A call that a client means to make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When (ms from the start).
    pub at_ms: f64,
    /// Its class.
    pub class: usize,
    /// Whose it is.
    pub tenant: usize,
    /// The zone of its client.
    pub zone: usize,
    /// Its work over all tiers, in core milliseconds.
    pub work_ms: f64,
    /// Its weight: in one class it grows with the work.
    pub weight: f64,
}

/// The part that a number from 0 to 1 falls on, with the parts scaled to add up to 1.
pub fn weighted_index(number: f64, parts: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = number * parts.clone().sum::<f64>();
    let mut last = 0;
    for (i, part) in parts.enumerate() {
        last = i;
        left -= part;
        if left < 0.0 {
            break;
        }
    }
    last
}

/// The client requests of one run, in order.
pub struct Arrivals {
    parameters: DrawnScenario,
    rng: Xoshiro256PlusPlus,
    at: f64,
}

impl Arrivals {
    /// Those of a seed.
    pub fn new(parameters: &DrawnScenario, seed: u64) -> Arrivals {
        Arrivals { parameters: parameters.clone(), rng: stream_rng(seed, Stream::Arrivals), at: 0.0 }
    }

    /// The load factor of the burst in force at a time; 1 without one.
    fn burst(&self, now: f64) -> f64 {
        let bursts =
            |f: &&DrawnFailure| f.kind == FailureKind::Burst && f.at <= now && now < f.at + f.duration;
        self.parameters.failures.iter().rfind(bursts).map_or(1.0, |f| f.factor)
    }

    fn draw(&mut self) -> Option<Arrival> {
        let (now, of) = (self.at, &self.parameters);
        let turn = now / of.rate_period * std::f64::consts::TAU;
        let rate =
            of.rate_per_s * (1.0 + of.rate_amplitude * turn.sin()) * of.profile_factor(now) * self.burst(now)
                / 1e3;
        // Drawn in any case, so that the random stream is the same with and without bursts.
        let [keep, class, zone, tenant] = [(); 4].map(|()| uniform(&mut self.rng));
        // Distributions take different numbers of draws, so each request's work has a stream of its own.
        let mut size = Xoshiro256PlusPlus::seed_from_u64(self.rng.next_u64());
        if keep * of.max_rate_per_ms() >= rate {
            return None;
        }
        let class = weighted_index(class, of.classes.iter().map(|c| c.share));
        let tenant = weighted_index(tenant, of.tenants.iter().map(|t| t.traffic_share));
        let zone = weighted_index(zone, of.zone_traffic.iter().copied());
        let of = &of.classes[class];
        let work = work::draw(of.work_distribution, of.mean_work_ms, of.work_cv, &mut size);
        Some(Arrival {
            at_ms: now,
            class,
            tenant,
            zone,
            work_ms: work,
            weight: of.weight * work / of.mean_work_ms.max(1e-9),
        })
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let max_rate = self.parameters.max_rate_per_ms();
        // With a rate of zero there are no intervals to draw.
        if max_rate <= 0.0 {
            return None;
        }
        loop {
            self.at += -(1.0 - uniform(&mut self.rng)).ln() / max_rate;
            if self.at > self.parameters.length {
                return None;
            }
            if let Some(arrival) = self.draw() {
                return Some(arrival);
            }
        }
    }
}
