//! Which connection the pool reuses, when it grows, and which connections it drops.

use hillstall_proxy_core::pool::{Checkout, Pool, PoolLimits, WAIT_COUNT_WINDOW};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const LIMITS: PoolLimits = PoolLimits {
    min_reuse_delay: Duration::from_millis(2),
    max_idle: Duration::from_secs(1),
    max_idle_per_backend: 3,
    max_reuse_waits: 2,
};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A pool with connections to backend 1, given as (connection, milliseconds from the start to its check-in).
fn pool(connections: &[(u32, u64)]) -> (Pool<u8, u32>, Instant) {
    let (mut pool, start) = (Pool::new(LIMITS), Instant::now());
    for (connection, after_ms) in connections {
        assert_eq!(pool.check_in(1, address(1), *connection, start + ms(*after_ms)), None);
    }
    (pool, start)
}

#[test]
fn connections_are_reused_after_the_delay_most_recently_used_first() {
    let (mut pool, start) = pool(&[(10, 0), (11, 1), (12, 3)]);
    assert_eq!(pool.check_out(1, address(1), start + ms(4), true, false), Checkout::Reuse(11));
    assert_eq!(pool.check_out(1, address(1), start + ms(4), true, false), Checkout::Reuse(10));
    assert_eq!(pool.check_out(1, address(1), start + ms(4), true, false), Checkout::Wait(ms(1)));
    assert_eq!(pool.check_out(1, address(1), start + ms(5), true, true), Checkout::Reuse(12));
    assert_eq!(pool.check_out(1, address(1), start + ms(5), true, false), Checkout::Open);
}

#[test]
fn pool_grows_only_after_repeated_waits_and_within_capacity() {
    let (mut pool, start) = pool(&[(10, 0)]);
    for _ in 0..2 {
        assert_eq!(pool.check_out(1, address(1), start, true, false), Checkout::Wait(ms(2)));
        // The second wait of the same attempt is not counted.
        assert_eq!(pool.check_out(1, address(1), start + ms(1), true, true), Checkout::Wait(ms(1)));
    }
    assert_eq!(pool.check_out(1, address(1), start, false, false), Checkout::Wait(ms(2)));
    assert_eq!(pool.check_out(1, address(1), start, true, false), Checkout::Open);
    // Waits before the current window are not counted.
    let later = start + WAIT_COUNT_WINDOW;
    assert_eq!(pool.check_in(1, address(1), 11, later), None);
    assert_eq!(pool.check_out(1, address(1), later, true, false), Checkout::Reuse(10));
    assert_eq!(pool.check_out(1, address(1), later, true, false), Checkout::Wait(ms(2)));
}

#[test]
fn idle_connections_per_backend_are_limited_and_the_oldest_is_closed() {
    let (mut pool, start) = pool(&[(10, 0), (11, 0), (12, 0)]);
    for _ in 0..9 {
        assert_eq!(
            pool.check_out(1, address(1), start, true, false),
            Checkout::Wait(ms(2)),
            "the limit of three idle connections is reached"
        );
    }
    assert_eq!(pool.check_in(1, address(1), 13, start), Some(10));
    assert_eq!(pool.len(), 3);
}

#[test]
fn expired_closed_and_outdated_connections_are_dropped() {
    let (mut dead, start) = pool(&[(10, 0), (11, 0), (12, 500)]);
    dead.expire(start + ms(600), |connection| *connection != 11);
    assert_eq!(dead.len(), 2);
    dead.expire(start + ms(1_000), |_| true);
    assert_eq!(dead.len(), 1);
    dead.remove_older_than(1, start + ms(500));
    assert!(dead.is_empty() && dead.remove_longest_idle().is_none());
    let (mut moved, start) = pool(&[(10, 0)]);
    assert_eq!(
        moved.check_out(1, address(2), start + ms(9), true, false),
        Checkout::Open,
        "the backend has a new address"
    );
    let (mut old, start) = pool(&[(10, 0)]);
    assert_eq!(
        old.check_out(1, address(1), start + ms(1_000), true, false),
        Checkout::Open,
        "the connection has been idle for the maximum time"
    );
}

#[test]
fn longest_idle_connection_of_all_backends_is_removed_first() {
    let (mut pool, start) = pool(&[(10, 5), (11, 6)]);
    pool.check_in(2, address(2), 20, start);
    assert_eq!(
        [
            pool.remove_longest_idle(),
            pool.remove_longest_idle(),
            pool.remove_longest_idle(),
            pool.remove_longest_idle()
        ],
        [Some(20), Some(10), Some(11), None]
    );
}

#[test]
fn check_in_with_an_earlier_time_keeps_the_order() {
    let (mut pool, start) = pool(&[(10, 5)]);
    pool.check_in(1, address(1), 11, start);
    assert_eq!(pool.check_out(1, address(1), start + ms(6), true, false), Checkout::Wait(ms(1)));
    assert_eq!(pool.check_out(1, address(1), start + ms(7), true, true), Checkout::Reuse(11));
}
