//! The format of scenario files (TOML): tiers, load, clients, discovery, and failures with their times. Any
//! time or number may be a range `[low, high]`, from which each seed draws one value. Errors name the line of
//! an unknown key or a bad value. The key of a field is its name or the one in its `rename` attribute; keys
//! stay, as scenario files of users have them.

use crate::model::machine::{Choke, MachineSpec};
use crate::model::work::WorkDistribution;
use crate::random::uniform;
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Deserializer};

/// Why a file is not a valid scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The TOML is invalid, or a key or value is; the text names line, column and key.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// A value is out of bounds, or values contradict each other.
    #[error("{key}: {why}")]
    Invalid {
        /// The key, such as `tier[0].servers`.
        key: String,
        /// What is wrong with the value.
        why: String,
    },
}

/// A number, or a range from which each seed draws one. Negative numbers are errors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Number {
    low: f64,
    high: f64,
}

impl Number {
    /// A number that is the same for all seeds.
    pub const fn of(value: f64) -> Number {
        Number { low: value, high: value }
    }

    /// The largest value that can be drawn.
    fn max(self) -> f64 {
        self.high
    }

    /// Draws the value of a run, uniformly from the range.
    pub fn draw(self, rng: &mut Xoshiro256PlusPlus) -> f64 {
        self.low + (self.high - self.low) * uniform(rng)
    }
}

fn range<E: serde::de::Error>(low: f64, high: f64) -> Result<Number, E> {
    if !(low.is_finite() && high.is_finite() && 0.0 <= low && low <= high) {
        return Err(E::custom(format!("{low} to {high} is not a range of finite numbers from 0 up")));
    }
    Ok(Number { low, high })
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Number, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged, expecting = "expected a number or [low, high]")]
        enum Form {
            One(f64),
            Whole(u32),
            Range([f64; 2]),
        }
        match Form::deserialize(from)? {
            Form::One(value) => range(value, value),
            Form::Whole(value) => range(value.into(), value.into()),
            Form::Range([low, high]) => range(low, high),
        }
    }
}

/// A duration such as `"250ms"`, or a range of durations. Draws are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span(pub Number);

impl Span {
    /// A duration in milliseconds that is the same for all seeds.
    pub const fn ms(value: f64) -> Span {
        Span(Number::of(value))
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged, expecting = "expected a time such as \"250ms\" or [\"1s\", \"2s\"]")]
        enum Form {
            One(String),
            Range([String; 2]),
        }
        let ms = |text: &str| match humantime::parse_duration(text) {
            Ok(time) => Ok(time.as_secs_f64() * 1e3),
            Err(why) => Err(serde::de::Error::custom(format!("{text:?} is not a duration: {why}"))),
        };
        match Form::deserialize(from)? {
            Form::One(text) => ms(&text).and_then(|at| range(at, at)).map(Span),
            Form::Range([low, high]) => range(ms(&low)?, ms(&high)?).map(Span),
        }
    }
}

fn one() -> Number {
    Number::of(1.0)
}

fn zero_duration() -> Span {
    Span::ms(0.0)
}

fn unlimited() -> Number {
    Number::of(1e9)
}

/// The parameters of a slowdown that outlasts its cause; see [`Choke`] for their meaning.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChokeSpec {
    #[serde(rename = "at")]
    queued_per_core: Number,
    #[serde(rename = "over")]
    saturated_for: Span,
    #[serde(rename = "slower")]
    slowdown: Number,
    #[serde(rename = "below")]
    idle_below: Number,
    #[serde(rename = "rest")]
    idle_for: Span,
    #[serde(rename = "most")]
    max_duration: Span,
}

/// A tier of equal machines. Each tier has proxies in front of it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// The tier's name, for reports.
    pub name: String,
    /// Number of machines.
    #[serde(rename = "servers")]
    pub machines: Number,
    /// Cores per machine.
    #[serde(default = "one")]
    pub cores: Number,
    /// Speed: core milliseconds of work that one core does in a millisecond.
    #[serde(default = "one")]
    pub speed: Number,
    /// Maximum number of requests in progress, per core.
    #[serde(default = "unlimited")]
    pub slots_per_core: Number,
    /// Maximum number of queued requests, per core.
    #[serde(rename = "room_per_core", default = "unlimited")]
    pub queue_per_core: Number,
    /// Requests per core above which a machine thrashes.
    #[serde(rename = "thrash_at", default = "unlimited")]
    pub thrash_per_core: Number,
    /// Fraction of the speed that is left to a machine that thrashes.
    #[serde(rename = "thrash_to", default = "one")]
    pub thrash_fraction: Number,
    /// Fraction of the speed right after a start.
    #[serde(rename = "cold_from", default = "one")]
    pub warmup_start_fraction: Number,
    /// Duration of the slow start.
    #[serde(rename = "cold", default = "zero_duration")]
    pub warmup: Span,
    /// The slowdown after saturation; none if absent.
    pub choke: Option<ChokeSpec>,
    /// This tier's fraction of a client request's work.
    #[serde(rename = "work_part", default = "one")]
    pub work_fraction: Number,
    /// Mean number of requests to the next tier per request; they are sent one after another.
    #[serde(rename = "calls", default = "one")]
    pub requests_below: Number,
}

