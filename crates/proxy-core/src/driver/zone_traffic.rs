//! What was sent to each zone, for the control of traffic shifts between zones.

use hillstall_decision::Outcome;

/// What was sent to a zone since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneTraffic {
    /// Attempts sent.
    pub sent: u64,
    /// Attempts that a backend answered, whatever it said.
    pub answered: u64,
    /// Attempts without a response: no connection, a reset one, or a timeout.
    pub unanswered: u64,
    /// The sum of the CPU fractions in the load reports of attempts, and the number of these reports.
    pub reported_cpu: (f64, u64),
}

impl ZoneTraffic {
    /// Counts an attempt that ended, and the CPU fraction that the backend reported with it.
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
