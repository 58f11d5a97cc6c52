//! The section `[fleet]` of the operator file.

use crate::{calendar, millis as ms};
use hillstall_lease::timing::LeaseTiming;
use hillstall_maintenance::calendar::Recurrence;
use hillstall_maintenance::shift::ShiftPacing;
use hillstall_maintenance::windows::OverrunPolicy;
use hillstall_maintenance::TrafficFraction;
use serde::{Deserialize, Deserializer};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

/// What is wrong, and where in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Its place in the text, in bytes.
    pub offset: usize,
    /// The key.
    pub key: String,
    /// Why.
    pub reason: String,
}

/// What an operator may set for a fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Which fleet; copies of two fleets never talk.
    pub name: String,
    /// The keepers, as this copy reaches them, by slot.
    pub keepers: Vec<SocketAddr>,
    /// This copy's slot and where it listens, if it is a keeper.
    pub keeper: Option<(usize, SocketAddr)>,
    /// Where a keeper's lasting disk is.
    pub disk: Option<PathBuf>,
    /// Who is heard besides the keepers' addresses.
    pub from: Vec<IpAddr>,
    /// The site of this copy, if not its zone.
    pub site: Option<String>,
    /// How leases last.
    pub terms: LeaseTiming,
    /// How long an order holds that is not heard again.
    pub holds_for: Duration,
    /// From nothing to all of its load, where nobody leads a site back.
    pub whole_way: Duration,
    /// How a shift goes.
    pub pace: ShiftPacing,
    /// The name of each person by all of their names.
    pub people: BTreeMap<String, String>,
    /// The windows.
    pub windows: Vec<Recurrence>,
    /// Where each window stands in the text.
    pub windows_at: Vec<usize>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    name: Spanned<String>,
    keepers: Spanned<Vec<Spanned<String>>>,
    keeper: Option<Spanned<usize>>,
    listen: Option<Spanned<String>>,
    disk: Option<Spanned<PathBuf>>,
    #[serde(default)]
    from: Vec<Spanned<String>>,
    site: Option<Spanned<String>>,
    term: Option<Spanned<Time>>,
    drift: Option<Spanned<f64>>,
    holds: Option<Spanned<Time>>,
    way_back: Option<Spanned<Time>>,
    step: Option<Spanned<f64>>,
    step_wait: Option<Spanned<Time>>,
    heard: Option<Spanned<f64>>,
    #[serde(default)]
    people: Vec<Spanned<Vec<String>>>,
    #[serde(default)]
    window: Vec<Spanned<RawWindow>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawWindow {
    site: Spanned<String>,
    start: Spanned<String>,
    zone: Spanned<String>,
    every: Option<Spanned<String>>,
    length: Spanned<Time>,
    lead: Spanned<Time>,
    latest: Option<Spanned<Time>>,
    reserve: Option<Spanned<u8>>,
    overrun: Option<Spanned<String>>,
}

/// A time with its unit.
#[derive(Clone, Copy)]
struct Time(Duration);

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Time, D::Error> {
        let text = String::deserialize(from)?;
        let read = humantime::parse_duration(&text).map(Time);
        read.map_err(|_| {
            serde::de::Error::custom(format!("{text:?} is not a time with its unit, like \"2s\" or \"15m\""))
        })
    }
}

struct Faults(Vec<ConfigError>);

impl Faults {
    fn say(&mut self, span: Range<usize>, key: &str, why: impl Into<String>) {
        self.0.push(ConfigError { offset: span.start, key: format!("fleet.{key}"), reason: why.into() });
    }

    fn within<T: PartialOrd + Copy>(
        &mut self,
        of: &Option<Spanned<T>>,
        key: &str,
        range: Range<T>,
        usual: T,
        words: &str,
    ) -> T {
        let Some(of) = of else { return usual };
        if !range.contains(of.get_ref()) {
            self.say(of.span(), key, format!("it is out of bounds: {words}"));
        }
        *of.get_ref()
    }

    fn time(
        &mut self,
        of: &Option<Spanned<Time>>,
        key: &str,
        least: Duration,
        most: Duration,
        usual: Duration,
    ) -> Duration {
        let Some(of) = of else { return usual };
        let time = of.get_ref().0;
        if time < least || time > most {
            let show = humantime::format_duration;
            let why = format!("{} is out of bounds: from {} to {}", show(time), show(least), show(most));
            self.say(of.span(), key, why);
        }
        time
    }

