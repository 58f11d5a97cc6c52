//! The part of a tier that answers: exact figures, and what holds for any course.

use hillstall_overload::capacity::OverloadedCapacity;
use proptest::prelude::*;

#[test]
fn a_count_follows_a_loss_at_once_and_more_than_in_proportion() {
    let mut room = OverloadedCapacity::default();
    assert_eq!((room.fraction(), room.scale(), room.is_short()), (1.0, 1.0, false), "nothing is known");
    room.update(0.0, 12.0);
    assert_eq!(room.scale(), 1.0);
    room.update(20.0, 6.0);
    assert!((room.fraction() - 0.5).abs() < 1e-3 && (room.scale() - 0.435).abs() < 1e-3, "{room:?}");
    assert!(room.is_short());
    assert!(room.rise().is_some_and(|times| (times - 1.5).abs() < 1e-3), "{room:?}");
    room.update(8_000.0, 12.0);
    assert_eq!((room.scale(), room.rise()), (1.0, None), "all are back");
}

#[test]
fn one_server_of_many_that_is_ill_makes_no_tier_short() {
    let mut room = OverloadedCapacity::default();
    room.update(0.0, 20.0);
    room.update(20.0, 19.0);
    assert!(!room.is_short() && room.scale() > 0.92, "{room:?}");
}

#[test]
fn a_tier_that_stays_smaller_is_whole_again_after_some_minutes() {
    let mut room = OverloadedCapacity::default();
    room.update(0.0, 12.0);
    for second in 1..=300 {
        room.update(f64::from(second) * 1e3, 6.0);
    }
    assert!(room.fraction() > 0.98, "{room:?}");
}

#[test]
fn a_tier_that_is_silent_as_a_whole_is_asked_as_before() {
    let mut room = OverloadedCapacity::default();
    room.update(0.0, 12.0);
    room.update(1_000.0, 0.0);
    assert_eq!(room.fraction(), 1.0);
    room.update(2_000.0, 3.0);
    assert!(room.fraction() < 0.3, "what comes back is held against what there was: {room:?}");
}

#[test]
fn repeats_and_calls_without_time_wait_only_while_the_tier_is_short() {
    let mut room = OverloadedCapacity::default();
    room.update(0.0, 12.0);
    assert_eq!((room.admitted_fraction(true), room.fits_deadline(10.0, 300.0)), (1.0, true));
    room.update(20.0, 6.0);
    assert!(room.admitted_fraction(true) < 1.0);
    assert_eq!(room.admitted_fraction(false), 1.0);
    assert_eq!((room.fits_deadline(300.0, 300.0), room.fits_deadline(301.0, 300.0)), (false, true));
}

proptest! {
    #[test]
    fn the_part_is_a_part_whatever_comes(looks in prop::collection::vec((any::<f64>(), any::<f64>()), 0..50)) {
        let mut room = OverloadedCapacity::default();
        for (now, answers) in looks {
            // Clocks that step back, and rooms that are no number, among them.
            let now = if now.is_finite() { now } else { 0.0 };
            room.update(now, answers);
            prop_assert!(room.fraction() > 0.0 && room.fraction() <= 1.0, "{room:?}");
            prop_assert!(room.scale() >= 0.0 && room.scale() <= 1.0, "{room:?}");
        }
    }
}
