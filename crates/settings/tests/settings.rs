//! Parsing of settings: every key is read, absent keys get their defaults, and errors name the invalid key.

use hillstall_decision::*;
use serde_json::{json, Value};

/// Settings in which every key has a value that is not its default.
fn full() -> Value {
    json!({
        "Allowed": {"Cancelling": true, "ConnectTimeout": 251.0, "CpuUsPerRequest": 12.5, "CpuUsPerS": 4977748,
            "IdleClose": 30000.0, "MaxAttempts": 6, "MaxRetryAfter": 2000.0, "OpenCap": 124443,
            "ParallelTries": true, "Peers": true, "Probing": true, "RetryAfter": true, "StreamsPerConn": 7},
        "Az": 1,
        "Classes": [
            {"Aim": 1500.0, "AimStretch": 2.5, "Effect": "repeatable", "HardLimit": 4000.0, "KeyScope": "all",
                "LateWorth": 0.2, "Name": "look", "Points": 2.0, "Streaming": true, "Window": 5000.0},
            {"Aim": 2500.0, "Effect": "by_key", "HardLimit": 6000.0, "KeyScope": "cell", "Name": "book",
                "Window": 10000.0},
            {"Aim": 1.0, "Effect": "once", "HardLimit": 2.0, "KeyScope": "zone"}],
        "Clients": {"MarksRetry": true},
        "FamilyInfo": {"PassesDeadline": true, "WarmKeys": true},
        "FleetSize": 10,
        "KindOfService": "chain",
        "MachineTypes": ["fast", "slow"],
        "MembershipMode": "subscribe",
        "ObjectiveMix": {"FullAtNines": 4.0, "Nines": 0.2, "Whole": 0.5, "WorstClass": 0.11, "WorstTenant": 0.12,
            "WorstWindow": 0.13},
        "OverShareWorth": 0.05,
        "Prices": {"Connection": 0.01, "CrossZone": 0.02, "Fleet": 0.03, "Handshake": 0.04, "LateFail": 0.05,
            "MembershipMode": 0.06, "Moves": 0.07, "Origin": 0.08, "Peer": 0.09, "Probe": 0.1, "Waste": 0.11},
        "Rank": 3,
        "Report": {"Fields": ["active", "waiting", "cpu", "heat"], "Via": "on_probe"},
        "Rules": {"AskWithin": 10000.0, "Cold": 18000.0, "ColdFrom": 0.16, "DrainGrace": 500.0, "Fall": 3000.0,
            "FallMultiple": 2.5, "GraceToAnswer": 20.0},
        "Stage": 1,
        "Stages": ["front", "back"],
        "Tenants": [{"AllowancePerS": 55.0, "Fraction": 0.25, "Name": "tiles"}],
        "Tick": 5.0,
        "Weights": "live",
        "WorthBy": "work",
        "Zones": ["north", "south"],
        "UnknownKey": {"Nested": [1, 2]},
    })
}

/// Settings with only the required keys.
fn minimal() -> Value {
    json!({
        "Allowed": {"MaxAttempts": 5},
        "Classes": [{"Aim": 1000, "HardLimit": 4000, "Effect": "repeatable"}],
        "MembershipMode": "automatic",
        "Rules": {"DrainGrace": 250, "ColdFrom": 0.3, "Cold": 8000, "FallMultiple": 3, "Fall": 3000},
    })
}

fn read(json: &Value) -> Result<Settings, String> {
    hillstall_settings::parse_settings(json.to_string().as_bytes()).map_err(|error| error.to_string())
}

