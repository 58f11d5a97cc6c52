//! Model of the platform's slow-start rule: a machine's capacity rises linearly from a fraction to the whole,
//! and the machine fails if all proxies together send it more than a multiple of that capacity within a time
//! window.

/// The slow start of one machine.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartModel {
    /// Capacity after the slow start, in core milliseconds per millisecond.
    pub warm_capacity: f64,
    /// Fraction of the warm capacity right after the start.
    pub start_fraction: f64,
    /// Duration of the slow start, in milliseconds.
    pub warmup_ms: f64,
    /// Multiple of its capacity that the machine tolerates within a window.
    pub overload_multiple: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: f64,
    /// Tolerance beyond the multiple, in core milliseconds: a proxy does not know the work of a request it
    /// sends.
    pub tolerance: f64,
}

impl SlowStartModel {
    /// Work that the machine can do within `after` milliseconds of its start, in core milliseconds.
    fn work_done_by(&self, after: f64) -> f64 {
        let warm = self.warmup_ms.max(1e-9);
        let t = after.clamp(0.0, warm);
        self.warm_capacity
            * (self.start_fraction * t
                + (1.0 - self.start_fraction) * t * t / (2.0 * warm)
                + (after - warm).max(0.0))
    }

    /// The highest load in any window as a multiple of the tolerated load, and the time of its last request.
    /// Above 1 the machine fails. `sent` has the time after the start, in milliseconds, and the work of each
    /// request, in order of time; requests after the slow start are ignored.
    pub fn peak_overload(&self, sent: &[(f64, f64)]) -> (f64, f64) {
        let (mut worst, mut when, mut first, mut sum) = (0.0, 0.0, 0, 0.0);
        for (at, work) in sent {
            if *at > self.warmup_ms {
                break;
            }
            sum += work;
            while sent[first].0 < at - self.window_ms {
                sum -= sent[first].1;
                first += 1;
            }
            // The capacity counts over a whole window, even one that begins at the start: a burst right after
            // the start may be worked off during the rest of that window.
            let begin = (at - self.window_ms).max(0.0);
            let tolerated = self.overload_multiple
                * (self.work_done_by(begin + self.window_ms) - self.work_done_by(begin))
                + self.tolerance;
            if sum / tolerated > worst {
                (worst, when) = (sum / tolerated, *at);
            }
        }
        (worst, when)
    }
}

#[cfg(test)]
mod tests {
    use super::SlowStartModel;

    const START: SlowStartModel = SlowStartModel {
        warm_capacity: 2.0,
        start_fraction: 0.5,
        warmup_ms: 8_000.0,
        overload_multiple: 3.0,
        window_ms: 2_000.0,
        tolerance: 0.0,
    };

    #[test]
    fn load_equal_to_capacity_is_a_third_of_the_tolerated_load() {
        // Capacity rises from half of two cores; every 10 ms a request arrives with as much work as the
        // machine can do until the next.
        let capacity = |t: f64| 2.0 * (0.5 + 0.5 * t / 8_000.0);
        let sent: Vec<(f64, f64)> =
            (0..800).map(|n| f64::from(n) * 10.0).map(|t| (t, 10.0 * capacity(t))).collect();
        let (worst, _) = START.peak_overload(&sent);
        assert!((worst - 1.0 / 3.0).abs() < 0.01, "{worst}");
        let excessive: Vec<(f64, f64)> = sent.iter().map(|(t, w)| (*t, 3.3 * w)).collect();
        assert!(START.peak_overload(&excessive).0 > 1.05, "3.3 times the capacity must exceed the limit");
    }

    #[test]
    fn a_burst_at_the_start_counts_against_a_whole_window_and_work_after_warmup_is_ignored() {
        // Within the first two seconds the machine can do 2 * (1000 + 125) = 2250 core ms; three times that
        // is allowed.
        let (worst, when) = START.peak_overload(&[(0.0, 3_375.0), (9_000.0, 1e9)]);
        assert!((worst - 0.5).abs() < 1e-9 && when == 0.0, "{worst} at {when}");
    }
}