impl Tier {
    /// Draws the number of machines and the parameters of each.
    pub fn draw(&self, rng: &mut Xoshiro256PlusPlus) -> (usize, MachineSpec) {
        let servers = self.machines.draw(rng).round().max(1.0) as usize;
        let cores = self.cores.draw(rng).round().max(1.0);
        let choke = self.choke.map(|c| Choke {
            queued_per_core: c.queued_per_core.draw(rng),
            saturated_for: c.saturated_for.0.draw(rng),
            slowdown: c.slowdown.draw(rng).max(1.0),
            idle_below: c.idle_below.draw(rng),
            idle_for: c.idle_for.0.draw(rng),
            max_duration: c.max_duration.0.draw(rng),
        });
        let spec = MachineSpec {
            cores: cores as usize,
            speed: self.speed.draw(rng).max(1e-3),
            slots: (self.slots_per_core.draw(rng) * cores).round().max(1.0) as usize,
            queue_capacity: (self.queue_per_core.draw(rng) * cores).round() as usize,
            thrash_per_core: self.thrash_per_core.draw(rng),
            thrash_fraction: self.thrash_fraction.draw(rng).clamp(1e-3, 1.0),
            warmup_start_fraction: self.warmup_start_fraction.draw(rng).clamp(1e-3, 1.0),
            warmup: self.warmup.0.draw(rng),
            choke,
        };
        (servers, spec)
    }
}

/// Whether a class's requests may be retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClassRetrySafety {
    /// They are idempotent.
    #[default]
    Safe,
    /// They carry an idempotency key that all backends of the tier remember for 2.5 s.
    Keyed,
    /// They must not be retried once they may have run.
    Once,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The class's name, for reports.
    pub name: String,
    /// Share of the requests, relative to the other classes.
    #[serde(default = "one")]
    pub share: Number,
    /// Mean work of a client request over all tiers, as time of one core at speed 1.
    #[serde(rename = "work")]
    pub mean_work: Span,
    /// Distribution of the work.
    #[serde(rename = "shape", default)]
    pub work_distribution: WorkDistribution,
    /// Coefficient of variation of the work, for `lognormal`.
    #[serde(rename = "cv", default = "one")]
    pub work_cv: Number,
    /// The latency objective: later responses do not count as service.
    #[serde(rename = "aim")]
    pub latency_objective: Span,
    /// The deadline, from the start of the client's first attempt.
    pub deadline: Span,
    /// Priority weight of a request of mean work.
    #[serde(rename = "worth", default = "one")]
    pub weight: Number,
    /// Whether requests may be retried.
    #[serde(rename = "repeats", default)]
    pub retry_safety: ClassRetrySafety,
}

/// The load: an open-loop Poisson process. Exactly one of `rate` and `of_capacity` is given.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Mean rate of client requests, per second.
    pub rate: Option<Number>,
    /// Mean rate of client requests, as a fraction of the fleet's capacity.
    #[serde(rename = "of_capacity")]
    pub capacity_fraction: Option<Number>,
    /// Amplitude of the rate's sine wave, as a fraction of the mean rate.
    #[serde(rename = "swing", default = "zero")]
    pub rate_amplitude: Number,
    /// Period of the rate's sine wave.
    #[serde(rename = "period", default = "default_rate_period")]
    pub rate_period: Span,
}

fn zero() -> Number {
    Number::of(0.0)
}

fn default_rate_period() -> Span {
    Span::ms(20_000.0)
}

/// Retries and timeouts of the clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// Maximum number of retries of a client.
    pub retries: Number,
    /// Minimum wait of a client before a retry.
    #[serde(rename = "wait")]
    pub retry_wait: Span,
    /// Timeout of a client's attempt, as a fraction of the class's deadline.
    #[serde(rename = "try_part")]
    pub attempt_timeout_fraction: Number,
    /// Fraction of the clients that wait as long as `Retry-After` says.
    pub honour: Number,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retries: Number::of(0.0),
            retry_wait: Span::ms(0.0),
            attempt_timeout_fraction: Number::of(1.0),
            honour: Number::of(1.0),
        }
    }
}

/// One-way network delays.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// Within a zone.
    pub same_zone: Span,
    /// Between zones.
    pub cross_zone: Span,
    /// Between a client and a proxy.
    pub client: Span,
}

