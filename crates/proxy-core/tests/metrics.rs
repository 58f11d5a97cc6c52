//! Request counters, and the text in which they are returned.

mod common;

use common::class;
use hillstall_decision::UnservedReason;
use hillstall_proxy_core::metrics::{ClusterSize, Metrics, RequestOutcome};

#[test]
fn requests_are_in_progress_until_dropped_and_counted_by_outcome() {
    let metrics = Metrics::new(&[class("a\"b")]);
    let [first, second, abandoned] = [0; 3].map(|class| metrics.begin(class));
    first.end(RequestOutcome::Answered);
    second.end(RequestOutcome::Errored);
    metrics.count_outcome(0, RequestOutcome::Deferred);
    let sends = metrics.sent_counter(0);
    sends.set(sends.get() + 1);
    metrics.count_unserved(0, UnservedReason::TenantQuota);
    let cluster = ClusterSize { size: 7, unhealthy: 2 };
    let expected = |current: u32| {
        format!(
            "svc_answered{{group=\"a\\\"b\"}} 1\nsvc_deferred{{group=\"a\\\"b\"}} 1\n\
             svc_errored{{group=\"a\\\"b\"}} 1\nsvc_sends{{group=\"a\\\"b\"}} 1\n\
             svc_unserved{{group=\"a\\\"b\",reason=\"borrow\"}} 1\n\
             svc_current {current}\nsvc_cluster_size 7\nsvc_cluster_unhealthy 2\n"
        )
    };
    assert_eq!(metrics.render(cluster), expected(1));
    drop(abandoned);
    assert_eq!(metrics.render(cluster), expected(0));
}
