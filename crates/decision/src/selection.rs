//! Selection of a backend. As in the platform's design it is a random draw, weighted by what is known of each
//! backend: rating, slow start, health, slowness and requests in flight. Additions: the draw is from a subset
//! of a large tier, it prefers the own zone, and it leaves zones whose traffic is moved away.

use crate::backend::Backend;
use crate::decay::DecayingSum;
use crate::endpoints::Endpoints;
use crate::health::MIN_HEALTH;
use crate::random::RandomSource;
use crate::request::PendingRequest;
use crate::retry::may_send_to;
use crate::{Millis, Settings};
use hillstall_overload::zone_traffic::ZoneFractions;

/// The fewest healthy backends that an instance draws from, where the tier has more ...
const MIN_SUBSET_BACKENDS: f64 = 8.0;
/// ... so that each backend gets requests from this many instances, and none depends on one of them ...
const INSTANCES_PER_BACKEND: f64 = 4.0;
/// ... and with this many backends for each request that the instance had in flight at its recent peak.
const BACKENDS_PER_REQUEST: f64 = 1.0;
/// A request in flight for this many mean latencies, with no answer since from its backend, is an early sign
/// of a hang.
const OVERDUE_LATENCIES: f64 = 3.0;
/// Factor on the weight of a backend that shows this sign.
const OVERDUE_WEIGHT_FACTOR: f64 = 0.1;
/// Factor on the weight of a backend that has had an attempt of the request.
const TRIED_WEIGHT_FACTOR: f64 = 0.01;
/// Power of the slowness by which a weight falls.
const SLOWNESS_EXPONENT: i32 = 3;
/// The least slowness that counts.
const MIN_SLOWNESS: f64 = 0.1;
/// Power of the relative load by which a weight falls.
const LOAD_EXPONENT: i32 = 8;
/// Requests in flight for each unit of capacity that are added to the mean load, so that few requests make no
/// great difference.
const LOAD_OFFSET: f64 = 0.5;
/// How steeply the price of a crossing lowers the weight of backends in other zones.
const CROSS_ZONE_AVERSION: f64 = 20_000.0;
/// Time constant over which the rate of served requests is averaged, in milliseconds.
const RATE_TIME_CONSTANT_MS: Millis = 3_000.0;
/// The least capacity that is divided by.
const MIN_CAPACITY: f64 = 1e-9;

/// What a draw depends on beside the backends.
#[derive(Clone, Copy)]
pub(crate) struct SelectionContext<'a> {
    /// Clock time.
    pub(crate) now: Millis,
    /// The balancer's settings.
    pub(crate) settings: &'a Settings,
    /// The request to be sent.
    pub(crate) request: &'a PendingRequest,
    /// Mean latency of the request's class; 0 if unknown.
    pub(crate) mean_latency: Millis,
    /// The tier's smoothed latency ratio over the threshold for lateness.
    pub(crate) saturation: f64,
    /// The recent peak of the requests in flight.
    pub(crate) peak_in_flight: f64,
    /// This process's part of the instance's slow start budgets.
    pub(crate) process_fraction: f64,
}

/// A backend that may be drawn.
struct Candidate {
    index: usize,
    weight: f64,
    /// Requests in flight for the capacity that it has.
    load: f64,
}

/// Sums over the candidates of one draw.
#[derive(Default)]
struct SubsetTotals {
    capacity: f64,
    in_flight: f64,
    /// Backends, those in slow start and the unhealthy ones as parts.
    usable_backends: f64,
    local_zone_capacity: f64,
    local_zone_healthy_capacity: f64,
}

/// Draws backends for requests.
#[derive(Default)]
pub(crate) struct Selector {
    /// The part of its usual load that each zone gets.
    zone_fractions: ZoneFractions,
    /// Requests served of late.
    served: DecayingSum,
    /// Capacity of the subset at the last draw for a request that has not run.
    subset_capacity: f64,
    /// The candidates of the present draw; retained to allocate once.
    candidates: Vec<Candidate>,
}

impl Selector {
    /// Counts a request served.
    pub(crate) fn record_served(&mut self, now: Millis) {
        self.served.add(now, RATE_TIME_CONSTANT_MS, 1.0);
    }