    fn address(&mut self, of: &Spanned<String>, key: &str) -> Option<SocketAddr> {
        let read: Option<SocketAddr> = of.get_ref().parse().ok().filter(SocketAddr::is_ipv4);
        if read.is_none() {
            self.say(of.span(), key, format!("{:?} is not an IPv4 address with its port", of.get_ref()));
        }
        read
    }
}

/// Reads the section out of the text of an operator file; `None` if there is none. All faults are told at once, but for
/// those that the reader of the text finds first.
pub fn read(text: &str) -> Result<Option<Settings>, Vec<ConfigError>> {
    #[derive(Deserialize)]
    struct File {
        fleet: Option<Raw>,
    }
    let file: File = toml::from_str(text).map_err(|e| {
        let at = e.span().map_or(0, |span| span.start);
        vec![ConfigError { offset: at, key: key_at(text, at), reason: e.message().replace('\n', " ") }]
    })?;
    let Some(raw) = file.fleet else { return Ok(None) };
    let mut faults = Faults(Vec::new());
    let settings = settle(raw, &mut faults);
    match faults.0.is_empty() {
        true => Ok(Some(settings)),
        false => Err(faults.0),
    }
}

/// The key of the line at a place.
fn key_at(text: &str, at: usize) -> String {
    let start = text[..at.min(text.len())].rfind('\n').map_or(0, |n| n + 1);
    let line = text[start..].lines().next().unwrap_or_default();
    let key = line.split('=').next().unwrap_or_default().trim().trim_matches(['[', ']']);
    let window =
        text[..start].rfind("[[fleet.window]]").is_some_and(|w| !text[w..start].contains("\n[fleet"));
    match key.starts_with("fleet") {
        true => key.to_owned(),
        false if window => format!("fleet.window.{key}"),
        false => format!("fleet.{key}"),
    }
}

