//! Converts deserialized settings into the types of the decision module.

use crate::raw::{
    RawClass, RawDedupScope, RawMembershipMode, RawObjective, RawPermissions, RawPrices, RawReportVia,
    RawRetrySafety, RawRules, RawSettings, RawTenant, RawWeightBasis, RawWeights,
};
use hillstall_decision::{
    Class, DedupScope, ObjectiveWeights, Permissions, Prices, RatingSource, ReportField, ReportVia,
    RetrySafety, Rules, Settings, Tenant,
};

/// Converts settings whose values and consistency have been checked.
pub fn convert(raw: RawSettings) -> Settings {
    Settings {
        rank: raw.rank,
        fleet_size: raw.fleet_size,
        zone: raw.zone,
        zones: raw.zones,
        tier: raw.tier,
        tier_names: raw.tier_names,
        machine_kinds: raw.machine_kinds,
        service: raw.service,
        passes_deadline: raw.service_family.passes_deadline,
        caches_keys: raw.service_family.caches_keys,
        marks_retry: raw.clients.marks_retry,
        must_subscribe: matches!(raw.membership_mode, RawMembershipMode::Subscribe),
        weight_by_work: matches!(raw.weight_basis, RawWeightBasis::Work),
        over_quota_weight: raw.over_quota_weight,
        tick_ms: raw.tick_ms,
        rating_source: rating_source(raw.weights),
        report: raw.report.fields.iter().map(|name| report_field(name)).collect(),
        report_via: report_via(raw.report.via),
        classes: raw.classes.into_iter().map(class).collect(),
        tenants: raw.tenants.into_iter().map(tenant).collect(),
        rules: rules(&raw.rules),
        permissions: permissions(&raw.permissions),
        prices: prices(&raw.prices),
        objective_weights: objective_weights(&raw.objective),
    }
}

fn report_field(name: &str) -> ReportField {
    match name {
        "active" => ReportField::Active,
        "waiting" => ReportField::Waiting,
        "cpu" => ReportField::Cpu,
        "avg_ms" => ReportField::LatencyMs,
        "rps" => ReportField::PerSecond,
        "err_rps" => ReportField::ErrorsPerSecond,
        _ => ReportField::Unknown,
    }
}

fn class(raw: RawClass) -> Class {
    Class {
        name: raw.name,
        latency_objective_ms: raw.latency_objective_ms,
        objective_per_work_ms: raw.objective_per_work_ms,
        deadline_ms: raw.deadline_ms,
        priority_weight: raw.priority_weight,
        late_weight_fraction: raw.late_weight_fraction,
        retry_safety: match raw.retry_safety {
            RawRetrySafety::Repeatable => RetrySafety::Idempotent,
            RawRetrySafety::ByKey => RetrySafety::IdempotencyKey,
            RawRetrySafety::Once => RetrySafety::NonIdempotent,
        },
        dedup_scope: match raw.dedup_scope {
            RawDedupScope::All => DedupScope::All,
            RawDedupScope::Zone => DedupScope::Zone,
            RawDedupScope::Cell => DedupScope::Cell,
        },
        dedup_window_ms: raw.dedup_window_ms,
        streaming: raw.streaming,
    }
}

fn tenant(raw: RawTenant) -> Tenant {
    Tenant { name: raw.name, quota_per_s: raw.quota_per_s, fraction: raw.fraction }
}

fn rules(raw: &RawRules) -> Rules {
    Rules {
        response_grace_ms: raw.response_grace_ms,
        drain_grace_ms: raw.drain_grace_ms,
        poll_interval_ms: raw.poll_interval_ms,
        warmup_start_fraction: raw.warmup_start_fraction,
        warmup_ms: raw.warmup_ms,
        overload_multiple: raw.overload_multiple,
        overload_window_ms: raw.overload_window_ms,
    }
}

fn permissions(raw: &RawPermissions) -> Permissions {
    Permissions {
        cancel: raw.cancel,
        probe: raw.probe,
        parallel: raw.parallel,
        peer_messages: raw.peer_messages,
        retry_after: raw.retry_after,
        max_retry_after_ms: raw.max_retry_after_ms,
        max_attempts: raw.max_attempts,
        max_open: raw.max_open,
        idle_close_ms: raw.idle_close_ms,
        connect_timeout_ms: raw.connect_timeout_ms,
        streams_per_connection: raw.streams_per_connection,
        cpu_us_per_s: raw.cpu_us_per_s,
        cpu_us_per_request: raw.cpu_us_per_request,
    }
}

fn prices(raw: &RawPrices) -> Prices {
    Prices {
        cross_zone: raw.cross_zone,
        waste: raw.waste,
        late_or_failed: raw.late_or_failed,
        probe: raw.probe,
        connection: raw.connection,
        handshake: raw.handshake,
        endpoint_list_entries: raw.list_lines,
        backends: raw.backends,
        data_moves: raw.data_moves,
        origin_fetches: raw.origin_fetches,
        peer_messages: raw.peer_messages,
    }
}

fn rating_source(raw: RawWeights) -> RatingSource {
    match raw {
        RawWeights::Off => RatingSource::Off,
        RawWeights::Nominal => RatingSource::Nominal,
        RawWeights::Rough => RatingSource::Rough,
        RawWeights::Live => RatingSource::Live,
    }
}

fn report_via(raw: RawReportVia) -> ReportVia {
    match raw {
        RawReportVia::Inline => ReportVia::Inline,
        RawReportVia::OnProbe => ReportVia::Probe,
        RawReportVia::Off => ReportVia::Off,
    }
}

fn objective_weights(raw: &RawObjective) -> ObjectiveWeights {
    ObjectiveWeights {
        whole_run: raw.whole,
        worst_window: raw.worst_window,
        worst_class: raw.worst_class,
        worst_tenant: raw.worst_tenant,
        availability: raw.nines,
        full_at_nines: raw.full_at_nines,
    }
}
