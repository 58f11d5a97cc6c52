//! Samples of frames, proposals and outcomes.

use super::lease::{instance, lease_name, record};
use super::{each_variant, freeze, history, lease, maintenance, Sample};
use hillstall_change_freeze::rules::ChangeKind;
use hillstall_change_freeze::state::{self, Response};
use hillstall_consensus::frame::{Frame, StreamItem};
use hillstall_consensus::load_reports::{LoadReport, SiteCounts};
use hillstall_consensus::replica::{MembershipMessage, ReplicaMessage};
use hillstall_consensus::state::{Command, Outcome, Proposal, ProposalId};
use hillstall_lease::fencing::FencedCommand;
use hillstall_lease::table::{self, Grant};
use hillstall_lease::FencingToken;
use hillstall_maintenance::windows;

fn id() -> ProposalId {
    ProposalId { instance: instance(601), number: 602 }
}

fn proposal() -> Proposal {
    let request = freeze::request(ChangeKind::Window, freeze::site("north"), "mira");
    Proposal { id: id(), command: Command::Freeze(state::FreezeCommand::RequestChange(request)) }
}

fn report() -> LoadReport {
    let north =
        SiteCounts { sent: 603, served: 604, unanswered: 605, utilization_percent: 96, fraction: 607 };
    let south =
        SiteCounts { sent: 608, served: 609, unanswered: 610, utilization_percent: 101, fraction: 612 };
    let sites = [("north".to_owned(), north), ("south".to_owned(), south)].into();
    LoadReport {
        instance: Some(instance(613)),
        age_ms: 614,
        period_ms: 615,
        requests: 616,
        rejected: 617,
        sites,
    }
}

fn fenced_command() -> FencedCommand<hillstall_maintenance::TrafficFraction> {
    FencedCommand {
        lease: lease_name("shift/south"),
        token: FencingToken(618),
        sequence: 619,
        valid_for: 620,
        value: 621,
        fallback: 622,
    }
}

fn commands() -> Vec<Sample> {
    let release =
        || table::LeaseCommand::Release { lease: lease_name("freeze/coordinator"), instance: instance(623) };
    let step = windows::WindowCommand::ReduceTraffic { window: 624, fraction: 625 };
    let cancel = windows::WindowCommand::Cancel { window: 626 };
    let mut samples = each_variant!(Sample::of, Command {
        "command/lease": Command::Lease(_) => Command::Lease(release()),
        "command/freeze": Command::Freeze(_) =>
            Command::Freeze(state::FreezeCommand::FinishChange { change: 627 }),
        "command/window": Command::Window { .. } =>
            Command::Window { token: Some(FencingToken(628)), command: step },
    });
    samples.push(Sample::of("command/window-by-person", Command::Window { token: None, command: cancel }));
    samples.push(Sample::of("proposal-id", id()));
    samples.push(Sample::of("proposal", proposal()));
    samples
}

fn outcomes() -> Vec<Sample> {
    let grant = Grant { holder: instance(629), token: FencingToken(630), renewals: 631 };
    let mut samples = each_variant!(Sample::of, Outcome {
        "outcome/lease": Outcome::Lease(_) => Outcome::Lease(Some(grant)),
        "outcome/grant-ended": Outcome::GrantEnded { .. } => Outcome::GrantEnded { newest: FencingToken(632) },
        "outcome/freeze": Outcome::Freeze(_) =>
            Outcome::Freeze(Response::Queued { change: 633, behind: 634 }),
        "outcome/window": Outcome::Window => Outcome::Window,
        "outcome/rejected": Outcome::Rejected(_) => Outcome::Rejected("no such window".into()),
        "outcome/too-late": Outcome::TooLate => Outcome::TooLate,
    });
    samples.push(Sample::of("outcome/lease-without-grant", Outcome::Lease(None)));
    for (name, reason) in lease::reasons() {
        // This error becomes [`Outcome::GrantEnded`], which has no text.
        if matches!(reason, table::LeaseError::GrantEnded { .. }) {
            continue;
        }
        samples.push(Sample::of(&format!("outcome/{name}"), Outcome::Rejected(reason.to_string())));
    }
    for (name, reason) in maintenance::reasons() {
        samples.push(Sample::of(&format!("outcome/{name}"), Outcome::Rejected(reason.to_string())));
    }
    samples.push(Sample::of(
        "outcome/maintenance/rejected/freeze-capacity-reached",
        history::window_while_full(),
    ));
    samples
}

