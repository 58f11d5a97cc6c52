//! The traffic ramp: the fraction of traffic over time.

use hillstall_maintenance::traffic::TrafficRamp;
use hillstall_maintenance::FULL_TRAFFIC;

#[test]
fn the_fraction_is_lowered_at_once_and_raised_at_the_ramp_rate() {
    let mut ramp = TrafficRamp::full(0, 10_000);
    ramp.set(1_000, 500);
    assert_eq!(ramp.fraction(1_000), 0.5);
    ramp.set(2_000, 0);
    assert_eq!(ramp.fraction(2_000), 0.0);
    ramp.set(3_000, FULL_TRAFFIC);
    assert_eq!((ramp.fraction(3_000), ramp.fraction(8_000), ramp.fraction(13_000)), (0.0, 0.5, 1.0));
    assert!(ramp.is_rising(12_000) && !ramp.is_rising(13_000));
}
