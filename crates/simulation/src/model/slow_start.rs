//! What a server that has just started bears: its capacity rises evenly from a part to the whole, and it falls over if
//! it is sent more than so many times what it can do, over a stretch of time, by all proxies together.

/// A server's cold start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartModel {
    /// Core milliseconds that it does in a millisecond, warm.
    pub able: f64,
    /// The part of that it has at its start.
    pub from: f64,
    /// Until it has all (ms).
    pub warm_after: f64,
    /// Times what it can do that it bears ...
    pub multiple: f64,
    /// ... over so long (ms).
    pub over: f64,
    /// Core milliseconds beyond that, for chance: a call's work is not known when it is sent.
    pub slack: f64,
}

impl SlowStartModel {
    /// What it can do from its start to a moment after it, in core milliseconds.
    fn done_by(&self, after: f64) -> f64 {
        let warm = self.warm_after.max(1e-9);
        let t = after.clamp(0.0, warm);
        self.able * (self.from * t + (1.0 - self.from) * t * t / (2.0 * warm) + (after - warm).max(0.0))
    }

    /// The most that it was sent against what it bears, and when that was; over 1 it falls over. Given are the moments
    /// after its start at which work came, in order, and how much.
    pub fn overshoot(&self, sent: &[(f64, f64)]) -> (f64, f64) {
        let (mut worst, mut when, mut first, mut sum) = (0.0, 0.0, 0, 0.0);
        for (at, work) in sent {
            if *at > self.warm_after {
                break;
            }
            sum += work;
            while sent[first].0 < at - self.over {
                sum -= sent[first].1;
                first += 1;
            }
            // A whole stretch from the first of them on: a burst right after the start has the rest of it.
            let begin = (at - self.over).max(0.0);
            let bears = self.multiple * (self.done_by(begin + self.over) - self.done_by(begin)) + self.slack;
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
        able: 2.0,
        from: 0.5,
        warm_after: 8_000.0,
        multiple: 3.0,
        over: 2_000.0,
        slack: 0.0,
    };

    #[test]
    fn what_it_can_do_all_the_time_is_a_third_of_what_it_bears() {
        // Half of two cores, rising: a step of 10 ms, with what it can do then.
        let able = |t: f64| 2.0 * (0.5 + 0.5 * t / 8_000.0);
        let sent: Vec<(f64, f64)> =
            (0..800).map(|n| f64::from(n) * 10.0).map(|t| (t, 10.0 * able(t))).collect();
        let (worst, _) = START.overshoot(&sent);
        assert!((worst - 1.0 / 3.0).abs() < 0.01, "{worst}");
        let twice: Vec<(f64, f64)> = sent.iter().map(|(t, w)| (*t, 3.3 * w)).collect();
        assert!(START.overshoot(&twice).0 > 1.05, "3.3 times what it can do");
    }

    #[test]
    fn a_burst_at_the_start_counts_against_the_whole_stretch_and_warm_work_not_at_all() {
        // Over its first two seconds it does 2 * (1000 + 125) = 2250, and bears three times that.
        let (worst, when) = START.overshoot(&[(0.0, 3_375.0), (9_000.0, 1e9)]);
        assert!((worst - 0.5).abs() < 1e-9 && when == 0.0, "{worst} at {when}");
    }
}
