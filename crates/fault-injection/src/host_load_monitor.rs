//! Whether the machine had time for the drill. The rig looks at its own clock every few milliseconds, and at how long the
//! threads of each process were ready to run and did not, as the kernel counts it (`schedstat`). A proxy that got no
//! processor answers late, and that says nothing of the program.

use crate::fleet::Fleet;
use crate::history::HostStall;
use std::collections::HashMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How often the rig looks at its own clock ...
const PULSE: Duration = Duration::from_millis(10);
/// ... at every so manieth time at the processes ...
const LOOKS: usize = 10;
/// ... and from which wait on it is written down (ms).
const LONG_MS: f64 = 40.0;

/// Nanoseconds that a thread waited for a processor, of the text of its `schedstat`: the second of three figures.
pub fn waited_ns(text: &str) -> Option<u64> {
    text.split_ascii_whitespace().nth(1)?.parse().ok()
}

/// What each thread of a process has waited in all, by its number.
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

/// Writes down who stood still, until it is dropped.
pub async fn watch(fleet: Rc<Fleet>) {
    let mut last = fleet.history.now();
    let mut known: HashMap<u64, u64> = HashMap::new();
    for look in 0.. {
        sleep(PULSE).await;
        let now = fleet.history.now();
        let stood = |process, waited: f64| HostStall { process, from: now - waited, to: now };
        let late = now - last - PULSE.as_secs_f64() * 1e3;
        if late > LONG_MS {
            fleet.history.note(|seen| seen.stood.push(stood(None, now - last)));
        }
        last = now;
        if look % LOOKS > 0 {
            continue;
        }
        for process in fleet.processes.iter().filter(|p| p.runs.get()) {
            let Some(pid) = process.pid.get() else { continue };
            let waits = threads(pid).into_iter().filter_map(|(thread, waited)| {
                let before = known.insert(thread, waited)?;
                Some(waited.saturating_sub(before) as f64 / 1e6)
            });
            let longest = waits.fold(0.0, f64::max);
            if longest > LONG_MS {
                fleet.history.note(|seen| seen.stood.push(stood(Some(process.number), longest)));
            }
        }
    }
}
