//! The fleet's part beside the calls' loop: what the loop counts goes there, and hints come back. Without the section
//! `[fleet]`, or where the platform bars talk among copies, there is none of it: no socket, no thread, no timer.

use hillstall_coordination::settings::Settings as Section;
use hillstall_coordination::{Advisory, CoordinationHandle, InstanceLocation, LoadReport, SiteCounts};
use hillstall_decision::Settings;
use hillstall_http1::client::HttpClient;
use hillstall_proxy_core::driver::{Driver, ZoneTraffic};
use hillstall_proxy_core::lifecycle::{Lifecycle, Phase};
use hillstall_proxy_core::metrics::Metrics;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep};

/// Between two reports.
const REPORT: Duration = Duration::from_millis(500);
/// How much later than the tier above it each tier gives less to a site: what still comes from there finds it as it was.
const TIER_AFTER: Duration = Duration::from_millis(300);
/// Copies of one tier at most: their numbers over all tiers lie apart by that.
const TIER_COPIES: u32 = 1_000_000;

/// Starts it, if the operator wants it and the platform allows it.
pub fn start(
    section: Option<&Section>,
    settings: &Settings,
) -> Result<Option<(CoordinationHandle, UnboundedReceiver<Advisory>)>, String> {
    let Some(section) = section else { return Ok(None) };
    if !settings.permissions.peer_messages {
        tracing::warn!("fleet: the platform does not allow copies to talk; this copy goes alone");
        return Ok(None);
    }
    let own = settings.zones.get(usize::from(settings.zone)).cloned();
    let site = section.site.clone().or(own).ok_or("fleet.site: the platform names no zone")?;
    let unknown = section.windows.iter().find(|window| !settings.zones.contains(&window.site));
    if let Some(window) = unknown {
        let sites = settings.zones.join(", ");
        return Err(format!("fleet.window.site: {:?} is no site of the fleet: {sites}", window.site));
    }
    let rank = settings.stage.saturating_mul(TIER_COPIES).saturating_add(settings.rank);
    let place = InstanceLocation { rank, site, sites: settings.zones.clone() };
    hillstall_coordination::start(section.clone(), place).map(Some).map_err(|why| why.to_string())
}

/// What the calls' loop has for the fleet.
pub struct Calls {
    /// Takes hints, and knows what was sent where.
    pub driver: Rc<Driver<HttpClient>>,
    /// Knows what was refused.
    pub metrics: Rc<Metrics>,
    /// Whether this copy takes clients.
    pub lifecycle: Rc<Lifecycle>,
    /// The tier that it sends to, from 0 at the top.
    pub tier: u32,
}

impl Calls {
    /// Reports from now on, and follows hints.
    pub fn join(
        self,
        fleet: Rc<CoordinationHandle>,
        hints: UnboundedReceiver<Advisory>,
        settings: &Settings,
    ) {
        self.driver.track_zones(settings.zones.len());
        let calls = Rc::new(self);
        let front = (settings.stage == 0).then(|| Front::new(settings));
        spawn_local(calls.clone().report(fleet, settings.zones.clone()));
        spawn_local(calls.follow(hints, settings.zones.clone(), front));
    }

    async fn report(self: Rc<Calls>, fleet: Rc<CoordinationHandle>, zones: Vec<String>) {
        let mut tick = interval(REPORT);
        let (mut zones_before, mut before) = (self.driver.zone_traffic(), self.metrics.ended());
        let mut since = Instant::now();
        tick.tick().await;
        loop {
            tick.tick().await;
            let (zones_now, now) = (self.driver.zone_traffic(), self.metrics.ended());
            let counted = zones.iter().zip(zones_now.iter().zip(&zones_before));
            let sites: BTreeMap<String, SiteCounts> =
                counted.map(|(zone, (now, before))| (zone.clone(), counts(now, before))).collect();
            let over = since.elapsed().as_millis() as u32;
            since = Instant::now();
            let (asked, refused) = ((now.0 - before.0) as u32, (now.1 - before.1) as u32);
            fleet.report(LoadReport {
                instance: None,
                age_ms: 0,
                period_ms: over,
                requests: asked,
                rejected: refused,
                sites,
            });
            (zones_before, before) = (zones_now, now);
        }
    }

    async fn follow(
        self: Rc<Calls>,
        mut hints: UnboundedReceiver<Advisory>,
        zones: Vec<String>,
        mut front: Option<Front>,
    ) {
        let mut parts: BTreeMap<u16, f64> = BTreeMap::new();
        // What was told last; of hints that wait, only that one comes into force.
        let mut newest: BTreeMap<u16, f64> = BTreeMap::new();
        let (later, mut due) = unbounded_channel();
        let behind = TIER_AFTER * self.tier;
        let mut again = interval(Duration::from_secs(1));
        loop {
            tokio::select! {
                hint = hints.recv() => {
                    // The fleet's part has failed: the module's hints wear off by themselves.
                    let Some(Advisory::SiteFraction(site, part)) = hint else { return };
                    let Some(zone) = zones.iter().position(|zone| *zone == site) else { continue };
                    // Down in the order of the tiers, up at once.
                    let before = newest.insert(zone as u16, part);
                    let wait = match before.is_none_or(|before| part < before) {
                        true => behind,
                        false => Duration::ZERO,
                    };
                    let later = later.clone();
                    spawn_local(async move {
                        sleep(wait).await;
                        // Whoever listens goes with the process.
                        let _ = later.send((zone as u16, part));
                    });
                    if let Some(front) = front.as_mut().filter(|front| usize::from(front.zone) == zone) {
                        front.follow(&self.lifecycle, part);
                    }
                }
                Some((zone, part)) = due.recv() => {
                    if newest.get(&zone) != Some(&part) {
                        continue;
                    }
                    parts.insert(zone, part);
                    self.driver.set_zone_fraction(zone, part, 0.0);
                }
                _ = again.tick() => {
                    for (zone, part) in parts.iter().filter(|(_, part)| **part < 1.0) {
                        self.driver.set_zone_fraction(*zone, *part, 0.0);
                    }
                }
            }
        }
    }
}

fn counts(now: &ZoneTraffic, before: &ZoneTraffic) -> SiteCounts {
    let (used, told) = (now.busy.0 - before.busy.0, now.busy.1 - before.busy.1);
    let busy = if told > 0 { (100.0 * used / told as f64).clamp(0.0, 100.0) as u8 } else { u8::MAX };
    SiteCounts {
        sent: (now.sent - before.sent) as u32,
        served: (now.answered - before.answered) as u32,
        unanswered: (now.unanswered - before.unanswered) as u32,
        utilization_percent: busy,
        // The fleet's part knows what it has ordered here.
        fraction: 0,
    }
}

/// A front of a site that is emptied leaves its layer, each at its own step.
struct Front {
    zone: u16,
    /// It leaves once its site gets this part or less.
    leaves_at: f64,
    left: bool,
}

impl Front {
    fn new(settings: &Settings) -> Front {
        // Spread evenly by rank; with nothing left, all have gone.
        let golden = (f64::from(settings.rank) * 0.618_033_988_75).fract();
        Front { zone: settings.zone, leaves_at: 0.1 + 0.8 * golden, left: false }
    }

    fn follow(&mut self, lifecycle: &Lifecycle, part: f64) {
        if !self.left && part <= self.leaves_at && lifecycle.phase() == Phase::Serving {
            self.left = lifecycle.drain();
        } else if self.left && part > self.leaves_at {
            self.left = false;
            // An operator may have taken it back, or it ends.
            if lifecycle.phase() == Phase::Draining {
                lifecycle.rejoin();
            }
        }
    }
}
