//! The surroundings of a proxy, for measurements, rehearsals and a first look, in two forms; no part of the proxy itself.
//! On loopback sockets: backends that answer at once, their discovery service, a bare byte relay as the lower bound of any
//! proxy's cost, and closed-loop clients. In simulated time: machines that saturate, choke, hang and die, clients that
//! retry, and experiments that compare policies. Besides, a report on the access logs of a fleet.

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
