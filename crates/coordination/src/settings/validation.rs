//! Validates the section `[fleet]` and converts it into [`Settings`]. Errors are collected, so that an
//! operator sees all of them at once.

use super::raw::{DurationWithUnit, FleetSection, WindowSection};
use super::{ConfigError, LocalReplica, Settings};
use crate::{calendar, millis};
use hillstall_change_freeze::{is_valid_name, NAME_RULE};
use hillstall_lease::timing::LeaseTiming;
use hillstall_maintenance::calendar::Recurrence;
use hillstall_maintenance::shift::ShiftPacing;
use hillstall_maintenance::windows::OverrunPolicy;
use hillstall_maintenance::TrafficFraction;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::time::Duration;
use toml::Spanned;

/// Valid range and default of a number.
struct NumberBounds<T> {
    range: Range<T>,
    default: T,
    /// The range as shown in error messages.
    description: &'static str,
}

/// Valid range, both ends included, and default of a duration.
struct DurationBounds {
    min: Duration,
    max: Duration,
    default: Duration,
}

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3_600);

const DEFAULT_LEASE_TERM: Duration = Duration::from_secs(2);
/// The safety margin at the end of a lease is its term divided by this.
const SAFETY_MARGIN_DIVISOR: u64 = 20;
const PPM_PER_PERCENT: f64 = 10_000.0;
/// Larger drifts are clamped to this, in percent, so that the lease term can be validated although the drift
/// is invalid.
const MAX_DRIFT_PERCENT_FOR_TIMING: f64 = 19.0;
const PER_MILLE_PER_PERCENT: f64 = 10.0;
const ALLOWED_REPLICA_COUNTS: [usize; 3] = [1, 3, 5];

/// Maximum clock drift, in percent.
const DRIFT: NumberBounds<f64> =
    NumberBounds { range: 0.0..20.0, default: 5.0, description: "from 0 to 20 in a hundred" };
/// Maximum step of a traffic shift, in percent of a site's usual traffic.
const STEP: NumberBounds<f64> =
    NumberBounds { range: 1.0..100.001, default: 12.5, description: "from 1 to 100 in a hundred" };
/// Share of the instances whose load reports must be recent, in percent.
const REPORTING_RATIO: NumberBounds<f64> =
    NumberBounds { range: 1.0..100.001, default: 75.0, description: "from 1 to 100 in a hundred" };
/// Capacity that the other sites must keep free, in percent.
const WINDOW_RESERVE: NumberBounds<u8> =
    NumberBounds { range: 0..91, default: 20, description: "from 0 to 90 in a hundred" };

const COMMAND_TTL: DurationBounds =
    DurationBounds { min: SECOND, max: Duration::from_secs(600), default: Duration::from_secs(10) };
const RAMP_DURATION: DurationBounds =
    DurationBounds { min: SECOND, max: HOUR, default: Duration::from_secs(30) };
const STEP_INTERVAL: DurationBounds =
    DurationBounds { min: Duration::from_millis(200), max: Duration::from_secs(600), default: SECOND };
const WINDOW_LENGTH: DurationBounds =
    DurationBounds { min: SECOND, max: Duration::from_secs(12 * 3_600), default: MINUTE };
const WINDOW_LEAD: DurationBounds =
    DurationBounds { min: SECOND, max: Duration::from_secs(6 * 3_600), default: MINUTE };
const WINDOW_MAX_DELAY: DurationBounds = DurationBounds {
    min: Duration::ZERO,
    max: Duration::from_secs(6 * 3_600),
    default: Duration::from_secs(600),
};

/// Validates the section and converts it.
///
/// # Errors
/// All invalid values, in the order of the checks.
pub fn validate(section: FleetSection) -> Result<Settings, Vec<ConfigError>> {
    let mut validator = Validator { errors: Vec::new() };
    let settings = validator.settings(section);
    if validator.errors.is_empty() {
        Ok(settings)
    } else {
        Err(validator.errors)
    }
}

/// Collects errors. Each check returns a value so that validation can continue; the values must not be used
/// if there are errors.
struct Validator {
    errors: Vec<ConfigError>,
}

