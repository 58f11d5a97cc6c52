//! The words of reasons and outcomes in metrics and access log records, which other programs read.

mod common;

use common::class;
use hillstall_decision::{Outcome, UnservedReason};
use hillstall_proxy_core::metrics::{ClusterSize, Metrics};

#[test]
fn each_reason_has_a_metric_in_this_order() {
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
fn each_reason_has_this_text_for_people() {
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

/// The access log record of a request shows an outcome in this form (`outcome`).
#[test]
fn each_outcome_has_this_word_in_the_access_log() {
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
