//! Incidents, changes and permits: the rules one by one, and the invariants under random commands.

mod common;
mod detection;
mod invariants;
mod permits;
mod precedence;