impl Validator {
    fn settings(&mut self, section: FleetSection) -> Settings {
        self.name(&section.name, "name");
        let replicas = self.replicas(&section.keepers);
        let local_replica = self.local_replica(&section);
        let allowed_sources = self.sources(&section.from);
        if let Some(site) = &section.site {
            self.name(site, "site");
        }
        let lease_timing = self.lease_timing(&section);
        let command_ttl = self.duration(section.holds.as_ref(), "holds", &COMMAND_TTL);
        let pacing = self.pacing(&section);
        let people = self.people(&section.people);
        let window_offsets = section.window.iter().map(|window| window.span().start).collect();
        let windows = section.window.into_iter().filter_map(|window| self.window(window.into_inner()));
        Settings {
            windows: windows.collect(),
            name: section.name.into_inner(),
            replicas,
            local_replica,
            allowed_sources,
            site: section.site.map(Spanned::into_inner),
            lease_timing,
            command_ttl,
            pacing,
            people,
            window_offsets,
        }
    }

    fn add(&mut self, span: Range<usize>, key: &str, reason: impl Into<String>) {
        let key = format!("fleet.{key}");
        self.errors.push(ConfigError { offset: span.start, key, reason: reason.into() });
    }

    fn name(&mut self, name: &Spanned<String>, key: &str) {
        if !is_valid_name(name.get_ref()) {
            self.add(name.span(), key, NAME_RULE);
        }
    }

    fn number<T: PartialOrd + Copy>(
        &mut self,
        value: Option<&Spanned<T>>,
        key: &str,
        bounds: &NumberBounds<T>,
    ) -> T {
        let Some(value) = value else { return bounds.default };
        if !bounds.range.contains(value.get_ref()) {
            self.add(value.span(), key, format!("it is out of bounds: {}", bounds.description));
        }
        *value.get_ref()
    }

    fn duration(
        &mut self,
        value: Option<&Spanned<DurationWithUnit>>,
        key: &str,
        bounds: &DurationBounds,
    ) -> Duration {
        let Some(value) = value else { return bounds.default };
        let duration = value.get_ref().0;
        if duration < bounds.min || duration > bounds.max {
            let [shown, min, max] = [duration, bounds.min, bounds.max].map(humantime::format_duration);
            self.add(value.span(), key, format!("{shown} is out of bounds: from {min} to {max}"));
        }
        duration
    }

    fn socket_address(&mut self, text: &Spanned<String>, key: &str) -> Option<SocketAddr> {
        let address = text.get_ref().parse().ok().filter(SocketAddr::is_ipv4);
        if address.is_none() {
            self.add(text.span(), key, format!("{:?} is not an IPv4 address with its port", text.get_ref()));
        }
        address
    }

    fn replicas(&mut self, listed: &Spanned<Vec<Spanned<String>>>) -> Vec<SocketAddr> {
        let texts = listed.get_ref();
        let addresses: Vec<SocketAddr> =
            texts.iter().filter_map(|text| self.socket_address(text, "keepers")).collect();
        if !ALLOWED_REPLICA_COUNTS.contains(&texts.len()) {
            self.add(listed.span(), "keepers", "there are 1, 3 or 5 keepers");
        }
        let distinct: BTreeSet<_> = addresses.iter().collect();
        if distinct.len() < addresses.len() {
            self.add(listed.span(), "keepers", "an address is named twice");
        }
        addresses
    }

    fn local_replica(&mut self, section: &FleetSection) -> Option<LocalReplica> {
        let listen_address = section.listen.as_ref().and_then(|text| self.socket_address(text, "listen"));
        let Some(slot) = &section.keeper else {
            if let Some(listen) = &section.listen {
                self.add(listen.span(), "listen", "only a keeper listens; it needs fleet.keeper");
            }
            if let Some(disk) = &section.disk {
                self.add(disk.span(), "disk", "only a keeper has a disk; it needs fleet.keeper");
            }
            return None;
        };
        if *slot.get_ref() >= section.keepers.get_ref().len() {
            self.add(slot.span(), "keeper", "it is the place of this copy in keepers, from 0");
        }
        if section.listen.is_none() {
            self.add(slot.span(), "keeper", "a keeper needs fleet.listen");
        }
        if section.disk.is_none() {
            self.add(slot.span(), "keeper", "a keeper needs fleet.disk, a folder that outlives it");
        }
        Some(LocalReplica {
            slot: *slot.get_ref(),
            listen_address: listen_address?,
            storage_directory: section.disk.as_ref()?.get_ref().clone(),
        })
    }

    fn sources(&mut self, texts: &[Spanned<String>]) -> Vec<IpAddr> {
        let mut addresses = Vec::new();
        for text in texts {
            match text.get_ref().parse().ok().filter(IpAddr::is_ipv4) {
                Some(address) => addresses.push(address),
                None => {
                    self.add(text.span(), "from", format!("{:?} is not an IPv4 address", text.get_ref()));
                }
            }
        }
        addresses
    }

