//! Backend selection. As in the platform's reference design it is a weighted random draw; the weight of a
//! backend depends on its rating, slow start, health, slowness and requests in flight. Additions to the
//! design: the draw is restricted to a subset of a large tier, prefers the local zone, and honors traffic
//! shifts between zones.

use crate::backend::Backend;
use crate::decay::DecayingSum;
use crate::endpoints::Endpoints;
use crate::health::MIN_HEALTH;
use crate::random::RandomSource;
use crate::request::PendingRequest;
use crate::retry::may_send_to;
use crate::{Millis, Settings};
use hillstall_overload::zone_traffic::ZoneFractions;

/// Minimum number of healthy backends in the subset, if the tier has as many. The subset is the largest that
/// this and the following two constants ask for.
const MIN_SUBSET_BACKENDS: f64 = 8.0;
/// Number of instances that each backend should get requests from, so that none depends on a single instance.
const INSTANCES_PER_BACKEND: f64 = 4.0;
/// Number of backends in the subset for each request of the recent peak in flight.
const BACKENDS_PER_REQUEST: f64 = 1.0;
/// A request in flight for this many mean latencies, without any answer from its backend since, indicates
/// that the backend may hang.
const OVERDUE_LATENCIES: f64 = 3.0;
/// Factor on the weight of a backend that may hang.
const OVERDUE_WEIGHT_FACTOR: f64 = 0.1;
/// Factor on the weight of a backend that already got an attempt of the request.
const TRIED_WEIGHT_FACTOR: f64 = 0.01;
/// The weight is divided by the slowness to this power.
const SLOWNESS_EXPONENT: i32 = 3;
/// Lower bound of the slowness in the weight.
const MIN_SLOWNESS: f64 = 0.1;
/// The weight is divided by the relative load to this power.
const LOAD_EXPONENT: i32 = 8;
/// Added to the mean load, in requests in flight per unit of capacity, so that a difference of a few requests
/// has little effect at low load.
const LOAD_OFFSET: f64 = 0.5;
/// How strongly the price of cross-zone attempts reduces the weight of backends in remote zones.
const CROSS_ZONE_AVERSION: f64 = 20_000.0;
/// Time constant over which the rate of served requests is averaged, in milliseconds.
const RATE_TIME_CONSTANT_MS: Millis = 3_000.0;
/// Lower bound of capacities used as divisors.
const MIN_CAPACITY: f64 = 1e-9;

/// The inputs of a draw other than the backends.
#[derive(Clone, Copy)]
pub(crate) struct SelectionContext<'a> {
    /// The current clock time.
    pub(crate) now: Millis,
    /// The settings of the balancer.
    pub(crate) settings: &'a Settings,
    /// The request to be sent.
    pub(crate) request: &'a PendingRequest,
    /// Mean latency of the request's class, in milliseconds; 0 if unknown.
    pub(crate) mean_latency: Millis,
    /// The tier's smoothed latency ratio divided by the top tier's threshold for lateness.
    pub(crate) saturation: f64,
    /// The recent peak of the requests in flight.
    pub(crate) peak_in_flight: f64,
    /// The fraction of the instance's slow start budgets that belongs to this process, from 0 to 1.
    pub(crate) process_fraction: f64,
}

/// A backend that may be drawn.
struct Candidate {
    index: usize,
    weight: f64,
    /// Requests in flight divided by the available capacity.
    load: f64,
}

/// Sums over the candidates of one draw.
#[derive(Default)]
struct SubsetTotals {
    capacity: f64,
    in_flight: f64,
    /// Number of backends; those in slow start, draining or unhealthy count as fractions.
    usable_backends: f64,
    local_zone_capacity: f64,
    local_zone_healthy_capacity: f64,
}

/// Draws backends for requests, and holds the state that the draws share.
#[derive(Default)]
pub(crate) struct Selector {
    /// The fraction of its usual traffic that each zone gets.
    zone_fractions: ZoneFractions,
    /// Recently served requests.
    served: DecayingSum,
    /// Capacity of the subset at the last draw. Draws for requests that may have run don't count, as they can
    /// be restricted to the backends that deduplicate the request.
    subset_capacity: f64,
    /// The candidates of the current draw; the buffer is reused.
    candidates: Vec<Candidate>,
}