#[test]
#[allow(clippy::too_many_lines, reason = "one check per key")]
fn every_key_is_read() {
    let class = |name: &str, retry_safety, dedup_scope| Class {
        name: name.into(),
        latency_objective_ms: 2_500.0,
        objective_per_work_ms: 0.0,
        deadline_ms: 6_000.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        retry_safety,
        dedup_scope,
        dedup_window_ms: 10_000.0,
        streaming: false,
    };
    let look = Class {
        latency_objective_ms: 1_500.0,
        objective_per_work_ms: 2.5,
        deadline_ms: 4_000.0,
        priority_weight: 2.0,
        late_weight_fraction: 0.2,
        dedup_window_ms: 5_000.0,
        streaming: true,
        ..class("look", RetrySafety::Idempotent, DedupScope::All)
    };
    let once = Class {
        latency_objective_ms: 1.0,
        deadline_ms: 2.0,
        dedup_window_ms: 0.0,
        ..class("", RetrySafety::NonIdempotent, DedupScope::Zone)
    };
    let expected = Settings {
        rank: 3,
        fleet_size: 10,
        zone: 1,
        zones: vec!["north".into(), "south".into()],
        tier: 1,
        tier_names: vec!["front".into(), "back".into()],
        machine_kinds: vec!["fast".into(), "slow".into()],
        service: "chain".into(),
        passes_deadline: true,
        caches_keys: true,
        marks_retry: true,
        must_subscribe: true,
        weight_by_work: true,
        over_quota_weight: 0.05,
        tick_ms: 5.0,
        rating_source: RatingSource::Live,
        report: vec![ReportField::Active, ReportField::Waiting, ReportField::Cpu, ReportField::Unknown],
        report_via: ReportVia::Probe,
        classes: vec![look, class("book", RetrySafety::IdempotencyKey, DedupScope::Cell), once],
        tenants: vec![Tenant { name: "tiles".into(), quota_per_s: 55.0, fraction: 0.25 }],
        rules: Rules {
            response_grace_ms: 20.0,
            drain_grace_ms: 500.0,
            poll_interval_ms: 10_000.0,
            warmup_start_fraction: 0.16,
            warmup_ms: 18_000.0,
            overload_multiple: 2.5,
            overload_window_ms: 3_000.0,
        },
        permissions: Permissions {
            cancel: true,
            probe: true,
            parallel: true,
            peer_messages: true,
            retry_after: true,
            max_retry_after_ms: 2_000.0,
            max_attempts: 6,
            max_open: 124_443,
            idle_close_ms: 30_000.0,
            connect_timeout_ms: 251.0,
            streams_per_connection: 7,
            cpu_us_per_s: 4_977_748.0,
            cpu_us_per_request: 12.5,
        },
        prices: Prices {
            connection: 0.01,
            cross_zone: 0.02,
            backends: 0.03,
            handshake: 0.04,
            late_or_failed: 0.05,
            endpoint_list_entries: 0.06,
            data_moves: 0.07,
            origin_fetches: 0.08,
            peer_messages: 0.09,
            probe: 0.1,
            waste: 0.11,
        },
        objective_weights: ObjectiveWeights {
            whole_run: 0.5,
            worst_window: 0.13,
            worst_class: 0.11,
            worst_tenant: 0.12,
            availability: 0.2,
            full_at_nines: 4.0,
        },
    };
    assert_eq!(read(&full()), Ok(expected));
}

/// Parses the full settings with the value at one key replaced.
fn read_with(key: &str, value: Value) -> Settings {
    let mut json = full();
    *value_at(&mut json, key) = value;
    read(&json).unwrap_or_else(|error| panic!("{key}: {error}"))
}

#[test]
#[allow(clippy::too_many_lines, reason = "one check per key")]
fn every_value_of_an_enumeration_is_read() {
    let retry_safeties = [
        ("repeatable", RetrySafety::Idempotent),
        ("by_key", RetrySafety::IdempotencyKey),
        ("once", RetrySafety::NonIdempotent),
    ];
    for (name, retry_safety) in retry_safeties {
        assert_eq!(
            read_with("Classes[0].Effect", json!(name)).classes[0].retry_safety,
            retry_safety,
            "{name}"
        );
    }
    for (name, scope) in [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)] {
        assert_eq!(read_with("Classes[0].KeyScope", json!(name)).classes[0].dedup_scope, scope, "{name}");
    }
    let sources = [
        ("off", RatingSource::Off),
        ("nominal", RatingSource::Nominal),
        ("rough", RatingSource::Rough),
        ("live", RatingSource::Live),
    ];
    for (name, source) in sources {
        assert_eq!(read_with("Weights", json!(name)).rating_source, source, "{name}");
    }
    let deliveries = [("off", ReportVia::Off), ("inline", ReportVia::Inline), ("on_probe", ReportVia::Probe)];
    for (name, via) in deliveries {
        assert_eq!(read_with("Report.Via", json!(name)).report_via, via, "{name}");
    }
    let fields = [
        ("active", ReportField::Active),
        ("waiting", ReportField::Waiting),
        ("cpu", ReportField::Cpu),
        ("avg_ms", ReportField::LatencyMs),
        ("rps", ReportField::PerSecond),
        ("err_rps", ReportField::ErrorsPerSecond),
        ("heat", ReportField::Unknown),
    ];
    for (name, field) in fields {
        assert_eq!(read_with("Report.Fields", json!([name])).report, [field], "{name}");
    }
    for (name, subscribes) in [("automatic", false), ("subscribe", true)] {
        assert_eq!(read_with("MembershipMode", json!(name)).must_subscribe, subscribes, "{name}");
    }
    for (name, by_work) in [("request", false), ("work", true)] {
        assert_eq!(read_with("WorthBy", json!(name)).weight_by_work, by_work, "{name}");
    }
}

