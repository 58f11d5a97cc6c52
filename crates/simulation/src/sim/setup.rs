//! From a scenario and a seed to the figures of one run, and what each proxy is told of it.

use super::tally::Shares;
use crate::model::machine::Kind;
use crate::model::work::Shape;
use crate::scenario::{Between, Mode, Repeats, Scenario, What};
use hillstall_decision::{
    Class, DedupScope, Objective, Permissions, Prices, ReportVia, RetrySafety, Rules, Settings, Tenant,
    Weights,
};
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

/// Streams of chance, apart from each other: the clients' must not depend on what a policy does, so that runs of one
/// seed with two policies get the same calls.
#[derive(Clone, Copy)]
pub enum Stream {
    /// The figures of the run.
    Figures,
    /// When calls come, and which.
    Arrivals,
    /// What chance does to messages, and the clients' choices.
    Network,
    /// The proxies' seeds.
    Policies,
}

/// The random numbers of a stream.
pub fn chance(seed: u64, stream: Stream) -> Xoshiro256PlusPlus {
    let number = stream as u64 + 1;
    Xoshiro256PlusPlus::seed_from_u64(seed ^ number.wrapping_mul(0x9E37_79B9_7F4A_7C15))
}

/// A class of calls.
#[derive(Clone)]
pub struct ClassOf {
    /// For people.
    pub name: String,
    /// Its part of the calls.
    pub share: f64,
    /// Mean work of a call over all tiers, in core milliseconds.
    pub work: f64,
    /// How the work is spread.
    pub shape: Shape,
    /// Coefficient of variation of the work.
    pub cv: f64,
    /// How far one attempt's work is off the call's: coefficient of variation.
    pub noise: f64,
    /// An answer within this time earns the worth (ms).
    pub aim: f64,
    /// How long a client waits in all (ms).
    pub deadline: f64,
    /// Worth of a call.
    pub worth: f64,
    /// Whether it may run again.
    pub repeats: Repeats,
}

/// Where a machine stands, and how fast it is.
#[derive(Clone)]
pub struct Place {
    /// Its zone.
    pub zone: usize,
    /// Core milliseconds that a core does in a millisecond.
    pub speed: f64,
}

/// A tenant.
#[derive(Clone)]
pub struct TenantOf {
    /// For people.
    pub name: String,
    /// Its part of the calls, against the others' parts.
    pub traffic: f64,
    /// Calls a second within its share.
    pub quota: f64,
}

/// A tier of machines.
#[derive(Clone)]
pub struct TierOf {
    /// For people.
    pub name: String,
    /// Its machines.
    pub places: Vec<Place>,
    /// What each of them can do.
    pub kind: Kind,
    /// A part: of the work of a call, or of the machines.
    pub part: f64,
    /// Calls to the next tier for each call, on average.
    pub calls: f64,
}

/// A failure.
#[derive(Clone)]
pub struct FailureOf {
    /// What goes wrong.
    pub what: What,
    /// When (ms).
    pub at: f64,
    /// For how long (ms).
    pub lasts: f64,
    /// Its zone.
    pub zone: usize,
    /// Which tier.
    pub tier: usize,
    /// A part: of the work of a call, or of the machines.
    pub part: f64,
    /// How many times slower, or how many times the load.
    pub times: f64,
    /// The machines it is about, where they are named one by one.
    pub on: Vec<usize>,
    /// Of a cut.
    pub cut: Cut,
}

/// Which links a cut is about, and what it does to them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cut {
    /// Between whom.
    pub link: Between,
    /// Proxies of this zone alone.
    pub from_zone: Option<usize>,
    /// Machines of this zone alone.
    pub to_zone: Option<usize>,
    /// What it does.
    pub mode: Mode,
    /// By how much it delays (ms).
    pub delay: f64,
}

/// How many a part of so many is, where at least one is meant.
pub fn some_of(part: f64, all: usize) -> usize {
    ((part * all as f64).round() as usize).clamp(1, all)
}

