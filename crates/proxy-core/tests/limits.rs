//! Quotas for sockets and buffered bytes.

use hillstall_proxy_core::limits::{Limits, ResourceQuota, RESERVED_SOCKETS};

#[test]
fn quota_enforces_its_limit_and_releases_dropped_reservations() {
    let quota = ResourceQuota::new(10);
    let first = quota.reserve(7).expect("the reservation is within the limit");
    assert!(quota.reserve(4).is_none() && quota.reserve(usize::MAX).is_none());
    let _second = quota.reserve(3).expect("the reservation is within the limit");
    drop(first);
    assert!(quota.reserve(7).is_some());
}

#[test]
fn two_processes_share_the_limits_of_one() {
    let (alone, shared) = (Limits::new(384, 48), Limits::new(384, 48));
    let sockets = |limits: &Limits| {
        limits.client_connections.limit() + limits.backend_connections.limit() + RESERVED_SOCKETS
    };
    let reserved = shared
        .client_connections
        .reserve(alone.client_connections.limit())
        .expect("the reservation is within the limit");
    shared.share_with(1);
    assert!(2 * sockets(&shared) <= 384 && 2 * shared.buffered_bytes.limit() <= alone.buffered_bytes.limit());
    assert!(shared.client_connections.is_exceeded() && shared.client_connections.reserve(1).is_none());
    drop(reserved);
    assert!(!shared.client_connections.is_exceeded());
    shared.share_with(0);
    assert_eq!(sockets(&shared), sockets(&alone));
}
