//! What the owner of a site's shift proposes next. Each step waits for what the last one did, and is no larger than the
//! other sites can bear above their reserve.

use crate::windows::{Command, Overrun, Plan, Stage, Window};
use crate::{Millis, TrafficFraction, FULL_TRAFFIC};
use hillstall_change_freeze::state::Number;
use std::collections::BTreeMap;

/// What the copies report of one site, added up, over the last seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Calls sent there, a second, over the last second.
    pub sent: f64,
    /// The same over a few seconds: what a step is measured against must not be a moment's chance.
    pub usual: f64,
    /// Three in four copies give it no more than this part of its usual load.
    pub part: f64,
    /// The part of those that ended which were served.
    pub served: f64,
    /// The part of its servers' capacity in use, where they tell.
    pub busy: Option<f64>,
}

/// What is known of all sites.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// By site.
    pub sites: BTreeMap<String, Load>,
    /// The part of the fleet's copies whose reports are young enough.
    pub heard: f64,
    /// An incident is active that a rule or a person has opened about another site.
    pub trouble: Option<String>,
}

/// How a shift goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// The most that one step takes, in thousandths.
    pub step: TrafficFraction,
    /// The least time between two steps, for their effect to be seen.
    pub wait: Millis,
    /// The part of the usual load under which a site counts as empty.
    pub empty: f64,
    /// The part of the copies that must have been heard of.
    pub heard: f64,
    /// The part that must be served at the sites that receive.
    pub served: f64,
}

impl Default for Pace {
    /// Eight steps, a second each; half a percent left; three in four copies heard; nine in ten calls served.
    fn default() -> Pace {
        Pace { step: 125, wait: 1_000, empty: 0.005, heard: 0.75, served: 0.9 }
    }
}

/// What the owner remembers between two looks; a new owner begins with nothing.
#[derive(Clone, Debug, Default)]
pub struct Steps {
    /// The window and the part that were seen last, and since when.
    seen: Option<(Number, Stage, TrafficFraction, Millis)>,
}

/// Why a window is not admitted now.
pub fn not_admitted(plan: &Plan, figures: &Figures, pace: &Pace) -> Option<String> {
    if figures.heard < pace.heard {
        return Some(format!("only {:.0}% of the copies are heard of", 100.0 * figures.heard));
    }
    if let Some(trouble) = &figures.trouble {
        return Some(trouble.clone());
    }
    let Some(own) = figures.sites.get(&plan.site) else {
        return Some(format!("no copy reports anything of {}", plan.site));
    };
    let others: Vec<(&String, &Load)> =
        figures.sites.iter().filter(|(site, _)| **site != plan.site).collect();
    if others.is_empty() {
        return Some("there is no other site".into());
    }
    if let Some((site, load)) = others.iter().find(|(_, l)| l.sent > 0.0 && l.served < pace.served) {
        return Some(format!("{site} serves only {:.0}% of its calls", 100.0 * load.served));
    }
    // Where servers tell how busy they are, what they bear is known; else each step is judged by the last.
    let bear = others.iter().map(|(_, l)| room(l, plan.reserve)).sum::<Option<f64>>()?;
    let usual = own.usual.max(own.sent);
    (usual > bear).then(|| {
        format!(
            "the others can take {bear:.0} calls a second above their reserve, {} has {:.0}",
            plan.site, usual
        )
    })
}

/// How many more calls a second a site can take above its reserve.
fn room(load: &Load, reserve: u8) -> Option<f64> {
    let busy = load.busy.filter(|busy| *busy > 0.0)?;
    let most = 1.0 - f64::from(reserve) / 100.0;
    Some((load.sent * (most / busy - 1.0)).max(0.0))
}