impl Cut {
    /// Whether the links from a proxy are meant that is the `rank`th of so many.
    pub fn is_from(&self, part: f64, (rank, copies): (usize, usize), zone: usize) -> bool {
        rank < some_of(part, copies) && self.from_zone.is_none_or(|from| from == zone)
    }

    /// Whether the links to a machine of a zone are meant.
    pub fn is_to(&self, zone: usize) -> bool {
        self.to_zone.is_none_or(|to| to == zone)
    }
}

/// The figures of one run.
#[derive(Clone)]
pub struct Figures {
    /// How long calls come (ms).
    pub length: f64,
    /// Zones.
    pub zones: usize,
    /// The zones' parts of the clients.
    pub zone_share: Vec<f64>,
    /// The zone of each proxy before the first tier.
    pub proxies: Vec<usize>,
    /// How many times the calls of a common one each of them gets.
    pub heat: Vec<f64>,
    /// The tiers, from the top.
    pub tiers: Vec<TierOf>,
    /// The classes.
    pub classes: Vec<ClassOf>,
    /// The tenants.
    pub tenants: Vec<TenantOf>,
    /// What worth beyond a share counts, as a part of it.
    pub over_share_worth: f64,
    /// Whether a call's work at a lower tier is drawn anew, or goes by the work of the call that makes it.
    pub own_work: bool,
    /// First tries a second.
    pub rate: f64,
    /// How much the rate swings about its mean, as a part of it.
    pub swing: f64,
    /// The time of one swing (ms).
    pub period: f64,
    /// From which time on (ms) the rate is so many times itself.
    pub shape: Vec<(f64, f64)>,
    /// Tries after the first.
    pub retries: u32,
    /// Wait before each (ms).
    pub wait: f64,
    /// The part of the deadline after which a try is given up.
    pub try_part: f64,
    /// The part of clients that follow a stated wait.
    pub honour: f64,
    /// One way within a zone (ms).
    pub same_zone: f64,
    /// One way between zones (ms).
    pub cross_zone: f64,
    /// One way between a client and a proxy (ms).
    pub client: f64,
    /// Until proxies know of a drain or a death (ms).
    pub notice: f64,
    /// Until proxies know that a machine is silent.
    pub silent_notice: f64,
    /// Until proxies know of a start.
    pub add_notice: f64,
    /// How long machines take calls still after proxies know that they drain (ms).
    pub serves_on: f64,
    /// Until clients are sent past proxies that are gone.
    pub front_notice: f64,
    /// What goes wrong.
    pub failures: Vec<FailureOf>,
}

