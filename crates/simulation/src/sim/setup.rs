//! Draws the parameters of one run from a scenario and a seed, and makes the settings of each proxy.

use super::accounting::TenantQuotas;
use crate::model::machine::MachineSpec;
use crate::model::work::WorkDistribution;
use crate::scenario::{ClassRetrySafety, FailureKind, LinkFaultMode, LinkKind, Scenario};
use hillstall_decision::{
    Class, DedupScope, ObjectiveWeights, Permissions, Prices, RatingSource, ReportVia, RetrySafety, Rules,
    Settings, Tenant,
};
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

/// Independent random streams: the clients' must not depend on a policy's actions, so that runs of one
/// seed with two policies get the same requests.
#[derive(Clone, Copy)]
pub enum Stream {
    /// The parameters of the run.
    Parameters,
    /// The arrivals.
    Arrivals,
    /// The network, and the clients' choices.
    Network,
    /// The proxies' seeds.
    Policies,
}

/// The random numbers of a stream.
pub fn stream_rng(seed: u64, stream: Stream) -> Xoshiro256PlusPlus {
    let number = stream as u64 + 1;
    Xoshiro256PlusPlus::seed_from_u64(seed ^ number.wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

/// A class of requests.
#[derive(Clone)]
pub struct DrawnClass {
    /// For people.
    pub name: String,
    /// Its part of the requests.
    pub share: f64,
    /// Mean work of a request over all tiers, in core milliseconds.
    pub mean_work_ms: f64,
    /// Distribution of the work.
    pub work_distribution: WorkDistribution,
    /// Coefficient of variation of the work.
    pub work_cv: f64,
    /// Coefficient of variation of an attempt's work around its request's.
    pub attempt_noise_cv: f64,
    /// The latency objective, in milliseconds: later responses earn nothing.
    pub latency_objective: f64,
    /// The deadline, from the first attempt, in milliseconds.
    pub deadline: f64,
    /// Weight of a request.
    pub weight: f64,
    /// Whether it may be retried.
    pub retry_safety: ClassRetrySafety,
}

/// Zone and speed of a machine.
#[derive(Clone)]
pub struct DrawnBackend {
    /// Its zone.
    pub zone: usize,
    /// Speed: core milliseconds per millisecond of a core.
    pub speed: f64,
}

/// A tenant.
#[derive(Clone)]
pub struct DrawnTenant {
    /// For people.
    pub name: String,
    /// Its part of the requests, relative to the others.
    pub traffic_share: f64,
    /// Its quota, in requests per second.
    pub quota: f64,
}

/// A tier of machines.
#[derive(Clone)]
pub struct DrawnTier {
    /// For people.
    pub name: String,
    /// Its machines.
    pub machines: Vec<DrawnBackend>,
    /// What each of them can do.
    pub spec: MachineSpec,
    /// A part: of the work of a request, or of the machines.
    pub work_fraction: f64,
    /// Requests to the next tier per request, on average.
    pub requests_below: f64,
}

/// A failure.
#[derive(Clone)]
pub struct DrawnFailure {
    /// The failures.
    pub kind: FailureKind,
    /// When (ms).
    pub at: f64,
    /// For how long (ms).
    pub duration: f64,
    /// Its zone.
    pub zone: usize,
    /// Which tier.
    pub tier: usize,
    /// A part: of the work of a request, or of the machines.
    pub fraction: f64,
    /// How many times slower, or how many times the load.
    pub factor: f64,
    /// The machines it affects, where they are named.
    pub machines: Vec<usize>,
    /// Of a link fault.
    pub link_fault: LinkFault,
}

/// The links of a link fault, and its kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkFault {
    /// Between whom.
    pub link: LinkKind,
    /// Proxies of this zone alone.
    pub from_zone: Option<usize>,
    /// Machines of this zone alone.
    pub to_zone: Option<usize>,
    /// What it does.
    pub mode: LinkFaultMode,
    /// Its delay, in milliseconds.
    pub delay: f64,
}

/// A part of a number, rounded, and at least one.
pub fn count_of_fraction(part: f64, all: usize) -> usize {
    ((part * all as f64).round() as usize).clamp(1, all)
}

impl LinkFault {
    /// Whether it affects links from a proxy with a rank among a number of instances.
    pub fn affects_proxy(&self, part: f64, (rank, copies): (usize, usize), zone: usize) -> bool {
        rank < count_of_fraction(part, copies) && self.from_zone.is_none_or(|from| from == zone)
    }

    /// Whether it affects links to a machine of a zone.
    pub fn affects_zone(&self, zone: usize) -> bool {
        self.to_zone.is_none_or(|to| to == zone)
    }
}

/// The parameters of one run.
#[derive(Clone)]
pub struct DrawnScenario {
    /// How long requests arrive, in milliseconds.
    pub length: f64,
    /// Zones.
    pub zones: usize,
    /// The zones' parts of the clients.
    pub zone_traffic: Vec<f64>,
    /// The zone of each proxy before the first tier.
    pub proxy_zones: Vec<usize>,
    /// Traffic of each, as a multiple of an ordinary one's.
    pub proxy_traffic: Vec<f64>,
    /// The tiers, from the top.
    pub tiers: Vec<DrawnTier>,
    /// The classes.
    pub classes: Vec<DrawnClass>,
    /// The tenants.
    pub tenants: Vec<DrawnTenant>,
    /// The part of the weight beyond a quota that counts.
    pub over_quota_weight: f64,
    /// Whether a request's work at a lower tier is drawn anew, or follows from the request above it.
    pub independent_tier_work: bool,
    /// Client requests per second.
    pub rate_per_s: f64,
    /// Amplitude of the rate's sine wave, as a part of its mean.
    pub rate_amplitude: f64,
    /// Period of the sine wave, in milliseconds.
    pub rate_period: f64,
    /// Times, in milliseconds, from which on the rate is multiplied by a factor.
    pub rate_profile: Vec<(f64, f64)>,
    /// Client retries.
    pub retries: u32,
    /// Wait before each (ms).
    pub retry_wait: f64,
    /// The timeout of a client's attempt, as a part of the deadline.
    pub attempt_timeout_fraction: f64,
    /// The part of clients that follow Retry-After.
    pub retry_after_fraction: f64,
    /// One way within a zone (ms).
    pub same_zone_delay: f64,
    /// One way between zones (ms).
    pub cross_zone_delay: f64,
    /// One way between a client and a proxy (ms).
    pub client_delay: f64,
    /// Until proxies are notified of a drain or a death, in milliseconds.
    pub notice_delay: f64,
    /// Until proxies are notified that a machine is silent, in milliseconds.
    pub silent_notice_delay: f64,
    /// Until proxies are notified of a start, in milliseconds.
    pub start_notice_delay: f64,
    /// How long a draining machine still accepts requests after the notification, in milliseconds.
    pub drain_grace: f64,
    /// Until the load balancer avoids proxies that are gone, in milliseconds.
    pub front_notice_delay: f64,
    /// The failures.
    pub failures: Vec<DrawnFailure>,
}

/// Draws the parameters of a run.
#[allow(clippy::too_many_lines, reason = "one parameter after another, in the order of the random stream")]
pub fn draw(scenario: &Scenario, seed: u64) -> DrawnScenario {
    let rng = &mut stream_rng(seed, Stream::Parameters);
    let tiers: Vec<DrawnTier> = (scenario.tiers.iter().enumerate())
        .map(|(i, tier)| {
            let (servers, kind) = tier.draw(rng);
            let last = i + 1 == scenario.tiers.len();
            let calls = if last { 0.0 } else { tier.calls.draw(rng) };
            let places =
                (0..servers).map(|n| DrawnBackend { zone: n % scenario.zones, speed: kind.speed }).collect();
            DrawnTier {
                name: tier.name.clone(),
                machines: places,
                spec: kind,
                work_fraction: tier.work_part.draw(rng),
                requests_below: calls,
            }
        })
        .collect();
    let classes: Vec<DrawnClass> = (scenario.classes.iter())
        .map(|class| DrawnClass {
            name: class.name.clone(),
            share: class.share.draw(rng),
            mean_work_ms: class.work.0.draw(rng),
            work_distribution: class.shape,
            work_cv: class.cv.draw(rng),
            attempt_noise_cv: 0.0,
            latency_objective: class.aim.0.draw(rng),
            deadline: class.deadline.0.draw(rng),
            weight: class.worth.draw(rng),
            retry_safety: class.repeats,
        })
        .collect();
    let failures = (scenario.failures.iter())
        .map(|f| DrawnFailure {
            kind: f.kind,
            at: f.at.0.draw(rng),
            duration: f.duration.0.draw(rng),
            zone: f.zone,
            tier: f.tier,
            fraction: f.part.draw(rng).min(1.0),
            factor: f.times.draw(rng),
            machines: Vec::new(),
            link_fault: LinkFault {
                link: f.link,
                from_zone: f.from_zone,
                to_zone: f.to_zone,
                mode: f.mode,
                // Drawn for link faults alone, so that all other draws are the same without them.
                delay: if f.kind == FailureKind::Cut { f.delay.0.draw(rng) } else { 0.0 },
            },
        })
        .collect();
    let notice = scenario.discovery.notice.0.draw(rng);
    let proxies = scenario.proxies.draw(rng).round().max(1.0) as usize;
    let mut parameters = DrawnScenario {
        length: scenario.length.0.draw(rng),
        zones: scenario.zones,
        zone_traffic: vec![1.0; scenario.zones],
        proxy_zones: (0..proxies).map(|rank| rank % scenario.zones).collect(),
        proxy_traffic: vec![1.0; proxies],
        tiers,
        classes,
        tenants: Vec::new(),
        over_quota_weight: scenario.over_share_worth.draw(rng).min(1.0),
        independent_tier_work: false,
        rate_per_s: 0.0,
        rate_amplitude: scenario.load.swing.draw(rng).min(1.0),
        rate_period: scenario.load.period.0.draw(rng).max(1.0),
        rate_profile: Vec::new(),
        retries: scenario.clients.retries.draw(rng) as u32,
        retry_wait: scenario.clients.wait.0.draw(rng),
        attempt_timeout_fraction: scenario.clients.try_part.draw(rng).clamp(0.01, 1.0),
        retry_after_fraction: scenario.clients.honour.draw(rng).min(1.0),
        same_zone_delay: scenario.net.same_zone.0.draw(rng),
        cross_zone_delay: scenario.net.cross_zone.0.draw(rng),
        client_delay: scenario.net.client.0.draw(rng),
        notice_delay: notice,
        silent_notice_delay: notice,
        start_notice_delay: notice,
        drain_grace: 0.0,
        front_notice_delay: 0.0,
        failures,
    };
    parameters.rate_per_s = match (scenario.load.rate, scenario.load.of_capacity) {
        (Some(rate), _) => rate.draw(rng),
        (None, part) => part.map_or(0.0, |part| part.draw(rng)) * parameters.capacity_per_s(),
    };
    if let Some(hot) = scenario.hot {
        // The first ones: zones are assigned in turn, so these are spread over them.
        let many = hot.proxies.draw(rng).round() as usize;
        parameters.proxy_traffic.iter_mut().take(many).for_each(|heat| *heat = hot.times.draw(rng));
    }
    let able = parameters.capacity_per_s();
    let tenants = scenario.tenants.iter().map(|t| DrawnTenant {
        name: t.name.clone(),
        traffic_share: t.traffic.draw(rng),
        quota: t.share.draw(rng) * able,
    });
    parameters.tenants = tenants.collect();
    parameters.drain_grace = scenario.discovery.serves_on.0.draw(rng);
    parameters.front_notice_delay = scenario.front.notice.0.draw(rng);
    parameters
}

impl DrawnTier {
    /// Full capacity of its machines, in core milliseconds per millisecond.
    pub fn full_capacity(&self) -> f64 {
        self.machines.iter().map(|p| p.speed).sum::<f64>() * self.spec.cores as f64
    }
}

impl DrawnScenario {
    /// The mean of a value over the requests, weighted by the classes' traffic.
    fn class_mean(&self, figure: fn(&DrawnClass) -> f64) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().map(|c| c.share / shares.max(1e-9) * figure(c)).sum()
    }

    /// An upper bound of the request rate, per millisecond.
    pub fn max_rate_per_ms(&self) -> f64 {
        let burst = self.failures.iter().map(|f| f.factor).fold(1.0, f64::max);
        let shape = self.rate_profile.iter().map(|(_, times)| *times).fold(1.0, f64::max);
        self.rate_per_s * (1.0 + self.rate_amplitude) * burst * shape / 1e3
    }

    /// The numbers of a tier's machines, counted over all tiers.
    pub fn machines_of_tier(&self, tier: usize) -> std::ops::Range<usize> {
        let first: usize = self.tiers.iter().take(tier).map(|t| t.machines.len()).sum();
        first..first + self.tiers[tier].machines.len()
    }

    /// Mean work of a request over all tiers, in core milliseconds.
    pub fn mean_work(&self) -> f64 {
        self.class_mean(|c| c.mean_work_ms)
    }

    /// The fleet's capacity in requests per second: that of the tier that saturates first.
    pub fn capacity_per_s(&self) -> f64 {
        let work = self.mean_work();
        let able = |tier: &DrawnTier| tier.full_capacity() / (work * tier.work_fraction).max(1e-9);
        self.tiers.iter().map(able).fold(f64::MAX, f64::min) * 1e3
    }

    /// The tenants' quotas in weight per second, and the part of the weight beyond them that counts.
    pub fn tenant_quotas(&self) -> TenantQuotas {
        let worth = self.class_mean(|c| c.weight);
        TenantQuotas {
            quotas: self.tenants.iter().map(|t| t.quota * worth).collect(),
            over_quota_weight: self.over_quota_weight,
        }
    }

    /// The factor of the rate at a time.
    pub fn profile_factor(&self, now: f64) -> f64 {
        self.rate_profile.iter().take_while(|(from, _)| *from <= now).last().map_or(1.0, |(_, times)| *times)
    }

    /// The settings of a proxy.
    #[allow(clippy::too_many_lines, reason = "one field per setting")]
    pub fn settings(&self, tier: usize, rank: usize, copies: usize, zone: usize) -> Settings {
        let kind = &self.tiers[tier].spec;
        let class = |c: &DrawnClass| Class {
            name: c.name.clone(),
            latency_objective_ms: c.latency_objective,
            objective_per_work_ms: 0.0,
            deadline_ms: c.deadline,
            priority_weight: c.weight,
            late_weight_fraction: 0.0,
            retry_safety: match c.retry_safety {
                ClassRetrySafety::Safe => RetrySafety::Idempotent,
                ClassRetrySafety::Keyed => RetrySafety::IdempotencyKey,
                ClassRetrySafety::Once => RetrySafety::NonIdempotent,
            },
            dedup_scope: DedupScope::All,
            dedup_window_ms: 2_500.0,
            streaming: false,
        };
        let tenant = |t: &DrawnTenant| Tenant {
            name: t.name.clone(),
            quota_per_s: t.quota,
            fraction: t.traffic_share,
        };
        Settings {
            rank: rank as u32,
            fleet_size: copies as u32,
            zone: zone as u16,
            tier: tier as u32,
            tier_names: self.tiers.iter().map(|t| t.name.clone()).collect(),
            zones: (0..self.zones).map(|z| format!("zone-{z}")).collect(),
            machine_kinds: vec!["machine".into()],
            service: "lab".into(),
            passes_deadline: true,
            caches_keys: false,
            marks_retry: true,
            must_subscribe: false,
            weight_by_work: true,
            over_quota_weight: self.over_quota_weight,
            tick_ms: 2.0,
            rating_source: RatingSource::Off,
            report: Vec::new(),
            report_via: ReportVia::Off,
            classes: self.classes.iter().map(class).collect(),
            tenants: self.tenants.iter().map(tenant).collect(),
            rules: Rules {
                response_grace_ms: 100.0,
                drain_grace_ms: 2_000.0,
                poll_interval_ms: 5_000.0,
                warmup_start_fraction: kind.warmup_start_fraction,
                warmup_ms: kind.warmup,
                overload_multiple: 3.0,
                overload_window_ms: 2_000.0,
            },
            permissions: Permissions {
                cancel: true,
                probe: false,
                parallel: false,
                retry_after: true,
                max_retry_after_ms: 750.0,
                max_attempts: 6,
                max_open: 100_000,
                peer_messages: false,
                idle_close_ms: 60_000.0,
                connect_timeout_ms: CONNECT_TIMEOUT,
                streams_per_connection: 1,
                cpu_us_per_s: 1e6,
                cpu_us_per_request: 0.0,
            },
            prices: Prices { cross_zone: 0.015, waste: 0.027, late_or_failed: 0.03, ..Prices::default() },
            objective_weights: ObjectiveWeights {
                whole_run: 0.55,
                worst_window: 0.05,
                worst_class: 0.1,
                worst_tenant: 0.3,
                availability: 0.0,
                full_at_nines: 3.0,
            },
        }
    }
}

/// Connect timeout to a machine that is cut off, in milliseconds.
pub const CONNECT_TIMEOUT: f64 = 75.0;
