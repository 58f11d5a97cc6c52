//! Wire compatibility of a follower, with this test as its only replica: the bytes of the frames that it
//! sends, and its answers to admin commands from a state that an earlier version wrote.

mod common;

use common::{decode_hex, start_follower, Connection, INDEX, RANK};
use hillstall_change_freeze::state::{FreezeCommand as Freeze, RejectReason, Response};
use hillstall_consensus::frame::Frame;
use hillstall_consensus::state::{Command, Outcome, Proposal};
use hillstall_coordination::CoordinationHandle;
use hillstall_lease::table::Grant;
use hillstall_lease::{FencingToken, Instance};
use std::fmt::Write as _;

const EXPECTED_ANSWERS: &str = include_str!("fixtures/admin-answers.txt");
/// The bytes of the frame that acknowledges the snapshot.
const SNAPSHOT_ACK: &str = "01088801";

fn acknowledged_index(frame: Frame) -> Option<u64> {
    match frame {
        Frame::Ack(index) => Some(index),
        _ => None,
    }
}

fn answer(handle: &CoordinationHandle, line: &str) -> String {
    handle.admin_command(line).expect("a coordination command").blocking_recv().expect("an answer")
}

/// Replaces the values that differ from run to run by `*`: the incarnation and the age of the state.
fn mask_run_values(text: &str) -> String {
    let words = |line: &str| {
        let mut words: Vec<&str> = line.split(' ').collect();
        for name in ["life", "age"] {
            if let Some(at) = words.iter().position(|word| *word == name) {
                words[at + 1] = "*";
            }
        }
        words.join(" ") + "\n"
    };
    text.lines().map(words).collect()
}

#[test]
fn a_follower_sends_hello_and_acknowledges_the_snapshot() {
    let (_handle, mut connection, hello) = start_follower();
    let Ok(Frame::Hello { fleet, instance, replica }) = Frame::decode(&hello) else { panic!("{hello:?}") };
    assert_eq!((fleet.as_str(), instance.rank, replica), ("shop", RANK, None));
    let mut expected = decode_hex("01000473686f7007");
    expected.extend(postcard::to_stdvec(&instance.incarnation).expect("encoded"));
    expected.push(0);
    assert_eq!(hello, expected);
    let (bytes, index) = connection.receive_until(acknowledged_index);
    assert_eq!(index, INDEX);
    assert_eq!(bytes, decode_hex(SNAPSHOT_ACK));
}

#[test]
fn queries_are_answered_from_a_state_of_an_earlier_version() {
    let (handle, mut connection, _) = start_follower();
    connection.receive_until(acknowledged_index);
    let mut text = String::new();
    for line in ["FLEET", "WINDOW", "INCIDENT", "CHANGE", "RECORD"] {
        let _ = write!(text, "> {line}\n{}", mask_run_values(&answer(&handle, line)));
    }
    assert_eq!(text, EXPECTED_ANSWERS);
}