/// Draws the figures of a run.
#[allow(clippy::too_many_lines, reason = "one parameter after another, in the order of the random stream")]
pub fn draw(scenario: &Scenario, seed: u64) -> Figures {
    let rng = &mut chance(seed, Stream::Figures);
    let tiers: Vec<TierOf> = (scenario.tiers.iter().enumerate())
        .map(|(i, tier)| {
            let (servers, kind) = tier.draw(rng);
            let last = i + 1 == scenario.tiers.len();
            let calls = if last { 0.0 } else { tier.calls.draw(rng) };
            let places =
                (0..servers).map(|n| Place { zone: n % scenario.zones, speed: kind.speed }).collect();
            TierOf { name: tier.name.clone(), places, kind, part: tier.work_part.draw(rng), calls }
        })
        .collect();
    let classes: Vec<ClassOf> = (scenario.classes.iter())
        .map(|class| ClassOf {
            name: class.name.clone(),
            share: class.share.draw(rng),
            work: class.work.0.draw(rng),
            shape: class.shape,
            cv: class.cv.draw(rng),
            noise: 0.0,
            aim: class.aim.0.draw(rng),
            deadline: class.deadline.0.draw(rng),
            worth: class.worth.draw(rng),
            repeats: class.repeats,
        })
        .collect();
    let failures = (scenario.failures.iter())
        .map(|f| FailureOf {
            what: f.what,
            at: f.at.0.draw(rng),
            lasts: f.lasts.0.draw(rng),
            zone: f.zone,
            tier: f.tier,
            part: f.part.draw(rng).min(1.0),
            times: f.times.draw(rng),
            on: Vec::new(),
            cut: Cut {
                link: f.link,
                from_zone: f.from_zone,
                to_zone: f.to_zone,
                mode: f.mode,
                // Drawn for cuts alone, so that the figures of all else stay as they were.
                delay: if f.what == What::Cut { f.delay.0.draw(rng) } else { 0.0 },
            },
        })
        .collect();
    let notice = scenario.discovery.notice.0.draw(rng);
    let proxies = scenario.proxies.draw(rng).round().max(1.0) as usize;
    let mut figures = Figures {
        length: scenario.length.0.draw(rng),
        zones: scenario.zones,
        zone_share: vec![1.0; scenario.zones],
        proxies: (0..proxies).map(|rank| rank % scenario.zones).collect(),
        heat: vec![1.0; proxies],
        tiers,
        classes,
        tenants: Vec::new(),
        over_share_worth: scenario.over_share_worth.draw(rng).min(1.0),
        own_work: false,
        rate: 0.0,
        swing: scenario.load.swing.draw(rng).min(1.0),
        period: scenario.load.period.0.draw(rng).max(1.0),
        shape: Vec::new(),
        retries: scenario.clients.retries.draw(rng) as u32,
        wait: scenario.clients.wait.0.draw(rng),
        try_part: scenario.clients.try_part.draw(rng).clamp(0.01, 1.0),
        honour: scenario.clients.honour.draw(rng).min(1.0),
        same_zone: scenario.net.same_zone.0.draw(rng),
        cross_zone: scenario.net.cross_zone.0.draw(rng),
        client: scenario.net.client.0.draw(rng),
        notice,
        silent_notice: notice,
        add_notice: notice,
        serves_on: 0.0,
        front_notice: 0.0,
        failures,
    };
    figures.rate = match (scenario.load.rate, scenario.load.of_capacity) {
        (Some(rate), _) => rate.draw(rng),
        (None, part) => part.map_or(0.0, |part| part.draw(rng)) * figures.capacity(),
    };
    if let Some(hot) = scenario.hot {
        // The first ones: zones are dealt out in turn, so these are spread over them.
        let many = hot.proxies.draw(rng).round() as usize;
        figures.heat.iter_mut().take(many).for_each(|heat| *heat = hot.times.draw(rng));
    }
    let able = figures.capacity();
    let tenants = scenario.tenants.iter().map(|t| TenantOf {
        name: t.name.clone(),
        traffic: t.traffic.draw(rng),
        quota: t.share.draw(rng) * able,
    });
    figures.tenants = tenants.collect();
    figures.serves_on = scenario.discovery.serves_on.0.draw(rng);
    figures.front_notice = scenario.front.notice.0.draw(rng);
    figures
}

impl TierOf {
    /// Core milliseconds that all its machines do in a millisecond, warm and sound.
    pub fn able(&self) -> f64 {
        self.places.iter().map(|p| p.speed).sum::<f64>() * self.kind.cores as f64
    }
}

