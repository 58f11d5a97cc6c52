//! What the owner of a site's shift proposes next. Each step waits for what the last one did, and is no larger than the
//! other sites can bear above their reserve.

use crate::windows::{OverrunPolicy, Stage, Window, WindowCommand, WindowPlan};
use crate::{Millis, TrafficFraction, FULL_TRAFFIC};
use hillstall_change_freeze::state::Number;
use std::collections::BTreeMap;

/// What the copies report of one site, added up, over the last seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiteLoad {
    /// Calls sent there, a second, over the last second.
    pub sent: f64,
    /// The same over a few seconds: what a step is measured against must not be a moment's chance.
    pub baseline: f64,
    /// Three in four copies give it no more than this part of its usual load.
    pub fraction: f64,
    /// The part of those that ended which were served.
    pub success_ratio: f64,
    /// The part of its servers' capacity in use, where they tell.
    pub utilization: Option<f64>,
}

/// What is known of all sites.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetLoad {
    /// By site.
    pub sites: BTreeMap<String, SiteLoad>,
    /// The part of the fleet's copies whose reports are young enough.
    pub reporting_ratio: f64,
    /// An incident is active that a rule or a person has opened about another site.
    pub blocker: Option<String>,
}

/// How a shift goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShiftPacing {
    /// The most that one step takes, in thousandths.
    pub max_step: TrafficFraction,
    /// The least time between two steps, for their effect to be seen.
    pub step_interval: Millis,
    /// The part of the usual load under which a site counts as empty.
    pub empty_ratio: f64,
    /// The part of the copies that must have been heard of.
    pub min_reporting_ratio: f64,
    /// The part that must be served at the sites that receive.
    pub min_success_ratio: f64,
}

impl Default for ShiftPacing {
    /// Eight steps, a second each; half a percent left; three in four copies heard; nine in ten calls served.
    fn default() -> ShiftPacing {
        ShiftPacing {
            max_step: 125,
            step_interval: 1_000,
            empty_ratio: 0.005,
            min_reporting_ratio: 0.75,
            min_success_ratio: 0.9,
        }
    }
}

/// What the owner remembers between two looks; a new owner begins with nothing.
#[derive(Clone, Debug, Default)]
pub struct ShiftController {
    /// The window and the part that were seen last, and since when.
    seen: Option<(Number, Stage, TrafficFraction, Millis)>,
}

/// Why a window is not admitted now.
pub fn admission_blocker(plan: &WindowPlan, figures: &FleetLoad, pace: &ShiftPacing) -> Option<String> {
    if figures.reporting_ratio < pace.min_reporting_ratio {
        return Some(format!("only {:.0}% of the copies are heard of", 100.0 * figures.reporting_ratio));
    }
    if let Some(trouble) = &figures.blocker {
        return Some(trouble.clone());
    }
    let Some(own) = figures.sites.get(&plan.site) else {
        return Some(format!("no copy reports anything of {}", plan.site));
    };
    let others: Vec<(&String, &SiteLoad)> =
        figures.sites.iter().filter(|(site, _)| **site != plan.site).collect();
    if others.is_empty() {
        return Some("there is no other site".into());
    }
    if let Some((site, load)) =
        others.iter().find(|(_, l)| l.sent > 0.0 && l.success_ratio < pace.min_success_ratio)
    {
        return Some(format!("{site} serves only {:.0}% of its calls", 100.0 * load.success_ratio));
    }
    // Where servers tell how busy they are, what they bear is known; else each step is judged by the last.
    let bear = others.iter().map(|(_, l)| headroom(l, plan.reserve_percent)).sum::<Option<f64>>()?;
    let usual = own.baseline.max(own.sent);
    (usual > bear).then(|| {
        format!(
            "the others can take {bear:.0} calls a second above their reserve, {} has {:.0}",
            plan.site, usual
        )
    })
}

/// How many more calls a second a site can take above its reserve.
fn headroom(load: &SiteLoad, reserve: u8) -> Option<f64> {
    let busy = load.utilization.filter(|busy| *busy > 0.0)?;
    let most = 1.0 - f64::from(reserve) / 100.0;
    Some((load.sent * (most / busy - 1.0)).max(0.0))
}

