//! Measures whether the host gives the run enough processor time. It samples the delay of the harness's own
//! timers every few milliseconds and, from the kernel's `schedstat`, how long the threads of each process
//! were ready to run and did not run. A proxy that got no processor time answers late through no fault of its
//! own.

use crate::fleet::Fleet;
use crate::history::HostStall;
use std::collections::HashMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval of the samples of the harness's own timer delay.
const TIMER_SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// The number of timer samples per sample of the processes.
const TIMER_SAMPLES_PER_PROCESS_SAMPLE: usize = 10;
/// A delay of the harness's own timer, or a wait of a thread, is recorded as a stall if it is longer than
/// this, in milliseconds.
const MIN_STALL_MS: f64 = 40.0;

/// The time that a thread has waited for a processor, in nanoseconds: the second number in the text of its
/// `schedstat`. `None` if the text has another form.
pub fn run_queue_wait_ns(text: &str) -> Option<u64> {
    text.split_ascii_whitespace().nth(1)?.parse().ok()
}

/// The thread ids of a process with the total wait of each thread, in nanoseconds; empty if the process has
/// ended.
fn thread_waits(pid: u32) -> Vec<(u64, u64)> {
    let Ok(tasks) = std::fs::read_dir(Path::new("/proc").join(pid.to_string()).join("task")) else {
        return Vec::new();
    };
    let wait = |task: std::fs::DirEntry| {
        let number = task.file_name().to_str()?.parse().ok()?;
        Some((number, run_queue_wait_ns(&std::fs::read_to_string(task.path().join("schedstat")).ok()?)?))
    };
    tasks.flatten().filter_map(wait).collect()
}

/// Records the stalls of the harness and of all proxies, until it is dropped.
pub async fn record_stalls(fleet: Rc<Fleet>) {
    let mut last = fleet.history.now();
    let mut last_waits: HashMap<u64, u64> = HashMap::new();
    for sample in 0.. {
        sleep(TIMER_SAMPLE_INTERVAL).await;
        let now = fleet.history.now();
        let stall = |process, wait: f64| HostStall { process, from: now - wait, to: now };
        let delay_ms = now - last - TIMER_SAMPLE_INTERVAL.as_secs_f64() * 1e3;
        if delay_ms > MIN_STALL_MS {
            fleet.history.record(|observations| observations.stalls.push(stall(None, now - last)));
        }
        last = now;
        if sample % TIMER_SAMPLES_PER_PROCESS_SAMPLE > 0 {
            continue;
        }
        for process in fleet.processes.iter().filter(|p| p.is_running.get()) {
            let Some(pid) = process.pid.get() else { continue };
            let waits = thread_waits(pid).into_iter().filter_map(|(thread, wait)| {
                let before = last_waits.insert(thread, wait)?;
                Some(wait.saturating_sub(before) as f64 / 1e6)
            });
            let longest = waits.fold(0.0, f64::max);
            if longest > MIN_STALL_MS {
                fleet
                    .history
                    .record(|observations| observations.stalls.push(stall(Some(process.number), longest)));
            }
        }
    }
}
