//! A scenario as a TOML file: tiers, load, clients, discovery, and failures with their times. Any time or number may
//! be a range `[low, high]`, of which each seed draws one value. Errors name the line of an unknown key or bad value.

use crate::model::machine::{Choke, MachineSpec};
use crate::model::work::WorkDistribution;
use crate::random::uniform;
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Deserializer};

/// Why a file is not a valid scenario.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// Invalid TOML, key or value; the text names line, column and key.
    #[error("{0}")]
    Syntax(#[from] toml::de::Error),
    /// Values that contradict each other.
    #[error("{key}: {why}")]
    Invalid {
        /// Where.
        key: String,
        /// What is wrong.
        why: String,
    },
}

/// A number, or a range of which each seed draws one. Negative numbers are errors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Number {
    low: f64,
    high: f64,
}

impl Number {
    /// One value for all seeds.
    pub const fn of(value: f64) -> Number {
        Number { low: value, high: value }
    }

    /// The most it can be.
    fn max(self) -> f64 {
        self.high
    }

    /// The value of a run.
    pub fn draw(self, rng: &mut Xoshiro256PlusPlus) -> f64 {
        self.low + (self.high - self.low) * uniform(rng)
    }
}

fn range<E: serde::de::Error>(low: f64, high: f64) -> Result<Number, E> {
    if !(low.is_finite() && high.is_finite() && 0.0 <= low && low <= high) {
        return Err(E::custom(format!("{low} to {high} is no range of numbers from 0 up")));
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

/// A time such as `"250ms"`, or a range of times; drawn in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span(pub Number);

impl Span {
    /// One time for all seeds, in milliseconds.
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
            Err(why) => Err(serde::de::Error::custom(format!("{text:?} is no time: {why}"))),
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

/// A slowdown that outlasts its cause; see [`Choke`].
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChokeSpec {
    at: Number,
    over: Span,
    slower: Number,
    below: Number,
    rest: Span,
    most: Span,
}

/// A tier of equal machines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// For people.
    pub name: String,
    /// Machines.
    pub servers: Number,
    /// Cores of each.
    #[serde(default = "one")]
    pub cores: Number,
    /// Speed: core milliseconds per millisecond of a core.
    #[serde(default = "one")]
    pub speed: Number,
    /// Slots per core: requests in progress.
    #[serde(default = "unlimited")]
    pub slots_per_core: Number,
    /// Queue length per core.
    #[serde(default = "unlimited")]
    pub room_per_core: Number,
    /// Requests per core above which a machine gets slower ...
    #[serde(default = "unlimited")]
    pub thrash_at: Number,
    /// ... and the part of its speed left then.
    #[serde(default = "one")]
    pub thrash_to: Number,
    /// The part of its speed right after a start ...
    #[serde(default = "one")]
    pub cold_from: Number,
    /// ... and the duration of the slow start.
    #[serde(default = "zero_duration")]
    pub cold: Span,
    /// The slowdown that outlasts its cause.
    pub choke: Option<ChokeSpec>,
    /// This tier's part of a request's work; the rest falls to the tiers below.
    #[serde(default = "one")]
    pub work_part: Number,
    /// Requests to the next tier per request, on average, one after another.
    #[serde(default = "one")]
    pub calls: Number,
}

impl Tier {
    /// One machine's figures, and how many there are.
    pub fn draw(&self, rng: &mut Xoshiro256PlusPlus) -> (usize, MachineSpec) {
        let servers = self.servers.draw(rng).round().max(1.0) as usize;
        let cores = self.cores.draw(rng).round().max(1.0);
        let choke = self.choke.map(|c| Choke {
            queued_per_core: c.at.draw(rng),
            saturated_for: c.over.0.draw(rng),
            slowdown: c.slower.draw(rng).max(1.0),
            idle_below: c.below.draw(rng),
            idle_for: c.rest.0.draw(rng),
            max_duration: c.most.0.draw(rng),
        });
        let kind = MachineSpec {
            cores: cores as usize,
            speed: self.speed.draw(rng).max(1e-3),
            slots: (self.slots_per_core.draw(rng) * cores).round().max(1.0) as usize,
            queue_capacity: (self.room_per_core.draw(rng) * cores).round() as usize,
            thrash_per_core: self.thrash_at.draw(rng),
            thrash_fraction: self.thrash_to.draw(rng).clamp(1e-3, 1.0),
            warmup_start_fraction: self.cold_from.draw(rng).clamp(1e-3, 1.0),
            warmup: self.cold.0.draw(rng),
            choke,
        };
        (servers, kind)
    }
}

/// Whether a class's requests may be retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ClassRetrySafety {
    /// At any time.
    #[default]
    Safe,
    /// With an idempotency key that all backends of the tier remember for 2.5 s.
    Keyed,
    /// Never.
    Once,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// For people.
    pub name: String,
    /// Its part of the requests, relative to the other classes.
    #[serde(default = "one")]
    pub share: Number,
    /// Mean work of a request over all tiers.
    pub work: Span,
    /// Distribution of the work.
    #[serde(default)]
    pub shape: WorkDistribution,
    /// Coefficient of variation, for `lognormal`.
    #[serde(default = "one")]
    pub cv: Number,
    /// The latency objective: later responses earn nothing.
    pub aim: Span,
    /// The deadline, from the first attempt.
    pub deadline: Span,
    /// Weight of a request.
    #[serde(default = "one")]
    pub worth: Number,
    /// Whether it may be retried.
    #[serde(default)]
    pub repeats: ClassRetrySafety,
}

/// The load: an open-loop Poisson process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Client requests per second.
    pub rate: Option<Number>,
    /// Instead of `rate`: a part of the first tier's capacity.
    pub of_capacity: Option<Number>,
    /// Amplitude of the rate's sine wave, as a part of its mean.
    #[serde(default = "zero")]
    pub swing: Number,
    /// Period of the sine wave.
    #[serde(default = "default_rate_period")]
    pub period: Span,
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
    /// Client retries.
    pub retries: Number,
    /// Wait before each.
    pub wait: Span,
    /// The timeout of a client's attempt, as a part of the deadline.
    pub try_part: Number,
    /// The part of clients that follow Retry-After.
    pub honour: Number,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients {
            retries: Number::of(0.0),
            wait: Span::ms(0.0),
            try_part: Number::of(1.0),
            honour: Number::of(1.0),
        }
    }
}

