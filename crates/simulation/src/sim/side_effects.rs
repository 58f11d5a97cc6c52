//! What the proxies do in the sum, beside service: calls for failing machines, new connections, what cold machines are
//! sent, and what is refused at one proxy while another lets less worthy calls in.

use super::setup::DrawnScenario;
use crate::model::slow_start::SlowStartModel;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Calls' work beyond what a cold machine bears that is left to chance, in mean calls.
const SLACK_CALLS: f64 = 3.0;

/// The account of a run.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct SideEffects {
    /// Attempts a second at a machine that is down, silent or hangs: all proxies' trials together.
    pub trials: f64,
    /// New connections for each machine and second, where each proxy keeps those that are idle.
    pub handshakes: f64,
    /// The most that a cold machine was sent against what it bears; over 1 it falls over.
    pub overshoot: f64,
    /// Standard deviation over the proxies of the part of their tries that they refused.
    pub refused_spread: f64,
    /// Calls of the worthiest class refused unsent, as a part of such calls that came.
    pub worthiest_refused: f64,
    /// Of these, the part refused in a second in which another proxy let a less worthy call in.
    pub inversions: f64,
}

#[derive(Clone, Copy, Default)]
struct Door {
    /// Proxies that let a less worthy call in: the first, and whether there is another.
    let_in: Option<usize>,
    by_more: bool,
}

#[derive(Clone, Copy, Default)]
struct Idle {
    free: u32,
    used: u32,
}

/// Counts as a run goes on.
#[derive(Default)]
pub(super) struct Account {
    worthiest: Vec<bool>,
    trials: u64,
    failing_ms: f64,
    opened: u64,
    idle: HashMap<(usize, usize), Idle>,
    cold: BTreeMap<(usize, u64), Vec<(f64, f64)>>,
    came: u64,
    refused: Vec<(u64, usize)>,
    doors: BTreeMap<u64, Door>,
}

impl Account {
    pub(super) fn new(figures: &DrawnScenario) -> Account {
        let most = figures.classes.iter().map(|c| c.worth).fold(0.0, f64::max);
        let worthiest = figures.classes.iter().map(|c| c.worth >= most).collect();
        Account { worthiest, ..Account::default() }
    }

    /// A try comes to a proxy before the first tier.
    pub(super) fn came(&mut self, class: usize) {
        self.came += u64::from(self.worthiest[class]);
    }

    /// Such a proxy lets a call in, by its first attempt.
    pub(super) fn let_in(&mut self, now: f64, proxy: usize, class: usize) {
        if self.worthiest[class] {
            return;
        }
        let door = self.doors.entry((now / 1e3) as u64).or_default();
        match door.let_in {
            None => door.let_in = Some(proxy),
            Some(first) => door.by_more |= first != proxy,
        }
    }

    /// Such a proxy refuses a call; unsent, if it made no attempt.
    pub(super) fn refused(&mut self, now: f64, proxy: usize, class: usize, unsent: bool) {
        if unsent && self.worthiest[class] {
            self.refused.push(((now / 1e3) as u64, proxy));
        }
    }

    /// An attempt is sent to a machine, which may be failing, or have started a while ago.
    pub(super) fn sent(
        &mut self,
        way: (usize, usize),
        failing: bool,
        started: Option<(f64, f64)>,
        work: f64,
    ) {
        self.trials += u64::from(failing);
        if let Some((started, after)) = started {
            self.cold.entry((way.1, started.to_bits())).or_default().push((after, work));
        }
        let idle = self.idle.entry(way).or_default();
        match idle.free {
            0 => self.opened += 1,
            _ => idle.free -= 1,
        }
        idle.used += 1;
    }

    /// An attempt has ended; its connection is kept if it ended well.
    pub(super) fn ended(&mut self, way: (usize, usize), well: bool) {
        let idle = self.idle.entry(way).or_default();
        idle.used = idle.used.saturating_sub(1);
        idle.free += u32::from(well);
    }

    /// A machine was failing for so long.
    pub(super) fn failing(&mut self, ms: f64) {
        self.failing_ms += ms;
    }

    /// The account, with the tries that came to each proxy and those it refused.
    pub(super) fn close(
        self,
        figures: &DrawnScenario,
        by_proxy: &[[u64; 2]],
        start: impl Fn(usize) -> SlowStartModel,
    ) -> SideEffects {
        let machines: usize = figures.tiers.iter().map(|t| t.places.len()).sum();
        let inverted = self.refused.iter().filter(|(second, proxy)| {
            let door = self.doors.get(second).copied().unwrap_or_default();
            door.by_more || door.let_in.is_some_and(|first| first != *proxy)
        });
        let inversions = inverted.count() as f64 / self.refused.len().max(1) as f64;
        let parts: Vec<(f64, f64)> = (by_proxy.iter())
            .map(|[came, refused]| (*came as f64, *refused as f64 / (*came).max(1) as f64))
            .collect();
        let all: f64 = parts.iter().map(|p| p.0).sum::<f64>().max(1.0);
        let mean = parts.iter().map(|(came, part)| came * part).sum::<f64>() / all;
        let variance = parts.iter().map(|(came, part)| came * (part - mean).powi(2)).sum::<f64>() / all;
        let overshoots = self.cold.iter().map(|((host, _), sent)| start(*host).overshoot(sent).0);
        SideEffects {
            trials: match self.failing_ms > 0.0 {
                true => self.trials as f64 / (self.failing_ms / 1e3),
                false => 0.0,
            },
            handshakes: self.opened as f64 / machines.max(1) as f64 / (figures.length / 1e3),
            overshoot: overshoots.fold(0.0, f64::max),
            refused_spread: variance.sqrt(),
            worthiest_refused: self.refused.len() as f64 / self.came.max(1) as f64,
            inversions,
        }
    }
}

impl DrawnScenario {
    /// The cold start of a machine of a tier, as the rules have it.
    pub fn cold_start(&self, tier: usize, place: usize) -> SlowStartModel {
        let (of, rules) = (&self.tiers[tier], self.settings(tier, 0, 1, 0).rules);
        SlowStartModel {
            able: of.places[place].speed * of.kind.cores as f64,
            from: of.kind.cold_from,
            warm_after: of.kind.cold,
            multiple: rules.overload_multiple,
            over: rules.overload_window_ms,
            slack: SLACK_CALLS * self.work_at(tier),
        }
    }

    /// Mean work of a call at a tier, in core milliseconds.
    pub fn work_at(&self, tier: usize) -> f64 {
        let calls: f64 = self.tiers.iter().take(tier).map(|t| t.calls.max(1.0)).product();
        self.mean_work() * self.tiers[tier].part / calls
    }
}
