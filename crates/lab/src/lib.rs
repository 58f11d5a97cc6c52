//! Stand-ins for what a proxy stands between, on loopback sockets: servers that answer at once, the service
//! that lists them, a bare byte relay as the limit of what any proxy can do, and callers that measure.
//! They are for measurements, rehearsals and a first look; none of them is part of the proxy.

pub mod callers;
pub mod discovery;
pub mod relay;
pub mod servers;
pub mod site;
pub mod stand;
