//! Stand-ins and models for the environment of a proxy, used by benchmarks, fault injection, experiments and
//! the demo. Nothing here is part of the proxy itself.
//!
//! - On loopback sockets: backends that answer at once, their discovery service, a bare byte relay as the
//!   lower bound of any proxy's cost, and closed-loop clients.
//! - In simulated time: machines that saturate, choke, hang and crash, clients that retry, and experiments
//!   that compare load-balancing policies.
//! - A report on the access logs of a fleet.

pub mod access_log_report;
pub mod closed_loop_clients;
pub mod discovery;
pub mod experiment;
pub mod fleet_ratio;
pub mod model;
pub mod policy;
pub mod random;
pub mod relay;
pub mod report;
pub mod scenario;
pub mod scenarios;
pub mod servers;
pub mod sim;
pub mod site;
pub mod stability;
pub mod stand_in_thread;
