//! When a second connection is opened beside a late one.

use hillstall_proxy_core::connect_hedging::{ConnectHedging, MIN_HEDGE_DELAY};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// Backend 1 with these connect times in milliseconds.
fn hedging_after(connect_times_ms: &[u32]) -> ConnectHedging<u32> {
    let mut hedging = ConnectHedging::default();
    connect_times_ms.iter().for_each(|ms| hedging.on_connected(1, MS * *ms));
    hedging
}

#[test]
fn late_connections_do_not_move_the_delay() {
    let mut hedging = hedging_after(&[5, 300, 5, 5, 400, 5, 300]);
    assert_eq!(hedging.hedge_delay(&1), Some(MS * 20));
    assert_eq!(hedging_after(&[1, 1, 1]).hedge_delay(&1), Some(MIN_HEDGE_DELAY));
}

#[test]
fn an_unknown_backend_and_an_unreachable_one_get_no_second_connection() {
    let mut hedging = hedging_after(&[5, 5]);
    assert_eq!(hedging.hedge_delay(&1), None);
    hedging.on_connected(1, MS * 5);
    assert!(hedging.hedge_delay(&1).is_some());
    hedging.on_failed(&1);
    assert_eq!(hedging.hedge_delay(&1), None);
    hedging.on_connected(1, MS * 5);
    assert!(hedging.hedge_delay(&1).is_some());
    hedging.remove(&1);
    assert_eq!(hedging.hedge_delay(&1), None);
}

#[test]
fn at_most_half_of_all_connections_are_hedged() {
    let mut hedging = hedging_after(&[5, 5, 5]);
    let hedged = (0..1000).filter(|_| hedging.hedge_delay(&1).is_some() && hedging.try_hedge()).count();
    assert!((500..=510).contains(&hedged), "{hedged}");
}
