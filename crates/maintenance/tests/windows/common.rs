//! Functions and constants that the tests of this package share.

use hillstall_maintenance::windows::{OverrunPolicy, WindowPlan};

pub const STARTS_AT_MS: u64 = 100_000;

pub fn plan(site: &str) -> WindowPlan {
    WindowPlan {
        site: site.into(),
        starts_at: STARTS_AT_MS,
        duration: 20_000,
        lead_time: 30_000,
        max_delay: 5_000,
        reserve_percent: 20,
        overrun_policy: OverrunPolicy::Return,
    }
}
