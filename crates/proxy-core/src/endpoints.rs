//! The servers by name: the list as it is told, and the ids and addresses behind it.

use hillstall_decision::{BackendId, BackendInfo, BackendState, Settings};
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A list, or a change of one.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    /// Its version.
    pub index: u64,
    /// Whether it names all backends.
    pub snapshot: bool,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
}

/// One backend of a list.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(rename = "type", default)]
    kind: String,
    #[serde(default)]
    group: u16,
    status: Status,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    since_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Status {
    Ready,
    Draining,
    Gone,
    /// A status of a later version: it is taken for a drain, as it is not known to be ready.
    #[serde(other)]
    Unheard,
}

fn one() -> f64 {
    1.0
}

/// Where a backend listens, and what was last said of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendAddress {
    /// Its address as this proxy sees it.
    pub address: SocketAddr,
    /// Its state.
    pub state: BackendState,
    /// Its zone.
    pub zone: u16,
    started_at: Option<f64>,
    /// When it was first told that it drains, if it was ready before that.
    leaves_since: Option<Instant>,
}

impl BackendAddress {
    /// Whether the same server stands there as then, whatever was told of its state since.
    pub fn is_same_process(&self, then: &BackendAddress) -> bool {
        self.address == then.address && self.started_at == then.started_at
    }

    /// Whether something new may begin there: it is ready, or was until so short a while ago.
    pub fn accepts_new(&self, now: Instant, grace: Duration) -> bool {
        let leaves = self.leaves_since.is_some_and(|since| now.saturating_duration_since(since) < grace);
        self.state == BackendState::Ready || (self.state == BackendState::Draining && leaves)
    }
}

/// What a list changed.
#[derive(Default)]
pub struct EndpointChanges {
    /// Its entries in the module's terms.
    pub infos: Vec<BackendInfo>,
    /// Backends whose idle connections are of no more use: they are gone, have restarted or are elsewhere.
    pub stale: Vec<BackendId>,
    /// Backends that were ready and drain from now on.
    pub leaving: Vec<BackendId>,
}

/// The backends by name and id.
#[derive(Default)]
pub struct EndpointDirectory {
    zones: Vec<String>,
    kinds: Vec<String>,
    ids: FxHashMap<String, BackendId>,
    names: FxHashMap<BackendId, String>,
    places: FxHashMap<BackendId, BackendAddress>,
}

/// FNV-1a. Fixed, so that a backend has the same id at every proxy and after every restart.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

impl EndpointDirectory {
    /// An empty directory for a deployment.
    pub fn new(settings: &Settings) -> EndpointDirectory {
        EndpointDirectory {
            zones: settings.zones.clone(),
            kinds: settings.machine_kinds.clone(),
            ..EndpointDirectory::default()
        }
    }

