//! Maintenance windows of sites. Decisions without I/O: time comes as an argument, and equal arguments give equal answers.
//!
//! - [`calendar`]: when windows occur, in which time zone, and which of them contradict each other.
//! - [`windows`]: the states of a window, as the keepers agree on them. At most one site is away, whoever believes what.
//! - [`shift`]: what the owner of a shift proposes next, from what the copies report.
//! - [`traffic`]: the part of its usual load that a site gets at one copy: what the last order says, for as long as it says,
//!   and then back by itself.

pub mod calendar;
pub mod shift;
pub mod traffic;
pub mod windows;

/// Unix time, or a length of time, in milliseconds.
pub type Millis = u64;

/// A part of a site's usual load, in thousandths.
pub type TrafficFraction = u16;

/// All of it.
pub const FULL_TRAFFIC: TrafficFraction = 1_000;
