//! When a slow connect to a backend is hedged by a second one.

use hillstall_proxy_core::connect_hedging::{ConnectHedging, MIN_HEDGE_DELAY};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// The state after connects to backend 1 that took these times, in milliseconds.
fn hedging_after(connect_times_ms: &[u32]) -> ConnectHedging<u32> {
    let mut hedging = ConnectHedging::default();
    connect_times_ms.iter().for_each(|ms| hedging.on_connected(1, MS * *ms));
    hedging
}

#[test]
fn hedge_delay_is_a_multiple_of_the_median_and_has_a_minimum() {
    let mut hedging = hedging_after(&[5, 300, 5, 5, 400, 5, 300]);
    assert_eq!(hedging.hedge_delay(&1), Some(MS * 20));
    assert_eq!(hedging_after(&[1, 1, 1]).hedge_delay(&1), Some(MIN_HEDGE_DELAY));
}

#[test]
fn connects_to_unknown_or_unreachable_backends_are_not_hedged() {
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
fn hedge_budget_limits_hedges_to_half_of_all_connects() {
    let mut hedging = hedging_after(&[5, 5, 5]);
    let hedged = (0..1000).filter(|_| hedging.hedge_delay(&1).is_some() && hedging.try_hedge()).count();
    assert!((500..=510).contains(&hedged), "{hedged}");
}