fn settle(raw: Raw, faults: &mut Faults) -> Settings {
    let second = Duration::from_secs(1);
    if !hillstall_change_freeze::is_valid_name(raw.name.get_ref()) {
        faults.say(raw.name.span(), "name", hillstall_change_freeze::NAME_RULE);
    }
    let keepers: Vec<SocketAddr> =
        raw.keepers.get_ref().iter().filter_map(|one| faults.address(one, "keepers")).collect();
    if !matches!(raw.keepers.get_ref().len(), 1 | 3 | 5) {
        faults.say(raw.keepers.span(), "keepers", "there are 1, 3 or 5 keepers");
    }
    let distinct: BTreeSet<_> = keepers.iter().collect();
    if distinct.len() < keepers.len() {
        faults.say(raw.keepers.span(), "keepers", "an address is named twice");
    }
    let listen = raw.listen.as_ref().and_then(|one| faults.address(one, "listen"));
    let keeper = raw.keeper.as_ref().and_then(|slot| {
        if *slot.get_ref() >= raw.keepers.get_ref().len() {
            faults.say(slot.span(), "keeper", "it is the place of this copy in keepers, from 0");
        }
        if raw.listen.is_none() {
            faults.say(slot.span(), "keeper", "a keeper needs fleet.listen");
        }
        if raw.disk.is_none() {
            faults.say(slot.span(), "keeper", "a keeper needs fleet.disk, a folder that outlives it");
        }
        Some((*slot.get_ref(), listen?))
    });
    if let (Some(listen), None) = (&raw.listen, &raw.keeper) {
        faults.say(listen.span(), "listen", "only a keeper listens; it needs fleet.keeper");
    }
    if let (Some(disk), None) = (&raw.disk, &raw.keeper) {
        faults.say(disk.span(), "disk", "only a keeper has a disk; it needs fleet.keeper");
    }
    let mut from = Vec::new();
    for one in &raw.from {
        match one.get_ref().parse::<IpAddr>().ok().filter(IpAddr::is_ipv4) {
            Some(address) => from.push(address),
            None => faults.say(one.span(), "from", format!("{:?} is not an IPv4 address", one.get_ref())),
        }
    }
    if let Some(site) =
        raw.site.as_ref().filter(|site| !hillstall_change_freeze::is_valid_name(site.get_ref()))
    {
        faults.say(site.span(), "site", hillstall_change_freeze::NAME_RULE);
    }
    let usual = Duration::from_secs(2);
    let term = raw.term.as_ref().map_or(usual, |term| term.get_ref().0);
    let drift = faults.within(&raw.drift, "drift", 0.0..20.0, 5.0, "from 0 to 20 in a hundred");
    let terms = LeaseTiming::new(ms(term), (drift.clamp(0.0, 19.0) * 10_000.0) as u32, ms(term) / 20);
    if let (Err(why), Some(term)) = (terms, &raw.term) {
        faults.say(term.span(), "term", why.to_string());
    }
    let holds_for = faults.time(&raw.holds, "holds", second, 600 * second, 10 * second);
    let whole_way = faults.time(&raw.way_back, "way_back", second, 3_600 * second, 30 * second);
    let step = faults.within(&raw.step, "step", 1.0..100.001, 12.5, "from 1 to 100 in a hundred");
    let wait = faults.time(&raw.step_wait, "step_wait", second / 5, 600 * second, second);
    let heard = faults.within(&raw.heard, "heard", 1.0..100.001, 75.0, "from 1 to 100 in a hundred");
    let pace = ShiftPacing {
        max_step: (step * 10.0) as TrafficFraction,
        step_interval: ms(wait),
        min_reporting_ratio: heard / 100.0,
        ..ShiftPacing::default()
    };
    let mut people = BTreeMap::new();
    for names in &raw.people {
        let Some(first) = names.get_ref().first() else {
            faults.say(names.span(), "people", "a person has a name");
            continue;
        };
        for name in names.get_ref() {
            if !hillstall_change_freeze::is_valid_name(name) {
                faults.say(names.span(), "people", format!("{name:?} is no name"));
            } else if people.insert(name.clone(), first.clone()).is_some() {
                faults.say(names.span(), "people", format!("{name:?} is the name of two people"));
            }
        }
    }
    let windows_at = raw.window.iter().map(|window| window.span().start).collect();
    let windows =
        raw.window.into_iter().filter_map(|window| settle_window(window.into_inner(), faults)).collect();
    Settings {
        name: raw.name.into_inner(),
        keepers,
        keeper,
        disk: raw.disk.map(Spanned::into_inner),
        from,
        site: raw.site.map(Spanned::into_inner),
        terms: terms.unwrap_or_default(),
        holds_for,
        whole_way,
        pace,
        people,
        windows,
        windows_at,
    }
}

fn settle_window(raw: RawWindow, faults: &mut Faults) -> Option<Recurrence> {
    let minute = Duration::from_secs(60);
    let start = raw.start.get_ref().parse().ok();
    if start.is_none() {
        faults.say(raw.start.span(), "window.start", "it is no time, like \"2026-05-03T02:00\"");
    }
    let zone = calendar::zone(raw.zone.get_ref());
    if zone.is_none() {
        faults.say(raw.zone.span(), "window.zone", "it is no time zone, like \"Europe/Berlin\" or \"UTC\"");
    }
    let every = raw.every.as_ref().map(|every| (every.span(), calendar::span(every.get_ref())));
    if let Some((span, None)) = &every {
        faults.say(
            span.clone(),
            "window.every",
            "it is no stretch of the calendar, like \"7 days\" or \"1 month\"",
        );
    }
    let least = Duration::from_secs(1);
    let length = faults.time(&Some(raw.length), "window.length", least, 720 * minute, minute);
    let lead = faults.time(&Some(raw.lead), "window.lead", least, 360 * minute, minute);
    let latest = faults.time(&raw.latest, "window.latest", Duration::ZERO, 360 * minute, 10 * minute);
    let reserve = faults.within(&raw.reserve, "window.reserve", 0..91, 20, "from 0 to 90 in a hundred");
    let overrun = match raw.overrun.as_ref().map(|o| o.get_ref().as_str()) {
        None | Some("return") => OverrunPolicy::Return,
        Some("hold") => OverrunPolicy::Hold,
        Some(_) => {
            let span = raw.overrun.as_ref().map_or(0..0, Spanned::span);
            faults.say(span, "window.overrun", "it is none of return, hold");
            OverrunPolicy::Return
        }
    };
    Some(Recurrence {
        site: raw.site.into_inner(),
        starts: start?,
        time_zone: zone?,
        interval: every.and_then(|(_, every)| every),
        duration: ms(length),
        lead_time: ms(lead),
        max_delay: ms(latest),
        reserve_percent: reserve,
        overrun_policy: overrun,
    })
}