/// One-way times.
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
    /// Until the proxies are notified of a drain, a death or a start.
    pub notice: Span,
    /// How long a draining machine still accepts requests after the notification.
    pub serves_on: Span,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { notice: Span::ms(1_500.0), serves_on: Span::ms(1_200.0) }
    }
}

/// The load balancer in front of the proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Front {
    /// Until it notices that a proxy is gone.
    pub notice: Span,
}

impl Default for Front {
    fn default() -> Front {
        Front { notice: Span::ms(0.0) }
    }
}

/// The failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureKind {
    /// All machines of a zone are silent, and return in slow start; its proxies answer nothing meanwhile.
    LoseZone,
    /// A part of a tier's machines die (connections are reset) and restart in slow start.
    Crash,
    /// A part of a tier's machines are cut off from the network, and return in slow start.
    Lose,
    /// A part of a tier's machines are silent for a while and then go on.
    Hang,
    /// A part of a tier's machines reject all new requests, as if their queues were full.
    TurnAway,
    /// A shared dependency makes all machines of a tier slower by a factor.
    Slow,
    /// The load is multiplied by a factor.
    Burst,
    /// A part of a tier's machines, one after another: drain, stop, restart in slow start.
    Release,
    /// Discovery sends no updates.
    DiscoveryDown,
    /// A part of the first tier's proxies are killed at once, and restart with no learned state.
    KillProxies,
    /// A part of them are stopped for a while, and continue with their state.
    StopProxies,
    /// A part of them are restarted gracefully, one after another.
    RollProxies,
    /// A part of them reload their files.
    ReloadProxies,
    /// A fault of links; see [`Failure::link`] and [`Failure::mode`].
    Cut,
}

/// Kind of a faulty link.
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
    /// What the connecting side sends is lost.
    LoseForth,
    /// What the other side sends is lost.
    LoseBack,
    /// Connections are reset.
    Reset,
    /// New connections are refused.
    Refuse,
    /// Everything is delayed by `delay`, each way.
    Delay,
}

/// A failure at a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failure {
    /// When.
    pub at: Span,
    /// What.
    #[serde(rename = "what")]
    pub kind: FailureKind,
    /// For how long.
    #[serde(rename = "for")]
    pub duration: Span,
    /// Which zone, from 0.
    #[serde(default)]
    pub zone: usize,
    /// Which tier, from 0 at the top.
    #[serde(default)]
    pub tier: usize,
    /// The part of the machines; at least one.
    #[serde(default = "one")]
    pub part: Number,
    /// How many times slower, or how many times the load.
    #[serde(default = "one")]
    pub times: Number,
    /// Of a link fault: which links; those of `part` of the proxies ...
    #[serde(default)]
    pub link: LinkKind,
    /// ... in this zone alone, if it is given, ...
    pub from_zone: Option<usize>,
    /// ... to the machines of this zone alone, if it is given.
    pub to_zone: Option<usize>,
    /// Of a link fault: its kind.
    #[serde(default)]
    pub mode: LinkFaultMode,
    /// Of a link fault that delays: by how much.
    #[serde(default = "zero_duration")]
    pub delay: Span,
}

