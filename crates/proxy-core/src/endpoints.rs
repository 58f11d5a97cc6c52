//! The endpoint list as discovery sends it, and the directory of backends (name, id, address) built from it.

use hillstall_decision::{BackendId, BackendInfo, BackendState, Settings};
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Zone index of a backend whose zone is not in the settings.
const UNKNOWN_ZONE: u16 = u16::MAX;
/// Machine kind index of a backend whose machine kind is not in the settings.
const UNKNOWN_MACHINE_KIND: u8 = u8::MAX;
/// Weight of a backend whose entry has no `weight`.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A full endpoint list, or the changes since an earlier version.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointList {
    /// The version of the list after this update, called `index` in the discovery protocol.
    #[serde(rename = "index")]
    pub version: u64,
    /// Whether `endpoints` has all backends; otherwise it has only those that changed.
    #[serde(rename = "snapshot")]
    pub is_snapshot: bool,
    /// One entry per backend.
    pub endpoints: Vec<Endpoint>,
}

/// The entry of one backend in an [`EndpointList`].
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    name: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(rename = "type", default)]
    machine_kind: String,
    #[serde(default)]
    group: u16,
    status: EndpointStatus,
    #[serde(default = "default_weight")]
    weight: f64,
    /// Start of the backend process, as Unix time in milliseconds; 0 if unknown.
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
enum EndpointStatus {
    Ready,
    Draining,
    Gone,
    /// A status that this version does not know. It is treated as draining, because the backend may not be
    /// ready.
    #[serde(other)]
    Unknown,
}

impl From<EndpointStatus> for BackendState {
    fn from(status: EndpointStatus) -> BackendState {
        match status {
            EndpointStatus::Ready => BackendState::Ready,
            EndpointStatus::Draining | EndpointStatus::Unknown => BackendState::Draining,
            EndpointStatus::Gone => BackendState::Gone,
        }
    }
}

fn default_weight() -> f64 {
    DEFAULT_WEIGHT
}

/// Address and last known state of a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendAddress {
    /// Address on which the backend listens.
    pub address: SocketAddr,
    /// State in the last endpoint list that named the backend.
    pub state: BackendState,
    /// Index of the zone in the settings; `u16::MAX` if the settings don't have it.
    pub zone: u16,
    started_at_ms: Option<f64>,
    /// The last entry of the backend as input of the decision module.
    info: BackendInfo,
    /// When a list first showed this process as draining after one had shown it as ready; `None` if none did.
    draining_since: Option<Instant>,
}

impl BackendAddress {
    /// Whether this is the same backend process as `earlier`, by address and start time. The state may
    /// differ.
    pub fn is_same_process(&self, earlier: &BackendAddress) -> bool {
        self.address == earlier.address && self.started_at_ms == earlier.started_at_ms
    }

    /// Whether a new attempt may start at `now`: the backend is ready, or has been draining for less than
    /// `grace`.
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

/// The changes made by [`EndpointDirectory::apply`].
#[derive(Default)]
pub struct EndpointChanges {
    /// The entries of the list as input of the decision module.
    pub backends: Vec<BackendInfo>,
    /// Backends whose idle connections must be closed: they are gone, were restarted or have a new address.
    pub stale: Vec<BackendId>,
    /// Backends that were ready and now drain; their idle connections are used until the drain grace period
    /// ends.
    pub newly_draining: Vec<BackendId>,
}

/// The known backends. The id of a backend is a hash of its name.
#[derive(Default)]
pub struct EndpointDirectory {
    zones: Vec<String>,
    machine_kinds: Vec<String>,
    ids: FxHashMap<String, BackendId>,
    names: FxHashMap<BackendId, String>,
    addresses: FxHashMap<BackendId, BackendAddress>,
    /// What listens at an address, by the newest entry with that address.
    listeners: FxHashMap<SocketAddr, Listener>,
}

/// The backend that listens at an address.
struct Listener {
    backend: BackendId,
    /// The backend whose process it has replaced there. Kept here because a backend that is gone is forgotten.
    replaced: Option<BackendId>,
}

/// The 64-bit FNV-1a hash. Backend ids depend on it, and must be equal in all instances and after a restart.
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