    /// Takes the part of its usual load that a zone is to get; `age` is how old the advice is.
    pub(crate) fn set_zone_fraction(&mut self, now: Millis, zone: u16, fraction: f64, age: Millis) {
        self.zone_fractions.set_fraction(now, zone, fraction, age);
    }

    /// Draws a backend as usual, and another where its zone is to get less and there is one in a zone that is
    /// not. `None` if no backend may be sent to.
    pub(crate) fn select(
        &mut self,
        context: SelectionContext<'_>,
        endpoints: &mut Endpoints,
        random: &mut RandomSource,
    ) -> Option<usize> {
        let selected = self.draw_from_subset(context, endpoints, random, false)?;
        let zone = endpoints.at(selected).info.zone;
        let is_diverted = self.zone_fractions.is_diverted(context.now, zone, || random.next_unit());
        if !is_diverted {
            return Some(selected);
        }
        Some(self.draw_from_subset(context, endpoints, random, true).unwrap_or(selected))
    }

    /// Draws from this instance's subset of the tier: many instances that each draw from all backends fill
    /// every backend's connection table. `skip_reduced_zones`: only from zones that get all of their load.
    fn draw_from_subset(
        &mut self,
        context: SelectionContext<'_>,
        endpoints: &mut Endpoints,
        random: &mut RandomSource,
        skip_reduced_zones: bool,
    ) -> Option<usize> {
        let totals = self.collect_candidates(context, endpoints, skip_reduced_zones);
        if context.request.may_have_run.is_none() {
            self.subset_capacity = totals.capacity;
        }
        let mean_load = totals.in_flight / totals.capacity.max(MIN_CAPACITY);
        let overdue_after = OVERDUE_LATENCIES * context.mean_latency;
        let remote_zone_weight = remote_zone_weight(context, &totals);
        for candidate in &mut self.candidates {
            let relative_load = 1.0 + candidate.load / (mean_load + LOAD_OFFSET);
            let backend = endpoints.at(candidate.index);
            candidate.weight *=
                feedback_weight(context, backend, relative_load, overdue_after, remote_zone_weight);
        }
        draw(&self.candidates, random.next_unit())
    }

    /// Fills the list of candidates from the subset order until there are enough.
    fn collect_candidates(
        &mut self,
        context: SelectionContext<'_>,
        endpoints: &mut Endpoints,
        skip_reduced_zones: bool,
    ) -> SubsetTotals {
        let SelectionContext { now, settings, request, .. } = context;
        let class = &settings.classes[request.class];
        let backends_wanted = backends_wanted(context, endpoints.all().len());
        let rate_per_capacity = self.rate_per_capacity(now);
        let mut totals = SubsetTotals::default();
        self.candidates.clear();
        for n in 0..endpoints.subset_order().len() {
            let index = endpoints.subset_order()[n];
            let backend = endpoints.at_mut(index);
            if skip_reduced_zones && self.zone_fractions.fraction(now, backend.info.zone) < 1.0 {
                continue;
            }
            let drain_fraction = backend.drain_fraction(now, &settings.rules);
            let may_send = drain_fraction > 0.0 && may_send_to(class, request.may_have_run, &backend.info);
            if !may_send || !has_slow_start_budget(context, backend, rate_per_capacity) {
                continue;
            }
            self.candidates.push(totals.add(context, index, backend, drain_fraction));
            if totals.usable_backends >= backends_wanted {
                break;
            }
        }
        totals
    }

    /// What a unit of the subset's capacity served of late, in requests a second.
    fn rate_per_capacity(&self, now: Millis) -> f64 {
        let served = self.served.value(now, RATE_TIME_CONSTANT_MS);
        served * 1000.0 / RATE_TIME_CONSTANT_MS / self.subset_capacity.max(MIN_CAPACITY)
    }
}

