//! The platform file of a proxy, made from the decision module's settings.

use hillstall_decision::{DedupScope, RetrySafety, Settings};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// The settings as the platform writes them; reading them gives the same settings.
#[allow(clippy::too_many_lines, reason = "one key per setting")]
pub fn settings(of: &Settings) -> Value {
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
    let (rules, allowed, prices, mix) = (&of.rules, &of.permissions, &of.prices, &of.objective_weights);
    json!({
        "Rank": of.rank, "FleetSize": of.fleet_size, "Az": of.zone, "Zones": of.zones, "Stage": of.tier,
        "Stages": of.tier_names, "MachineTypes": of.machine_kinds, "KindOfService": of.service,
        "FamilyInfo": {"PassesDeadline": of.passes_deadline, "WarmKeys": of.caches_keys},
        "MembershipMode": if of.must_subscribe { "subscribe" } else { "automatic" },
        "WorthBy": if of.weight_by_work { "work" } else { "request" },
        "OverShareWorth": of.over_quota_weight, "Tick": of.tick_ms,
        "Clients": {"MarksRetry": of.marks_retry},
        "Classes": of.classes.iter().map(class).collect::<Vec<_>>(),
        "Tenants": of.tenants.iter().map(tenant).collect::<Vec<_>>(),
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

/// Contents of a proxy's platform file.
pub struct ProxyConfig<'a> {
    /// Its name, the same after a restart.
    pub name: &'a str,
    /// Its address for clients.
    pub listen: SocketAddr,
    /// Discovery, as it sees it.
    pub discovery: SocketAddr,
    /// Seed of its random numbers.
    pub seed: u64,
    /// The endpoint list as last known.
    pub known: Value,
    /// The decision module's settings.
    pub settings: &'a Settings,
}

/// The file as JSON.
pub fn file(told: &ProxyConfig<'_>) -> Value {
    json!({
        "name": told.name, "listen": told.listen, "discovery": told.discovery,
        "seed": format!("{:016x}", told.seed),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512},
        "known": told.known, "settings": settings(told.settings),
    })
}

#[cfg(test)]
mod tests {
    use hillstall_simulation::scenarios;
    use hillstall_simulation::sim::setup;

    #[test]
    fn what_is_read_back_is_what_was_given() {
        for name in scenarios::names() {
            let parameters = setup::draw(&scenarios::find(name).expect("embedded"), 3);
            for tier in 0..parameters.tiers.len() {
                let given = parameters.settings(tier, 1, 4, 0);
                let text = super::settings(&given).to_string();
                let mut read = hillstall_settings::parse_settings(text.as_bytes()).expect("it is read");
                for (read, given) in read.tenants.iter_mut().zip(&given.tenants) {
                    // The last digit of a number may change in decimal form.
                    assert!((read.quota_per_s / given.quota_per_s - 1.0).abs() < 1e-12);
                    read.quota_per_s = given.quota_per_s;
                }
                assert_eq!(read, given, "{name} {tier}");
            }
        }
    }
}
