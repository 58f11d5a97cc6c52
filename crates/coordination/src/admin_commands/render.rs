//! Formats the answers to admin commands. Clients read these texts, so they stay as they are. Each list ends
//! with a line `EOF`.

use crate::calendar;
use hillstall_change_freeze::state::{ChangeStatus, FreezeState, Requester, Response};
use hillstall_consensus::state::Outcome;
use hillstall_maintenance::windows::Windows;
use std::collections::BTreeMap;
use std::fmt::Write;

const END_OF_LIST: &str = "EOF\n";
const NO_ANSWER: &str =
    "504 the keepers have not answered; it may still be carried out, and asking again is harmless\n";
const PER_MILLE_PER_PERCENT: f64 = 10.0;

/// The answer to a proposed command; `outcome` is `None` if the replicas have not answered in time.
pub fn outcome(outcome: Option<&Outcome>) -> String {
    match outcome {
        None => NO_ANSWER.into(),
        Some(Outcome::Window | Outcome::Lease(_)) => "200 agreed\n".into(),
        Some(Outcome::Freeze(response)) => freeze_response(response),
        Some(Outcome::GrantEnded { newest }) => {
            format!("409 the grant is over; the newest token is {}\n", newest.0)
        }
        Some(Outcome::Rejected(reason)) => format!("409 {reason}\n"),
        Some(Outcome::TooLate) => "409 it came too late\n".into(),
    }
}

fn freeze_response(response: &Response) -> String {
    match response {
        Response::Accepted(number) => format!("200 {number}\n"),
        Response::Permitted(number) => format!("200 {number} permit\n"),
        Response::Queued { change, behind } => format!("202 {change} waits behind change {behind}\n"),
        Response::AwaitingSecondApproval(number) => format!("202 {number} waits for a second person\n"),
        Response::Blocked { change, incident, retry_after } => {
            format!("409 {change} barred by incident {incident}; ask again in {retry_after} ms\n")
        }
        Response::Rejected(reason) => format!("400 {reason}\n"),
    }
}

/// All maintenance windows, one per line. `reported` maps each site to the fraction of its usual traffic,
/// from 0 to 1, that most instances report to send at least; it is empty if no reports arrive.
pub fn windows(windows: &Windows, reported: &BTreeMap<String, f64>) -> String {
    let mut text = String::new();
    for (number, window) in windows.all() {
        let (site, stage) = (&window.plan.site, &window.stage);
        let begin = calendar::format_timestamp(window.plan.starts_at);
        let percent = f64::from(window.fraction) / PER_MILLE_PER_PERCENT;
        let _ = write!(text, "{number} {site} {stage} begin={begin} part={percent}%");
        if let Some(fraction) = reported.get(site).filter(|_| stage.takes_traffic_away()) {
            let _ = write!(text, " reported={:.1}%", 100.0 * fraction);
        }
        if window.overrun {
            text.push_str(" overrun");
        }
        if !window.reason.is_empty() {
            let _ = write!(text, " why={}", window.reason);
        }
        text.push('\n');
    }
    text + END_OF_LIST
}

/// All incidents, one per line.
pub fn incidents(state: &FreezeState) -> String {
    let mut text = String::new();
    for (number, incident) in state.incidents() {
        let status = if incident.cooling_down { "cooling" } else { "active" };
        let opened_by = match &incident.opened_by {
            Requester::Person(name) => name.clone(),
            Requester::Coordinator(token) => format!("rule/{token}"),
        };
        let assignee = incident.assignee.as_deref().unwrap_or("-");
        let (severity, scope, evidence) = (incident.severity, &incident.scope, &incident.evidence);
        let _ =
            writeln!(text, "{number} {severity} {scope} {status} by={opened_by} taken={assignee} {evidence}");
    }
    text + END_OF_LIST
}

/// All changes, one per line.
pub fn changes(state: &FreezeState) -> String {
    let mut text = String::new();
    for (number, change) in state.changes() {
        let request = &change.request;
        let (kind, scope, requested_by) = (request.kind, &request.scope, &request.requested_by);
        let status = change_status(&change.status);
        let emergency = if change.emergency { " emergency" } else { "" };
        let _ = writeln!(text, "{number} {kind} {scope} {status} by={requested_by}{emergency}");
    }
    text + END_OF_LIST
}

fn change_status(status: &ChangeStatus) -> &'static str {
    match status {
        ChangeStatus::Queued => "waits",
        ChangeStatus::AwaitingSecondApproval => "half",
        ChangeStatus::InFlight => "in-flight",
        ChangeStatus::Reacting => "reacts",
        ChangeStatus::Overdue => "stuck",
    }
}

/// The replicated audit records, one per line, oldest first.
pub fn audit_records(state: &FreezeState) -> String {
    let mut text = String::new();
    for record in state.audit_log() {
        let _ = writeln!(text, "{} {} {}", record.sequence, record.subject, record.description);
    }
    text + END_OF_LIST
}