impl Selector {
    /// Counts a served request.
    pub(crate) fn record_served(&mut self, now: Millis) {
        self.served.add(now, RATE_TIME_CONSTANT_MS, 1.0);
    }

    /// Sets the fraction of its usual traffic that a zone is to get; `age` is the age of the advice.
    pub(crate) fn set_zone_fraction(&mut self, now: Millis, zone: u16, fraction: f64, age: Millis) {
        self.zone_fractions.set_fraction(now, zone, fraction, age);
    }

    /// Draws a backend. If the zone of the drawn backend is to get less traffic, the request may be diverted
    /// to a backend in a zone that gets all of its traffic. `None` if no backend may receive the request.
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

    /// Draws from this instance's subset of the tier: if many instances drew from all backends, they would
    /// exhaust the connection tables of the backends. With `skip_reduced_zones`, only zones that get all of
    /// their traffic are drawn from.
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

    /// Collects candidates in subset order until there are enough usable backends.
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

    /// Returns the recent rate of served requests per unit of the subset's capacity, in requests a second.
    fn rate_per_capacity(&self, now: Millis) -> f64 {
        let served = self.served.value(now, RATE_TIME_CONSTANT_MS);
        served * 1000.0 / RATE_TIME_CONSTANT_MS / self.subset_capacity.max(MIN_CAPACITY)
    }
}

impl SubsetTotals {
    /// Adds a backend to the totals and returns it as a candidate.
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
        // The load of an unhealthy backend is scaled up as well. With only a reduced weight it would still
        // fill up to MIN_HEALTH^(1/8), three fifths of the requests in flight at a healthy backend, and a
        // backend that hangs holds requests for long.
        let health = health.max(MIN_HEALTH);
        Candidate { index, weight: capacity * health, load: backend.in_flight / (capacity * health.sqrt()) }
    }
}

/// Returns the number of usable backends that the subset should have.
fn backends_wanted(context: SelectionContext<'_>, listed: usize) -> f64 {
    let instances = f64::from(context.settings.fleet_size);
    let covering = INSTANCES_PER_BACKEND * listed as f64 / instances;
    MIN_SUBSET_BACKENDS.max(covering).max(BACKENDS_PER_REQUEST * context.peak_in_flight)
}

/// Whether a backend is past its slow start or has budget left for one request. `rate_per_capacity` is the
/// rate, in requests a second per unit of capacity, at which backends past their slow start serve.
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

/// Returns the factor on the weight of backends in remote zones. It is small while the local zone is healthy
/// and rises as the local zone fails or the tier nears overload, when balance matters more than the price.
fn remote_zone_weight(context: SelectionContext<'_>, totals: &SubsetTotals) -> f64 {
    let weight = 1.0 / (1.0 + CROSS_ZONE_AVERSION * context.settings.prices.cross_zone);
    let local_zone_health = (1.0 - context.saturation).max(0.0) * totals.local_zone_healthy_capacity;
    weight.powf(local_zone_health / totals.local_zone_capacity.max(MIN_CAPACITY))
}

/// Returns the factor on a backend's weight that results from its slowness, its load relative to the mean,
/// signs of a hang, its zone, and whether it already got an attempt of this request.
fn feedback_weight(
    context: SelectionContext<'_>,
    backend: &Backend,
    relative_load: f64,
    overdue_after: Millis,
    remote_zone_weight: f64,
) -> f64 {
    let slowness = backend.slowness.max(MIN_SLOWNESS).powi(SLOWNESS_EXPONENT);
    let mut weight = 1.0 / (slowness * relative_load.powi(LOAD_EXPONENT));
    // A hanging backend first shows as an overdue request while nothing else is answered.
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

/// Draws a candidate by weight with a random number from 0 to 1 and returns its backend index.
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
