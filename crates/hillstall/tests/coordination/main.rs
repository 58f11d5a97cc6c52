//! Coordination in whole fleets of real processes that serve requests, with injected faults. Each scenario is checked by the
//! answers of the instances and by their audit lines, and the rules on requests hold as in every scenario.

mod admin_commands;
mod change_freeze;
mod figures;
#[path = "../fault_injection/harness.rs"]
#[allow(dead_code)]
mod harness;
mod lease_holders;
mod scenario;
mod windows;
