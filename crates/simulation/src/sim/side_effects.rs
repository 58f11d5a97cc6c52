//! Side effects that many proxies have on their backends together: attempts at failing machines, new
//! connections, and load on machines in slow start. Besides, priority inversions, where one proxy rejects a
//! request while another admits one of less weight.

use super::setup::DrawnScenario;
use crate::model::slow_start::SlowStartModel;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Tolerance for the load on a machine in slow start, in requests of mean work: a request's work is not known
/// when it is sent.
const TOLERANCE_REQUESTS: f64 = 3.0;

/// The side effects of a run. Serialized names are those of stored runs.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct SideEffects {
    /// Attempts of all proxies per second of machine time spent down, unreachable or hung.
    #[serde(rename = "trials")]
    pub attempts_at_failing: f64,
    /// New connections per machine and second, if each proxy keeps its idle connections.
    #[serde(rename = "handshakes")]
    pub new_connections: f64,
    /// The highest load on any machine in slow start, as a multiple of the load it tolerates; above 1 it
    /// fails.
    #[serde(rename = "overshoot")]
    pub slow_start_load: f64,
    /// Standard deviation over the first tier's proxies of the fraction of client attempts that each
    /// rejected.
    #[serde(rename = "refused_spread")]
    pub rejection_spread: f64,
    /// Fraction of the client attempts of the classes with the highest weight that were rejected without an
    /// attempt.
    #[serde(rename = "worthiest_refused")]
    pub top_class_rejected: f64,
    /// Of these rejections, the fraction in a second in which another proxy admitted a request of less
    /// weight.
    pub inversions: f64,
}

/// Which proxies admitted a request below the highest weight within one second.
#[derive(Clone, Copy, Default)]
struct AdmittingProxies {
    /// The first of them; `None` if there was none.
    first: Option<usize>,
    /// Whether another proxy did, too.
    others: bool,
}

#[derive(Clone, Copy, Default)]
struct ConnectionCounts {
    idle: u32,
    in_use: u32,
}

/// Counters during a run.
#[derive(Default)]
pub(super) struct SideEffectCounts {
    is_top_class: Vec<bool>,
    sent_to_failing: u64,
    failing_ms: f64,
    connections_opened: u64,
    connections: HashMap<(usize, usize), ConnectionCounts>,
    sent_after_start: BTreeMap<(usize, u64), Vec<(f64, f64)>>,
    top_class_arrivals: u64,
    top_class_rejections: Vec<(u64, usize)>,
    admissions: BTreeMap<u64, AdmittingProxies>,
}

impl SideEffectCounts {
    pub(super) fn new(parameters: &DrawnScenario) -> SideEffectCounts {
        let highest = parameters.classes.iter().map(|c| c.weight).fold(0.0, f64::max);
        let worthiest = parameters.classes.iter().map(|c| c.weight >= highest).collect();
        SideEffectCounts { is_top_class: worthiest, ..SideEffectCounts::default() }
    }

    /// Counts a client's attempt that reaches a first-tier proxy.
    pub(super) fn on_arrival(&mut self, class: usize) {
        self.top_class_arrivals += u64::from(self.is_top_class[class]);
    }

    /// Counts a request that a first-tier proxy admits, that is, for which it sends the first attempt.
    pub(super) fn on_admitted(&mut self, now: f64, proxy: usize, class: usize) {
        if self.is_top_class[class] {
            return;
        }
        let admitting = self.admissions.entry((now / 1e3) as u64).or_default();
        match admitting.first {
            None => admitting.first = Some(proxy),
            Some(first) => admitting.others |= first != proxy,
        }
    }

    /// Counts a request that a first-tier proxy rejects; `unsent` if it sent no attempt.
    pub(super) fn on_rejected(&mut self, now: f64, proxy: usize, class: usize, unsent: bool) {
        if unsent && self.is_top_class[class] {
            self.top_class_rejections.push(((now / 1e3) as u64, proxy));
        }
    }

