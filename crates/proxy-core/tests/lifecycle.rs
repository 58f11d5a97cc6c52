//! Transitions between the phases of a process.

use hillstall_proxy_core::lifecycle::{Lifecycle, Phase};
use std::time::Duration;

const NOTICE: Duration = Duration::from_millis(400);

#[test]
fn a_drain_can_be_reverted_and_a_stop_cannot() {
    let lifecycle = Lifecycle::new();
    assert!(!lifecycle.drain(), "there is nothing to drain yet");
    lifecycle.serve();
    assert!(lifecycle.drain() && lifecycle.phase() == Phase::Draining);
    assert!(!lifecycle.should_close_idle(NOTICE), "clients are first given notice");
    assert!(lifecycle.rejoin() && lifecycle.phase() == Phase::Serving);
    lifecycle.stop(Duration::ZERO);
    assert!(!lifecycle.rejoin() && !lifecycle.drain() && lifecycle.should_close_idle(NOTICE));
    lifecycle.serve();
    assert_eq!(lifecycle.phase(), Phase::Stopping);
}
