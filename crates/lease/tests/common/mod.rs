//! Helpers that the tests of this package share.

use hillstall_lease::LeaseName;

/// The one lease that the tests of this package use.
pub fn lease_name() -> LeaseName {
    LeaseName::new("shift/north").expect("a valid name")
}