    /// The id of a name. A backend that comes back after it was forgotten has the same: the hash is fixed.
    fn id(&mut self, name: &str) -> BackendId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let wide = hash(name.as_bytes());
        let mut id = (wide ^ (wide >> 32)) as BackendId;
        // Two names with one hash: the later one takes the next free number.
        while self.names.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        self.ids.insert(name.to_string(), id);
        self.names.insert(id, name.to_string());
        id
    }

    /// Takes a list in that was told now.
    pub fn apply(&mut self, list: &EndpointList, now: Instant) -> EndpointChanges {
        let infos = Vec::with_capacity(list.endpoints.len());
        let mut changes = EndpointChanges { infos, ..EndpointChanges::default() };
        if list.snapshot {
            let named: FxHashSet<&str> = list.endpoints.iter().map(|e| e.name.as_str()).collect();
            for (id, place) in &mut self.places {
                if place.state != BackendState::Gone && !named.contains(self.names[id].as_str()) {
                    place.state = BackendState::Gone;
                    changes.stale.push(*id);
                }
            }
        }
        for endpoint in &list.endpoints {
            let id = self.id(&endpoint.name);
            let state = match endpoint.status {
                Status::Ready => BackendState::Ready,
                Status::Draining | Status::Unheard => BackendState::Draining,
                Status::Gone => BackendState::Gone,
            };
            let started_at = (endpoint.since_ms > 0.0).then_some(endpoint.since_ms);
            let index = |names: &[String], name: &str| names.iter().position(|n| n == name);
            let zone = index(&self.zones, &endpoint.zone).map_or(u16::MAX, |i| i as u16);
            let mut place =
                BackendAddress { address: endpoint.address, state, zone, started_at, leaves_since: None };
            let before = self.places.get(&id).copied();
            let same = before.filter(|before| place.is_same_process(before));
            let leaves = state == BackendState::Draining
                && same.is_some_and(|before| before.state == BackendState::Ready);
            place.leaves_since = if leaves { Some(now) } else { same.and_then(|before| before.leaves_since) };
            if leaves {
                changes.leaving.push(id);
            } else if before.is_some() && same.is_none_or(|before| before.state != state) {
                changes.stale.push(id);
            }
            self.places.insert(id, place);
            changes.infos.push(BackendInfo {
                id,
                zone,
                kind: index(&self.kinds, &endpoint.kind).map_or(u8::MAX, |i| i as u8),
                cell: endpoint.group,
                state,
                rating: endpoint.weight,
                started_at,
            });
        }
        changes
    }

    /// Forgets the backends that are gone, but for those still in use. Guards against growth: in a long life
    /// all backends are replaced, again and again.
    pub fn remove_gone(&mut self, in_use: impl Fn(BackendId) -> bool) {
        self.places.retain(|id, place| place.state != BackendState::Gone || in_use(*id));
        self.names.retain(|id, _| self.places.contains_key(id));
        self.ids.retain(|_, id| self.places.contains_key(id));
    }

    /// Where a backend is, if any list has named it.
    pub fn backend(&self, id: BackendId) -> Option<BackendAddress> {
        self.places.get(&id).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(snapshot: bool, entries: &[(&str, &str, &str)]) -> EndpointList {
        let endpoints = entries.iter().map(|(name, address, status)| {
            let entry = serde_json::json!({ "name": name, "address": address, "status": status });
            serde_json::from_value(entry).expect("an entry")
        });
        EndpointList { index: 1, snapshot, endpoints: endpoints.collect() }
    }

    #[test]
    fn ids_are_fixed_by_the_name_and_outlive_a_restart() {
        let mut directory = EndpointDirectory::default();
        let now = Instant::now();
        let told = directory.apply(&list(true, &[("s-5be2a07c", "127.0.0.1:1", "ready")]), now);
        let id = told.infos[0].id;
        // Changing the hash would give backends other ids at proxies of another version.
        assert_eq!(id, 0x5124_5f7b);
        directory.apply(&list(true, &[]), now);
        assert_eq!(directory.backend(id).map(|p| p.state), Some(BackendState::Gone));
        let told = directory.apply(&list(false, &[("s-5be2a07c", "127.0.0.1:2", "ready")]), now);
        assert_eq!((told.infos[0].id, told.stale), (id, vec![id]));
    }

    #[test]
    fn only_a_server_that_was_ready_takes_new_calls_for_a_while_after_a_drain_was_told() {
        let (mut directory, now, grace) =
            (EndpointDirectory::default(), Instant::now(), Duration::from_secs(1));
        let one = |status| list(false, &[("a", "127.0.0.1:1", status)]);
        let ready = directory.apply(&one("ready"), now).infos[0].id;
        let before = directory.backend(ready).expect("it is listed");
        let told = directory.apply(&one("draining"), now);
        assert_eq!((told.leaving, told.stale), (vec![ready], vec![]), "its connections are still of use");
        // Told once more, it leaves no later.
        let again = directory.apply(&one("draining"), now + grace / 2);
        assert!(again.leaving.is_empty() && again.stale.is_empty());
        let place = directory.backend(ready).expect("it is listed");
        assert!(place.is_same_process(&before) && place.accepts_new(now + grace * 9 / 10, grace));
        assert!(!place.accepts_new(now + grace, grace));
        let told = directory.apply(&list(false, &[("b", "127.0.0.1:2", "draining")]), now);
        let unknown = directory.backend(told.infos[0].id).expect("it is listed");
        assert!(!unknown.accepts_new(now, grace), "it may drain for long");
        assert_eq!(directory.apply(&one("gone"), now).stale, vec![ready]);
        assert!(!directory.backend(ready).expect("it was listed").accepts_new(now, grace));
    }

    #[test]
    fn gone_backends_are_forgotten_once_out_of_use() {
        let mut directory = EndpointDirectory::default();
        for n in 0..100 {
            let name = format!("s-{n}");
            let infos =
                directory.apply(&list(true, &[(&name, "127.0.0.1:1", "ready")]), Instant::now()).infos;
            directory.remove_gone(|id| id != infos[0].id && n % 2 == 0);
        }
        assert_eq!((directory.places.len(), directory.names.len(), directory.ids.len()), (1, 1, 1));
        directory.apply(&list(false, &[("s-99", "127.0.0.1:1", "gone")]), Instant::now());
        directory.remove_gone(|_| true);
        assert_eq!(directory.places.len(), 1, "an attempt is still out");
    }

    #[test]
    fn two_names_with_one_hash_get_two_ids() {
        let mut directory = EndpointDirectory::default();
        let id = directory.id("a");
        directory.ids.clear();
        assert_eq!(directory.id("a"), id.wrapping_add(1));
    }

    #[test]
    fn a_name_told_twice_counts_by_its_last_word_and_an_address_that_changes_hands_drops_connections() {
        let (mut directory, now) = (EndpointDirectory::default(), Instant::now());
        let twice = list(true, &[("a", "127.0.0.1:1", "ready"), ("a", "127.0.0.1:1", "draining")]);
        let a = directory.apply(&twice, now).infos[0].id;
        assert_eq!(directory.backend(a).map(|p| p.state), Some(BackendState::Draining));
        let whole = list(true, &[("a", "127.0.0.1:1", "ready"), ("b", "127.0.0.1:2", "ready")]);
        let b = directory.apply(&whole, now).infos[1].id;
        let before = directory.backend(a).expect("it is listed");
        let swapped = list(true, &[("a", "127.0.0.1:2", "ready"), ("b", "127.0.0.1:1", "ready")]);
        assert_eq!(directory.apply(&swapped, now).stale, vec![a, b], "their connections lead elsewhere");
        assert!(!directory.backend(a).expect("it is listed").is_same_process(&before));
    }

    #[test]
    fn an_unheard_status_is_not_sent_to() {
        let list = list(true, &[("a", "127.0.0.1:1", "resting")]);
        let infos = EndpointDirectory::default().apply(&list, Instant::now()).infos;
        assert_eq!(infos[0].state, BackendState::Draining);
    }
}