    /// Counts an attempt from a proxy to a machine (`link`). `started` is when the machine was last started
    /// and how long ago that is, in milliseconds; `None` for a machine that has run from the start.
    pub(super) fn on_sent(
        &mut self,
        link: (usize, usize),
        failing: bool,
        started: Option<(f64, f64)>,
        work: f64,
    ) {
        self.sent_to_failing += u64::from(failing);
        if let Some((started, after)) = started {
            self.sent_after_start.entry((link.1, started.to_bits())).or_default().push((after, work));
        }
        let connections = self.connections.entry(link).or_default();
        match connections.idle {
            0 => self.connections_opened += 1,
            _ => connections.idle -= 1,
        }
        connections.in_use += 1;
    }

    /// Counts the end of an attempt; with `keeps_connection` its connection becomes idle, otherwise it is
    /// closed.
    pub(super) fn on_ended(&mut self, link: (usize, usize), keeps_connection: bool) {
        let connections = self.connections.entry(link).or_default();
        connections.in_use = connections.in_use.saturating_sub(1);
        connections.idle += u32::from(keeps_connection);
    }

    /// Adds machine time spent failing, in milliseconds, summed over the machines.
    pub(super) fn add_failing_time(&mut self, ms: f64) {
        self.failing_ms += ms;
    }

    /// Computes the side effects. `by_proxy` has, for each first-tier proxy, the client attempts that reached
    /// it and those that it rejected; `start` returns the slow-start model of a machine.
    pub(super) fn into_side_effects(
        self,
        parameters: &DrawnScenario,
        by_proxy: &[[u64; 2]],
        start: impl Fn(usize) -> SlowStartModel,
    ) -> SideEffects {
        let machines: usize = parameters.tiers.iter().map(|t| t.machines.len()).sum();
        let inverted = self.top_class_rejections.iter().filter(|(second, proxy)| {
            let admitting = self.admissions.get(second).copied().unwrap_or_default();
            admitting.others || admitting.first.is_some_and(|first| first != *proxy)
        });
        let inversions = inverted.count() as f64 / self.top_class_rejections.len().max(1) as f64;
        let rejected_fractions: Vec<(f64, f64)> = (by_proxy.iter())
            .map(|[arrived, refused]| (*arrived as f64, *refused as f64 / (*arrived).max(1) as f64))
            .collect();
        let arrivals: f64 = rejected_fractions.iter().map(|p| p.0).sum::<f64>().max(1.0);
        let mean =
            rejected_fractions.iter().map(|(arrived, fraction)| arrived * fraction).sum::<f64>() / arrivals;
        let variance = rejected_fractions
            .iter()
            .map(|(arrived, fraction)| arrived * (fraction - mean).powi(2))
            .sum::<f64>()
            / arrivals;
        let overshoots =
            self.sent_after_start.iter().map(|((host, _), sent)| start(*host).peak_overload(sent).0);
        SideEffects {
            attempts_at_failing: match self.failing_ms > 0.0 {
                true => self.sent_to_failing as f64 / (self.failing_ms / 1e3),
                false => 0.0,
            },
            new_connections: self.connections_opened as f64
                / machines.max(1) as f64
                / (parameters.length / 1e3),
            slow_start_load: overshoots.fold(0.0, f64::max),
            rejection_spread: variance.sqrt(),
            top_class_rejected: self.top_class_rejections.len() as f64
                / self.top_class_arrivals.max(1) as f64,
            inversions,
        }
    }
}

impl DrawnScenario {
    /// The slow-start model of a machine of a tier, by the platform's rules.
    pub fn slow_start_model(&self, tier: usize, place: usize) -> SlowStartModel {
        let (of, rules) = (&self.tiers[tier], self.settings(tier, 0, 1, 0).rules);
        SlowStartModel {
            warm_capacity: of.machines[place].speed * of.spec.cores as f64,
            start_fraction: of.spec.warmup_start_fraction,
            warmup_ms: of.spec.warmup,
            overload_multiple: rules.overload_multiple,
            window_ms: rules.overload_window_ms,
            tolerance: TOLERANCE_REQUESTS * self.mean_work_at(tier),
        }
    }

    /// Mean work of one request at a tier, in core milliseconds.
    pub fn mean_work_at(&self, tier: usize) -> f64 {
        let calls_above: f64 = self.tiers.iter().take(tier).map(|t| t.requests_below.max(1.0)).product();
        self.mean_work() * self.tiers[tier].work_fraction / calls_above
    }
}