impl SubsetTotals {
    /// Adds a backend and makes it a candidate.
    fn add(
        &mut self,
        context: SelectionContext<'_>,
        index: usize,
        backend: &Backend,
        drain_fraction: f64,
    ) -> Candidate {
        let SelectionContext { now, settings, request, .. } = context;
        let capacity = backend.rating() * backend.ready_fraction(now, &settings.rules) * drain_fraction;
        let health = backend.class_health(now, request.class);
        self.capacity += capacity;
        self.in_flight += backend.in_flight;
        if backend.info.zone == settings.zone {
            self.local_zone_capacity += capacity;
            self.local_zone_healthy_capacity += capacity * health;
        }
        self.usable_backends += health * capacity / backend.rating();
        // An unhealthy backend is full with fewer requests. Were it but drawn less often, it would be filled
        // to MIN_HEALTH^(1/8), three fifths of what a sound one has in flight, and a hang keeps requests for
        // long.
        let health = health.max(MIN_HEALTH);
        Candidate { index, weight: capacity * health, load: backend.in_flight / (capacity * health.sqrt()) }
    }
}

/// How many usable backends the subset should have.
fn backends_wanted(context: SelectionContext<'_>, listed: usize) -> f64 {
    let instances = f64::from(context.settings.fleet_size);
    let covering = INSTANCES_PER_BACKEND * listed as f64 / instances;
    MIN_SUBSET_BACKENDS.max(covering).max(BACKENDS_PER_REQUEST * context.peak_in_flight)
}

/// Whether a backend is past its slow start, or has budget left for one request. A backend past it serves
/// `rate_per_capacity` requests a second for each unit of capacity.
fn has_slow_start_budget(
    context: SelectionContext<'_>,
    backend: &mut Backend,
    rate_per_capacity: f64,
) -> bool {
    let rules = &context.settings.rules;
    let ready_fraction = backend.ready_fraction(context.now, rules);
    if ready_fraction >= 1.0 {
        return true;
    }
    let capacity_rate = ready_fraction * backend.rating() * rate_per_capacity;
    let instances = f64::from(context.settings.fleet_size);
    backend.slow_start.refill(context.now, rules, capacity_rate, instances, context.process_fraction)
}

/// Factor on the weight of backends in other zones: those are for the overflow, and take over as the own zone
/// fails. Under overload balance matters more than the price.
fn remote_zone_weight(context: SelectionContext<'_>, totals: &SubsetTotals) -> f64 {
    let weight = 1.0 / (1.0 + CROSS_ZONE_AVERSION * context.settings.prices.cross_zone);
    let local_zone_health = (1.0 - context.saturation).max(0.0) * totals.local_zone_healthy_capacity;
    weight.powf(local_zone_health / totals.local_zone_capacity.max(MIN_CAPACITY))
}

/// Factor on a backend's weight by its slowness, its load over the mean, signs of a hang, its zone and
/// whether it has had an attempt of this request.
fn feedback_weight(
    context: SelectionContext<'_>,
    backend: &Backend,
    relative_load: f64,
    overdue_after: Millis,
    remote_zone_weight: f64,
) -> f64 {
    let slowness = backend.slowness.max(MIN_SLOWNESS).powi(SLOWNESS_EXPONENT);
    let mut weight = 1.0 / (slowness * relative_load.powi(LOAD_EXPONENT));
    // A hang shows first as silence: requests in flight for long and nothing answered since.
    let is_overdue = overdue_after > 0.0 && context.now - backend.oldest_sent_at > overdue_after;
    if is_overdue && backend.answered_at < backend.oldest_sent_at {
        weight *= OVERDUE_WEIGHT_FACTOR;
    }
    if backend.info.zone != context.settings.zone {
        weight *= remote_zone_weight;
    }
    if context.request.tried.contains(&backend.info.id) {
        weight *= TRIED_WEIGHT_FACTOR;
    }
    weight
}

/// The index of the candidate that a random number from 0 to 1 falls on.
fn draw(candidates: &[Candidate], random: f64) -> Option<usize> {
    let total = candidates.iter().map(|candidate| candidate.weight).sum::<f64>();
    let mut left = random * total;
    let mut drawn = None;
    for candidate in candidates.iter().filter(|candidate| candidate.weight > 0.0) {
        drawn = Some(candidate.index);
        left -= candidate.weight;
        if left < 0.0 {
            break;
        }
    }
    drawn
}
