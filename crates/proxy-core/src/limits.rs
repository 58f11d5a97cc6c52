//! The resources that the process may use at once: sockets, in a fixed quota for clients and for backends, and
//! memory for buffered bodies. Both sides of a protocol reserve them here, so that neither uses up the other's.

use crate::tuning::Tuning;
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;

/// Descriptors reserved for the listeners, discovery, the runtime, the standard streams and the second address.
pub const RESERVED_SOCKETS: usize = 32;
/// The maximum of connections to the second address, which come from the reserved descriptors.
pub const MAX_ADMIN_CONNECTIONS: usize = 12;
/// Buffered bodies may take the memory divided by this. In transit each byte is held up to three times: as it was
/// read, as it is passed on, and in the buffer that is written.
const BODY_MEMORY_DIVISOR: usize = 4;
const BYTES_PER_MB: usize = 1 << 20;
/// The fewest sockets that are divided between the two sides, so that each has one.
const MIN_SOCKETS: usize = 2;
/// Bodies of maximum size for which there is always memory.
const MIN_BUFFERED_BODIES: usize = 2;

/// An amount of a resource that may be reserved at once.
pub struct ResourceQuota {
    limit: Cell<usize>,
    reserved: Cell<usize>,
}

impl ResourceQuota {
    /// A quota of this amount, none of it reserved.
    pub fn new(limit: usize) -> Rc<ResourceQuota> {
        Rc::new(ResourceQuota { limit: Cell::new(limit), reserved: Cell::new(0) })
    }

    /// Reserves an amount until the result is dropped; `None` if less than that is left.
    pub fn reserve(self: &Rc<ResourceQuota>, amount: usize) -> Option<Reservation> {
        let reserved = self.reserved.get().checked_add(amount)?;
        if reserved > self.limit.get() {
            return None;
        }
        self.reserved.set(reserved);
        Some(Reservation { quota: self.clone(), amount })
    }

    /// Whether any of it is left.
    pub fn has_capacity(&self) -> bool {
        self.reserved.get() < self.limit.get()
    }

    /// The amount in all.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Whether more is reserved than the limit, which happens when the limit was lowered.
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
    /// Releases all but this amount.
    pub fn shrink_to(&mut self, amount: usize) {
        let surplus = self.amount.saturating_sub(amount);
        self.quota.release(surplus);
        self.amount -= surplus;
    }
}

/// A complete body and the reservation of the memory that it takes.
pub struct BufferedBody {
    /// The bytes of the body.
    pub bytes: Bytes,
    _reservation: Reservation,
}

impl BufferedBody {
    /// A body in memory that was reserved for it.
    pub fn new(bytes: Bytes, reservation: Reservation) -> BufferedBody {
        BufferedBody { bytes, _reservation: reservation }
    }
}

/// The limits of this process.
pub struct Limits {
    /// Descriptors of all processes of the proxy together.
    total_sockets: usize,
    /// Memory of all processes of the proxy together, in MiB.
    total_memory_mb: usize,
    /// Connections from clients.
    pub client_connections: Rc<ResourceQuota>,
    /// Connections to backends.
    pub backend_connections: Rc<ResourceQuota>,
    /// Bytes of buffered bodies, from clients and from backends.
    pub buffered_bytes: Rc<ResourceQuota>,
    tuning: Cell<Tuning>,
    /// Other processes of the proxy, which the totals hold for as well.
    other_processes: Cell<usize>,
}

impl Limits {
    /// Divides up the platform's limits: a number of descriptors, and memory in MiB. Each open request takes one
    /// connection from a client and one to a backend.
    pub fn new(sockets: usize, memory_mb: usize) -> Rc<Limits> {
        let limits = Limits {
            total_sockets: sockets,
            total_memory_mb: memory_mb,
            client_connections: ResourceQuota::new(0),
            backend_connections: ResourceQuota::new(0),
            buffered_bytes: ResourceQuota::new(0),
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

    /// Replaces the tuning.
    pub fn set_tuning(&self, tuning: Tuning) {
        self.tuning.set(tuning);
        // The minimum of memory for bodies depends on the largest that is buffered.
        self.share_with(self.other_processes.get());
    }

    /// Keeps to this process's part of the limits, while this many other processes of the proxy run beside it.
    pub fn share_with(&self, others: usize) {
        self.other_processes.set(others);
        let processes = others + 1;
        let sockets = (self.total_sockets / processes).saturating_sub(RESERVED_SOCKETS).max(MIN_SOCKETS);
        let sockets_per_side = sockets / 2;
        let memory = self.total_memory_mb.saturating_mul(BYTES_PER_MB) / BODY_MEMORY_DIVISOR / processes;
        let min_memory = MIN_BUFFERED_BODIES * self.tuning().max_buffered_body_bytes;
        self.client_connections.limit.set(sockets_per_side);
        self.backend_connections.limit.set(sockets_per_side);
        self.buffered_bytes.limit.set(memory.max(min_memory));
    }
}