    /// The id of a name, which is added if it is unknown. A backend that was removed and returns gets the
    /// same id again, unless another name has taken it.
    fn id(&mut self, name: &str) -> BackendId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let hash = fnv1a(name.as_bytes());
        let mut id = (hash ^ (hash >> 32)) as BackendId;
        // On a hash collision, the name that is added later takes the next free id.
        while self.names.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        self.ids.insert(name.to_string(), id);
        self.names.insert(id, name.to_string());
        id
    }

    /// Applies a list that was received at `now`.
    pub fn apply(&mut self, list: &EndpointList, now: Instant) -> EndpointChanges {
        let backends = Vec::with_capacity(list.endpoints.len());
        let mut changes = EndpointChanges { backends, ..EndpointChanges::default() };
        if list.is_snapshot {
            self.mark_missing_as_gone(list, &mut changes);
        }
        for endpoint in &list.endpoints {
            self.apply_endpoint(endpoint, now, &mut changes);
        }
        for endpoint in &list.endpoints {
            self.replace_listener(endpoint, list, &mut changes);
        }
        changes
    }

    /// Marks the backend whose address a new process has taken over as gone: whatever is sent there reaches the
    /// new process. Discovery may tell the end of the old one later, or never.
    fn replace_listener(&mut self, endpoint: &Endpoint, list: &EndpointList, changes: &mut EndpointChanges) {
        let id = self.id(&endpoint.name);
        if self.addresses.get(&id).is_none_or(|address| address.state == BackendState::Gone) {
            return;
        }
        let known = self.listeners.get(&endpoint.address);
        if known.is_some_and(|listener| listener.backend == id) {
            return;
        }
        let replaced = known.and_then(|listener| listener.replaced);
        let Some(earlier) = known.and_then(|listener| self.current_listener(listener.backend, endpoint))
        else {
            self.listeners.insert(endpoint.address, Listener { backend: id, replaced: None });
            return;
        };
        let started_later = endpoint.started_at_ms().zip(earlier.started_at_ms).map(|(new, old)| new > old);
        let is_listed =
            || list.endpoints.iter().any(|other| self.ids.get(&other.name) == Some(&earlier.info.id));
        let gone = match started_later {
            Some(true) => earlier.info.id,
            Some(false) => id,
            None if !is_listed() => earlier.info.id,
            // A list from before the news of the replacement.
            None if replaced == Some(id) => id,
            // A list that names both as alive doesn't tell which one is the newer.
            None => return,
        };
        let backend = if gone == id { earlier.info.id } else { id };
        self.listeners.insert(endpoint.address, Listener { backend, replaced: Some(gone) });
        self.mark_replaced(gone, replaced != Some(gone), changes);
    }

    /// The backend `id`, if it is still listed as listening at the address of `endpoint`.
    fn current_listener(&self, id: BackendId, endpoint: &Endpoint) -> Option<BackendAddress> {
        let address = self.addresses.get(&id).copied()?;
        (address.address == endpoint.address && address.state != BackendState::Gone).then_some(address)
    }

    /// Marks a backend as gone, for the decision module as well.
    fn mark_replaced(&mut self, id: BackendId, is_news: bool, changes: &mut EndpointChanges) {
        let Some(address) = self.addresses.get_mut(&id) else { return };
        address.state = BackendState::Gone;
        if is_news {
            tracing::info!(
                backend = self.names.get(&id).map(String::as_str),
                address = %address.address,
                "discovery: another process listens at the address of a backend, which counts as gone"
            );
        }
        changes.stale.push(id);
        changes.backends.push(BackendInfo { state: BackendState::Gone, ..address.info });
    }

    /// Marks the backends that a full list does not contain as gone.
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
        let kind = position(&self.machine_kinds, &endpoint.machine_kind)
            .map_or(UNKNOWN_MACHINE_KIND, |index| index as u8);
        let started_at_ms = endpoint.started_at_ms();
        let info = BackendInfo {
            id,
            zone,
            kind,
            cell: endpoint.group,
            state,
            rating: endpoint.weight,
            started_at: started_at_ms,
        };
        let address = endpoint.address;
        let mut address = BackendAddress { address, state, zone, started_at_ms, info, draining_since: None };
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
        changes.backends.push(info);
    }

    /// Removes the backends that are gone and not in use. Backends are replaced again and again while a proxy
    /// runs, so the tables would otherwise grow without bound.
    pub fn remove_gone(&mut self, in_use: impl Fn(BackendId) -> bool) {
        self.addresses.retain(|id, address| address.state != BackendState::Gone || in_use(*id));
        self.names.retain(|id, _| self.addresses.contains_key(id));
        self.ids.retain(|_, id| self.addresses.contains_key(id));
        self.listeners.retain(|_, listener| self.addresses.contains_key(&listener.backend));
    }

    /// Sizes of the address, name and id tables, for tests of [`EndpointDirectory::remove_gone`].
    #[doc(hidden)]
    pub fn table_sizes(&self) -> (usize, usize, usize) {
        (self.addresses.len(), self.names.len(), self.ids.len())
    }

    /// Address and state of a backend; `None` if it was never listed, or was removed since.
    pub fn backend(&self, id: BackendId) -> Option<BackendAddress> {
        self.addresses.get(&id).copied()
    }
}
