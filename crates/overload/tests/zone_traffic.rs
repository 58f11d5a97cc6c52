//! Traffic shift advice: how long it is in force, and how it expires.

use hillstall_overload::zone_traffic::ZoneFractions;

#[test]
fn advice_expires_with_a_ramp_unless_it_is_repeated() {
    let mut zones = ZoneFractions::default();
    assert!(!zones.is_diverted(0.0, 0, || unreachable!("there is no advice")));
    zones.set_fraction(1_000.0, 1, 0.25, 0.0);
    assert_eq!(
        (zones.fraction(1_000.0, 0), zones.fraction(1_000.0, 1), zones.fraction(6_000.0, 1)),
        (1.0, 0.25, 0.25)
    );
    assert!(zones.is_diverted(2_000.0, 1, || 0.25) && !zones.is_diverted(2_000.0, 1, || 0.24));
    assert_eq!((zones.fraction(11_000.0, 1), zones.fraction(30_000.0, 1)), (0.5, 1.0));
    // Older advice that arrives after newer advice is ignored.
    zones.set_fraction(2_000.0, 1, 0.9, 1_500.0);
    assert_eq!(zones.fraction(2_000.0, 1), 0.25);
    zones.set_fraction(3_000.0, 1, 1.0, 0.0);
    assert_eq!(zones, ZoneFractions::default());
    zones.set_fraction(3_000.0, 1, f64::NAN, 0.0);
    assert_eq!(zones, ZoneFractions::default());
}
