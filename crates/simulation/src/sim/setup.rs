//! Draws the parameters of one run from a scenario and a seed, and derives the settings of each proxy from
//! them. Times and durations are in milliseconds of simulated time.

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

/// Independent random streams of a run. The arrivals must not depend on what a policy does, so that runs of
/// one seed with two policies get the same requests.
#[derive(Clone, Copy)]
pub enum Stream {
    /// Draws of the run's parameters.
    Parameters,
    /// Client requests: time, class, tenant, zone and work.
    Arrivals,
    /// Choices of the clients, the load balancer and the machines during the run.
    Network,
    /// Seeds of the proxies' policies.
    Policies,
}

/// The random number generator of a stream.
pub fn stream_rng(seed: u64, stream: Stream) -> Xoshiro256PlusPlus {
    let number = stream as u64 + 1;
    Xoshiro256PlusPlus::seed_from_u64(seed ^ number.wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

/// A class of requests, as drawn for one run. Times are in milliseconds.
#[derive(Clone)]
pub struct DrawnClass {
    /// The class's name.
    pub name: String,
    /// Share of the requests, relative to the other classes.
    pub share: f64,
    /// Mean work of a request over all tiers, in core milliseconds.
    pub mean_work_ms: f64,
    /// Distribution of the work.
    pub work_distribution: WorkDistribution,
    /// Coefficient of variation of the work.
    pub work_cv: f64,
    /// Coefficient of variation of an attempt's work around the work of its request; 0 if they are equal.
    pub attempt_noise_cv: f64,
    /// The latency objective: later responses do not count as service.
    pub latency_objective: f64,
    /// The deadline, from the start of the client's first attempt.
    pub deadline: f64,
    /// Priority weight of a request of mean work.
    pub weight: f64,
    /// Whether requests may be retried.
    pub retry_safety: ClassRetrySafety,
}

/// Zone and speed of a machine.
#[derive(Clone)]
pub struct DrawnBackend {
    /// Index of the machine's zone.
    pub zone: usize,
    /// Speed: core milliseconds per millisecond of a core.
    pub speed: f64,
}

/// A tenant, as drawn for one run.
#[derive(Clone)]
pub struct DrawnTenant {
    /// The tenant's name.
    pub name: String,
    /// Share of the requests, relative to the other tenants.
    pub traffic_share: f64,
    /// Quota, in requests per second.
    pub quota: f64,
}

/// A tier of machines, as drawn for one run.
#[derive(Clone)]
pub struct DrawnTier {
    /// The tier's name.
    pub name: String,
    /// The machines of the tier.
    pub machines: Vec<DrawnBackend>,
    /// Capacity and limits of each machine. The speed in it is replaced by that of the machine's entry in
    /// `machines`.
    pub spec: MachineSpec,
    /// Work of all requests that one client request causes at this tier, as a fraction of the client
    /// request's work.
    pub work_fraction: f64,
    /// Mean number of requests to the next tier per request; 0 at the last tier.
    pub requests_below: f64,
}

/// A failure, as drawn for one run. Times are in milliseconds.
#[derive(Clone)]
pub struct DrawnFailure {
    /// Kind of the failure.
    pub kind: FailureKind,
    /// When the failure begins.
    pub at: f64,
    /// How long the failure lasts.
    pub duration: f64,
    /// Index of the affected zone, for kinds that affect a zone.
    pub zone: usize,
    /// Index of the affected tier, from 0 at the top.
    pub tier: usize,
    /// Fraction of the tier's machines or proxies that is affected; at least one of them is.
    pub fraction: f64,
    /// Factor of the slowdown, or of the load, for kinds that have one.
    pub factor: f64,
    /// Numbers of the affected machines, counted over all tiers; if empty, `fraction` applies.
    pub machines: Vec<usize>,
    /// The affected links, for [`FailureKind::Cut`].
    pub link_fault: LinkFault,
}

/// The links that a link fault affects, and what it does to them.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkFault {
    /// Kind of the affected links.
    pub link: LinkKind,
    /// If set, only links from proxies in this zone are affected.
    pub from_zone: Option<usize>,
    /// If set, only links to machines in this zone are affected.
    pub to_zone: Option<usize>,
    /// Kind of the fault.
    pub mode: LinkFaultMode,
    /// Additional one-way delay in milliseconds, for [`LinkFaultMode::Delay`].
    pub delay: f64,
}

/// A fraction of a count, rounded, and at least 1.
pub fn count_of_fraction(fraction: f64, all: usize) -> usize {
    ((fraction * all as f64).round() as usize).clamp(1, all)
}

impl LinkFault {
    /// Whether links of a proxy are affected, given the fraction of affected proxies and the proxy's rank
    /// among the instances of its tier.
    pub fn affects_proxy(&self, fraction: f64, (rank, instances): (usize, usize), zone: usize) -> bool {
        rank < count_of_fraction(fraction, instances) && self.from_zone.is_none_or(|from| from == zone)
    }

    /// Whether links to machines of a zone are affected.
    pub fn affects_zone(&self, zone: usize) -> bool {
        self.to_zone.is_none_or(|to| to == zone)
    }
}

/// The parameters of one run. Times, durations and delays are in milliseconds.
#[derive(Clone)]
pub struct DrawnScenario {
    /// How long client requests arrive.
    pub length: f64,
    /// Number of zones.
    pub zones: usize,
    /// Share of the clients in each zone, relative to the other zones.
    pub zone_traffic: Vec<f64>,
    /// Zone of each proxy in front of the first tier.
    pub proxy_zones: Vec<usize>,
    /// Traffic of each of these proxies, as a multiple of an ordinary proxy's; 1 where there is no entry.
    pub proxy_traffic: Vec<f64>,
    /// The tiers, from the one that clients call down.
    pub tiers: Vec<DrawnTier>,
    /// The request classes.
    pub classes: Vec<DrawnClass>,
    /// The tenants; empty if there are no quotas.
    pub tenants: Vec<DrawnTenant>,
    /// Fraction that counts of the weight beyond a tenant's quota.
    pub over_quota_weight: f64,
    /// Whether the work of a request at a lower tier is drawn anew; otherwise it follows from the client
    /// request's.
    pub independent_tier_work: bool,
    /// Mean rate of client requests, per second.
    pub rate_per_s: f64,
    /// Amplitude of the rate's sine wave, as a fraction of the mean rate.
    pub rate_amplitude: f64,
    /// Period of the rate's sine wave.
    pub rate_period: f64,
    /// Load profile: times in order, and the factor of the rate from each time on.
    pub rate_profile: Vec<(f64, f64)>,
    /// Maximum number of retries of a client.
    pub retries: u32,
    /// Minimum wait of a client before a retry.
    pub retry_wait: f64,
    /// Timeout of a client's attempt, as a fraction of the class's deadline.
    pub attempt_timeout_fraction: f64,
    /// Fraction of the clients that wait as long as `Retry-After` says.
    pub honour: f64,
    /// One-way network delay within a zone.
    pub same_zone_delay: f64,
    /// One-way network delay between zones.
    pub cross_zone_delay: f64,
    /// One-way network delay between a client and a proxy.
    pub client_delay: f64,
    /// Delay until proxies are notified that a machine drains or that its process has died.
    pub notice_delay: f64,
    /// Delay until proxies are notified that a machine is unreachable.
    pub silent_notice_delay: f64,
    /// Delay until proxies are notified that a machine has started.
    pub start_notice_delay: f64,
    /// How long a draining machine still accepts requests after the proxies were notified.
    pub drain_grace: f64,
    /// Delay until the load balancer in front avoids a proxy that is gone.
    pub front_notice_delay: f64,
    /// The failures, in the order of the file.
    pub failures: Vec<DrawnFailure>,
}

/// Draws the parameters of a run. The order of the draws is fixed: with another order, a seed would give
/// another run.
#[allow(clippy::too_many_lines, reason = "one parameter after another, in the order of the random stream")]
pub fn draw(scenario: &Scenario, seed: u64) -> DrawnScenario {
    let rng = &mut stream_rng(seed, Stream::Parameters);
    let tiers: Vec<DrawnTier> = (scenario.tiers.iter().enumerate())
        .map(|(i, tier)| {
            let (servers, spec) = tier.draw(rng);
            let last = i + 1 == scenario.tiers.len();
            let requests_below = if last { 0.0 } else { tier.requests_below.draw(rng) };
            let machines =
                (0..servers).map(|n| DrawnBackend { zone: n % scenario.zones, speed: spec.speed }).collect();
            DrawnTier {
                name: tier.name.clone(),
                machines,
                spec,
                work_fraction: tier.work_fraction.draw(rng),
                requests_below,
            }
        })
        .collect();
    let classes: Vec<DrawnClass> = (scenario.classes.iter())
        .map(|class| DrawnClass {
            name: class.name.clone(),
            share: class.share.draw(rng),
            mean_work_ms: class.mean_work.0.draw(rng),
            work_distribution: class.work_distribution,
            work_cv: class.work_cv.draw(rng),
            attempt_noise_cv: 0.0,
            latency_objective: class.latency_objective.0.draw(rng),
            deadline: class.deadline.0.draw(rng),
            weight: class.weight.draw(rng),
            retry_safety: class.retry_safety,
        })
        .collect();
    let failures = (scenario.failures.iter())
        .map(|f| DrawnFailure {
            kind: f.kind,
            at: f.at.0.draw(rng),
            duration: f.duration.0.draw(rng),
            zone: f.zone,
            tier: f.tier,
            fraction: f.fraction.draw(rng).min(1.0),
            factor: f.factor.draw(rng),
            machines: Vec::new(),
            link_fault: LinkFault {
                link: f.link,
                from_zone: f.from_zone,
                to_zone: f.to_zone,
                mode: f.mode,
                // Drawn only for link faults, so that scenarios without them keep their draws.
                delay: if f.kind == FailureKind::Cut { f.delay.0.draw(rng) } else { 0.0 },
            },
        })
        .collect();
    let notice = scenario.discovery.notice_delay.0.draw(rng);
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
        over_quota_weight: scenario.over_quota_weight.draw(rng).min(1.0),
        independent_tier_work: false,
        rate_per_s: 0.0,
        rate_amplitude: scenario.load.rate_amplitude.draw(rng).min(1.0),
        rate_period: scenario.load.rate_period.0.draw(rng).max(1.0),
        rate_profile: Vec::new(),
        retries: scenario.clients.retries.draw(rng) as u32,
        retry_wait: scenario.clients.retry_wait.0.draw(rng),
        attempt_timeout_fraction: scenario.clients.attempt_timeout_fraction.draw(rng).clamp(0.01, 1.0),
        honour: scenario.clients.honour.draw(rng).min(1.0),
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
    parameters.rate_per_s = match (scenario.load.rate, scenario.load.capacity_fraction) {
        (Some(rate), _) => rate.draw(rng),
        (None, fraction) => fraction.map_or(0.0, |fraction| fraction.draw(rng)) * parameters.capacity_per_s(),
    };
    if let Some(hot) = scenario.demand_skew {
        // Zones are assigned round robin, so the first proxies are spread over all zones.
        let count = hot.proxies.draw(rng).round() as usize;
        parameters
            .proxy_traffic
            .iter_mut()
            .take(count)
            .for_each(|traffic| *traffic = hot.traffic_factor.draw(rng));
    }
    let capacity = parameters.capacity_per_s();
    let tenants = scenario.tenants.iter().map(|t| DrawnTenant {
        name: t.name.clone(),
        traffic_share: t.traffic_share.draw(rng),
        quota: t.quota_fraction.draw(rng) * capacity,
    });
    parameters.tenants = tenants.collect();
    parameters.drain_grace = scenario.discovery.drain_grace.0.draw(rng);
    parameters.front_notice_delay = scenario.front.notice_delay.0.draw(rng);
    parameters
}

impl DrawnTier {
    /// Capacity of all the tier's machines when warm, in core milliseconds per millisecond.
    pub fn full_capacity(&self) -> f64 {
        self.machines.iter().map(|p| p.speed).sum::<f64>() * self.spec.cores as f64
    }
}

impl DrawnScenario {
    /// Mean of a value over the classes, weighted by their shares of the requests.
    fn class_mean(&self, figure: fn(&DrawnClass) -> f64) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().map(|c| c.share / shares.max(1e-9) * figure(c)).sum()
    }

    /// An upper bound of the client request rate, per millisecond.
    pub fn max_rate_per_ms(&self) -> f64 {
        let burst = self.failures.iter().map(|f| f.factor).fold(1.0, f64::max);
        let shape = self.rate_profile.iter().map(|(_, times)| *times).fold(1.0, f64::max);
        self.rate_per_s * (1.0 + self.rate_amplitude) * burst * shape / 1e3
    }

    /// The numbers of a tier's machines, which are counted over all tiers.
    pub fn machines_of_tier(&self, tier: usize) -> std::ops::Range<usize> {
        let first: usize = self.tiers.iter().take(tier).map(|t| t.machines.len()).sum();
        first..first + self.tiers[tier].machines.len()
    }

    /// Mean work of a client request over all tiers, in core milliseconds.
    pub fn mean_work(&self) -> f64 {
        self.class_mean(|c| c.mean_work_ms)
    }

    /// The fleet's capacity in client requests per second: that of the tier that saturates first.
    pub fn capacity_per_s(&self) -> f64 {
        let work = self.mean_work();
        let capacity = |tier: &DrawnTier| tier.full_capacity() / (work * tier.work_fraction).max(1e-9);
        self.tiers.iter().map(capacity).fold(f64::MAX, f64::min) * 1e3
    }

    /// The tenants' quotas in weight per second, and the fraction that counts of the weight beyond them.
    pub fn tenant_quotas(&self) -> TenantQuotas {
        let mean_weight = self.class_mean(|c| c.weight);
        TenantQuotas {
            quotas: self.tenants.iter().map(|t| t.quota * mean_weight).collect(),
            over_quota_weight: self.over_quota_weight,
        }
    }

    /// The load profile's factor at a time; 1 before its first entry.
    pub fn profile_factor(&self, now: f64) -> f64 {
        self.rate_profile.iter().take_while(|(from, _)| *from <= now).last().map_or(1.0, |(_, times)| *times)
    }

    /// The decision module's settings for a proxy of a tier, by its rank among the tier's instances and its
    /// zone.
    #[allow(clippy::too_many_lines, reason = "one field per setting")]
    pub fn settings(&self, tier: usize, rank: usize, instances: usize, zone: usize) -> Settings {
        let spec = &self.tiers[tier].spec;
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
            fleet_size: instances as u32,
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
                warmup_start_fraction: spec.warmup_start_fraction,
                warmup_ms: spec.warmup,
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
                connect_timeout_ms: CONNECT_TIMEOUT_MS,
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

/// How long a proxy waits for a connection to a machine that does not respond.
pub const CONNECT_TIMEOUT_MS: f64 = 75.0;