fn replica_messages() -> Vec<Sample> {
    let mut samples = each_variant!(Sample::of, MembershipMessage {
        "membership/announce": MembershipMessage::Announce { .. } =>
            MembershipMessage::Announce { id: 635, boot: 636, incarnation: 637, founders: vec![638, 639, 640] },
        "membership/acknowledge": MembershipMessage::Acknowledge { .. } => MembershipMessage::Acknowledge { incarnation: 641 },
        "membership/outdated": MembershipMessage::Outdated { .. } => MembershipMessage::Outdated { incarnation: 642 },
        "membership/join": MembershipMessage::Join { .. } => MembershipMessage::Join { id: 643 },
    });
    samples.extend(each_variant!(Sample::of, ReplicaMessage {
        "replica-message/membership": ReplicaMessage::Membership(_) => ReplicaMessage::Membership(MembershipMessage::Join { id: 644 }),
        "replica-message/raft": ReplicaMessage::Raft(_) => ReplicaMessage::Raft(vec![0, 127, 128, 255]),
    }));
    samples.extend(each_variant!(Sample::of, StreamItem {
        "stream-item/command": StreamItem::Command(_) => StreamItem::Command(proposal()),
        "stream-item/lease": StreamItem::Lease { .. } => StreamItem::Lease { lease: lease_name("shift/north"), record: record() },
    }));
    samples.extend([
        Sample::of("report", report()),
        Sample::of("report/empty", LoadReport::default()),
        Sample::of(
            "report/counts",
            SiteCounts { sent: 645, served: 646, unanswered: 647, utilization_percent: 48, fraction: 649 },
        ),
    ]);
    samples
}

fn frames() -> Vec<Sample> {
    let mut samples = each_variant!(Sample::of_frame, Frame {
        "frame/hello": Frame::Hello { .. } =>
            Frame::Hello { fleet: "shop".into(), instance: instance(650), replica: Some(2) },
        "frame/replica-message": Frame::Replica(_) => Frame::Replica(ReplicaMessage::Raft(vec![1, 2, 3])),
        "frame/propose": Frame::Propose(_) => Frame::Propose(proposal()),
        "frame/answer": Frame::Answer { .. } =>
            Frame::Answer { id: id(), outcome: Outcome::Freeze(Response::Permitted(651)) },
        "frame/read": Frame::Read { .. } => Frame::Read { number: 652 },
        "frame/read-index": Frame::ReadIndex { .. } => Frame::ReadIndex { number: 653, index: 654 },
        "frame/state": Frame::State(_) => Frame::State(history::small().to_bytes()),
        "frame/applied": Frame::Applied { .. } =>
            Frame::Applied { previous_index: 655, index: 656, item: StreamItem::Command(proposal()) },
        "frame/ack": Frame::Ack(_) => Frame::Ack(657),
        "frame/heartbeat": Frame::Heartbeat(_) => Frame::Heartbeat(658),
        "frame/fenced-command": Frame::FencedCommand(_) => Frame::FencedCommand(fenced_command()),
        "frame/report": Frame::Report(_) => Frame::Report(report()),
        "frame/reports": Frame::Reports { .. } =>
            Frame::Reports { unix: 1_777_680_000_659, reports: vec![report(), LoadReport::default()] },
    });
    let follower = Frame::Hello { fleet: "mill".into(), instance: instance(660), replica: None };
    let announcement =
        MembershipMessage::Announce { id: 661, boot: 662, incarnation: 663, founders: vec![664] };
    let lease = StreamItem::Lease { lease: lease_name("shift/north"), record: record() };
    samples.extend([
        Sample::of_frame("frame/hello-of-follower", follower),
        Sample::of_frame("frame/membership", Frame::Replica(ReplicaMessage::Membership(announcement))),
        Sample::of_frame(
            "frame/applied-lease",
            Frame::Applied { previous_index: 665, index: 666, item: lease },
        ),
    ]);
    samples
}

/// The samples of this module.
pub fn samples() -> Vec<Sample> {
    [commands(), outcomes(), replica_messages(), frames()].into_iter().flatten().collect()
}