    fn lease_timing(&mut self, section: &FleetSection) -> LeaseTiming {
        let term = section.term.as_ref().map_or(DEFAULT_LEASE_TERM, |term| term.get_ref().0);
        let drift = self.number(section.drift.as_ref(), "drift", &DRIFT);
        let drift_ppm = (drift.clamp(0.0, MAX_DRIFT_PERCENT_FOR_TIMING) * PPM_PER_PERCENT) as u32;
        let timing = LeaseTiming::new(millis(term), drift_ppm, millis(term) / SAFETY_MARGIN_DIVISOR);
        if let (Err(error), Some(term)) = (&timing, &section.term) {
            self.add(term.span(), "term", error.to_string());
        }
        timing.unwrap_or_default()
    }

    fn pacing(&mut self, section: &FleetSection) -> ShiftPacing {
        let ramp_duration = self.duration(section.way_back.as_ref(), "way_back", &RAMP_DURATION);
        let step = self.number(section.step.as_ref(), "step", &STEP);
        let interval = self.duration(section.step_wait.as_ref(), "step_wait", &STEP_INTERVAL);
        let reporting = self.number(section.heard.as_ref(), "heard", &REPORTING_RATIO);
        ShiftPacing {
            max_step: (step * PER_MILLE_PER_PERCENT) as TrafficFraction,
            step_interval: millis(interval),
            min_reporting_ratio: reporting / 100.0,
            ramp_duration: millis(ramp_duration),
            ..ShiftPacing::default()
        }
    }

    /// Maps each name to the main name of its person, which is the first one listed.
    fn people(&mut self, listed: &[Spanned<Vec<String>>]) -> BTreeMap<String, String> {
        let mut people = BTreeMap::new();
        for names in listed {
            let Some(main_name) = names.get_ref().first() else {
                self.add(names.span(), "people", "a person has a name");
                continue;
            };
            for name in names.get_ref() {
                if !is_valid_name(name) {
                    self.add(names.span(), "people", format!("{name:?} is no name"));
                } else if people.insert(name.clone(), main_name.clone()).is_some() {
                    self.add(names.span(), "people", format!("{name:?} is the name of two people"));
                }
            }
        }
        people
    }

    fn window(&mut self, section: WindowSection) -> Option<Recurrence> {
        let starts = section.start.get_ref().parse().ok();
        if starts.is_none() {
            self.add(section.start.span(), "window.start", "it is no time, like \"2026-05-03T02:00\"");
        }
        let time_zone = calendar::parse_time_zone(section.zone.get_ref());
        if time_zone.is_none() {
            let reason = "it is no time zone, like \"Europe/Berlin\" or \"UTC\"";
            self.add(section.zone.span(), "window.zone", reason);
        }
        let interval = section.every.as_ref().and_then(|every| self.window_interval(every));
        let duration = self.duration(Some(&section.length), "window.length", &WINDOW_LENGTH);
        let lead_time = self.duration(Some(&section.lead), "window.lead", &WINDOW_LEAD);
        let max_delay = self.duration(section.latest.as_ref(), "window.latest", &WINDOW_MAX_DELAY);
        let reserve_percent = self.number(section.reserve.as_ref(), "window.reserve", &WINDOW_RESERVE);
        let overrun_policy = self.overrun_policy(section.overrun.as_ref());
        Some(Recurrence {
            site: section.site.into_inner(),
            starts: starts?,
            time_zone: time_zone?,
            interval,
            duration: millis(duration),
            lead_time: millis(lead_time),
            max_delay: millis(max_delay),
            reserve_percent,
            overrun_policy,
        })
    }

    fn window_interval(&mut self, text: &Spanned<String>) -> Option<jiff::Span> {
        let interval = calendar::parse_span(text.get_ref());
        if interval.is_none() {
            let reason = "it is no stretch of the calendar, like \"7 days\" or \"1 month\"";
            self.add(text.span(), "window.every", reason);
        }
        interval
    }

    fn overrun_policy(&mut self, text: Option<&Spanned<String>>) -> OverrunPolicy {
        let Some(text) = text else { return OverrunPolicy::Return };
        match text.get_ref().as_str() {
            "return" => OverrunPolicy::Return,
            "hold" => OverrunPolicy::Hold,
            _ => {
                self.add(text.span(), "window.overrun", "it is none of return, hold");
                OverrunPolicy::Return
            }
        }
    }
}
