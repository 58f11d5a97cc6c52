//! Maintenance windows of sites. Decisions without I/O: the time is an argument, and equal inputs give equal outputs.
//!
//! - [`calendar`]: when windows occur, in which time zone, and which of them conflict.
//! - [`windows`]: the replicated state of all windows. At most one site is without its usual traffic at a time.
//! - [`shift`]: what the holder of a site's lease proposes next, from what the instances report.
//! - [`traffic`]: the fraction of its usual traffic that a site gets from one instance.

pub mod calendar;
pub mod shift;
pub mod traffic;
pub mod windows;

/// Unix time, a reading of one process's monotonic clock, or a length of time; in milliseconds.
pub type Millis = u64;

/// A fraction of a site's usual traffic, in thousandths.
pub type TrafficFraction = u16;

/// All of a site's usual traffic.
pub const FULL_TRAFFIC: TrafficFraction = 1_000;