impl Default for Net {
    fn default() -> Net {
        Net { same_zone: Span::ms(0.2), cross_zone: Span::ms(0.4), client: Span::ms(0.8) }
    }
}

/// Delays of discovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Delay until the proxies are notified that a machine drains, is gone or has started.
    #[serde(rename = "notice")]
    pub notice_delay: Span,
    /// How long a draining machine still accepts requests after the proxies were notified.
    #[serde(rename = "serves_on")]
    pub drain_grace: Span,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { notice_delay: Span::ms(1_500.0), drain_grace: Span::ms(1_200.0) }
    }
}

/// The load balancer in front of the proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Front {
    /// Delay until the load balancer avoids a proxy that is gone.
    #[serde(rename = "notice")]
    pub notice_delay: Span,
}

impl Default for Front {
    fn default() -> Front {
        Front { notice_delay: Span::ms(0.0) }
    }
}

/// Kind of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureKind {
    /// All machines and first-tier proxies of a zone are unreachable; the machines return in slow start.
    LoseZone,
    /// A fraction of a tier's machines crash (their connections are reset) and restart in slow start.
    Crash,
    /// A fraction of a tier's machines are unreachable, and return in slow start.
    Lose,
    /// A fraction of a tier's machines hang for a while, and then continue where they stopped.
    Hang,
    /// A fraction of a tier's machines reject all new requests, as if their queues were full.
    TurnAway,
    /// A slow shared dependency makes all machines of a tier slower by a factor.
    Slow,
    /// The load is multiplied by a factor.
    Burst,
    /// A fraction of a tier's machines drain, stop and restart in slow start, one after another.
    Release,
    /// The discovery service sends no updates.
    DiscoveryDown,
    /// A fraction of the first tier's proxies are killed at once, and restart with no learned state.
    KillProxies,
    /// A fraction of the first tier's proxies are stopped for a while (SIGSTOP), and continue with their
    /// state.
    StopProxies,
    /// A fraction of the first tier's proxies are restarted gracefully, one after another.
    RollProxies,
    /// A fraction of the first tier's proxies reload their files.
    ReloadProxies,
    /// Network links fail; see [`Failure::link`] and [`Failure::mode`].
    Cut,
}

/// Kind of the links that a [`FailureKind::Cut`] affects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkKind {
    /// From a tier's proxies to its machines.
    #[default]
    ProxyServer,
    /// From clients to the first tier's proxies.
    ClientFront,
    /// From a tier's proxies to discovery.
    ProxyDiscovery,
}

/// Kind of a link fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkFaultMode {
    /// Nothing passes, without an error.
    #[default]
    Silent,
    /// Data that the connecting side sends is lost.
    LoseForth,
    /// Data that the accepting side sends is lost.
    LoseBack,
    /// Connections are reset.
    Reset,
    /// New connections are refused.
    Refuse,
    /// All data is delayed by `delay`, each way.
    Delay,
}

/// A failure, with its time and its extent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failure {
    /// When the failure begins, from the start of the run.
    pub at: Span,
    /// Kind of the failure.
    #[serde(rename = "what")]
    pub kind: FailureKind,
    /// How long the failure lasts.
    #[serde(rename = "for")]
    pub duration: Span,
    /// Index of the affected zone, for [`FailureKind::LoseZone`].
    #[serde(default)]
    pub zone: usize,
    /// Index of the affected tier, from 0 at the top.
    #[serde(default)]
    pub tier: usize,
    /// Fraction of the tier's machines, or of its proxies, that is affected; at least one of them is.
    #[serde(rename = "part", default = "one")]
    pub fraction: Number,
    /// Factor of the slowdown, for [`FailureKind::Slow`], or of the load, for [`FailureKind::Burst`].
    #[serde(rename = "times", default = "one")]
    pub factor: Number,
    /// Kind of the affected links, for [`FailureKind::Cut`]: those of the fraction `part` of the proxies.
    #[serde(default)]
    pub link: LinkKind,
    /// If set, a [`FailureKind::Cut`] affects only links of proxies in this zone.
    pub from_zone: Option<usize>,
    /// If set, a [`FailureKind::Cut`] affects only links to machines in this zone.
    pub to_zone: Option<usize>,
    /// What a [`FailureKind::Cut`] does to the links.
    #[serde(default)]
    pub mode: LinkFaultMode,
    /// Additional one-way delay, for [`LinkFaultMode::Delay`].
    #[serde(default = "zero_duration")]
    pub delay: Span,
}

/// A tenant, with its traffic and its quota.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// The tenant's name.
    pub name: String,
    /// Share of the requests, relative to the other tenants.
    #[serde(rename = "traffic", default = "one")]
    pub traffic_share: Number,
    /// Quota, as a fraction of the fleet's capacity.
    #[serde(rename = "share")]
    pub quota_fraction: Number,
}

