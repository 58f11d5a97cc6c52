//! The names of reasons and outcomes in metrics, log lines and access log records. Other programs read them,
//! so they must not change.

mod common;

use common::class;
use hillstall_decision::{Outcome, UnservedReason};
use hillstall_proxy_core::metrics::{ClusterSize, Metrics};

#[test]
fn unserved_reasons_have_fixed_metric_labels_in_fixed_order() {
    let metrics = Metrics::new(&[class("a")]);
    UnservedReason::ALL.iter().for_each(|reason| metrics.count_unserved(0, *reason));
    let metrics_text = metrics.render(ClusterSize { size: 1, unhealthy: 0 });
    let expected = "svc_answered{group=\"a\"} 0\nsvc_deferred{group=\"a\"} 0\nsvc_errored{group=\"a\"} 0\n\
        svc_sends{group=\"a\"} 0\n\
        svc_unserved{group=\"a\",reason=\"tier\"} 1\n\
        svc_unserved{group=\"a\",reason=\"class\"} 1\n\
        svc_unserved{group=\"a\",reason=\"borrow\"} 1\n\
        svc_unserved{group=\"a\",reason=\"no-backend\"} 1\n\
        svc_unserved{group=\"a\",reason=\"spent\"} 1\n\
        svc_unserved{group=\"a\",reason=\"no-repeat\"} 1\n\
        svc_unserved{group=\"a\",reason=\"budget\"} 1\n\
        svc_unserved{group=\"a\",reason=\"unknown-class\"} 1\n\
        svc_current 0\nsvc_cluster_size 1\nsvc_cluster_unhealthy 0\n";
    assert_eq!(metrics_text, expected);
}

#[test]
fn ended_attempts_are_counted_by_outcome_under_fixed_labels() {
    let metrics = Metrics::new(&[class("a")]);
    Outcome::ALL.iter().for_each(|outcome| metrics.count_attempt(0, *outcome));
    let text = metrics.render(ClusterSize::default());
    let counted: Vec<&str> = text.lines().filter(|line| line.starts_with("svc_attempts")).collect();
    let names = ["Ok", "Error", "Full", "Timeout", "ConnectFailed", "Reset", "Cancelled", "Moot"];
    assert_eq!(counted, names.map(|name| format!("svc_attempts{{group=\"a\",outcome=\"{name}\"}} 1")));
}

#[test]
fn unserved_reasons_have_fixed_descriptions() {
    let texts = UnservedReason::ALL.map(|reason| reason.text());
    let expected = [
        "over a learned count",
        "over a learned count of its class",
        "over the tenant's share and no room to borrow",
        "no backend may be sent to",
        "no time or attempts left",
        "it may have run and must not be repeated",
        "no repeats left",
        "no such class",
    ];
    assert_eq!(texts, expected);
}

/// The access log has these names in its field `outcome`.
#[test]
fn outcomes_have_fixed_names_in_the_access_log() {
    let outcomes = [
        Outcome::Ok,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
    ];
    let expected = ["Ok", "Error", "Full", "Timeout", "ConnectFailed", "Reset", "Cancelled", "Moot"];
    assert_eq!(outcomes.map(Outcome::name), expected);
}
