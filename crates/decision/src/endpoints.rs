//! The endpoint list: the backends that discovery reports, the order in which this instance adds them to its
//! subset, and the backoff of polls while discovery fails. The platform's reference design draws from all
//! ready backends and does not specify discovery.

use crate::backend::Backend;
use crate::random::RandomSource;
use crate::slow_start::SlowStartBudget;
use crate::{BackendId, BackendInfo, BackendState, ListKind, Millis, Rules, Settings};
use rustc_hash::FxHashMap;

/// Delay of the first poll after a discovery failure, in milliseconds; doubles with each further failure.
const INITIAL_POLL_BACKOFF_MS: Millis = 300.0;
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: i32 = 5;
/// Maximum backoff before jitter, as a fraction of the prescribed poll interval.
const MAX_BACKOFF_FRACTION: f64 = 1.0 / 4.0;
/// How old a start is at most when discovery tells it, in milliseconds, unless discovery has failed.
const MAX_NEWS_DELAY_MS: Millis = 1_000.0;
/// Minimum factor of the random jitter on a backoff; the maximum is 1 more.
const MIN_JITTER: f64 = 0.5;

/// The backends of the tier, in the order in which they were first listed.
#[derive(Default)]
pub(crate) struct Endpoints {
    backends: Vec<Backend>,
    index_by_id: FxHashMap<BackendId, usize>,
    subset_order: Vec<usize>,
    /// Whether no update can have been missed since the last list. That is known only with a subscription,
    /// which reports gaps.
    is_continuous: bool,
    list_times: ListTimes,
}

/// When lists arrived, which bounds how long ago a backend that is new in a list can have started. The wall
/// clock by which lists tell the time of a start may differ from that of this machine by any amount.
#[derive(Default)]
struct ListTimes {
    /// When discovery last sent a list; `None` before the first.
    last: Option<Millis>,
    /// Whether discovery has failed since.
    has_failed: bool,
}

impl ListTimes {
    /// Records a list from discovery.
    fn record(&mut self, now: Millis) {
        self.last = Some(now);
        self.has_failed = false;
    }

    /// The clock time of a start that a list tells as `started_at` and no list before has told. It is not
    /// in the future, and not long before the last list, which would have told it. Nothing bounds the age
    /// of what is in the first list.
    fn credible_start(&self, started_at: Option<Millis>, now: Millis) -> Option<Millis> {
        let earliest = match self.last {
            None => f64::MIN,
            Some(last) if self.has_failed => last - MAX_NEWS_DELAY_MS,
            Some(_) => now - MAX_NEWS_DELAY_MS,
        };
        started_at.map(|started_at| started_at.clamp(earliest.min(now), now))
    }
}

impl Endpoints {
    /// Returns all backends, including those that are gone but still have requests in flight.
    pub(crate) fn all(&self) -> &[Backend] {
        &self.backends
    }

    /// Returns the indices of all backends, in the order in which this instance adds them to its subset.
    pub(crate) fn subset_order(&self) -> &[usize] {
        &self.subset_order
    }

    /// Returns the backend at an index of [`Endpoints::all`].
    pub(crate) fn at(&self, index: usize) -> &Backend {
        &self.backends[index]
    }

    /// Returns the backend at an index of [`Endpoints::all`].
    pub(crate) fn at_mut(&mut self, index: usize) -> &mut Backend {
        &mut self.backends[index]
    }

    /// Returns the backend with this id, if it is listed or has requests in flight.
    pub(crate) fn get_mut(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.index_by_id.get(&id).map(|index| &mut self.backends[*index])
    }

    /// Returns the number of listed backends, and how many of them [`Backend::is_avoided`].
    pub(crate) fn counts(&self, now: Millis) -> (usize, usize) {
        let listed = self.backends.iter().filter(|backend| backend.info.state != BackendState::Gone);
        let avoided = listed.clone().filter(|backend| backend.is_avoided(now));
        (listed.count(), avoided.count())
    }

    /// Returns the capacity of the backends that answer, as a sum of ratings.
    pub(crate) fn answering_capacity(&self, now: Millis, rules: &Rules) -> f64 {
        let answering = self.backends.iter().filter(|backend| backend.is_answering(now));
        let capacity = |backend: &Backend| {
            backend.rating() * backend.ready_fraction(now, rules) * backend.drain_fraction(now, rules)
        };
        answering.map(capacity).sum()
    }

