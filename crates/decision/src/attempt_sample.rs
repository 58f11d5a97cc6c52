//! What the end of an attempt shows of the tier: how late it was and how much spare CPU its backend reported.
//! In the platform's design time-outs, failures and rejections reduce a limit and timely answers raise it;
//! here some ends show nothing of the tier, and how late an answer is counts.

use crate::request::{Attempt, Completion, PendingRequest};
use crate::{LoadReport, Millis, Outcome, ReportField, Settings};

/// Part of a backend's CPU that must be free for a full rise of the limits; with less they rise less, with
/// none not. Guards against a limit that outgrows the tier while the first late answers are still out.
const FULL_RISE_SPARE_CPU: f64 = 0.3;
/// Latency ratio of a failed attempt, at least.
const FAILED_LATENCY_RATIO: f64 = 1.5;
/// The shortest time, in milliseconds, that a client counts as having waited for.
const MIN_CLIENT_WAIT_MS: Millis = 1.0;

/// The part of a full rise of the limits that a load report permits, from 0 to 1; all of it where none says.
pub(crate) fn headroom(settings: &Settings, report: &LoadReport) -> f64 {
    let index = settings.report.iter().position(|field| *field == ReportField::Cpu);
    let reported = index.filter(|index| *index < usize::from(report.len));
    let cpu = reported.map(|index| f64::from(report.values[index])).filter(|cpu| cpu.is_finite());
    cpu.map_or(1.0, |cpu| ((1.0 - cpu) / FULL_RISE_SPARE_CPU).clamp(0.0, 1.0))
}

/// Time taken over the latency objective; `None` if the end of the attempt shows nothing of the tier.
/// `counts_for_tier` says whether a failure can be put down to the tier rather than to the backend.
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
        // A client that left: late for it by as much of its time as it waited. One that leaves early does so
        // for reasons of its own. More would close the limiters where an idle tier is too slow.
        Outcome::Cancelled | Outcome::NotSent => {
            let client_wait = objective.min(request.deadline - attempt.sent_at).max(MIN_CLIENT_WAIT_MS);
            let is_client_late = request.client_gone && settings.tier == 0;
            is_client_late.then(|| (took / client_wait).min(1.0))
        }
        Outcome::Ok => Some(took / objective),
        // A connection that does not come about shows nothing of the tier, as while a zone is cut off; nor do
        // the failures of a backend already known as unhealthy, which are its own.
        Outcome::ConnectFailed => None,
        _ if !counts_for_tier => None,
        // A connection that breaks is the network's or the process's end: an overload makes requests late.
        Outcome::Reset => Some(took / objective),
        _ => Some(FAILED_LATENCY_RATIO.max(took / objective)),
    }
}
