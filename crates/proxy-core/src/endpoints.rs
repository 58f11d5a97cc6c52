//! The backends by name: the endpoint list as discovery sends it, and the ids and addresses behind it.

use hillstall_decision::{BackendId, BackendInfo, BackendState, Settings};
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The zone of a backend whose zone the settings don't name.
const UNKNOWN_ZONE: u16 = u16::MAX;
/// The machine kind of a backend whose kind the settings don't name.
const UNKNOWN_KIND: u8 = u8::MAX;
/// The weight of a backend whose entry states none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A whole endpoint list, or the changes to one.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    /// Its version.
    #[serde(rename = "index")]
    pub version: u64,
    /// Whether it names all backends; otherwise only those that changed.
    #[serde(rename = "snapshot")]
    pub is_snapshot: bool,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
}

/// The entry of one backend in a list.
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
    #[serde(default = "default_weight")]
    weight: f64,
    /// When the process started, as Unix time in milliseconds; 0 if that is not known.
    #[serde(rename = "since_ms", default)]
    started_at_ms: f64,
}

impl Endpoint {
    fn started_at_ms(&self) -> Option<f64> {
        (self.started_at_ms > 0.0).then_some(self.started_at_ms)
    }
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Status {
    Ready,
    Draining,
    Gone,
    /// A status of a later version. It counts as draining, as it is not known to be ready.
    #[serde(other)]
    Unknown,
}

impl From<Status> for BackendState {
    fn from(status: Status) -> BackendState {
        match status {
            Status::Ready => BackendState::Ready,
            Status::Draining | Status::Unknown => BackendState::Draining,
            Status::Gone => BackendState::Gone,
        }
    }
}

fn default_weight() -> f64 {
    DEFAULT_WEIGHT
}

/// Where a backend listens, and its last known state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendAddress {
    /// Its address.
    pub address: SocketAddr,
    /// Its state.
    pub state: BackendState,
    /// Index of its zone in the settings; `u16::MAX` if they don't name it.
    pub zone: u16,
    started_at_ms: Option<f64>,
    /// When its drain was first announced, if it was ready before that.
    draining_since: Option<Instant>,
}

impl BackendAddress {
    /// Whether the same process listens there as `earlier`, whatever became of its state since.
    pub fn is_same_process(&self, earlier: &BackendAddress) -> bool {
        self.address == earlier.address && self.started_at_ms == earlier.started_at_ms
    }

    /// Whether a new attempt may begin there: it is ready, or was until less than `grace` ago and is now draining.
    pub fn accepts_new(&self, now: Instant, grace: Duration) -> bool {
        match self.state {
            BackendState::Ready => true,
            BackendState::Draining => {
                self.draining_since.is_some_and(|since| now.saturating_duration_since(since) < grace)
            }
            BackendState::Gone => false,
        }
    }
}

/// What an endpoint list changed.
#[derive(Default)]
pub struct EndpointChanges {
    /// Its entries in the decision module's terms.
    pub backends: Vec<BackendInfo>,
    /// Backends whose idle connections are of no more use, as they are gone, were restarted or have moved.
    pub stale: Vec<BackendId>,
    /// Backends that were ready and are draining from now on.
    pub newly_draining: Vec<BackendId>,
}

/// The known backends by name and by id.
#[derive(Default)]
pub struct EndpointDirectory {
    zones: Vec<String>,
    machine_kinds: Vec<String>,
    ids: FxHashMap<String, BackendId>,
    names: FxHashMap<BackendId, String>,
    addresses: FxHashMap<BackendId, BackendAddress>,
}

