//! Connects the proxy's event loop to the coordination runtime: load reports go there, and advisories come back.
//!
//! Without the section `[fleet]`, or where the platform does not allow messages between instances, none of it runs: no
//! socket, no thread, no timer.

use hillstall_coordination::settings::Settings as CoordinationSettings;
use hillstall_coordination::{Advisory, CoordinationHandle, InstanceLocation, LoadReport, SiteCounts};
use hillstall_decision::Settings;
use hillstall_http1::client::HttpClient;
use hillstall_proxy_core::driver::{Driver, ZoneTraffic};
use hillstall_proxy_core::lifecycle::{Lifecycle, Phase};
use hillstall_proxy_core::metrics::Metrics;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep};

/// Time between two load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How much later than the tier above it each tier lowers a site's fraction, so that requests that are still on their way
/// down find the site as it was.
const TIER_DELAY: Duration = Duration::from_millis(300);
/// Time between two repetitions of the fractions to the decision module, which forgets them otherwise.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Ranks of two tiers are this far apart; no tier has more instances.
const MAX_INSTANCES_PER_TIER: u32 = 1_000_000;
/// Multiples of the golden ratio, modulo 1, spread evenly whatever the number of instances.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_75;
/// The entry-tier instances of a site drain one after the other, the last one at this fraction of the site's load...
const MIN_DRAIN_FRACTION: f64 = 0.1;
/// ...and the first one at so much more.
const DRAIN_FRACTION_SPREAD: f64 = 0.8;

/// Why coordination could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The site is neither configured nor known from the platform.
    #[error("fleet.site: the platform names no zone")]
    UnknownSite,
    /// A maintenance window is for a site that the platform does not know.
    #[error("fleet.window.site: {site:?} is no site of the fleet: {known}")]
    UnknownWindowSite {
        /// The window's site.
        site: String,
        /// The known sites, separated by commas.
        known: String,
    },
    /// The runtime could not be started.
    #[error(transparent)]
    Runtime(#[from] hillstall_coordination::StartError),
}

/// A running runtime, and the advisories that it sends.
type Started = (CoordinationHandle, UnboundedReceiver<Advisory>);

/// Starts the coordination runtime, if the operator has configured it and the platform allows it.
///
/// # Errors
/// [`StartError`] if a site is not known, or if the runtime can't be started.
pub fn start(
    section: Option<&CoordinationSettings>,
    settings: &Settings,
) -> Result<Option<Started>, StartError> {
    let Some(section) = section else { return Ok(None) };
    if !settings.permissions.peer_messages {
        tracing::warn!("fleet: the platform does not allow copies to talk; this copy goes alone");
        return Ok(None);
    }
    let zone = settings.zones.get(usize::from(settings.zone)).cloned();
    let site = section.site.clone().or(zone).ok_or(StartError::UnknownSite)?;
    if let Some(window) = section.windows.iter().find(|window| !settings.zones.contains(&window.site)) {
        let known = settings.zones.join(", ");
        return Err(StartError::UnknownWindowSite { site: window.site.clone(), known });
    }
    let rank = settings.tier.saturating_mul(MAX_INSTANCES_PER_TIER).saturating_add(settings.rank);
    let location = InstanceLocation { rank, site, sites: settings.zones.clone() };
    Ok(Some(hillstall_coordination::start(section.clone(), location)?))
}

/// The proxy's parts that coordination reads and steers.
pub struct TierTraffic {
    /// Counts the attempts to each zone, and takes the zones' fractions.
    pub driver: Rc<Driver<HttpClient>>,
    /// Counts requests and rejections.
    pub metrics: Rc<Metrics>,
    /// Whether this instance accepts clients.
    pub lifecycle: Rc<Lifecycle>,
    /// The tier of this instance, from 0 at the entry.
    pub tier: u32,
}

impl TierTraffic {
    /// Reports load and follows advisories from now on, in tasks of the current [`tokio::task::LocalSet`].
    pub fn spawn(
        self,
        runtime: Rc<CoordinationHandle>,
        advisories: UnboundedReceiver<Advisory>,
        settings: &Settings,
    ) {
        self.driver.track_zones(settings.zones.len());
        let proxy = Rc::new(self);
        spawn_local(proxy.clone().report_load(runtime, settings.zones.clone()));
        spawn_local(AdvisoryFollower::new(proxy, settings).run(advisories));
    }

    async fn report_load(self: Rc<Self>, runtime: Rc<CoordinationHandle>, zones: Vec<String>) {
        let mut ticks = interval(REPORT_INTERVAL);
        let mut previous = LoadCounters::read(&self);
        ticks.tick().await;
        loop {
            ticks.tick().await;
            let current = LoadCounters::read(&self);
            runtime.report(current.report_since(&previous, &zones));
            previous = current;
        }
    }
}

/// The proxy's counters at one moment.
struct LoadCounters {
    read_at: Instant,
    zones: Vec<ZoneTraffic>,
    requests: u64,
    rejected: u64,
}

impl LoadCounters {
    fn read(proxy: &TierTraffic) -> LoadCounters {
        let (requests, rejected) = proxy.metrics.ended_and_rejected();
        LoadCounters { read_at: Instant::now(), zones: proxy.driver.zone_traffic(), requests, rejected }
    }

