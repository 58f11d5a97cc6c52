//! Counters of attempts by zone, which control traffic shifts between zones.

use hillstall_decision::Outcome;

/// Attempts at the backends of one zone since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneTraffic {
    /// Attempts started.
    pub sent: u64,
    /// Attempts with a response, whatever its status.
    pub answered: u64,
    /// Attempts without a response: the connect failed, the connection was reset, or the attempt timed out.
    pub unanswered: u64,
    /// The sum of the CPU utilizations (0 to 1) reported with responses, and the number of these reports.
    pub reported_cpu: (f64, u64),
}

impl ZoneTraffic {
    /// Counts an attempt that ended, and the CPU utilization that the backend reported with it.
    pub(super) fn record(&mut self, outcome: Outcome, cpu: Option<f32>) {
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected => self.answered += 1,
            Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => self.unanswered += 1,
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        if let Some(cpu) = cpu.filter(|cpu| cpu.is_finite()) {
            self.reported_cpu.0 += f64::from(cpu);
            self.reported_cpu.1 += 1;
        }
    }
}