/// The FNV-1a hash. It is fixed, so that a backend has the same id at every proxy and after every restart.
pub fn fnv1a(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl EndpointDirectory {
    /// An empty directory for the zones and machine kinds of these settings.
    pub fn new(settings: &Settings) -> EndpointDirectory {
        EndpointDirectory {
            zones: settings.zones.clone(),
            machine_kinds: settings.machine_kinds.clone(),
            ..EndpointDirectory::default()
        }
    }

    /// The id of a name. A backend that returns after it was forgotten gets the same, as the hash is fixed.
    fn id(&mut self, name: &str) -> BackendId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let wide = fnv1a(name.as_bytes());
        let mut id = (wide ^ (wide >> 32)) as BackendId;
        // If two names have the same hash, the later one takes the next free number.
        while self.names.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        self.ids.insert(name.to_string(), id);
        self.names.insert(id, name.to_string());
        id
    }

    /// Applies a list that arrived at `now`.
    pub fn apply(&mut self, list: &EndpointList, now: Instant) -> EndpointChanges {
        let backends = Vec::with_capacity(list.endpoints.len());
        let mut changes = EndpointChanges { backends, ..EndpointChanges::default() };
        if list.is_snapshot {
            self.mark_missing_as_gone(list, &mut changes);
        }
        for endpoint in &list.endpoints {
            self.apply_endpoint(endpoint, now, &mut changes);
        }
        changes
    }

    /// Backends that a whole list does not name are gone.
    fn mark_missing_as_gone(&mut self, list: &EndpointList, changes: &mut EndpointChanges) {
        let listed: FxHashSet<&str> = list.endpoints.iter().map(|endpoint| endpoint.name.as_str()).collect();
        for (id, address) in &mut self.addresses {
            if address.state != BackendState::Gone && !listed.contains(self.names[id].as_str()) {
                address.state = BackendState::Gone;
                changes.stale.push(*id);
            }
        }
    }

    fn apply_endpoint(&mut self, endpoint: &Endpoint, now: Instant, changes: &mut EndpointChanges) {
        let id = self.id(&endpoint.name);
        let state = BackendState::from(endpoint.status);
        let zone = position(&self.zones, &endpoint.zone).map_or(UNKNOWN_ZONE, |index| index as u16);
        let kind = position(&self.machine_kinds, &endpoint.kind).map_or(UNKNOWN_KIND, |index| index as u8);
        let started_at_ms = endpoint.started_at_ms();
        let mut address =
            BackendAddress { address: endpoint.address, state, zone, started_at_ms, draining_since: None };
        let previous = self.addresses.get(&id).copied();
        let same_process = previous.filter(|previous| address.is_same_process(previous));
        let was_ready = same_process.is_some_and(|previous| previous.state == BackendState::Ready);
        if state == BackendState::Draining && was_ready {
            address.draining_since = Some(now);
            changes.newly_draining.push(id);
        } else {
            address.draining_since = same_process.and_then(|previous| previous.draining_since);
            if previous.is_some() && same_process.is_none_or(|previous| previous.state != state) {
                changes.stale.push(id);
            }
        }
        self.addresses.insert(id, address);
        changes.backends.push(BackendInfo {
            id,
            zone,
            kind,
            cell: endpoint.group,
            state,
            rating: endpoint.weight,
            started_at: started_at_ms,
        });
    }

    /// Forgets the backends that are gone, except those in use. Over a long life all backends are replaced, again
    /// and again, and the tables would grow without bound.
    pub fn remove_gone(&mut self, in_use: impl Fn(BackendId) -> bool) {
        self.addresses.retain(|id, address| address.state != BackendState::Gone || in_use(*id));
        self.names.retain(|id, _| self.addresses.contains_key(id));
        self.ids.retain(|_, id| self.addresses.contains_key(id));
    }

    /// Entries in the tables by address, name and id, for tests of what is forgotten.
    #[doc(hidden)]
    pub fn table_sizes(&self) -> (usize, usize, usize) {
        (self.addresses.len(), self.names.len(), self.ids.len())
    }

    /// The address of a backend; `None` if no list has named it, or it was forgotten since.
    pub fn backend(&self, id: BackendId) -> Option<BackendAddress> {
        self.addresses.get(&id).copied()
    }
}