    /// Records that updates may be missed until the next list arrives.
    pub(crate) fn on_discovery_failure(&mut self) {
        self.is_continuous = false;
        self.list_times.has_failed = true;
    }

    /// Applies a complete list or an update.
    pub(crate) fn apply(
        &mut self,
        kind: ListKind,
        list: &[BackendInfo],
        now: Millis,
        settings: &Settings,
        random: &mut RandomSource,
    ) {
        let previous: Vec<BackendState> = self.backends.iter().map(|backend| backend.info.state).collect();
        if kind != ListKind::Delta {
            for backend in &mut self.backends {
                backend.info.state = BackendState::Gone;
            }
        }
        for info in list {
            // The random initial token keeps many instances from all sending to a new backend at once.
            let budget = SlowStartBudget::new(random.next_unit(), now);
            let started_at = self.list_times.credible_start(info.started_at, now);
            let create = || Backend::new(*info, started_at, settings.classes.len(), budget);
            self.apply_entry(*info, &previous, create, now);
        }
        if kind != ListKind::Cached {
            self.list_times.record(now);
        }
        self.is_continuous = settings.must_subscribe && kind != ListKind::Cached;
        self.backends.retain(|backend| backend.info.state != BackendState::Gone || backend.in_flight > 0.0);
        self.index_by_id =
            self.backends.iter().enumerate().map(|(i, backend)| (backend.info.id, i)).collect();
        self.order_subset(settings);
    }

    /// Applies one entry; `create` makes the backend if it is unknown or has restarted.
    fn apply_entry(
        &mut self,
        info: BackendInfo,
        previous: &[BackendState],
        create: impl FnOnce() -> Backend,
        now: Millis,
    ) {
        match self.index_by_id.get(&info.id) {
            Some(&index) if self.backends[index].info.started_at == info.started_at => {
                let previous = previous.get(index).copied().unwrap_or(BackendState::Gone);
                self.backends[index].update(info, previous, self.is_continuous, now);
            }
            Some(&index) => {
                let mut restarted = create();
                restarted.in_flight = self.backends[index].in_flight;
                self.backends[index] = restarted;
            }
            None => {
                self.index_by_id.insert(info.id, self.backends.len());
                self.backends.push(create());
            }
        }
    }

    /// Orders the backends for the subset: the local zone first, and within the local and the remote zones a
    /// ring of hashed ids. Instances start on the ring at offsets spaced by rank, so that together they cover
    /// all backends evenly.
    fn order_subset(&mut self, settings: &Settings) {
        let offset = f64::from(settings.rank) / f64::from(settings.fleet_size) % 1.0;
        let (mut own, mut other): (Vec<usize>, Vec<usize>) =
            (0..self.backends.len()).partition(|&index| self.backends[index].info.zone == settings.zone);
        for ring in [&mut own, &mut other] {
            ring.sort_by_key(|&index| hash_id(self.backends[index].info.id));
            let start = ((offset * ring.len() as f64) as usize).min(ring.len());
            ring.rotate_left(start);
        }
        own.append(&mut other);
        self.subset_order = own;
    }
}

/// Distributes ids evenly over the ring (Fibonacci hashing).
fn hash_id(id: BackendId) -> u64 {
    u64::from(id).wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(32)
}

/// Exponential backoff of polls while discovery fails.
#[derive(Default)]
pub(crate) struct DiscoveryBackoff {
    failures: i32,
}

impl DiscoveryBackoff {
    /// Resets the backoff after discovery answered.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the delay until the next poll, in milliseconds. It doubles with each failure, has random
    /// jitter, and stays well below the interval after which an instance counts as notified of a change.
    pub(crate) fn next_delay(&mut self, poll_interval: Millis, random: f64) -> Millis {
        let max_delay = poll_interval * MAX_BACKOFF_FRACTION;
        let growth = 2f64.powi(self.failures.min(MAX_BACKOFF_DOUBLINGS));
        let delay = (INITIAL_POLL_BACKOFF_MS * growth).min(max_delay);
        self.failures += 1;
        delay * (MIN_JITTER + random)
    }
}
