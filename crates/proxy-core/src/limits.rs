//! Limits on sockets and on memory for buffered bodies. Client and backend connections have separate quotas,
//! so that neither side can exhaust the sockets of the other.

use crate::tuning::Tuning;
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;

/// File descriptors reserved for the listeners, discovery, the runtime, the standard streams and the admin
/// address.
pub const RESERVED_SOCKETS: usize = 32;
/// Maximum number of connections to the admin address. They use the reserved descriptors.
pub const MAX_ADMIN_CONNECTIONS: usize = 12;
/// Buffered bodies may use the total memory divided by this.
const BODY_MEMORY_DIVISOR: usize = 4;
/// The headers of open requests may use the total memory divided by this.
const HEADER_MEMORY_DIVISOR: usize = 32;
/// The protocol buffers of backend connections may use the total memory divided by this. The rest of the memory
/// is for those of client connections, which are kept only while a client is active, and for the program.
const BACKEND_MEMORY_DIVISOR: usize = 6;
/// The protocol buffers of a backend connection: two read buffers of 16 KiB, of which one is being passed on, a
/// write buffer of as much, and the write buffer to the client.
const BACKEND_CONNECTION_BYTES: usize = 64 * 1024;
const BYTES_PER_MB: usize = 1 << 20;
/// Minimum number of sockets for both sides together, so that each side has one.
const MIN_SOCKETS: usize = 2;
/// The memory that there always is for the headers of open requests.
const MIN_HEADER_BYTES: usize = 64 * 1024;
/// Number of bodies of the maximum buffered size for which there is always memory.
const MIN_BUFFERED_BODIES: usize = 2;

/// A limited resource of which parts are reserved and released.
pub struct ResourceQuota {
    limit: Cell<usize>,
    reserved: Cell<usize>,
}

impl ResourceQuota {
    /// A quota of `limit` units, none of them reserved.
    pub fn new(limit: usize) -> Rc<ResourceQuota> {
        Rc::new(ResourceQuota { limit: Cell::new(limit), reserved: Cell::new(0) })
    }

    /// Reserves `amount` units until the result is dropped; `None` if fewer are left.
    pub fn reserve(self: &Rc<ResourceQuota>, amount: usize) -> Option<Reservation> {
        let reserved = self.reserved.get().checked_add(amount)?;
        if reserved > self.limit.get() {
            return None;
        }
        self.reserved.set(reserved);
        Some(Reservation { quota: self.clone(), amount })
    }

    /// Whether at least one unit is left.
    pub fn has_capacity(&self) -> bool {
        self.reserved.get() < self.limit.get()
    }

    /// The total number of units.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Whether more is reserved than the limit allows, which happens after the limit is lowered.
    pub fn is_exceeded(&self) -> bool {
        self.reserved.get() > self.limit.get()
    }

    fn release(&self, amount: usize) {
        self.reserved.set(self.reserved.get() - amount);
    }
}

/// A part of a [`ResourceQuota`] that is reserved until this is dropped.
pub struct Reservation {
    quota: Rc<ResourceQuota>,
    amount: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.quota.release(self.amount);
    }
}

impl Reservation {
    /// Releases all but `amount` units.
    pub fn shrink_to(&mut self, amount: usize) {
        let surplus = self.amount.saturating_sub(amount);
        self.quota.release(surplus);
        self.amount -= surplus;
    }
}

/// A complete body, and the reservation of the memory that it uses.
pub struct BufferedBody {
    /// The bytes of the body.
    pub bytes: Bytes,
    reservation: Reservation,
}

impl BufferedBody {
    /// A body whose memory is covered by `reservation`.
    pub fn new(bytes: Bytes, reservation: Reservation) -> BufferedBody {
        BufferedBody { bytes, reservation }
    }

    /// The bytes, and the reservation of their memory.
    pub fn into_parts(self) -> (Bytes, Reservation) {
        (self.bytes, self.reservation)
    }
}

/// The resource limits of this process, and the tuning in force.
pub struct Limits {
    /// File descriptors of all processes of this instance together.
    total_sockets: usize,
    /// Memory of all processes of this instance together, in MiB.
    total_memory_mb: usize,
    /// Connections from clients.
    pub client_connections: Rc<ResourceQuota>,
    /// Connections to backends.
    pub backend_connections: Rc<ResourceQuota>,
    /// Bytes of buffered request and response bodies.
    pub buffered_bytes: Rc<ResourceQuota>,
    /// Bytes of the headers of open requests.
    pub header_bytes: Rc<ResourceQuota>,
    tuning: Cell<Tuning>,
    /// Number of other processes of this instance, with which the totals are shared.
    other_processes: Cell<usize>,
}

impl Limits {
    /// Divides the limits given by the platform: a number of file descriptors, and memory in MiB. Clients and
    /// backends get the same number of sockets, because each open request uses one connection on either side.
    /// With little memory, backends get fewer: each connection to one has buffers of its own.
    pub fn new(sockets: usize, memory_mb: usize) -> Rc<Limits> {
        let limits = Limits {
            total_sockets: sockets,
            total_memory_mb: memory_mb,
            client_connections: ResourceQuota::new(0),
            backend_connections: ResourceQuota::new(0),
            buffered_bytes: ResourceQuota::new(0),
            header_bytes: ResourceQuota::new(0),
            tuning: Cell::default(),
            other_processes: Cell::default(),
        };
        limits.share_with(0);
        Rc::new(limits)
    }

    /// The tuning in force.
    pub fn tuning(&self) -> Tuning {
        self.tuning.get()
    }

    /// Replaces the tuning, and adapts the limits that depend on it.
    pub fn set_tuning(&self, tuning: Tuning) {
        self.tuning.set(tuning);
        // The minimum memory for bodies depends on `max_buffered_body_bytes`.
        self.share_with(self.other_processes.get());
    }

    /// Limits this process to its share of the totals, while `others` more processes of the same instance
    /// run.
    pub fn share_with(&self, others: usize) {
        self.other_processes.set(others);
        let processes = others + 1;
        let sockets = (self.total_sockets / processes).saturating_sub(RESERVED_SOCKETS).max(MIN_SOCKETS);
        let sockets_per_side = sockets / 2;
        let memory = self.total_memory_mb.saturating_mul(BYTES_PER_MB) / processes;
        let max_backend_connections = memory / BACKEND_MEMORY_DIVISOR / BACKEND_CONNECTION_BYTES;
        let min_memory = MIN_BUFFERED_BODIES * self.tuning().max_buffered_body_bytes;
        self.client_connections.limit.set(sockets_per_side);
        self.backend_connections.limit.set(sockets_per_side.min(max_backend_connections.max(1)));
        self.header_bytes.limit.set((memory / HEADER_MEMORY_DIVISOR).max(MIN_HEADER_BYTES));
        self.buffered_bytes.limit.set((memory / BODY_MEMORY_DIVISOR).max(min_memory));
    }
}