    /// What was counted since an earlier moment.
    fn report_since(&self, previous: &LoadCounters, zones: &[String]) -> LoadReport {
        let counters = self.zones.iter().zip(&previous.zones);
        let sites: BTreeMap<String, SiteCounts> = zones
            .iter()
            .zip(counters)
            .map(|(zone, (current, previous))| (zone.clone(), site_counts(current, previous)))
            .collect();
        LoadReport {
            instance: None,
            age_ms: 0,
            period_ms: self.read_at.duration_since(previous.read_at).as_millis() as u32,
            requests: (self.requests - previous.requests) as u32,
            rejected: (self.rejected - previous.rejected) as u32,
            sites,
        }
    }
}

fn site_counts(current: &ZoneTraffic, previous: &ZoneTraffic) -> SiteCounts {
    let utilization = current.reported_cpu.0 - previous.reported_cpu.0;
    let samples = current.reported_cpu.1 - previous.reported_cpu.1;
    let utilization_percent = match samples {
        0 => u8::MAX,
        _ => (100.0 * utilization / samples as f64).clamp(0.0, 100.0) as u8,
    };
    SiteCounts {
        sent: (current.sent - previous.sent) as u32,
        served: (current.answered - previous.answered) as u32,
        unanswered: (current.unanswered - previous.unanswered) as u32,
        utilization_percent,
        // Filled in by the runtime, which knows the fraction in force.
        fraction: 0,
    }
}

/// Passes advisories on to the decision module.
struct AdvisoryFollower {
    proxy: Rc<TierTraffic>,
    zones: Vec<String>,
    /// How much later than the entry tier this one lowers a fraction.
    tier_delay: Duration,
    /// The newest fraction of each zone; of those that wait for the delay, only this one takes effect.
    newest: BTreeMap<u16, f64>,
    /// The fractions in force.
    in_force: BTreeMap<u16, f64>,
    drain: Option<EntryTierDrain>,
}

impl AdvisoryFollower {
    fn new(proxy: Rc<TierTraffic>, settings: &Settings) -> AdvisoryFollower {
        AdvisoryFollower {
            zones: settings.zones.clone(),
            tier_delay: TIER_DELAY * proxy.tier,
            newest: BTreeMap::new(),
            in_force: BTreeMap::new(),
            drain: (settings.tier == 0).then(|| EntryTierDrain::new(settings)),
            proxy,
        }
    }

    /// Runs until the runtime ends; the fractions in the decision module then expire by themselves.
    async fn run(mut self, mut advisories: UnboundedReceiver<Advisory>) {
        let (due_sender, mut due) = unbounded_channel();
        let mut refresh = interval(REFRESH_INTERVAL);
        loop {
            tokio::select! {
                advisory = advisories.recv() => match advisory {
                    Some(Advisory::SiteFraction { site, fraction }) => {
                        self.on_site_fraction(&site, fraction, &due_sender);
                    }
                    None => return,
                },
                Some((zone, fraction)) = due.recv() => self.apply(zone, fraction),
                _ = refresh.tick() => self.refresh(),
            }
        }
    }

    fn on_site_fraction(&mut self, site: &str, fraction: f64, due: &UnboundedSender<(u16, f64)>) {
        let Some(index) = self.zones.iter().position(|zone| zone == site) else { return };
        let zone = index as u16;
        let previous = self.newest.insert(zone, fraction);
        // Fractions fall tier by tier from the entry down, and rise at once.
        let falls = previous.is_none_or(|previous| fraction < previous);
        let delay = if falls { self.tier_delay } else { Duration::ZERO };
        let due = due.clone();
        spawn_local(async move {
            sleep(delay).await;
            // Fails only once the follower has ended.
            let _ = due.send((zone, fraction));
        });
        if let Some(drain) = self.drain.as_mut().filter(|drain| drain.zone == zone) {
            drain.on_fraction(&self.proxy.lifecycle, fraction);
        }
    }

    fn apply(&mut self, zone: u16, fraction: f64) {
        if self.newest.get(&zone) == Some(&fraction) {
            self.in_force.insert(zone, fraction);
            self.proxy.driver.set_zone_fraction(zone, fraction, 0.0);
        }
    }

    fn refresh(&self) {
        for (zone, fraction) in self.in_force.iter().filter(|(_, fraction)| **fraction < 1.0) {
            self.proxy.driver.set_zone_fraction(*zone, *fraction, 0.0);
        }
    }
}

/// Drains an entry-tier instance while its own site is emptied, each instance at a fraction of its own.
struct EntryTierDrain {
    zone: u16,
    /// It drains once its site gets this fraction or less.
    drain_at: f64,
    is_drained: bool,
}

impl EntryTierDrain {
    fn new(settings: &Settings) -> EntryTierDrain {
        let spread = (f64::from(settings.rank) * GOLDEN_RATIO_FRACTION).fract();
        let drain_at = MIN_DRAIN_FRACTION + DRAIN_FRACTION_SPREAD * spread;
        EntryTierDrain { zone: settings.zone, drain_at, is_drained: false }
    }

    fn on_fraction(&mut self, lifecycle: &Lifecycle, fraction: f64) {
        if !self.is_drained && fraction <= self.drain_at && lifecycle.phase() == Phase::Serving {
            self.is_drained = lifecycle.drain();
        } else if self.is_drained && fraction > self.drain_at {
            self.is_drained = false;
            // It may be serving again by an operator's command, or stopping.
            if lifecycle.phase() == Phase::Draining {
                lifecycle.rejoin();
            }
        }
    }
}
