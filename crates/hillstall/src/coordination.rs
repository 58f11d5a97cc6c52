//! Connects the proxy's event loop to the coordination runtime, which gets load reports and sends advisories.
//!
//! Without the section `[fleet]` in the operator file, or if the platform does not allow messages between
//! instances, coordination has no socket, thread or timer.

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
/// How much later than the tier above it each tier lowers a site's traffic fraction, so that requests that
/// the upper tiers have already sent still find the old fraction in force below.
const TIER_DELAY: Duration = Duration::from_millis(300);
/// Time between two refreshes of the fractions in the decision module, where they expire otherwise.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Upper bound of the instances of a tier; offset between the ranks of consecutive tiers, so that no two
/// tiers share a rank.
const MAX_INSTANCES_PER_TIER: u32 = 1_000_000;
/// Fractional part of the golden ratio. Its multiples modulo 1 are spread evenly for any number of instances.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_75;
/// The traffic fraction of a site at which its last entry-tier instance drains.
const MIN_DRAIN_FRACTION: f64 = 0.1;
/// Entry-tier instances of a site drain one after the other, at fractions from [`MIN_DRAIN_FRACTION`] up to
/// this much above it.
const DRAIN_FRACTION_SPREAD: f64 = 0.8;

/// Why coordination could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The operator has not set the site, and the platform names no zone to take it from.
    #[error("fleet.site: not set, and the platform's configuration names no zone to use instead")]
    UnknownSite,
    /// A maintenance window is for a site that is not among the platform's zones.
    #[error("fleet.window.site: {site:?} is not a site of the fleet; its sites are {known}")]
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

/// A handle to the running runtime, and the channel of its advisories.
type RunningCoordination = (CoordinationHandle, UnboundedReceiver<Advisory>);

/// Starts the coordination runtime, if the operator has configured it and the platform allows messages
/// between instances; returns `None` otherwise.
///
/// # Errors
/// [`StartError`] if this instance's site or that of a window is unknown, or if the runtime can't be started.
pub fn start(
    section: Option<&CoordinationSettings>,
    settings: &Settings,
) -> Result<Option<RunningCoordination>, StartError> {
    let Some(section) = section else { return Ok(None) };
    if !settings.permissions.peer_messages {
        tracing::warn!(
            "fleet: the platform does not allow messages between instances (Allowed.Peers); \
             coordination is off"
        );
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

/// The parts of the proxy that load reports are read from and that advisories change.
pub struct ProxyHandles {
    /// Counts the attempts to each zone, and applies the zones' traffic fractions.
    pub driver: Rc<Driver<HttpClient>>,
    /// Counts requests and rejections.
    pub metrics: Rc<Metrics>,
    /// Whether this instance accepts clients.
    pub lifecycle: Rc<Lifecycle>,
    /// The tier of this instance, from 0 at the entry.
    pub tier: u32,
}

impl ProxyHandles {
    /// Spawns the tasks that report load and apply advisories on the current [`tokio::task::LocalSet`].
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

/// The proxy's cumulative counters at one moment.
struct LoadCounters {
    read_at: Instant,
    zones: Vec<ZoneTraffic>,
    requests: u64,
    rejected: u64,
}

impl LoadCounters {
    fn read(proxy: &ProxyHandles) -> LoadCounters {
        let (requests, rejected) = proxy.metrics.ended_and_rejected();
        LoadCounters { read_at: Instant::now(), zones: proxy.driver.zone_traffic(), requests, rejected }
    }

    /// The difference to the counters of an earlier moment.
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
        // The runtime fills in the traffic fraction that it has in force.
        fraction: 0,
    }
}

/// Applies advisories to the decision module, and drains entry-tier instances of a site that is emptied.
struct AdvisoryFollower {
    proxy: Rc<ProxyHandles>,
    zones: Vec<String>,
    /// Delay between an advisory that lowers a fraction and its application at this tier.
    tier_delay: Duration,
    /// The latest fraction of each zone by its advisories. Older ones that still wait for the delay are
    /// dropped.
    latest: BTreeMap<u16, f64>,
    /// The fractions that the decision module has.
    applied: BTreeMap<u16, f64>,
    drain: Option<EntryTierDrain>,
}

impl AdvisoryFollower {
    fn new(proxy: Rc<ProxyHandles>, settings: &Settings) -> AdvisoryFollower {
        AdvisoryFollower {
            zones: settings.zones.clone(),
            tier_delay: TIER_DELAY * proxy.tier,
            latest: BTreeMap::new(),
            applied: BTreeMap::new(),
            drain: (settings.tier == 0).then(|| EntryTierDrain::new(settings)),
            proxy,
        }
    }

    /// Runs until the coordination runtime ends; the fractions in the decision module then expire.
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
        let previous = self.latest.insert(zone, fraction);
        // A lower fraction is applied tier by tier from the entry down, a higher one at once.
        let falls = previous.is_none_or(|previous| fraction < previous);
        let delay = if falls { self.tier_delay } else { Duration::ZERO };
        let due = due.clone();
        spawn_local(async move {
            sleep(delay).await;
            // Fails only after the follower has ended.
            let _ = due.send((zone, fraction));
        });
        if let Some(drain) = self.drain.as_mut().filter(|drain| drain.zone == zone) {
            drain.on_fraction(&self.proxy.lifecycle, fraction);
        }
    }

    fn apply(&mut self, zone: u16, fraction: f64) {
        if self.latest.get(&zone) == Some(&fraction) {
            self.applied.insert(zone, fraction);
            self.proxy.driver.set_zone_fraction(zone, fraction, 0.0);
        }
    }

    fn refresh(&self) {
        for (zone, fraction) in self.applied.iter().filter(|(_, fraction)| **fraction < 1.0) {
            self.proxy.driver.set_zone_fraction(*zone, *fraction, 0.0);
        }
    }
}

/// Drains an entry-tier instance while its site is emptied. Each instance drains at its own traffic fraction,
/// so that the instances of a site drain one after the other.
struct EntryTierDrain {
    zone: u16,
    /// The site's traffic fraction at and below which this instance drains.
    drain_at: f64,
    /// Whether [`EntryTierDrain::on_fraction`] has drained the instance, as opposed to an operator.
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
            // The instance may have been rejoined by an operator, or be stopping.
            if lifecycle.phase() == Phase::Draining {
                lifecycle.rejoin();
            }
        }
    }
}
