//! The words of reasons and outcomes in figures and records: other programs read them.

mod common;

use common::class;
use hillstall_decision::{Outcome, UnservedReason};
use hillstall_proxy_core::metrics::{ClusterSize, Metrics};

#[test]
fn each_reason_is_a_figure_in_this_order() {
    let metrics = Metrics::new(&[class("a")]);
    UnservedReason::ALL.iter().for_each(|reason| metrics.unserved(0, *reason));
    let figures = metrics.render(ClusterSize { size: 1, unhealthy: 0 });
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
    assert_eq!(figures, expected);
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

/// The record of a call shows an outcome in this form (`outcome`).
#[test]
fn each_outcome_is_written_in_records_like_this() {
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
