//! Side effects of all proxies together: attempts at failing machines, new connections, load on machines in slow start,
//! and priority inversions, where one proxy rejects a request while another admits one of less weight.

use super::setup::DrawnScenario;
use crate::model::slow_start::SlowStartModel;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Tolerance for the load on a machine in slow start, in requests of mean work.
const SLACK_REQUESTS: f64 = 3.0;

/// The side effects of a run.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct SideEffects {
    /// Attempts per second at a machine that is down, silent or hangs, of all proxies together.
    #[serde(rename = "trials")]
    pub attempts_at_failing: f64,
    /// New connections per machine and second, where each proxy keeps its idle ones.
    #[serde(rename = "handshakes")]
    pub new_connections: f64,
    /// The largest load on a machine in slow start over what it bears; above 1 it falls over.
    #[serde(rename = "overshoot")]
    pub slow_start_load: f64,
    /// Standard deviation, over the proxies, of the part of client attempts they rejected.
    #[serde(rename = "refused_spread")]
    pub rejection_spread: f64,
    /// Rejected requests of the class with the highest weight, as a part of such requests that arrived.
    #[serde(rename = "worthiest_refused")]
    pub top_class_rejected: f64,
    /// Of these, the part rejected in a second in which another proxy admitted a request of less weight.
    pub inversions: f64,
}

#[derive(Clone, Copy, Default)]
struct AdmittingProxies {
    /// The first proxy that admitted a request of less weight, in one second.
    first: Option<usize>,
    /// Whether another proxy did.
    others: bool,
}

#[derive(Clone, Copy, Default)]
struct ConnectionCounts {
    idle: u32,
    in_use: u32,
}

/// Counts during a run.
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

    /// A client's attempt reaches a proxy of the first tier.
    pub(super) fn on_arrival(&mut self, class: usize) {
        self.top_class_arrivals += u64::from(self.is_top_class[class]);
    }

    /// Such a proxy admits a request: it sends the first attempt.
    pub(super) fn on_admitted(&mut self, now: f64, proxy: usize, class: usize) {
        if self.is_top_class[class] {
            return;
        }
        let door = self.admissions.entry((now / 1e3) as u64).or_default();
        match door.first {
            None => door.first = Some(proxy),
            Some(first) => door.others |= first != proxy,
        }
    }

    /// Such a proxy rejects a request; `unsent`: without an attempt.
    pub(super) fn on_rejected(&mut self, now: f64, proxy: usize, class: usize, unsent: bool) {
        if unsent && self.is_top_class[class] {
            self.top_class_rejections.push(((now / 1e3) as u64, proxy));
        }
    }

    /// An attempt is sent to a machine. `started`: when the machine started, and how long ago, in milliseconds.
    pub(super) fn on_sent(
        &mut self,
        way: (usize, usize),
        failing: bool,
        started: Option<(f64, f64)>,
        work: f64,
    ) {
        self.sent_to_failing += u64::from(failing);
        if let Some((started, after)) = started {
            self.sent_after_start.entry((way.1, started.to_bits())).or_default().push((after, work));
        }
        let idle = self.connections.entry(way).or_default();
        match idle.idle {
            0 => self.connections_opened += 1,
            _ => idle.idle -= 1,
        }
        idle.in_use += 1;
    }

    /// An attempt has ended; its connection is kept if it ended `well`.
    pub(super) fn on_ended(&mut self, way: (usize, usize), well: bool) {
        let idle = self.connections.entry(way).or_default();
        idle.in_use = idle.in_use.saturating_sub(1);
        idle.idle += u32::from(well);
    }

    /// Adds machine time spent failing, in milliseconds.
    pub(super) fn add_failing_time(&mut self, ms: f64) {
        self.failing_ms += ms;
    }

    /// Sums up. `by_proxy`: client attempts that reached each proxy, and those it rejected.
    pub(super) fn into_side_effects(
        self,
        parameters: &DrawnScenario,
        by_proxy: &[[u64; 2]],
        start: impl Fn(usize) -> SlowStartModel,
    ) -> SideEffects {
        let machines: usize = parameters.tiers.iter().map(|t| t.machines.len()).sum();
        let inverted = self.top_class_rejections.iter().filter(|(second, proxy)| {
            let door = self.admissions.get(second).copied().unwrap_or_default();
            door.others || door.first.is_some_and(|first| first != *proxy)
        });
        let inversions = inverted.count() as f64 / self.top_class_rejections.len().max(1) as f64;
        let parts: Vec<(f64, f64)> = (by_proxy.iter())
            .map(|[came, refused]| (*came as f64, *refused as f64 / (*came).max(1) as f64))
            .collect();
        let all: f64 = parts.iter().map(|p| p.0).sum::<f64>().max(1.0);
        let mean = parts.iter().map(|(came, part)| came * part).sum::<f64>() / all;
        let variance = parts.iter().map(|(came, part)| came * (part - mean).powi(2)).sum::<f64>() / all;
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
    /// The slow start of a machine of a tier, by the platform's rules.
    pub fn slow_start_model(&self, tier: usize, place: usize) -> SlowStartModel {
        let (of, rules) = (&self.tiers[tier], self.settings(tier, 0, 1, 0).rules);
        SlowStartModel {
            warm_capacity: of.machines[place].speed * of.spec.cores as f64,
            start_fraction: of.spec.warmup_start_fraction,
            warmup_ms: of.spec.warmup,
            overload_multiple: rules.overload_multiple,
            window_ms: rules.overload_window_ms,
            tolerance: SLACK_REQUESTS * self.mean_work_at(tier),
        }
    }

    /// Mean work of a request at a tier, in core milliseconds.
    pub fn mean_work_at(&self, tier: usize) -> f64 {
        let calls_above: f64 = self.tiers.iter().take(tier).map(|t| t.requests_below.max(1.0)).product();
        self.mean_work() * self.tiers[tier].work_fraction / calls_above
    }
}
