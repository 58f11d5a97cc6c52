//! A follower on a real socket, with this test as its only replica: what it sends is pinned to the byte, and so is what it
//! answers on the second address from a state that an earlier version wrote.

use hillstall_fleet::{settings, start, Handle, Place};
use hillstall_freeze::register::{Answer, Command as Freeze, Refused};
use hillstall_lease::book::Grant;
use hillstall_lease::{Copy, Token};
use hillstall_quorum::frame::Frame;
use hillstall_quorum::state::{Command, Outcome, Proposal};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const SNAPSHOT: &str = include_str!("../../quorum/tests/fixtures/snapshot.txt");
const ANSWERS: &str = include_str!("fixtures/admin-answers.txt");
const RANK: u32 = 7;
/// The index of the snapshot.
const INDEX: u64 = 136;
/// The frame that confirms it.
const ACK: &str = "01088801";
/// Longest wait for anything; only a failure takes as long.
const PATIENCE: Duration = Duration::from_secs(20);
/// Shorter than the silence after which a follower turns to another replica.
const BEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The bytes of a text of hexadecimal digits.
fn bytes_of(hex: &str) -> Vec<u8> {
    assert!(hex.len().is_multiple_of(2), "half a byte: {hex}");
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

/// A connection that the follower has opened.
struct Connection {
    reader: TcpStream,
    /// The frame that is written now is written whole.
    writer: Arc<Mutex<TcpStream>>,
}

/// Writes a frame behind its length.
fn write_frame(writer: &Mutex<TcpStream>, frame: &Frame) -> std::io::Result<()> {
    let bytes = frame.encode();
    let length = u32::try_from(bytes.len()).expect("it is short").to_be_bytes();
    writer.lock().expect("no writer has failed").write_all(&[&length, bytes.as_slice()].concat())
}

impl Connection {
    fn accept(listener: &TcpListener) -> Connection {
        let (reader, _) = listener.accept().expect("it connects");
        reader.set_read_timeout(Some(PATIENCE)).expect("it is set");
        let writer = Arc::new(Mutex::new(reader.try_clone().expect("it is cloned")));
        Connection { reader, writer }
    }

    /// The next frame: four bytes of length, highest first, then the frame.
    fn receive(&mut self) -> Vec<u8> {
        let mut length = [0; 4];
        self.reader.read_exact(&mut length).expect("a length comes");
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        self.reader.read_exact(&mut frame).expect("a frame comes");
        frame
    }

    fn send(&mut self, frame: &Frame) {
        write_frame(&self.writer, frame).expect("it is sent");
    }

    /// Waits for a certain frame; each one on the way is written as it was read.
    fn receive_until<T>(&mut self, wanted: impl Fn(Frame) -> Option<T>) -> (Vec<u8>, T) {
        loop {
            let bytes = self.receive();
            let frame = Frame::decode(&bytes).expect("it is a frame");
            assert_eq!(frame.encode(), bytes, "{frame:?}");
            if let Some(found) = wanted(frame) {
                return (bytes, found);
            }
        }
    }

    /// Keeps the follower from turning away, until the connection ends.
    fn send_beats(&self) {
        let writer = Arc::clone(&self.writer);
        std::thread::spawn(move || {
            while write_frame(&writer, &Frame::Beat(INDEX)).is_ok() {
                std::thread::sleep(BEAT_INTERVAL);
            }
        });
    }
}

/// Starts a follower and takes its connection, up to where it has the state.
fn follower() -> (Handle, Connection, Vec<u8>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let text = format!("[fleet]\nname = \"shop\"\nkeepers = [\"{address}\"]\n");
    let settings = settings::read(&text).expect("it is read").expect("there is one");
    let sites = ["east", "north", "south", "west"].map(str::to_owned).to_vec();
    let place = Place { rank: RANK, site: "north".into(), sites };
    let (handle, _hints) = start(settings, place).expect("it starts");
    let mut connection = Connection::accept(&listener);
    let hello = connection.receive();
    connection.send(&Frame::State(bytes_of(SNAPSHOT.trim_end())));
    connection.send_beats();
    (handle, connection, hello)
}

fn acknowledged(frame: Frame) -> Option<u64> {
    match frame {
        Frame::Ack(index) => Some(index),
        _ => None,
    }
}

fn answer(handle: &Handle, line: &str) -> String {
    handle.line(line).expect("it is for the fleet").blocking_recv().expect("it is answered")
}

/// A text without what differs from run to run: what was drawn at the start, and how old the state is.
fn without_run(text: &str) -> String {
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
fn a_follower_says_who_it_is_and_confirms_the_state() {
    let (_handle, mut connection, hello) = follower();
    let Ok(Frame::Hello { fleet, copy, keeper }) = Frame::decode(&hello) else { panic!("{hello:?}") };
    assert_eq!((fleet.as_str(), copy.rank, keeper), ("shop", RANK, None));
    let mut expected = bytes_of("01000473686f7007");
    expected.extend(postcard::to_stdvec(&copy.life).expect("it is written"));
    expected.push(0);
    assert_eq!(hello, expected);
    let (bytes, index) = connection.receive_until(acknowledged);
    assert_eq!(index, INDEX);
    assert_eq!(bytes, bytes_of(ACK));
}

#[test]
fn questions_are_answered_from_a_stored_state() {
    let (handle, mut connection, _) = follower();
    connection.receive_until(acknowledged);
    let mut text = String::new();
    for line in ["FLEET", "WINDOW", "INCIDENT", "CHANGE", "RECORD"] {
        let _ = write!(text, "> {line}\n{}", without_run(&answer(&handle, line)));
    }
    assert_eq!(text, ANSWERS);
}

/// Each outcome and what a person is told of it.
fn told() -> Vec<(Outcome, &'static str)> {
    let grant = Grant { holder: Copy { rank: 1, life: 2 }, token: Token(3), renewals: 4 };
    let barred = Answer::Barred { change: 10, incident: 11, ask_again: 12 };
    vec![
        (Outcome::Window, "200 agreed\n"),
        (Outcome::Grant(Some(grant)), "200 agreed\n"),
        (Outcome::Over { newest: Token(5) }, "409 the grant is over; the newest token is 5\n"),
        (Outcome::Refused("the window is running".into()), "409 the window is running\n"),
        (Outcome::TooLate, "409 it came too late\n"),
        (Outcome::Freeze(Answer::Done(5)), "200 5\n"),
        (Outcome::Freeze(Answer::Permit(6)), "200 6 permit\n"),
        (Outcome::Freeze(Answer::Waits { change: 7, behind: 8 }), "202 7 waits behind change 8\n"),
        (Outcome::Freeze(Answer::Half(9)), "202 9 waits for a second person\n"),
        (Outcome::Freeze(barred), "409 10 barred by incident 11; ask again in 12 ms\n"),
        (Outcome::Freeze(Answer::Refused(Refused::Unknown)), "400 there is none of that number\n"),
        (Outcome::Freeze(Answer::Refused(Refused::Over)), "400 it has changed since\n"),
        (
            Outcome::Freeze(Answer::Refused(Refused::NotByRule)),
            "400 a person has opened it or taken it on, so only a person closes it\n",
        ),
        (
            Outcome::Freeze(Answer::Refused(Refused::SamePerson)),
            "400 the same person has asked already; an emergency takes two\n",
        ),
        (
            Outcome::Freeze(Answer::Refused(Refused::Name)),
            "400 a name has 1 to 64 letters, digits, '-', '.', '_', '/' or '@'\n",
        ),
        (Outcome::Freeze(Answer::Refused(Refused::Runs)), "400 a change runs for 1 ms to a day\n"),
        (
            Outcome::Freeze(Answer::Refused(Refused::Full)),
            "400 there are as many incidents or changes as may be open\n",
        ),
    ]
}

/// Names every variant: a new one does not compile before it stands here and in the list above.
fn name_of(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Grant(_) => "grant",
        Outcome::Over { .. } => "superseded",
        Outcome::Window => "window",
        Outcome::Refused(_) => "rejected",
        Outcome::TooLate => "too late",
        Outcome::Freeze(answer) => match answer {
            Answer::Done(_) => "done",
            Answer::Permit(_) => "permit",
            Answer::Waits { .. } => "queued",
            Answer::Half(_) => "awaiting second approval",
            Answer::Barred { .. } => "blocked",
            Answer::Refused(why) => match why {
                Refused::Unknown => "unknown",
                Refused::Over => "stale",
                Refused::NotByRule => "not by rule",
                Refused::SamePerson => "same person",
                Refused::Name => "name",
                Refused::Runs => "duration",
                Refused::Full => "full",
            },
        },
    }
}

/// Has a person propose something, gives it this outcome, and returns what the person is told.
fn told_of(handle: &Handle, connection: &mut Connection, number: u64, outcome: &Outcome) -> String {
    let line = format!("INCIDENT TAKE {number} mira");
    let answered = handle.line(&line).expect("it is for the fleet");
    let wanted = Command::Freeze(Freeze::Take { incident: number, person: "mira".into() });
    let proposed = |frame| match frame {
        Frame::Propose(Proposal { id, command }) if command == wanted => Some(id),
        _ => None,
    };
    let (_, id) = connection.receive_until(proposed);
    connection.send(&Frame::Answer { id, outcome: outcome.clone() });
    answered.blocking_recv().expect("it is answered")
}

#[test]
fn a_person_is_told_what_became_of_a_command() {
    let (handle, mut connection, _) = follower();
    let mut numbers = 1..;
    for (outcome, expected) in told() {
        // On a machine that is very busy an outcome may come after the time that a person waits for it.
        let mut tries =
            numbers.by_ref().take(5).map(|number| told_of(&handle, &mut connection, number, &outcome));
        let text = tries.find(|text| !text.starts_with("504"));
        assert_eq!(text.as_deref(), Some(expected), "{}", name_of(&outcome));
    }
}
