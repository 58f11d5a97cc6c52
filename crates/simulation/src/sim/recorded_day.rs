//! Parses a recorded day of the platform's simulator (JSON): the machines with their speeds, the load and the
//! failures. Parts that this simulation does not model are ignored (see `docs/measurements/simulation.md`); a
//! missing part is an error. The key of a field is its name or the one in its `rename` attribute. Times in
//! the file are in microseconds, except for those of the load profile, which are in seconds.

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
    #[serde(rename = "balancers")]
    proxies: Vec<Proxy>,
    #[serde(rename = "troubles", default)]
    failures: Vec<Failure>,
}

/// One-way network delays, in microseconds.
#[derive(Deserialize)]
struct Net {
    #[serde(rename = "same")]
    same_zone: f64,
    #[serde(rename = "cross")]
    cross_zone: f64,
    client: f64,
}

#[derive(Deserialize)]
struct Traffic {
    load: f64,
    /// Times in seconds, and the factor of the rate from each time on.
    #[serde(rename = "shape")]
    profile: Vec<(f64, f64)>,
    #[serde(rename = "zone_share")]
    zone_traffic: Vec<f64>,
    #[serde(rename = "over_share_worth", default = "one")]
    over_quota_weight: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Deserialize)]
struct Clients {
    retries: u32,
    #[serde(rename = "try_share")]
    attempt_timeout_fraction: f64,
    backoff: String,
    #[serde(default)]
    backoff_us: f64,
    honour: f64,
}

#[derive(Deserialize)]
struct Discovery {
    notice: f64,
    silent_notice: f64,
    #[serde(rename = "add")]
    start_notice: f64,
}

#[derive(Deserialize)]
struct Class {
    name: String,
    share: f64,
    #[serde(rename = "work")]
    mean_work: f64,
    #[serde(rename = "dist")]
    work_distribution: String,
    #[serde(rename = "cv")]
    work_cv: f64,
    #[serde(rename = "attempt_noise", default)]
    attempt_noise_cv: f64,
    #[serde(rename = "aim")]
    latency_objective: f64,
    deadline: f64,
    #[serde(rename = "worth")]
    weight: f64,
    #[serde(rename = "effect")]
    retry_safety: String,
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
    /// Mean number of requests to this tier per request to the tier above.
    #[serde(rename = "calls")]
    requests_per_parent: f64,
    /// Work of one request to this tier, as a fraction of the client request's work.
    work: f64,
    kinds: Vec<MachineKind>,
    choke: Option<Choking>,
}

#[derive(Deserialize)]
struct MachineKind {
    cores: usize,
    slots: usize,
    #[serde(rename = "queue")]
    queue_capacity: usize,
    /// Fraction of the speed that a thrashing machine loses.
    #[serde(rename = "thrash")]
    thrash_loss: f64,
    /// Number of requests at a machine above which it thrashes.
    #[serde(rename = "knee")]
    thrash_requests: f64,
    #[serde(rename = "cold_from")]
    warmup_start_fraction: f64,
    #[serde(rename = "cold")]
    warmup: f64,
}

#[derive(Deserialize)]
struct Choking {
    #[serde(rename = "at")]
    queued_per_core: f64,
    #[serde(rename = "over")]
    saturated_for: f64,
    #[serde(rename = "slower")]
    slowdown: f64,
    #[serde(rename = "rest")]
    idle_for: f64,
    #[serde(rename = "below")]
    idle_below: f64,
    #[serde(rename = "most")]
    max_duration: f64,
}

#[derive(Deserialize)]
struct Server {
    tier: usize,
    zone: usize,
    speed: f64,
}

#[derive(Deserialize)]
struct Proxy {
    tier: usize,
    zone: usize,
}