/// Proxies in front of the first tier that get more traffic than the others.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DemandSkewSpec {
    /// Number of these proxies.
    pub proxies: Number,
    /// Traffic of each, as a multiple of an ordinary proxy's; drawn for each of them.
    #[serde(rename = "times")]
    pub traffic_factor: Number,
}

fn one_zone() -> usize {
    1
}

/// A scenario: the fleet, its load, and what fails.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The scenario's name, for reports.
    pub name: String,
    /// How long client requests arrive; the run ends when all have ended.
    pub length: Span,
    /// Number of zones; machines and proxies are assigned to them round robin.
    #[serde(default = "one_zone")]
    pub zones: usize,
    /// Number of proxies in front of the first tier.
    pub proxies: Number,
    /// Proxies among these that get more traffic than the others; none if absent.
    #[serde(rename = "hot")]
    pub demand_skew: Option<DemandSkewSpec>,
    /// The tenants; there are no quotas if this is empty.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<TenantSpec>,
    /// Fraction that counts of the weight beyond a tenant's quota.
    #[serde(rename = "over_share_worth", default = "one")]
    pub over_quota_weight: Number,
    /// The tiers, from the one that clients call down. Each machine has its own proxy in front of the next
    /// tier.
    #[serde(rename = "tier")]
    pub tiers: Vec<Tier>,
    /// The request classes.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The load of client requests.
    pub load: Load,
    /// Retries and timeouts of the clients.
    #[serde(default)]
    pub clients: Clients,
    /// Network delays.
    #[serde(default)]
    pub net: Net,
    /// Delays of discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// The load balancer in front of the proxies.
    #[serde(default)]
    pub front: Front,
    /// The failures, each with its time.
    #[serde(rename = "failure", default)]
    pub failures: Vec<Failure>,
}

impl Scenario {
    /// Parses and validates a scenario file.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    #[allow(clippy::too_many_lines, reason = "one check per key")]
    fn check(&self) -> Result<(), ScenarioError> {
        let invalid = |key: String, why: &str| Err(ScenarioError::Invalid { key, why: why.to_string() });
        if self.tiers.is_empty() {
            return invalid("tier".into(), "at least one is needed");
        }
        if self.classes.is_empty() || self.classes.len() > 200 {
            return invalid("class".into(), "1 to 200 are needed");
        }
        if !(1..=64).contains(&self.zones) {
            return invalid("zones".into(), "must be from 1 to 64");
        }
        if self.load.rate.is_some() == self.load.capacity_fraction.is_some() {
            return invalid("load".into(), "give either rate or of_capacity, and not both");
        }
        // With larger values a run would not end or not fit into memory. The likely cause is a wrong unit.
        let mut bounds = vec![
            ("length".to_string(), self.length.0.max() / 1e3, 86_400.0, "s"),
            ("proxies".to_string(), self.proxies.max(), 10_000.0, ""),
            (
                "hot.times".to_string(),
                self.demand_skew.map_or(0.0, |hot| hot.traffic_factor.max()),
                1_000.0,
                "",
            ),
            ("tenant".to_string(), self.tenants.len() as f64, 1_000.0, "tenants"),
            ("load.rate".to_string(), self.load.rate.map_or(0.0, Number::max), 1e6, "calls/s"),
            ("load.of_capacity".to_string(), self.load.capacity_fraction.map_or(0.0, Number::max), 100.0, ""),
        ];
        for (i, tier) in self.tiers.iter().enumerate() {
            bounds.push((format!("tier[{i}].servers"), tier.machines.max(), 10_000.0, ""));
            bounds.push((format!("tier[{i}].cores"), tier.cores.max(), 1_024.0, ""));
            bounds.push((format!("tier[{i}].calls"), tier.requests_below.max(), 100.0, ""));
        }
        for (i, failure) in self.failures.iter().enumerate() {
            bounds.push((format!("failure[{i}].times"), failure.factor.max(), 1_000.0, ""));
        }
        if let Some((key, value, limit, unit)) = bounds.into_iter().find(|b| b.1 > b.2) {
            return invalid(key, &format!("{value} {unit} is more than the {limit} that can be run"));
        }
        for (i, failure) in self.failures.iter().enumerate() {
            if failure.tier >= self.tiers.len() {
                return invalid(format!("failure[{i}].tier"), "the scenario has no such tier");
            }
            if [failure.from_zone, failure.to_zone].into_iter().flatten().any(|zone| zone >= self.zones) {
                return invalid(
                    format!("failure[{i}].from_zone"),
                    "from_zone or to_zone is not a zone of the scenario",
                );
            }
            if failure.zone >= self.zones {
                return invalid(format!("failure[{i}].zone"), "the scenario has no such zone");
            }
        }
        Ok(())
    }
}