/// A tenant, with its traffic and its quota.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// For people.
    pub name: String,
    /// Its part of the requests, relative to the other tenants.
    #[serde(default = "one")]
    pub traffic: Number,
    /// Its quota, as a part of the fleet's capacity.
    pub share: Number,
}

/// Proxies of the first tier with more traffic than the others.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DemandSkewSpec {
    /// How many.
    pub proxies: Number,
    /// Traffic of each, as a multiple of an ordinary one's; drawn for each.
    pub times: Number,
}

fn one_zone() -> usize {
    1
}

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// For people.
    pub name: String,
    /// How long requests arrive; the run ends when all are answered.
    pub length: Span,
    /// Number of zones; machines and proxies are assigned to them in turn.
    #[serde(default = "one_zone")]
    pub zones: usize,
    /// Proxies before the first tier.
    pub proxies: Number,
    /// Those of them with more traffic than the others.
    pub hot: Option<DemandSkewSpec>,
    /// The tenants; without any, there are no quotas.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<TenantSpec>,
    /// The part of the weight beyond a tenant's quota that counts.
    #[serde(default = "one")]
    pub over_share_worth: Number,
    /// The tiers, from the top. Each machine has a proxy of its own to the next.
    #[serde(rename = "tier")]
    pub tiers: Vec<Tier>,
    /// The classes.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The load.
    pub load: Load,
    /// The clients.
    #[serde(default)]
    pub clients: Clients,
    /// The network.
    #[serde(default)]
    pub net: Net,
    /// Discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// The load balancer in front of the proxies.
    #[serde(default)]
    pub front: Front,
    /// The failures.
    #[serde(rename = "failure", default)]
    pub failures: Vec<Failure>,
}

impl Scenario {
    /// Reads a scenario.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    #[allow(clippy::too_many_lines, reason = "one check per key")]
    fn check(&self) -> Result<(), ScenarioError> {
        let wrong = |key: String, why: &str| Err(ScenarioError::Invalid { key, why: why.to_string() });
        if self.tiers.is_empty() {
            return wrong("tier".into(), "at least one is needed");
        }
        if self.classes.is_empty() || self.classes.len() > 200 {
            return wrong("class".into(), "1 to 200 are needed");
        }
        if !(1..=64).contains(&self.zones) {
            return wrong("one_zone".into(), "1 to 64 are possible");
        }
        if self.load.rate.is_some() == self.load.of_capacity.is_some() {
            return wrong("load".into(), "give either rate or of_capacity");
        }
        // Larger values would not end, or not fit into memory; a wrong unit is the likely cause.
        let mut bounds = vec![
            ("length".to_string(), self.length.0.max() / 1e3, 86_400.0, "s"),
            ("proxies".to_string(), self.proxies.max(), 10_000.0, ""),
            ("hot.times".to_string(), self.hot.map_or(0.0, |hot| hot.times.max()), 1_000.0, ""),
            ("tenant".to_string(), self.tenants.len() as f64, 1_000.0, "tenants"),
            ("load.rate".to_string(), self.load.rate.map_or(0.0, Number::max), 1e6, "calls/s"),
            ("load.of_capacity".to_string(), self.load.of_capacity.map_or(0.0, Number::max), 100.0, ""),
        ];
        for (i, tier) in self.tiers.iter().enumerate() {
            bounds.push((format!("tier[{i}].servers"), tier.servers.max(), 10_000.0, ""));
            bounds.push((format!("tier[{i}].cores"), tier.cores.max(), 1_024.0, ""));
            bounds.push((format!("tier[{i}].calls"), tier.calls.max(), 100.0, ""));
        }
        for (i, failure) in self.failures.iter().enumerate() {
            bounds.push((format!("failure[{i}].times"), failure.times.max(), 1_000.0, ""));
        }
        if let Some((key, value, most, unit)) = bounds.into_iter().find(|b| b.1 > b.2) {
            return wrong(key, &format!("{value} {unit} is more than the {most} that can be run"));
        }
        for (i, failure) in self.failures.iter().enumerate() {
            if failure.tier >= self.tiers.len() {
                return wrong(format!("failure[{i}].tier"), "there is no such tier");
            }
            if [failure.from_zone, failure.to_zone].into_iter().flatten().any(|zone| zone >= self.zones) {
                return wrong(format!("failure[{i}].from_zone"), "there is no such zone, or to_zone's");
            }
            if failure.zone >= self.zones {
                return wrong(format!("failure[{i}].zone"), "there is no such zone");
            }
        }
        Ok(())
    }
}
