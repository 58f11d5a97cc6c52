//! Tests of incidents, changes and permits: single rules, and the invariants under random commands.

mod common;
mod detection;
mod invariants;
mod permits;
mod precedence;
