//! Parses a recorded day of the platform's simulator (JSON): the machines with their speeds, the load and the
//! failures. Parts that this simulation does not model are ignored (see `docs/measurements/simulation.md`); a
//! missing part is an error. The names of fields and values are those of the file. Times in the file are in
//! microseconds, except for those of the load profile (`traffic.shape`), which are in seconds.

use super::setup::{
    DrawnBackend, DrawnClass, DrawnFailure, DrawnScenario, DrawnTenant, DrawnTier, LinkFault,
};
use crate::model::machine::{Choke, MachineSpec};
use crate::model::work::WorkDistribution;
use crate::scenario::{ClassRetrySafety, FailureKind};
use serde::Deserialize;

/// Why a file is not a valid day.
#[derive(Debug, thiserror::Error)]
pub enum DayError {
    /// The JSON is invalid or a part is missing; the text names the line and the key.
    #[error("{0}")]
    Syntax(#[from] serde_json::Error),
    /// A value is out of bounds, or parts contradict each other.
    #[error("{0}")]
    Invalid(String),
}

#[derive(Deserialize)]
struct Day {
    length: f64,
    zones: Vec<String>,
    net: Net,
    #[serde(default)]
    front_notice: f64,
    traffic: Traffic,
    clients: Clients,
    discovery: Discovery,
    classes: Vec<Class>,
    #[serde(default)]
    tenants: Vec<Tenant>,
    tiers: Vec<Tier>,
    servers: Vec<Server>,
    balancers: Vec<Balancer>,
    #[serde(default)]
    troubles: Vec<Trouble>,
}

/// One-way network delays, in microseconds.
#[derive(Deserialize)]
struct Net {
    same: f64,
    cross: f64,
    client: f64,
}

#[derive(Deserialize)]
struct Traffic {
    load: f64,
    shape: Vec<(f64, f64)>,
    zone_share: Vec<f64>,
    #[serde(default = "one")]
    over_share_worth: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
struct Clients {
    retries: u32,
    try_share: f64,
    backoff: String,
    #[serde(default)]
    backoff_us: f64,
    honour: f64,
}

#[derive(Deserialize)]
struct Discovery {
    notice: f64,
    silent_notice: f64,
    add: f64,
}

#[derive(Deserialize)]
struct Class {
    name: String,
    share: f64,
    work: f64,
    dist: String,
    cv: f64,
    #[serde(default)]
    attempt_noise: f64,
    aim: f64,
    deadline: f64,
    worth: f64,
    effect: String,
}

#[derive(Deserialize)]
struct Tenant {
    name: String,
    traffic: f64,
    quota: f64,
}

#[derive(Deserialize)]
struct Tier {
    name: String,
    calls: f64,
    work: f64,
    kinds: Vec<MachineKind>,
    choke: Option<Choking>,
}

#[derive(Deserialize)]
struct MachineKind {
    cores: usize,
    slots: usize,
    queue: usize,
    thrash: f64,
    knee: f64,
    cold_from: f64,
    cold: f64,
}

#[derive(Deserialize)]
struct Choking {
    at: f64,
    over: f64,
    slower: f64,
    rest: f64,
    below: f64,
    most: f64,
}

#[derive(Deserialize)]
struct Server {
    tier: usize,
    zone: usize,
    speed: f64,
}

#[derive(Deserialize)]
struct Balancer {
    tier: usize,
    zone: usize,
}

#[derive(Deserialize)]
struct Trouble {
    kind: String,
    at: f64,
    len: f64,
    #[serde(default)]
    tier: usize,
    #[serde(default)]
    size: f64,
    #[serde(default)]
    on: Vec<usize>,
    #[serde(default)]
    which: usize,
}

fn ms(us: f64) -> f64 {
    us / 1e3
}

/// The parameters of a day, and the kinds of its failures that the simulation does not support.
#[allow(clippy::too_many_lines, reason = "one field of the recorded day after another")]
pub(super) fn parameters(text: &str) -> Result<(DrawnScenario, Vec<String>), DayError> {
    let day: Day = serde_json::from_str(text)?;
    let invalid = |why: &str| Err(DayError::Invalid(why.to_string()));
    if day.tiers.is_empty() || day.classes.is_empty() || day.zones.is_empty() {
        return invalid("a day needs tiers, classes and zones");
    }
    if !(0.0..=86_400e6).contains(&day.length) || day.classes.len() > 200 {
        return invalid("length must be within a day, and classes at most 200");
    }
    if day.tiers.iter().any(|t| !(0.0..=100.0).contains(&t.calls)) {
        return invalid("tiers: calls must be from 0 to 100");
    }
    if day.servers.iter().any(|s| s.tier >= day.tiers.len() || s.zone >= day.zones.len()) {
        return invalid("servers: an entry names a tier or zone that the file does not have");
    }
    let mut machines: Vec<Vec<DrawnBackend>> = day.tiers.iter().map(|_| Vec::new()).collect();
    // For each machine of the file's list: its tier and its index there. Here machines are numbered tier by
    // tier.
    let mut tier_and_index: Vec<(usize, usize)> = Vec::new();
    for server in &day.servers {
        tier_and_index.push((server.tier, machines[server.tier].len()));
        machines[server.tier].push(DrawnBackend { zone: server.zone, speed: server.speed });
    }
    if machines.iter().any(Vec::is_empty) {
        return invalid("servers: a tier has no machines");
    }
    let starts: Vec<usize> = (0..machines.len()).map(|t| machines[..t].iter().map(Vec::len).sum()).collect();
    let tiers: Vec<DrawnTier> = (day.tiers.iter().enumerate())
        .map(|(i, tier)| {
            // The file gives the work of one request to a tier; `work_fraction` is that of all requests that
            // a client request causes there.
            let calls: f64 = day.tiers[..=i].iter().map(|t| t.calls).product();
            let kind =
                tier.kinds.first().ok_or_else(|| DayError::Invalid(format!("{}: no kinds", tier.name)))?;
            Ok(DrawnTier {
                name: tier.name.clone(),
                spec: machine_spec(kind, tier.choke.as_ref()),
                machines: std::mem::take(&mut machines[i]),
                work_fraction: tier.work * calls,
                // The file gives, with each tier, the number of requests that the tier above sends to it.
                requests_below: day.tiers.get(i + 1).map_or(0.0, |below| below.calls),
            })
        })
        .collect::<Result<_, DayError>>()?;
    let classes: Vec<DrawnClass> = day.classes.iter().map(class).collect();
    let proxies = day.balancers.iter().filter(|b| b.tier == 0).map(|b| b.zone % day.zones.len()).collect();
    let mut unsupported = Vec::new();
    let mut failures = Vec::new();
    for trouble in &day.troubles {
        let what = match trouble.kind.as_str() {
            "shared_slow" => FailureKind::Slow,
            "crash" => FailureKind::Crash,
            "zone_loss" => FailureKind::LoseZone,
            "burst" => FailureKind::Burst,
            other => {
                unsupported.push(other.to_string());
                continue;
            }
        };
        let machines_hit = trouble
            .on
            .iter()
            .filter_map(|s| tier_and_index.get(*s))
            .map(|(tier, n)| starts[*tier] + n)
            .collect();
        failures.push(DrawnFailure {
            kind: what,
            at: ms(trouble.at),
            duration: ms(trouble.len),
            zone: trouble.which % day.zones.len(),
            tier: trouble.tier.min(day.tiers.len() - 1),
            fraction: 1.0,
            factor: trouble.size,
            machines: machines_hit,
            link_fault: LinkFault::default(),
        });
    }
    let mut parameters = DrawnScenario {
        length: ms(day.length),
        zones: day.zones.len(),
        zone_traffic: day.traffic.zone_share,
        proxy_zones: proxies,
        tiers,
        classes,
        proxy_traffic: Vec::new(),
        tenants: Vec::new(),
        over_quota_weight: day.traffic.over_share_worth,
        independent_tier_work: true,
        rate_per_s: 0.0,
        rate_amplitude: 0.0,
        rate_period: 1.0,
        rate_profile: day.traffic.shape.iter().map(|(from_s, times)| (from_s * 1e3, *times)).collect(),
        retries: day.clients.retries,
        retry_wait: if day.clients.backoff == "none" { 0.0 } else { ms(day.clients.backoff_us) },
        attempt_timeout_fraction: day.clients.try_share,
        honour: day.clients.honour,
        same_zone_delay: ms(day.net.same),
        cross_zone_delay: ms(day.net.cross),
        client_delay: ms(day.net.client),
        notice_delay: ms(day.discovery.notice),
        silent_notice_delay: ms(day.discovery.silent_notice),
        start_notice_delay: ms(day.discovery.add),
        drain_grace: 1_200.0,
        front_notice_delay: ms(day.front_notice),
        failures,
    };
    let capacity = parameters.capacity_per_s();
    parameters.rate_per_s = day.traffic.load * capacity;
    parameters.tenants = (day.tenants.into_iter())
        .map(|t| DrawnTenant { name: t.name, traffic_share: t.traffic, quota: t.quota * capacity })
        .collect();
    Ok((parameters, unsupported))
}

fn machine_spec(kind: &MachineKind, choke: Option<&Choking>) -> MachineSpec {
    MachineSpec {
        cores: kind.cores.max(1),
        speed: 1.0,
        slots: kind.slots.max(1),
        queue_capacity: kind.queue,
        thrash_per_core: kind.knee / kind.cores.max(1) as f64,
        thrash_fraction: (1.0 - kind.thrash).clamp(1e-3, 1.0),
        warmup_start_fraction: kind.cold_from.clamp(1e-3, 1.0),
        warmup: ms(kind.cold),
        choke: choke.map(|c| Choke {
            queued_per_core: c.at,
            saturated_for: ms(c.over),
            slowdown: c.slower,
            idle_below: c.below,
            idle_for: ms(c.rest),
            max_duration: ms(c.most),
        }),
    }
}

fn class(class: &Class) -> DrawnClass {
    DrawnClass {
        name: class.name.clone(),
        share: class.share,
        mean_work_ms: ms(class.work),
        work_distribution: match class.dist.as_str() {
            "fixed" => WorkDistribution::Fixed,
            "lognormal" => WorkDistribution::Lognormal,
            _ => WorkDistribution::Exp,
        },
        work_cv: class.cv,
        attempt_noise_cv: class.attempt_noise,
        latency_objective: ms(class.aim),
        deadline: ms(class.deadline),
        weight: class.worth,
        retry_safety: match class.effect.as_str() {
            "safe" => ClassRetrySafety::Safe,
            "keyed" => ClassRetrySafety::Keyed,
            _ => ClassRetrySafety::Once,
        },
    }
}
