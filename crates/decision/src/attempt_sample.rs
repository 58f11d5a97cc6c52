//! Derives the limiters' input from the end of an attempt: its latency ratio and the spare CPU that its
//! backend reported. In the platform's reference design, timeouts, failures and rejections reduce a limit and
//! timely answers raise it. Here the latency ratio decides, and outcomes that say nothing about the tier are
//! ignored.

use crate::request::{Attempt, Completion, PendingRequest};
use crate::{LoadReport, Millis, Outcome, ReportField, Settings};

/// Fraction of a backend's CPU that must be idle for limits to rise at the full rate; with less they rise
/// more slowly, and with none not at all. This keeps a limit from outgrowing the tier while the first late
/// answers are still in flight.
const FULL_RISE_SPARE_CPU: f64 = 0.3;
/// Minimum latency ratio of a failed attempt.
const FAILED_LATENCY_RATIO: f64 = 1.5;
/// Lower bound of the time that a client was willing to wait, in milliseconds.
const MIN_CLIENT_WAIT_MS: Millis = 1.0;

/// Returns the fraction of the full rise of the limits that a load report permits, from 0 to 1; 1 if the
/// report has no CPU utilization.
pub(crate) fn headroom(settings: &Settings, report: &LoadReport) -> f64 {
    let index = settings.report.iter().position(|field| *field == ReportField::Cpu);
    let reported = index.filter(|index| *index < usize::from(report.len));
    let cpu = reported.map(|index| f64::from(report.values[index])).filter(|cpu| cpu.is_finite());
    cpu.map_or(1.0, |cpu| ((1.0 - cpu) / FULL_RISE_SPARE_CPU).clamp(0.0, 1.0))
}

/// Returns the duration of the attempt divided by the latency objective; `None` if the outcome says nothing
/// about the tier. `counts_for_tier` says whether a failure is attributed to the tier and not only to the
/// backend.
pub(crate) fn latency_ratio(
    settings: &Settings,
    request: &PendingRequest,
    attempt: Attempt,
    completion: Completion,
    counts_for_tier: bool,
) -> Option<f64> {
    let objective = settings.classes[request.class].latency_objective_ms;
    let took = completion.took;
    match completion.outcome {
        // The client disconnected: the ratio is the fraction of its time that it waited. An early disconnect
        // counts little, because the client has reasons of its own for it. The ratio is at most 1, as a
        // higher value would close the limiters of a tier that is too slow even when idle.
        Outcome::Cancelled | Outcome::NotSent => {
            let client_wait = objective.min(request.deadline - attempt.sent_at).max(MIN_CLIENT_WAIT_MS);
            let is_client_late = request.client_gone && settings.tier == 0;
            is_client_late.then(|| (took / client_wait).min(1.0))
        }
        Outcome::Ok => Some(took / objective),
        // A failed connection says nothing about the load of the tier; its zone may be partitioned. Failures
        // of a backend that is already unhealthy are its own.
        Outcome::ConnectFailed => None,
        _ if !counts_for_tier => None,
        // A connection breaks because of the network or a process exit; an overload makes requests late
        // instead.
        Outcome::Reset => Some(took / objective),
        _ => Some(FAILED_LATENCY_RATIO.max(took / objective)),
    }
}
