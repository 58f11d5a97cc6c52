//! The calendar, the lifecycle of a window, the shift of its traffic, and the invariants under random commands.

mod calendar;
mod common;
mod invariants;
mod lifecycle;
mod recovery;
mod shift;
mod traffic;
