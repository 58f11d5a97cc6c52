//! Maintenance windows of sites. This crate has no I/O and no clock: the time is an argument, and equal
//! inputs give equal outputs.
//!
//! - [`calendar`]: when windows occur, in which time zone, and which of them conflict.
//! - [`windows`]: the replicated state of all windows. Traffic is shifted away from at most one site at a
//!   time.
//! - [`shift`]: the traffic shift: which command the holder of a site's lease proposes next, given the
//!   instances' load reports.
//! - [`traffic`]: the fraction of its usual traffic that one instance sends to a site.

pub mod calendar;
pub mod shift;
pub mod traffic;
pub mod windows;

/// Unix time, a reading of one process's monotonic clock, or a duration; in milliseconds.
pub type Millis = u64;

/// A fraction of a site's usual traffic, in thousandths: from 0 to [`FULL_TRAFFIC`].
pub type TrafficFraction = u16;

/// All of a site's usual traffic.
pub const FULL_TRAFFIC: TrafficFraction = 1_000;
