//! The system faults of a soak, drawn from its seed: moments in which system calls of all proxies fail, transfers
//! that are short, interrupted waits, and steps of the wall clock.

use crate::system_faults::error_number::{EADDRNOTAVAIL, ECONNABORTED, ENETUNREACH, ENFILE, ENOBUFS};
use crate::system_faults::{SystemFault, SystemFaults};
use hillstall_simulation::random::uniform;
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::io::Result;
use std::time::Duration;
use tokio::time::sleep;

/// Distinguishes the random numbers of the faults from those of the plan.
const SEED_OFFSET: u64 = 0x5E_ED0F_FA17;
/// The calls that may fail, with an error each.
const FAILURES: [(SystemFault, i64); 9] = [
    (SystemFault::AcceptError, ECONNABORTED),
    (SystemFault::AcceptError, ENFILE),
    (SystemFault::AcceptError, ENOBUFS),
    (SystemFault::SocketError, ENFILE),
    (SystemFault::SocketError, ENOBUFS),
    (SystemFault::ConnectError, EADDRNOTAVAIL),
    (SystemFault::ConnectError, ENETUNREACH),
    (SystemFault::ConnectError, ENOBUFS),
    (SystemFault::ConnectError, ECONNABORTED),
];
/// How many bytes a transfer has at most; 0 for no limit.
const TRANSFER_LIMITS: [i64; 5] = [0, 0, 300, 1_500, 7_000];
/// How far the wall clock is ahead, in seconds.
const CLOCK_OFFSETS_S: [i64; 5] = [0, 3_600, -3_600, 5, -5];
const NANOSECONDS_PER_SECOND: i64 = 1_000_000_000;
/// The range of the duration of a failure, in seconds.
const FAILURE_S: (f64, f64) = (0.02, 0.12);
/// The range of the pause between two failures, in seconds.
const PAUSE_S: (f64, f64) = (0.1, 0.5);

/// Injects faults until it is dropped.
///
/// # Errors
/// A fault can't be set.
pub(super) async fn inject(faults: &SystemFaults, seed: u64) -> Result<()> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed ^ SEED_OFFSET);
    let mut between = |(low, high): (f64, f64)| low + (high - low) * uniform(&mut random);
    faults.set(SystemFault::InterruptWaits, 1)?;
    loop {
        let mut index = |length: usize| between((0.0, length as f64)) as usize;
        faults.set(SystemFault::MaxTransferBytes, TRANSFER_LIMITS[index(TRANSFER_LIMITS.len())])?;
        let offset_s = CLOCK_OFFSETS_S[index(CLOCK_OFFSETS_S.len())];
        faults.set(SystemFault::WallClockOffsetNs, offset_s * NANOSECONDS_PER_SECOND)?;
        let (call, error) = FAILURES[index(FAILURES.len())];
        faults.set(call, error)?;
        sleep(Duration::from_secs_f64(between(FAILURE_S))).await;
        faults.set(call, 0)?;
        sleep(Duration::from_secs_f64(between(PAUSE_S))).await;
    }
}
