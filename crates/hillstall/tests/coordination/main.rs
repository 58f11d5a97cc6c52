//! Coordination in fleets of real processes that serve requests, with injected faults. Each test checks the
//! answers of the instances to admin commands, their audit lines, and the invariants on requests that hold in
//! every scenario.

mod admin_commands;
mod change_freeze;
mod figures;
#[path = "../fault_injection/harness.rs"]
#[allow(dead_code)]
mod harness;
mod lease_holders;
mod scenario;
mod windows;
