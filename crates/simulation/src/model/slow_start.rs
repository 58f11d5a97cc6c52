//! Slow start of a machine: its capacity rises linearly from a part to the whole, and it falls over if
//! all proxies together send it more than a multiple of that capacity over a time window.

/// The slow start of a machine.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartModel {
    /// Capacity after the slow start, in core milliseconds per millisecond.
    pub warm_capacity: f64,
    /// The part of that at its start.
    pub start_fraction: f64,
    /// Duration of the slow start, in milliseconds.
    pub warmup_ms: f64,
    /// The multiple of its capacity that it bears ...
    pub overload_multiple: f64,
    /// ... over this window, in milliseconds.
    pub window_ms: f64,
    /// Tolerance beyond that, in core milliseconds: a request's work is not known when it is sent.
    pub tolerance: f64,
}

impl SlowStartModel {
    /// Its capacity from its start to a time after it, in core milliseconds.
    fn work_done_by(&self, after: f64) -> f64 {
        let warm = self.warmup_ms.max(1e-9);
        let t = after.clamp(0.0, warm);
        self.warm_capacity
            * (self.start_fraction * t
                + (1.0 - self.start_fraction) * t * t / (2.0 * warm)
                + (after - warm).max(0.0))
    }

    /// The largest load over what it bears, and when that was; above 1 it falls over. `sent`: the times
    /// after its start at which work arrived, in order, and its amount.
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
            // A whole stretch from the first of them on: a burst right after the start has the rest of it.
            let begin = (at - self.window_ms).max(0.0);
            let bears = self.overload_multiple
                * (self.work_done_by(begin + self.window_ms) - self.work_done_by(begin))
                + self.tolerance;
            if sum / bears > worst {
                (worst, when) = (sum / bears, *at);
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
    fn what_it_can_do_all_the_time_is_a_third_of_what_it_bears() {
        // Half of two cores, rising: a step of 10 ms, with what it can do then.
        let able = |t: f64| 2.0 * (0.5 + 0.5 * t / 8_000.0);
        let sent: Vec<(f64, f64)> =
            (0..800).map(|n| f64::from(n) * 10.0).map(|t| (t, 10.0 * able(t))).collect();
        let (worst, _) = START.peak_overload(&sent);
        assert!((worst - 1.0 / 3.0).abs() < 0.01, "{worst}");
        let twice: Vec<(f64, f64)> = sent.iter().map(|(t, w)| (*t, 3.3 * w)).collect();
        assert!(START.peak_overload(&twice).0 > 1.05, "3.3 times what it can do");
    }

    #[test]
    fn a_burst_at_the_start_counts_against_the_whole_stretch_and_warm_work_not_at_all() {
        // Over its first two seconds it does 2 * (1000 + 125) = 2250, and bears three times that.
        let (worst, when) = START.peak_overload(&[(0.0, 3_375.0), (9_000.0, 1e9)]);
        assert!((worst - 0.5).abs() < 1e-9 && when == 0.0, "{worst} at {when}");
    }
}
