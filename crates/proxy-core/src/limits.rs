//! What the process may hold at once: descriptors, in a fixed share for either side, and the bytes of bodies.
//! Both sides ask here, so that what one takes is not missing at the other.

use crate::tuning::Tuning;
use bytes::Bytes;
use std::cell::Cell;
use std::rc::Rc;

/// Descriptors kept for the listeners, discovery, the runtime, the standard streams and the second address.
pub const RESERVED_SOCKETS: usize = 32;
/// The most calls open at once at the second address; the descriptors for them are kept free.
pub const MAX_ADMIN_CONNECTIONS: usize = 12;
/// Part of the memory that bodies and answers may take. On its way each byte is held up to three times: as it
/// was read, as it is passed on, and in the buffer that is written.
const BODY_PART: usize = 4;
/// So much of something as may be held at once.
pub struct ResourceQuota {
    most: Cell<usize>,
    held: Cell<usize>,
}

impl ResourceQuota {
    /// A quota of so much, all of it free.
    pub fn new(most: usize) -> Rc<ResourceQuota> {
        Rc::new(ResourceQuota { most: Cell::new(most), held: Cell::new(0) })
    }

    /// Takes an amount until the result is dropped; `None` if so much is not left.
    pub fn reserve(self: &Rc<ResourceQuota>, amount: usize) -> Option<Reservation> {
        let held = self.held.get().checked_add(amount).filter(|held| *held <= self.most.get())?;
        self.held.set(held);
        Some(Reservation { share: self.clone(), amount })
    }

    /// Whether any of it is left.
    pub fn has_capacity(&self) -> bool {
        self.held.get() < self.most.get()
    }

    /// How much there is in all.
    pub fn limit(&self) -> usize {
        self.most.get()
    }

    /// Whether more is held than there is, since there is less.
    pub fn is_exceeded(&self) -> bool {
        self.held.get() > self.most.get()
    }
}

/// A part of a [`ResourceQuota`], given back when dropped.
pub struct Reservation {
    share: Rc<ResourceQuota>,
    amount: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.share.held.set(self.share.held.get() - self.amount);
    }
}

impl Reservation {
    /// Gives back all but an amount.
    pub fn shrink_to(&mut self, amount: usize) {
        let back = self.amount.saturating_sub(amount);
        self.share.held.set(self.share.held.get() - back);
        self.amount -= back;
    }
}

/// A whole body with the room that it takes.
pub struct BufferedBody {
    /// Its bytes.
    pub bytes: Bytes,
    _room: Reservation,
}

impl BufferedBody {
    /// A body that takes so much room.
    pub fn new(bytes: Bytes, room: Reservation) -> BufferedBody {
        BufferedBody { bytes, _room: room }
    }
}

/// The limits of this process.
pub struct Limits {
    sockets: usize,
    memory_mb: usize,
    /// Callers' connections.
    pub client_connections: Rc<ResourceQuota>,
    /// Connections to backends.
    pub backend_connections: Rc<ResourceQuota>,
    /// Bytes of bodies, from callers and from backends.
    pub buffered_bytes: Rc<ResourceQuota>,
    tuning: Cell<Tuning>,
    /// Other processes that the limits hold for as well.
    others: Cell<usize>,
}

impl Limits {
    /// Shares out what the platform gives. Each open request holds a caller's connection and an upstream one.
    pub fn new(sockets: usize, memory_mb: usize) -> Rc<Limits> {
        let share = || ResourceQuota::new(0);
        let limits = Limits {
            sockets,
            memory_mb,
            client_connections: share(),
            backend_connections: share(),
            buffered_bytes: share(),
            tuning: Cell::default(),
            others: Cell::default(),
        };
        limits.share_with(0);
        Rc::new(limits)
    }

    /// The tuning in force.
    pub fn tuning(&self) -> Tuning {
        self.tuning.get()
    }

    /// Tunes anew.
    pub fn tune(&self, tuning: Tuning) {
        self.tuning.set(tuning);
        // The least room for bodies goes by the largest that is held.
        self.share_with(self.others.get());
    }

    /// Keeps to this process's part, with so many others beside it that the limits hold for as well.
    pub fn share_with(&self, others: usize) {
        self.others.set(others);
        let processes = others + 1;
        let side = (self.sockets / processes).saturating_sub(RESERVED_SOCKETS).max(2) / 2;
        let bytes = self.memory_mb.saturating_mul(1 << 20) / BODY_PART / processes;
        self.client_connections.most.set(side);
        self.backend_connections.most.set(side);
        self.buffered_bytes.most.set(bytes.max(2 * self.tuning().max_buffered_body));
    }
}
