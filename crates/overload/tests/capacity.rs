//! The part of a tier that answers: exact figures, and what holds for any sequence of updates.

use hillstall_overload::capacity::AvailableCapacity;
use proptest::prelude::*;

/// A tier of 12 backends that all answer at time 0.
fn complete_tier() -> AvailableCapacity {
    let mut capacity = AvailableCapacity::default();
    capacity.update(0.0, 12.0);
    capacity
}

#[test]
fn limits_follow_a_loss_at_once_and_more_than_in_proportion() {
    let unknown = AvailableCapacity::default();
    assert_eq!(
        (unknown.fraction(), unknown.scale(), unknown.is_reduced()),
        (1.0, 1.0, false),
        "nothing is known"
    );
    let mut capacity = complete_tier();
    assert_eq!(capacity.scale(), 1.0);
    capacity.update(20.0, 6.0);
    assert!(
        (capacity.fraction() - 0.5).abs() < 1e-3 && (capacity.scale() - 0.435).abs() < 1e-3,
        "{capacity:?}"
    );
    assert!(capacity.is_reduced());
    assert!(capacity.max_limit_factor().is_some_and(|factor| (factor - 1.5).abs() < 1e-3), "{capacity:?}");
    capacity.update(8_000.0, 12.0);
    assert_eq!((capacity.scale(), capacity.max_limit_factor()), (1.0, None), "all are back");
}

#[test]
fn one_unhealthy_backend_of_many_leaves_no_tier_short() {
    let mut capacity = AvailableCapacity::default();
    capacity.update(0.0, 20.0);
    capacity.update(20.0, 19.0);
    assert!(!capacity.is_reduced() && capacity.scale() > 0.92, "{capacity:?}");
}

#[test]
fn a_tier_that_stays_smaller_is_complete_again_after_some_minutes() {
    let mut capacity = complete_tier();
    for second in 1..=300 {
        capacity.update(f64::from(second) * 1e3, 6.0);
    }
    assert!(capacity.fraction() > 0.98, "{capacity:?}");
}

#[test]
fn a_tier_that_is_silent_as_a_whole_gets_as_much_as_before() {
    let mut capacity = complete_tier();
    capacity.update(1_000.0, 0.0);
    assert_eq!(capacity.fraction(), 1.0);
    capacity.update(2_000.0, 3.0);
    assert!(capacity.fraction() < 0.3, "what comes back is compared with what there was: {capacity:?}");
}

#[test]
fn retries_and_requests_without_time_wait_only_while_the_tier_is_short() {
    let mut capacity = complete_tier();
    assert_eq!((capacity.admitted_fraction(true), capacity.fits_deadline(10.0, 300.0)), (1.0, true));
    capacity.update(20.0, 6.0);
    assert!(capacity.admitted_fraction(true) < 1.0);
    assert_eq!(capacity.admitted_fraction(false), 1.0);
    assert_eq!((capacity.fits_deadline(300.0, 300.0), capacity.fits_deadline(301.0, 300.0)), (false, true));
}

proptest! {
    #[test]
    fn the_fraction_stays_within_0_and_1_whatever_comes(
        updates in prop::collection::vec((any::<f64>(), any::<f64>()), 0..50),
    ) {
        let mut capacity = AvailableCapacity::default();
        for (now, answering) in updates {
            // Clocks that step back, and capacities that are no number, among them.
            let now = if now.is_finite() { now } else { 0.0 };
            capacity.update(now, answering);
            prop_assert!(capacity.fraction() > 0.0 && capacity.fraction() <= 1.0, "{capacity:?}");
            prop_assert!(capacity.scale() >= 0.0 && capacity.scale() <= 1.0, "{capacity:?}");
        }
    }
}
