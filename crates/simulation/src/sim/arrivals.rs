//! The client requests of a run: a Poisson process with a changing rate, drawn at its maximum rate and
//! thinned. It has a random stream of its own, so that a seed gives the same requests whatever the proxies
//! do, in simulated time and on sockets alike.

use super::setup::{stream_rng, DrawnFailure, DrawnScenario, Stream};
use crate::model::work;
use crate::random::uniform;
use crate::scenario::FailureKind;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// A client request that is to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When the request starts, in milliseconds from the start of the run.
    pub at_ms: f64,
    /// Index of the request's class.
    pub class: usize,
    /// Index of the tenant that makes the request.
    pub tenant: usize,
    /// Index of the client's zone.
    pub zone: usize,
    /// The request's work over all tiers, in core milliseconds.
    pub work_ms: f64,
    /// The request's weight: its class's weight, scaled by its work over the class's mean work.
    pub weight: f64,
}

/// Picks an index in proportion to the weights, by a uniform `number` from 0 to 1; 0 if there are no weights.
pub fn weighted_index(number: f64, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = number * weights.clone().sum::<f64>();
    let mut last = 0;
    for (i, weight) in weights.enumerate() {
        last = i;
        left -= weight;
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
    /// The arrivals of a run with this seed.
    pub fn new(parameters: &DrawnScenario, seed: u64) -> Arrivals {
        Arrivals { parameters: parameters.clone(), rng: stream_rng(seed, Stream::Arrivals), at: 0.0 }
    }

    /// The load factor of the burst at a time; 1 without one. Of overlapping bursts, the last in the file
    /// counts.
    fn burst(&self, now: f64) -> f64 {
        let bursts =
            |f: &&DrawnFailure| f.kind == FailureKind::Burst && f.at <= now && now < f.at + f.duration;
        self.parameters.failures.iter().rfind(bursts).map_or(1.0, |f| f.factor)
    }

    fn draw(&mut self) -> Option<Arrival> {
        let (now, of) = (self.at, &self.parameters);
        let phase = now / of.rate_period * std::f64::consts::TAU;
        let rate = of.rate_per_s
            * (1.0 + of.rate_amplitude * phase.sin())
            * of.profile_factor(now)
            * self.burst(now)
            / 1e3;
        // Drawn even for arrivals that are thinned out, so that the random stream is the same with and
        // without bursts.
        let [keep, class, zone, tenant] = [(); 4].map(|()| uniform(&mut self.rng));
        // Work distributions take different numbers of draws, so the work of each request has its own stream.
        let mut work_rng = Xoshiro256PlusPlus::seed_from_u64(self.rng.next_u64());
        if keep * of.max_rate_per_ms() >= rate {
            return None;
        }
        let class = weighted_index(class, of.classes.iter().map(|c| c.share));
        let tenant = weighted_index(tenant, of.tenants.iter().map(|t| t.traffic_share));
        let zone = weighted_index(zone, of.zone_traffic.iter().copied());
        let of = &of.classes[class];
        let work = work::draw(of.work_distribution, of.mean_work_ms, of.work_cv, &mut work_rng);
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
        // At a rate of zero the intervals would be infinite.
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
