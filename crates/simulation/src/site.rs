//! The platform file of a proxy in front of stand-in backends on loopback, for benchmarks and the demo.

use crate::discovery::endpoint_list;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Resource limits that the platform file gives a proxy process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// Maximum number of open file descriptors; the platform file calls it `sockets`.
    pub sockets: usize,
    /// Memory limit in MB.
    pub memory_mb: usize,
}

/// The platform file of one proxy: an idempotent class `browse`, a class `purchase` that needs an idempotency
/// key, and no tenants.
pub fn config(
    listen: SocketAddr,
    discovery: SocketAddr,
    servers: &[SocketAddr],
    limits: ProcessLimits,
) -> Value {
    json!({
        "name": "n1", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
        "known": endpoint_list(servers),
        "settings": {
            "Allowed": {"MaxAttempts": 4, "Cancelling": true, "RetryAfter": true, "MaxRetryAfter": 5000,
                "IdleClose": 20000, "ConnectTimeout": 300},
            "Classes": [
                {"Name": "browse", "Aim": 500, "HardLimit": 1200, "Effect": "repeatable", "Points": 2},
                {"Name": "purchase", "Aim": 600, "HardLimit": 1500, "Effect": "by_key", "Window": 2500,
                    "Points": 5},
            ],
            "MembershipMode": "automatic",
            "Rules": {"DrainGrace": 2000, "ColdFrom": 0.33, "Cold": 8400, "FallMultiple": 3, "Fall": 2000},
        },
    })
}