impl Settings {
    /// What is wrong between windows, and with them in this fleet. `sites` are those that are known.
    pub fn schedule_conflicts(&self, sites: &[String], now: Duration) -> Vec<ConfigError> {
        let found = hillstall_maintenance::calendar::find_conflicts(&self.windows, sites, ms(now));
        found
            .into_iter()
            .map(|c| ConfigError {
                offset: self.windows_at.get(c.recurrence).copied().unwrap_or(0),
                key: format!("fleet.window.{}", c.key),
                reason: c.reason,
            })
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str =
        "[fleet]\nname = \"shop\"\nkeepers = [\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:3\"]\n";

    fn line(text: &str, at: usize) -> usize {
        text[..at].matches('\n').count() + 1
    }

    #[test]
    fn what_is_good_is_read_and_what_is_absent_is_none() {
        assert!(read("[log]\nlevel = \"info\"\n").expect("it is read").is_none());
        let text = format!("{GOOD}people = [[\"mira\", \"mk\"]]\nterm = \"3s\"\n");
        let read = read(&text).expect("it is read").expect("there is one");
        assert_eq!((read.keepers.len(), read.keeper, read.terms.term()), (3, None, 3_000));
        assert_eq!(read.people["mk"], "mira");
    }

    #[test]
    fn each_fault_is_told_with_its_line_and_key() {
        let window = |more: &str| {
            format!("[[fleet.window]]\nsite = \"a\"\nstart = \"2040-05-03T02:00\"\nzone = \"UTC\"\nlength = \"1h\"\nlead = \"10m\"\n{more}")
        };
        let cases = [
            ("keeper = 0\n".to_owned(), 4, "fleet.keeper", "fleet.listen"),
            ("keeper = 7\nlisten = \"127.0.0.1:9\"\ndisk = \"/x\"\n".to_owned(), 4, "fleet.keeper", "place"),
            ("listen = \"127.0.0.1:9\"\n".to_owned(), 4, "fleet.listen", "only a keeper"),
            ("disk = \"/x\"\n".to_owned(), 4, "fleet.disk", "only a keeper"),
            ("from = [\"here\"]\n".to_owned(), 4, "fleet.from", "IPv4"),
            ("term = \"soon\"\n".to_owned(), 4, "fleet.term", "not a time"),
            ("term = \"10ms\"\n".to_owned(), 4, "fleet.term", "200 ms"),
            ("drift = 40\n".to_owned(), 4, "fleet.drift", "out of bounds"),
            ("step = 0\n".to_owned(), 4, "fleet.step", "out of bounds"),
            ("trem = \"2s\"\n".to_owned(), 4, "fleet.trem", "unknown field"),
            ("people = [[\"a\"], [\"a\"]]\n".to_owned(), 4, "fleet.people", "two people"),
            (window("zone2 = 1\n"), 10, "fleet.window.zone2", "unknown field"),
            (window("every = \"often\"\n"), 10, "fleet.window.every", "calendar"),
            (window("overrun = \"stay\"\n"), 10, "fleet.window.overrun", "none of"),
            (window("reserve = 99\n"), 10, "fleet.window.reserve", "out of bounds"),
        ];
        for (more, at, key, why) in cases {
            let text = format!("{GOOD}{more}");
            let wrong = read(&text).expect_err(&more);
            let found = wrong.iter().find(|w| w.key == key && w.reason.contains(why));
            let found = found.unwrap_or_else(|| panic!("{more}: {wrong:?}"));
            assert_eq!(line(&text, found.offset), at, "{more}: {wrong:?}");
        }
        let two = format!("{GOOD}{}{}", window(""), window("").replace("\"a\"", "\"b\""));
        let read = read(&two).expect("it is read").expect("there is one");
        let told = read.schedule_conflicts(&[], Duration::from_secs(1_800_000_000));
        assert!(told.iter().any(|w| w.key == "fleet.window.start" && line(&two, w.offset) == 10), "{told:?}");
    }

    proptest::proptest! {
        #[test]
        fn no_text_makes_it_panic(text in "(\\[fleet\\]\n)?[ -~\n]{0,200}") {
            let _ = read(&text);
        }
    }
}