impl Steps {
    /// What to propose now for a window, if anything. `now` is Unix time; `clock` is monotonic.
    pub fn next(
        &mut self,
        (now, clock): (Millis, Millis),
        (number, window): (Number, &Window),
        figures: &Figures,
        pace: &Pace,
    ) -> Option<Command> {
        let plan = &window.plan;
        let here = (number, window.stage, window.part);
        let since = match self.seen {
            Some((n, stage, part, since)) if (n, stage, part) == here => since,
            _ => {
                self.seen = Some((number, window.stage, window.part, clock));
                clock
            }
        };
        let waited = clock.saturating_sub(since) >= pace.wait;
        let late = now > plan.begin.saturating_add(plan.latest);
        match window.stage {
            Stage::Planned if now + plan.lead < plan.begin => None,
            Stage::Planned if late => Some(postpone(number, "it could not begin in time")),
            Stage::Planned => match not_admitted(plan, figures, pace) {
                None => {
                    let usual = figures.sites.get(&plan.site).map_or(0.0, |l| l.usual * 1_000.0) as u64;
                    Some(Command::Admit { window: number, usual })
                }
                Some(why) if now >= plan.begin => Some(postpone(number, &why)),
                Some(_) => None,
            },
            Stage::Admitted | Stage::Shifting | Stage::Empty if figures.trouble.is_some() || late => {
                let why = figures.trouble.clone().unwrap_or_else(|| "it could not begin in time".into());
                match window.stage {
                    Stage::Admitted => Some(postpone(number, &why)),
                    _ => Some(Command::Return { window: number, part: window.part, why: Some(why) }),
                }
            }
            Stage::Admitted | Stage::Shifting if window.part > 0 => {
                let took = window.stage == Stage::Admitted || (waited && self.took(window, figures, pace));
                took.then(|| self.step(number, window, figures, pace)).flatten()
            }
            Stage::Shifting => {
                let usual = window.usual as f64 / 1_000.0;
                let left = figures.sites.get(&plan.site).map_or(0.0, |load| load.sent);
                let empty = figures.heard >= pace.heard && left <= usual * pace.empty;
                (waited && empty).then_some(Command::Emptied { window: number })
            }
            Stage::Empty => (now >= plan.begin).then_some(Command::Begin { window: number }),
            Stage::Running => {
                if let Some(why) = &figures.trouble {
                    return Some(Command::Return { window: number, part: 0, why: Some(why.clone()) });
                }
                let over = now >= plan.begin.saturating_add(plan.length);
                match plan.overrun {
                    Overrun::Return => {
                        over.then_some(Command::Return { window: number, part: window.part, why: None })
                    }
                    Overrun::Hold => (over && !window.overrun).then_some(Command::Overran { window: number }),
                }
            }
            Stage::Returning if window.part == FULL_TRAFFIC => {
                waited.then_some(Command::Finish { window: number })
            }
            Stage::Returning => waited.then(|| {
                let part = window.part.saturating_add(pace.step).min(FULL_TRAFFIC);
                Command::Return { window: number, part, why: None }
            }),
            Stage::Admitted | Stage::Done | Stage::Postponed | Stage::Cancelled => None,
        }
    }

    /// Whether the last step is carried out by the copies, and the others bear it. What the site is still sent says little
    /// while it is being emptied: it moves with every front that is lost or comes back. It has to be next to nothing at the end.
    fn took(&self, window: &Window, figures: &Figures, pace: &Pace) -> bool {
        let part = f64::from(window.part) / f64::from(FULL_TRAFFIC);
        let given = figures.sites.get(&window.plan.site).map_or(1.0, |load| load.part);
        let bears = |load: &Load| load.sent == 0.0 || load.served >= pace.served;
        let mut others = figures.sites.iter().filter(|(site, _)| **site != window.plan.site);
        figures.heard >= pace.heard && given <= part + 0.001 && others.all(|(_, load)| bears(load))
    }

    fn step(&self, number: Number, window: &Window, figures: &Figures, pace: &Pace) -> Option<Command> {
        let usual = window.usual as f64 / 1_000.0;
        let others = figures.sites.iter().filter(|(site, _)| **site != window.plan.site);
        let bear = others.map(|(_, load)| room(load, window.plan.reserve)).sum::<Option<f64>>();
        let most = match bear {
            Some(bear) if usual > 0.0 => (bear / usual * f64::from(FULL_TRAFFIC)) as TrafficFraction,
            _ => FULL_TRAFFIC,
        };
        let step = pace.step.min(most);
        (step > 0).then(|| Command::Step { window: number, part: window.part.saturating_sub(step) })
    }
}

fn postpone(window: Number, why: &str) -> Command {
    Command::Postpone { window, why: why.to_owned() }
}
