//! Transitions between the lifecycle phases of a process.

use hillstall_proxy_core::lifecycle::{Lifecycle, Phase};
use std::time::Duration;

const CLOSE_DELAY: Duration = Duration::from_millis(400);

#[test]
fn drain_can_be_reverted_but_stop_cannot() {
    let lifecycle = Lifecycle::new();
    assert!(!lifecycle.drain(), "a starting process has nothing to drain");
    lifecycle.serve();
    assert!(lifecycle.drain() && lifecycle.phase() == Phase::Draining);
    assert!(!lifecycle.should_close_idle(CLOSE_DELAY), "idle connections stay open for the close delay");
    assert!(lifecycle.rejoin() && lifecycle.phase() == Phase::Serving);
    lifecycle.stop(Duration::ZERO);
    assert!(!lifecycle.rejoin() && !lifecycle.drain() && lifecycle.should_close_idle(CLOSE_DELAY));
    lifecycle.serve();
    assert_eq!(lifecycle.phase(), Phase::Stopping);
}
