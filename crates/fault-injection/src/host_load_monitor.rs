//! Whether the host had enough processor time for the run. The harness samples its own clock every few
//! milliseconds, and how long the threads of each process were ready to run and did not, as the kernel counts
//! it (`schedstat`). A proxy that got no processor answers late through no fault of the program.

use crate::fleet::Fleet;
use crate::history::HostStall;
use std::collections::HashMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Between two samples of the harness's own clock.
const CLOCK_SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// The processes are sampled once per so many samples of the clock.
const CLOCK_SAMPLES_PER_PROCESS_SAMPLE: usize = 10;
/// The shortest wait that is recorded, in milliseconds.
const MIN_STALL_MS: f64 = 40.0;

/// Nanoseconds that a thread waited for a processor, of the text of its `schedstat`: the second of three
/// figures.
pub fn waited_ns(text: &str) -> Option<u64> {
    text.split_ascii_whitespace().nth(1)?.parse().ok()
}

/// The total wait of each thread of a process, by its number, in nanoseconds.
fn threads(pid: u32) -> Vec<(u64, u64)> {
    let Ok(tasks) = std::fs::read_dir(Path::new("/proc").join(pid.to_string()).join("task")) else {
        return Vec::new();
    };
    let waited = |task: std::fs::DirEntry| {
        let number = task.file_name().to_str()?.parse().ok()?;
        Some((number, waited_ns(&std::fs::read_to_string(task.path().join("schedstat")).ok()?)?))
    };
    tasks.flatten().filter_map(waited).collect()
}

/// Records stalls, until it is dropped.
pub async fn watch(fleet: Rc<Fleet>) {
    let mut last = fleet.history.now();
    let mut known: HashMap<u64, u64> = HashMap::new();
    for look in 0.. {
        sleep(CLOCK_SAMPLE_INTERVAL).await;
        let now = fleet.history.now();
        let stood = |process, waited: f64| HostStall { process, from: now - waited, to: now };
        let late = now - last - CLOCK_SAMPLE_INTERVAL.as_secs_f64() * 1e3;
        if late > MIN_STALL_MS {
            fleet.history.record(|observations| observations.stalls.push(stood(None, now - last)));
        }
        last = now;
        if look % CLOCK_SAMPLES_PER_PROCESS_SAMPLE > 0 {
            continue;
        }
        for process in fleet.processes.iter().filter(|p| p.is_running.get()) {
            let Some(pid) = process.pid.get() else { continue };
            let waits = threads(pid).into_iter().filter_map(|(thread, waited)| {
                let before = known.insert(thread, waited)?;
                Some(waited.saturating_sub(before) as f64 / 1e6)
            });
            let longest = waits.fold(0.0, f64::max);
            if longest > MIN_STALL_MS {
                fleet
                    .history
                    .record(|observations| observations.stalls.push(stood(Some(process.number), longest)));
            }
        }
    }
}
