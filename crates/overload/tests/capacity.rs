//! Scaling to the answering capacity: exact values, and invariants for any sequence of updates.

use hillstall_overload::capacity::AvailableCapacity;
use proptest::prelude::*;

/// The capacity of a tier of 12 backends, all of which answer at time 0.
fn complete_tier() -> AvailableCapacity {
    let mut capacity = AvailableCapacity::default();
    capacity.update(0.0, 12.0);
    capacity
}

#[test]
fn the_scale_falls_immediately_and_more_than_proportionally_to_a_loss() {
    let unknown = AvailableCapacity::default();
    assert_eq!(
        (unknown.fraction(), unknown.scale(), unknown.is_reduced()),
        (1.0, 1.0, false),
        "without any update, the tier counts as complete"
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
    assert_eq!((capacity.scale(), capacity.max_limit_factor()), (1.0, None), "all backends are back");
}

#[test]
fn one_unhealthy_backend_of_twenty_does_not_count_as_reduced_capacity() {
    let mut capacity = AvailableCapacity::default();
    capacity.update(0.0, 20.0);
    capacity.update(20.0, 19.0);
    assert!(!capacity.is_reduced() && capacity.scale() > 0.92, "{capacity:?}");
}

#[test]
fn a_tier_that_stays_smaller_counts_as_complete_after_some_minutes() {
    let mut capacity = complete_tier();
    for second in 1..=300 {
        capacity.update(f64::from(second) * 1e3, 6.0);
    }
    assert!(capacity.fraction() > 0.98, "{capacity:?}");
}

#[test]
fn a_tier_that_does_not_answer_at_all_counts_as_complete() {
    let mut capacity = complete_tier();
    capacity.update(1_000.0, 0.0);
    assert_eq!(capacity.fraction(), 1.0);
    capacity.update(2_000.0, 3.0);
    assert!(
        capacity.fraction() < 0.3,
        "returning capacity is compared with the previous maximum: {capacity:?}"
    );
}

#[test]
fn retries_and_requests_close_to_their_deadline_are_restricted_only_while_capacity_is_reduced() {
    let mut capacity = complete_tier();
    assert_eq!((capacity.admitted_fraction(true), capacity.fits_deadline(10.0, 300.0)), (1.0, true));
    capacity.update(20.0, 6.0);
    assert!(capacity.admitted_fraction(true) < 1.0);
    assert_eq!(capacity.admitted_fraction(false), 1.0);
    assert_eq!((capacity.fits_deadline(300.0, 300.0), capacity.fits_deadline(301.0, 300.0)), (false, true));
}

proptest! {
    #[test]
    fn fraction_and_scale_stay_between_0_and_1_for_any_updates(
        updates in prop::collection::vec((any::<f64>(), any::<f64>()), 0..50),
    ) {
        let mut capacity = AvailableCapacity::default();
        for (now, answering) in updates {
            // The updates include clocks that step back and capacities that are NaN or infinite.
            let now = if now.is_finite() { now } else { 0.0 };
            capacity.update(now, answering);
            prop_assert!(capacity.fraction() > 0.0 && capacity.fraction() <= 1.0, "{capacity:?}");
            prop_assert!(capacity.scale() >= 0.0 && capacity.scale() <= 1.0, "{capacity:?}");
        }
    }
}