#[derive(Deserialize)]
struct Failure {
    kind: String,
    at: f64,
    #[serde(rename = "len")]
    duration: f64,
    #[serde(default)]
    tier: usize,
    #[serde(rename = "size", default)]
    factor: f64,
    #[serde(rename = "on", default)]
    machines: Vec<usize>,
    #[serde(rename = "which", default)]
    zone: usize,
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
    if day.tiers.iter().any(|t| !(0.0..=100.0).contains(&t.requests_per_parent)) {
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
            let requests_per_client_request: f64 =
                day.tiers[..=i].iter().map(|t| t.requests_per_parent).product();
            let kind =
                tier.kinds.first().ok_or_else(|| DayError::Invalid(format!("{}: no kinds", tier.name)))?;
            Ok(DrawnTier {
                name: tier.name.clone(),
                spec: machine_spec(kind, tier.choke.as_ref()),
                machines: std::mem::take(&mut machines[i]),
                work_fraction: tier.work * requests_per_client_request,
                // The file gives, with each tier, the number of requests that the tier above sends to it.
                requests_below: day.tiers.get(i + 1).map_or(0.0, |below| below.requests_per_parent),
            })
        })
        .collect::<Result<_, DayError>>()?;
    let classes: Vec<DrawnClass> = day.classes.iter().map(class).collect();
    let proxies = day.proxies.iter().filter(|b| b.tier == 0).map(|b| b.zone % day.zones.len()).collect();
    let mut unsupported = Vec::new();
    let mut failures = Vec::new();
    for failure in &day.failures {
        let kind = match failure.kind.as_str() {
            "shared_slow" => FailureKind::Slow,
            "crash" => FailureKind::Crash,
            "zone_loss" => FailureKind::LoseZone,
            "burst" => FailureKind::Burst,
            other => {
                unsupported.push(other.to_string());
                continue;
            }
        };
        let machines = failure
            .machines
            .iter()
            .filter_map(|s| tier_and_index.get(*s))
            .map(|(tier, n)| starts[*tier] + n)
            .collect();
        failures.push(DrawnFailure {
            kind,
            at: ms(failure.at),
            duration: ms(failure.duration),
            zone: failure.zone % day.zones.len(),
            tier: failure.tier.min(day.tiers.len() - 1),
            fraction: 1.0,
            factor: failure.factor,
            machines,
            link_fault: LinkFault::default(),
        });
    }
    let mut parameters = DrawnScenario {
        length: ms(day.length),
        zones: day.zones.len(),
        zone_traffic: day.traffic.zone_traffic,
        proxy_zones: proxies,
        tiers,
        classes,
        proxy_traffic: Vec::new(),
        tenants: Vec::new(),
        over_quota_weight: day.traffic.over_quota_weight,
        independent_tier_work: true,
        rate_per_s: 0.0,
        rate_amplitude: 0.0,
        rate_period: 1.0,
        rate_profile: day.traffic.profile.iter().map(|(from_s, times)| (from_s * 1e3, *times)).collect(),
        retries: day.clients.retries,
        retry_wait: if day.clients.backoff == "none" { 0.0 } else { ms(day.clients.backoff_us) },
        attempt_timeout_fraction: day.clients.attempt_timeout_fraction,
        honour: day.clients.honour,
        same_zone_delay: ms(day.net.same_zone),
        cross_zone_delay: ms(day.net.cross_zone),
        client_delay: ms(day.net.client),
        notice_delay: ms(day.discovery.notice),
        silent_notice_delay: ms(day.discovery.silent_notice),
        start_notice_delay: ms(day.discovery.start_notice),
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
        queue_capacity: kind.queue_capacity,
        thrash_per_core: kind.thrash_requests / kind.cores.max(1) as f64,
        thrash_fraction: (1.0 - kind.thrash_loss).clamp(1e-3, 1.0),
        warmup_start_fraction: kind.warmup_start_fraction.clamp(1e-3, 1.0),
        warmup: ms(kind.warmup),
        choke: choke.map(|c| Choke {
            queued_per_core: c.queued_per_core,
            saturated_for: ms(c.saturated_for),
            slowdown: c.slowdown,
            idle_below: c.idle_below,
            idle_for: ms(c.idle_for),
            max_duration: ms(c.max_duration),
        }),
    }
}

fn class(class: &Class) -> DrawnClass {
    DrawnClass {
        name: class.name.clone(),
        share: class.share,
        mean_work_ms: ms(class.mean_work),
        work_distribution: match class.work_distribution.as_str() {
            "fixed" => WorkDistribution::Fixed,
            "lognormal" => WorkDistribution::Lognormal,
            _ => WorkDistribution::Exp,
        },
        work_cv: class.work_cv,
        attempt_noise_cv: class.attempt_noise_cv,
        latency_objective: ms(class.latency_objective),
        deadline: ms(class.deadline),
        weight: class.weight,
        retry_safety: match class.retry_safety.as_str() {
            "safe" => ClassRetrySafety::Safe,
            "keyed" => ClassRetrySafety::Keyed,
            _ => ClassRetrySafety::Once,
        },
    }
}