#[test]
fn absent_keys_default_to_no_feature_no_price_and_no_limit() {
    let s = read(&minimal()).expect("valid settings");
    assert_eq!((s.rank, s.fleet_size, s.zone, s.tier), (0, 1, 0, 0));
    assert!(!s.passes_deadline && !s.caches_keys && !s.marks_retry && !s.weight_by_work && !s.must_subscribe);
    assert!(
        !s.permissions.cancel
            && !s.permissions.probe
            && !s.permissions.parallel
            && !s.permissions.peer_messages
    );
    assert_eq!((s.permissions.cpu_us_per_request, s.permissions.idle_close_ms), (0.0, f64::MAX));
    assert_eq!(
        (s.prices, s.report_via, s.rating_source),
        (Prices::default(), ReportVia::Off, RatingSource::Off)
    );
    assert_eq!(
        (s.classes[0].priority_weight, s.classes[0].late_weight_fraction, s.classes[0].objective_per_work_ms),
        (1.0, 0.0, 0.0)
    );
    assert_eq!(
        (s.objective_weights.whole_run, s.objective_weights.availability, s.over_quota_weight),
        (1.0, 0.0, 1.0)
    );
    assert_eq!(s.rules.poll_interval_ms, f64::MAX);
}

/// The value at `key`, which is written as in errors, for example `Classes[0].Aim`.
fn value_at<'a>(json: &'a mut Value, key: &str) -> &'a mut Value {
    let pointer = format!("/{}", key.replace(['.', '['], "/").replace(']', ""));
    json.pointer_mut(&pointer).unwrap_or_else(|| panic!("{pointer} does not exist"))
}

/// Appends every key with a scalar value, and that value, to `out`.
fn leaves(json: &Value, path: &str, out: &mut Vec<(String, Value)>) {
    match json {
        Value::Object(map) => {
            for (key, value) in map.iter().filter(|(key, _)| *key != "UnknownKey") {
                let dot = if path.is_empty() { "" } else { "." };
                leaves(value, &format!("{path}{dot}{key}"), out);
            }
        }
        Value::Array(list) => {
            for (i, value) in list.iter().enumerate() {
                leaves(value, &format!("{path}[{i}]"), out);
            }
        }
        value => out.push((path.to_string(), value.clone())),
    }
}

#[test]
fn errors_name_the_key_of_a_value_of_the_wrong_type_or_sign() {
    let mut all = Vec::new();
    leaves(&full(), "", &mut all);
    assert!(all.len() > 70);
    for (key, value) in all {
        // Every key gets values of the wrong type; numbers also get a negative value, which is never valid.
        let mut bad = vec![json!({"wrong": "type"}), Value::Null];
        if value.is_number() {
            bad.extend([json!(-1), json!("1")]);
        }
        for bad in bad {
            let mut json = full();
            *value_at(&mut json, &key) = bad.clone();
            let error = read(&json).expect_err(&format!("{key} = {bad} was accepted"));
            assert!(
                error.contains(&format!(" {key}: ")),
                "the error does not name the key of {key} = {bad}: {error}"
            );
        }
    }
}

#[test]
fn errors_name_the_key_of_a_value_out_of_range() {
    let cases = [
        ("Allowed.MaxAttempts", json!(0)),
        ("Allowed.StreamsPerConn", json!(0)),
        ("Az", json!(2)),
        ("Classes", json!([])),
        ("Classes[0].Aim", json!(0)),
        ("Classes[0].LateWorth", json!(1.1)),
        ("Classes[1].Effect", json!("maybe")),
        ("Classes[1].KeyScope", json!("town")),
        ("FleetSize", json!(0)),
        ("ObjectiveMix.FullAtNines", json!(0)),
        ("Report.Fields", json!(["cpu", "cpu", "cpu", "cpu", "cpu"])),
        ("Rules.ColdFrom", json!(0)),
        ("Rules.ColdFrom", json!(1.01)),
        ("Rules.FallMultiple", json!(0)),
        ("Stage", json!(2)),
        ("Tenants[0].Fraction", json!(1.5)),
        ("Tick", json!(0)),
    ];
    for (key, bad) in cases {
        let mut json = full();
        *value_at(&mut json, key) = bad.clone();
        let error = read(&json).expect_err(&format!("{key} = {bad} was accepted"));
        assert!(
            error.contains(&format!(" {key}: ")),
            "the error does not name the key of {key} = {bad}: {error}"
        );
    }
    let infinite = full().to_string().replace("10000.0", "1e999");
    assert!(
        hillstall_settings::parse_settings(infinite.as_bytes()).is_err(),
        "a number that overflows to infinity was accepted"
    );
    assert!(hillstall_settings::parse_settings(b"{}")
        .map_err(|error| error.to_string())
        .is_err_and(|e| e.contains("MembershipMode") || e.contains("missing field")));
    assert!(
        hillstall_settings::parse_settings(format!("{} x", full()).as_bytes()).is_err(),
        "text after the settings was accepted"
    );
}