/// Each outcome of a command, with the answer at the admin address.
fn expected_answers() -> Vec<(Outcome, &'static str)> {
    let grant = Grant { holder: Instance { rank: 1, incarnation: 2 }, token: FencingToken(3), renewals: 4 };
    let blocked = Response::Blocked { change: 10, incident: 11, retry_after: 12 };
    vec![
        (Outcome::Window, "200 agreed\n"),
        (Outcome::Lease(Some(grant)), "200 agreed\n"),
        (Outcome::GrantEnded { newest: FencingToken(5) }, "409 the grant is over; the newest token is 5\n"),
        (Outcome::Rejected("the window is running".into()), "409 the window is running\n"),
        (Outcome::TooLate, "409 it came too late\n"),
        (Outcome::Freeze(Response::Accepted(5)), "200 5\n"),
        (Outcome::Freeze(Response::Permitted(6)), "200 6 permit\n"),
        (Outcome::Freeze(Response::Queued { change: 7, behind: 8 }), "202 7 waits behind change 8\n"),
        (Outcome::Freeze(Response::AwaitingSecondApproval(9)), "202 9 waits for a second person\n"),
        (Outcome::Freeze(blocked), "409 10 barred by incident 11; ask again in 12 ms\n"),
        (Outcome::Freeze(Response::Rejected(RejectReason::NotFound)), "400 there is none of that number\n"),
        (Outcome::Freeze(Response::Rejected(RejectReason::Superseded)), "400 it has changed since\n"),
        (
            Outcome::Freeze(Response::Rejected(RejectReason::RequiresPerson)),
            "400 a person has opened it or taken it on, so only a person closes it\n",
        ),
        (
            Outcome::Freeze(Response::Rejected(RejectReason::SamePerson)),
            "400 the same person has asked already; an emergency takes two\n",
        ),
        (
            Outcome::Freeze(Response::Rejected(RejectReason::InvalidName)),
            "400 a name has 1 to 64 letters, digits, '-', '.', '_', '/' or '@'\n",
        ),
        (
            Outcome::Freeze(Response::Rejected(RejectReason::InvalidDuration)),
            "400 a change runs for 1 ms to a day\n",
        ),
        (
            Outcome::Freeze(Response::Rejected(RejectReason::CapacityReached)),
            "400 there are as many incidents or changes as may be open\n",
        ),
    ]
}

/// Names an outcome in failure messages. The matches are exhaustive, so that a new variant does not compile
/// until it is added here; add it to `expected_answers` too.
fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Lease(_) => "grant",
        Outcome::GrantEnded { .. } => "superseded",
        Outcome::Window => "window",
        Outcome::Rejected(_) => "rejected",
        Outcome::TooLate => "too late",
        Outcome::Freeze(answer) => match answer {
            Response::Accepted(_) => "done",
            Response::Permitted(_) => "permit",
            Response::Queued { .. } => "queued",
            Response::AwaitingSecondApproval(_) => "awaiting second approval",
            Response::Blocked { .. } => "blocked",
            Response::Rejected(why) => match why {
                RejectReason::NotFound => "unknown",
                RejectReason::Superseded => "stale",
                RejectReason::RequiresPerson => "not by rule",
                RejectReason::SamePerson => "same person",
                RejectReason::InvalidName => "name",
                RejectReason::InvalidDuration => "duration",
                RejectReason::CapacityReached => "full",
            },
        },
    }
}

/// Sends an admin command that proposes something, responds with this outcome as the replica, and returns the
/// answer.
fn answer_to_outcome(
    handle: &CoordinationHandle,
    connection: &mut Connection,
    number: u64,
    outcome: &Outcome,
) -> String {
    let line = format!("INCIDENT TAKE {number} mira");
    let answer = handle.admin_command(&line).expect("a coordination command");
    let expected_command =
        Command::Freeze(Freeze::AssignIncident { incident: number, person: "mira".into() });
    let proposal_id = |frame| match frame {
        Frame::Propose(Proposal { id, command }) if command == expected_command => Some(id),
        _ => None,
    };
    let (_, id) = connection.receive_until(proposal_id);
    connection.send(&Frame::Answer { id, outcome: outcome.clone() });
    answer.blocking_recv().expect("an answer")
}

#[test]
fn an_admin_command_is_answered_with_its_outcome() {
    let (handle, mut connection, _) = start_follower();
    let mut numbers = 1..;
    for (outcome, expected) in expected_answers() {
        // On a very busy machine an outcome may arrive after the command has timed out, so a 504 is retried
        // up to four times.
        let mut attempts = numbers
            .by_ref()
            .take(5)
            .map(|number| answer_to_outcome(&handle, &mut connection, number, &outcome));
        let text = attempts.find(|text| !text.starts_with("504"));
        assert_eq!(text.as_deref(), Some(expected), "{}", outcome_name(&outcome));
    }
}
