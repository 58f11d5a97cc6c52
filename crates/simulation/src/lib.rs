//! What a proxy stands between, in two forms that are for measurements, rehearsals and a first look, and no part of
//! the proxy. On loopback sockets: servers that answer at once, the service that lists them, a bare byte relay as the
//! limit of what any proxy can do, and callers that measure. In simulated time: servers that crowd, choke, hang and
//! die, clients that try again, and experiments that hold policies against each other. And what a fleet's logs tell.

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
