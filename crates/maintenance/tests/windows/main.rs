//! Tests of the calendar, the lifecycle of a window, its traffic shift, and the invariants under random
//! commands.

mod calendar;
mod common;
mod invariants;
mod lifecycle;
mod recovery;
mod shift;
mod traffic;
