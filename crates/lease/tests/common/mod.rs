//! Helpers that the tests of this package share.

use hillstall_lease::LeaseName;

/// The lease that the tests are about.
pub fn lease_name() -> LeaseName {
    LeaseName::new("shift/north").expect("a valid name")
}