impl Figures {
    /// The mean of a figure over the calls, by the classes' shares.
    fn mean(&self, figure: fn(&ClassOf) -> f64) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes.iter().map(|c| c.share / shares.max(1e-9) * figure(c)).sum()
    }

    /// The highest rate of calls that there can be, a millisecond.
    pub fn most_rate(&self) -> f64 {
        let burst = self.failures.iter().map(|f| f.times).fold(1.0, f64::max);
        let shape = self.shape.iter().map(|(_, times)| *times).fold(1.0, f64::max);
        self.rate * (1.0 + self.swing) * burst * shape / 1e3
    }

    /// The numbers of a tier's machines, counted over all tiers.
    pub fn machines_of(&self, tier: usize) -> std::ops::Range<usize> {
        let first: usize = self.tiers.iter().take(tier).map(|t| t.places.len()).sum();
        first..first + self.tiers[tier].places.len()
    }

    /// Mean work of a call over all tiers, in core milliseconds.
    pub fn mean_work(&self) -> f64 {
        self.mean(|c| c.work)
    }

    /// Calls a second that the fleet can do: the tier that is full first says so.
    pub fn capacity(&self) -> f64 {
        let work = self.mean_work();
        let able = |tier: &TierOf| tier.able() / (work * tier.part).max(1e-9);
        self.tiers.iter().map(able).fold(f64::MAX, f64::min) * 1e3
    }

    /// The tenants' shares in worth a second, and what worth beyond them counts.
    pub fn shares(&self) -> Shares {
        let worth = self.mean(|c| c.worth);
        Shares {
            quotas: self.tenants.iter().map(|t| t.quota * worth).collect(),
            beyond: self.over_share_worth,
        }
    }

    /// How many times its usual the rate is, by the shape.
    pub fn factor(&self, now: f64) -> f64 {
        self.shape.iter().take_while(|(from, _)| *from <= now).last().map_or(1.0, |(_, times)| *times)
    }

    /// What a proxy is told of the deployment.
    #[allow(clippy::too_many_lines, reason = "one field per setting")]
    pub fn settings(&self, tier: usize, rank: usize, copies: usize, zone: usize) -> Settings {
        let kind = &self.tiers[tier].kind;
        let class = |c: &ClassOf| Class {
            name: c.name.clone(),
            latency_objective_ms: c.aim,
            objective_per_work_ms: 0.0,
            deadline_ms: c.deadline,
            priority_weight: c.worth,
            late_weight_fraction: 0.0,
            retry_safety: match c.repeats {
                Repeats::Safe => RetrySafety::Idempotent,
                Repeats::Keyed => RetrySafety::IdempotencyKey,
                Repeats::Once => RetrySafety::NonIdempotent,
            },
            dedup_scope: DedupScope::All,
            dedup_window_ms: 2_500.0,
            streaming: false,
        };
        let tenant =
            |t: &TenantOf| Tenant { name: t.name.clone(), quota_per_s: t.quota, fraction: t.traffic };
        Settings {
            rank: rank as u32,
            fleet_size: copies as u32,
            zone: zone as u16,
            stage: tier as u32,
            stages: self.tiers.iter().map(|t| t.name.clone()).collect(),
            zones: (0..self.zones).map(|z| format!("zone-{z}")).collect(),
            machine_kinds: vec!["machine".into()],
            service: "lab".into(),
            passes_deadline: true,
            caches_keys: false,
            marks_retry: true,
            must_subscribe: false,
            weight_by_work: true,
            over_quota_weight: self.over_share_worth,
            tick_ms: 2.0,
            weights: Weights::Off,
            report: Vec::new(),
            report_via: ReportVia::Off,
            classes: self.classes.iter().map(class).collect(),
            tenants: self.tenants.iter().map(tenant).collect(),
            rules: Rules {
                response_grace_ms: 100.0,
                drain_grace_ms: 2_000.0,
                poll_interval_ms: 5_000.0,
                warmup_start_fraction: kind.cold_from,
                warmup_ms: kind.cold,
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
            prices: Prices { cross_zone: 0.015, waste: 0.027, late_fail: 0.03, ..Prices::default() },
            objective: Objective {
                whole: 0.55,
                worst_window: 0.05,
                worst_class: 0.1,
                worst_tenant: 0.3,
                nines: 0.0,
                full_at_nines: 3.0,
            },
        }
    }
}

/// After this time an attempt at a machine that is gone from the network counts as not connected.
pub const CONNECT_TIMEOUT: f64 = 75.0;
