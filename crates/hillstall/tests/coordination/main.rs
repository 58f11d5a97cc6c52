//! What the copies of a fleet do together: whole fleets of real processes under real calls, with faults between them. Each
//! drill is judged by what the copies say and by the record that they write of their acts, and the rules on calls are held
//! to as in every drill.

mod figures;
mod freeze;
#[path = "../fault_injection/harness.rs"]
#[allow(dead_code)]
mod harness;
mod lines;
mod owners;
mod talking;
mod windows;
