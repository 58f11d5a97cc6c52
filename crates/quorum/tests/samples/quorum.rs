//! Frames between processes, proposals, and what became of them.

use super::lease::{instance, lease_name, record};
use super::{each_variant, freeze, history, lease, maintenance, Sample};
use hillstall_freeze::register::{self, Answer};
use hillstall_freeze::rules::Kind;
use hillstall_lease::book::{self, Grant};
use hillstall_lease::gate::Order;
use hillstall_lease::Token;
use hillstall_maintenance::machine;
use hillstall_quorum::frame::{Frame, Piece};
use hillstall_quorum::keeper::{Meeting, Word};
use hillstall_quorum::reports::{Counts, Report};
use hillstall_quorum::state::{Command, Id, Outcome, Proposal};

fn id() -> Id {
    Id { copy: instance(601), number: 602 }
}

fn proposal() -> Proposal {
    let request = freeze::request(Kind::Window, freeze::site("north"), "mira");
    Proposal { id: id(), command: Command::Freeze(register::Command::Ask(request)) }
}

fn report() -> Report {
    let north = Counts { sent: 603, served: 604, silent: 605, busy: 96, part: 607 };
    let south = Counts { sent: 608, served: 609, silent: 610, busy: 101, part: 612 };
    let sites = [("north".to_owned(), north), ("south".to_owned(), south)].into();
    Report { copy: Some(instance(613)), age: 614, over: 615, asked: 616, refused: 617, sites }
}

fn order() -> Order<hillstall_maintenance::Part> {
    let duty = lease_name("shift/south");
    Order { duty, token: Token(618), number: 619, holds_for: 620, what: 621, after: 622 }
}

fn commands() -> Vec<Sample> {
    let leave = || book::Command::Leave { duty: lease_name("freeze/coordinator"), copy: instance(623) };
    let step = machine::Command::Step { window: 624, part: 625 };
    let cancel = machine::Command::Cancel { window: 626 };
    let mut samples = each_variant!(Sample::of, Command {
        "command/lease": Command::Lease(_) => Command::Lease(leave()),
        "command/freeze": Command::Freeze(_) =>
            Command::Freeze(register::Command::Done { change: 627 }),
        "command/window": Command::Window { .. } =>
            Command::Window { token: Some(Token(628)), command: step },
    });
    samples.push(Sample::of("command/window-by-person", Command::Window { token: None, command: cancel }));
    samples.push(Sample::of("proposal-id", id()));
    samples.push(Sample::of("proposal", proposal()));
    samples
}

fn outcomes() -> Vec<Sample> {
    let grant = Grant { holder: instance(629), token: Token(630), renewals: 631 };
    let mut samples = each_variant!(Sample::of, Outcome {
        "outcome/grant": Outcome::Grant(_) => Outcome::Grant(Some(grant)),
        "outcome/superseded": Outcome::Over { .. } => Outcome::Over { newest: Token(632) },
        "outcome/freeze": Outcome::Freeze(_) =>
            Outcome::Freeze(Answer::Waits { change: 633, behind: 634 }),
        "outcome/window": Outcome::Window => Outcome::Window,
        "outcome/rejected": Outcome::Refused(_) => Outcome::Refused("no such window".into()),
        "outcome/too-late": Outcome::TooLate => Outcome::TooLate,
    });
    samples.push(Sample::of("outcome/no-grant", Outcome::Grant(None)));
    for (name, reason) in lease::reasons() {
        // It has an outcome of its own, without words.
        if matches!(reason, book::Refused::Over { .. }) {
            continue;
        }
        samples.push(Sample::of(&format!("outcome/{name}"), Outcome::Refused(reason.to_string())));
    }
    for (name, reason) in maintenance::reasons() {
        samples.push(Sample::of(&format!("outcome/{name}"), Outcome::Refused(reason.to_string())));
    }
    samples.push(Sample::of("outcome/maintenance/rejected/freeze-full", history::window_while_full()));
    samples
}

fn replica_messages() -> Vec<Sample> {
    let mut samples = each_variant!(Sample::of, Meeting {
        "membership/announce": Meeting::Here { .. } =>
            Meeting::Here { id: 635, boot: 636, life: 637, founders: vec![638, 639, 640] },
        "membership/welcome": Meeting::Welcome { .. } => Meeting::Welcome { life: 641 },
        "membership/stale-storage": Meeting::Older { .. } => Meeting::Older { life: 642 },
        "membership/join": Meeting::Join { .. } => Meeting::Join { id: 643 },
    });
    samples.extend(each_variant!(Sample::of, Word {
        "replica-message/membership": Word::Meeting(_) => Word::Meeting(Meeting::Join { id: 644 }),
        "replica-message/raft": Word::Raft(_) => Word::Raft(vec![0, 127, 128, 255]),
    }));
    samples.extend(each_variant!(Sample::of, Piece {
        "stream-item/command": Piece::Command(_) => Piece::Command(proposal()),
        "stream-item/lease": Piece::Duty(..) => Piece::Duty(lease_name("shift/north"), record()),
    }));
    samples.extend([
        Sample::of("report", report()),
        Sample::of("report/empty", Report::default()),
        Sample::of("report/counts", Counts { sent: 645, served: 646, silent: 647, busy: 48, part: 649 }),
    ]);
    samples
}

fn frames() -> Vec<Sample> {
    let mut samples = each_variant!(Sample::of_frame, Frame {
        "frame/hello": Frame::Hello { .. } =>
            Frame::Hello { fleet: "shop".into(), copy: instance(650), keeper: Some(2) },
        "frame/replica-message": Frame::Word(_) => Frame::Word(Word::Raft(vec![1, 2, 3])),
        "frame/propose": Frame::Propose(_) => Frame::Propose(proposal()),
        "frame/outcome": Frame::Answer { .. } =>
            Frame::Answer { id: id(), outcome: Outcome::Freeze(Answer::Permit(651)) },
        "frame/read": Frame::Read { .. } => Frame::Read { number: 652 },
        "frame/read-index": Frame::Told { .. } => Frame::Told { number: 653, index: 654 },
        "frame/state": Frame::State(_) => Frame::State(history::small().to_bytes()),
        "frame/applied": Frame::Applied { .. } =>
            Frame::Applied { after: 655, index: 656, piece: Piece::Command(proposal()) },
        "frame/ack": Frame::Ack(_) => Frame::Ack(657),
        "frame/heartbeat": Frame::Beat(_) => Frame::Beat(658),
        "frame/order": Frame::Order(_) => Frame::Order(order()),
        "frame/report": Frame::Report(_) => Frame::Report(report()),
        "frame/reports": Frame::Reports { .. } =>
            Frame::Reports { unix: 1_777_680_000_659, heard: vec![report(), Report::default()] },
    });
    let follower = Frame::Hello { fleet: "mill".into(), copy: instance(660), keeper: None };
    let here = Meeting::Here { id: 661, boot: 662, life: 663, founders: vec![664] };
    let lease = Piece::Duty(lease_name("shift/north"), record());
    samples.extend([
        Sample::of_frame("frame/hello-of-follower", follower),
        Sample::of_frame("frame/membership", Frame::Word(Word::Meeting(here))),
        Sample::of_frame("frame/applied-lease", Frame::Applied { after: 665, index: 666, piece: lease }),
    ]);
    samples
}

/// See the module's text.
pub fn samples() -> Vec<Sample> {
    [commands(), outcomes(), replica_messages(), frames()].into_iter().flatten().collect()
}
