//! The platform file of a proxy, written from the settings of the decision module.

use hillstall_decision::{DedupScope, RetrySafety, Settings};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The settings as the platform writes them. The key names are the platform's format; parsing the result
/// gives the same settings.
#[allow(clippy::too_many_lines, reason = "one key per setting")]
pub fn settings_json(settings: &Settings) -> Value {
    let class = |c: &hillstall_decision::Class| {
        let effect = match c.retry_safety {
            RetrySafety::Idempotent => "repeatable",
            RetrySafety::IdempotencyKey => "by_key",
            RetrySafety::NonIdempotent => "once",
        };
        let scope = match c.dedup_scope {
            DedupScope::All => "all",
            DedupScope::Zone => "zone",
            DedupScope::Cell => "cell",
        };
        json!({"Name": c.name, "Aim": c.latency_objective_ms, "AimStretch": c.objective_per_work_ms, "HardLimit": c.deadline_ms,
            "Effect": effect, "KeyScope": scope, "Window": c.dedup_window_ms, "LateWorth": c.late_weight_fraction,
            "Points": c.priority_weight, "Streaming": c.streaming})
    };
    let tenant = |t: &hillstall_decision::Tenant| json!({"Name": t.name, "AllowancePerS": t.quota_per_s, "Fraction": t.fraction});
    let (rules, allowed, prices, mix) =
        (&settings.rules, &settings.permissions, &settings.prices, &settings.objective_weights);
    json!({
        "Rank": settings.rank, "FleetSize": settings.fleet_size, "Az": settings.zone, "Zones": settings.zones, "Stage": settings.tier,
        "Stages": settings.tier_names, "MachineTypes": settings.machine_kinds, "KindOfService": settings.service,
        "FamilyInfo": {"PassesDeadline": settings.passes_deadline, "WarmKeys": settings.caches_keys},
        "MembershipMode": if settings.must_subscribe { "subscribe" } else { "automatic" },
        "WorthBy": if settings.weight_by_work { "work" } else { "request" },
        "OverShareWorth": settings.over_quota_weight, "Tick": settings.tick_ms,
        "Clients": {"MarksRetry": settings.marks_retry},
        "Classes": settings.classes.iter().map(class).collect::<Vec<_>>(),
        "Tenants": settings.tenants.iter().map(tenant).collect::<Vec<_>>(),
        "Rules": {"GraceToAnswer": rules.response_grace_ms, "DrainGrace": rules.drain_grace_ms,
            "AskWithin": rules.poll_interval_ms, "ColdFrom": rules.warmup_start_fraction, "Cold": rules.warmup_ms,
            "FallMultiple": rules.overload_multiple, "Fall": rules.overload_window_ms},
        "Allowed": {"Cancelling": allowed.cancel, "Probing": allowed.probe, "ParallelTries": allowed.parallel,
            "Peers": allowed.peer_messages, "RetryAfter": allowed.retry_after,
            "MaxRetryAfter": allowed.max_retry_after_ms, "MaxAttempts": allowed.max_attempts,
            "OpenCap": allowed.max_open, "IdleClose": allowed.idle_close_ms,
            "ConnectTimeout": allowed.connect_timeout_ms, "StreamsPerConn": allowed.streams_per_connection,
            "CpuUsPerS": allowed.cpu_us_per_s, "CpuUsPerRequest": allowed.cpu_us_per_request},
        "Prices": {"CrossZone": prices.cross_zone, "Waste": prices.waste, "LateFail": prices.late_or_failed,
            "Probe": prices.probe, "Connection": prices.connection, "Handshake": prices.handshake,
            "MembershipMode": prices.endpoint_list_entries, "Fleet": prices.backends, "Moves": prices.data_moves,
            "Origin": prices.origin_fetches, "Peer": prices.peer_messages},
        "ObjectiveMix": {"Whole": mix.whole_run, "WorstClass": mix.worst_class, "WorstTenant": mix.worst_tenant,
            "WorstWindow": mix.worst_window, "Nines": mix.availability, "FullAtNines": mix.full_at_nines},
    })
}

/// The contents of a proxy's platform file.
pub struct ProxyConfig<'a> {
    /// The name of the proxy, which stays the same after a restart.
    pub name: &'a str,
    /// The address at which it accepts requests.
    pub listen: SocketAddr,
    /// The address by which it reaches discovery.
    pub discovery: SocketAddr,
    /// The seed of its random numbers.
    pub seed: u64,
    /// The endpoint list that it starts with.
    pub endpoint_list: Value,
    /// The settings of its decision module.
    pub settings: &'a Settings,
}

/// The platform file as JSON.
pub fn file(config: &ProxyConfig<'_>) -> Value {
    json!({
        "name": config.name, "listen": config.listen, "discovery": config.discovery,
        "seed": format!("{:016x}", config.seed),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
        "known": config.endpoint_list, "settings": settings_json(config.settings),
    })
}

#[cfg(test)]
mod tests {
    use hillstall_simulation::scenarios;
    use hillstall_simulation::sim::setup;

    #[test]
    fn written_settings_parse_to_the_same_settings() {
        for name in scenarios::names() {
            let parameters = setup::draw(&scenarios::find(name).expect("embedded"), 3);
            for tier in 0..parameters.tiers.len() {
                let given = parameters.settings(tier, 1, 4, 0);
                let text = super::settings_json(&given).to_string();
                let mut read = hillstall_settings::parse_settings(text.as_bytes())
                    .expect("the written settings are valid");
                for (read, given) in read.tenants.iter_mut().zip(&given.tenants) {
                    // The decimal form of a number may lose its last binary digit.
                    assert!((read.quota_per_s / given.quota_per_s - 1.0).abs() < 1e-12);
                    read.quota_per_s = given.quota_per_s;
                }
                assert_eq!(read, given, "{name} {tier}");
            }
        }
    }
}