impl ShiftController {
    /// What to propose now for a window, if anything. `now` is Unix time; `clock` is monotonic.
    pub fn next_command(
        &mut self,
        (now, clock): (Millis, Millis),
        (number, window): (Number, &Window),
        figures: &FleetLoad,
        pace: &ShiftPacing,
    ) -> Option<WindowCommand> {
        let plan = &window.plan;
        let here = (number, window.stage, window.fraction);
        let since = match self.seen {
            Some((n, stage, part, since)) if (n, stage, part) == here => since,
            _ => {
                self.seen = Some((number, window.stage, window.fraction, clock));
                clock
            }
        };
        let waited = clock.saturating_sub(since) >= pace.step_interval;
        let late = now > plan.starts_at.saturating_add(plan.max_delay);
        match window.stage {
            Stage::Planned if now + plan.lead_time < plan.starts_at => None,
            Stage::Planned if late => Some(postpone(number, "it could not begin in time")),
            Stage::Planned => match admission_blocker(plan, figures, pace) {
                None => {
                    let usual = figures.sites.get(&plan.site).map_or(0.0, |l| l.baseline * 1_000.0) as u64;
                    Some(WindowCommand::Admit { window: number, baseline_rate: usual })
                }
                Some(why) if now >= plan.starts_at => Some(postpone(number, &why)),
                Some(_) => None,
            },
            Stage::Admitted | Stage::Shifting | Stage::Empty if figures.blocker.is_some() || late => {
                let why = figures.blocker.clone().unwrap_or_else(|| "it could not begin in time".into());
                match window.stage {
                    Stage::Admitted => Some(postpone(number, &why)),
                    _ => Some(WindowCommand::RestoreTraffic {
                        window: number,
                        fraction: window.fraction,
                        reason: Some(why),
                    }),
                }
            }
            Stage::Admitted | Stage::Shifting if window.fraction > 0 => {
                let took = window.stage == Stage::Admitted || (waited && self.took(window, figures, pace));
                took.then(|| self.step(number, window, figures, pace)).flatten()
            }
            Stage::Shifting => {
                let usual = window.baseline_rate as f64 / 1_000.0;
                let left = figures.sites.get(&plan.site).map_or(0.0, |load| load.sent);
                let empty =
                    figures.reporting_ratio >= pace.min_reporting_ratio && left <= usual * pace.empty_ratio;
                (waited && empty).then_some(WindowCommand::MarkEmpty { window: number })
            }
            Stage::Empty => (now >= plan.starts_at).then_some(WindowCommand::Begin { window: number }),
            Stage::Running => {
                if let Some(why) = &figures.blocker {
                    return Some(WindowCommand::RestoreTraffic {
                        window: number,
                        fraction: 0,
                        reason: Some(why.clone()),
                    });
                }
                let over = now >= plan.starts_at.saturating_add(plan.duration);
                match plan.overrun_policy {
                    OverrunPolicy::Return => over.then_some(WindowCommand::RestoreTraffic {
                        window: number,
                        fraction: window.fraction,
                        reason: None,
                    }),
                    OverrunPolicy::Hold => {
                        (over && !window.overrun).then_some(WindowCommand::MarkOverrun { window: number })
                    }
                }
            }
            Stage::Returning if window.fraction == FULL_TRAFFIC => {
                waited.then_some(WindowCommand::Finish { window: number })
            }
            Stage::Returning => waited.then(|| {
                let part = window.fraction.saturating_add(pace.max_step).min(FULL_TRAFFIC);
                WindowCommand::RestoreTraffic { window: number, fraction: part, reason: None }
            }),
            Stage::Admitted | Stage::Done | Stage::Postponed | Stage::Cancelled => None,
        }
    }

    /// Whether the last step is carried out by the copies, and the others bear it. What the site is still sent says little
    /// while it is being emptied: it moves with every front that is lost or comes back. It has to be next to nothing at the end.
    fn took(&self, window: &Window, figures: &FleetLoad, pace: &ShiftPacing) -> bool {
        let part = f64::from(window.fraction) / f64::from(FULL_TRAFFIC);
        let given = figures.sites.get(&window.plan.site).map_or(1.0, |load| load.fraction);
        let bears = |load: &SiteLoad| load.sent == 0.0 || load.success_ratio >= pace.min_success_ratio;
        let mut others = figures.sites.iter().filter(|(site, _)| **site != window.plan.site);
        figures.reporting_ratio >= pace.min_reporting_ratio
            && given <= part + 0.001
            && others.all(|(_, load)| bears(load))
    }

    fn step(
        &self,
        number: Number,
        window: &Window,
        figures: &FleetLoad,
        pace: &ShiftPacing,
    ) -> Option<WindowCommand> {
        let usual = window.baseline_rate as f64 / 1_000.0;
        let others = figures.sites.iter().filter(|(site, _)| **site != window.plan.site);
        let bear = others.map(|(_, load)| headroom(load, window.plan.reserve_percent)).sum::<Option<f64>>();
        let most = match bear {
            Some(bear) if usual > 0.0 => (bear / usual * f64::from(FULL_TRAFFIC)) as TrafficFraction,
            _ => FULL_TRAFFIC,
        };
        let step = pace.max_step.min(most);
        (step > 0).then(|| WindowCommand::ReduceTraffic {
            window: number,
            fraction: window.fraction.saturating_sub(step),
        })
    }
}

fn postpone(window: Number, why: &str) -> WindowCommand {
    WindowCommand::Postpone { window, reason: why.to_owned() }
}
