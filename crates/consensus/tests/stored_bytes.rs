//! The encodings of all stored and sent values, compared byte by byte: instances of other versions decode
//! them, so names in the code may change, but no byte may. The files in `fixtures` are never written by a
//! test.

mod samples;

use hillstall_consensus::state::{Proposal, State};
use samples::history::{self, Applied};
use std::collections::BTreeSet;
use std::fmt::Write;

const MESSAGES: &str = include_str!("fixtures/messages.txt");
const HISTORY: &str = include_str!("fixtures/history.txt");
const SNAPSHOT: &str = include_str!("fixtures/snapshot.txt");

/// The bytes of a text of hexadecimal digits.
fn bytes_of(hex: &str) -> Vec<u8> {
    assert!(hex.len().is_multiple_of(2), "an odd number of digits: {hex}");
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

fn hex_of(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// The lines of `messages.txt`: a name, then the bytes.
fn messages() -> Vec<(&'static str, Vec<u8>)> {
    let line = |line: &'static str| {
        let (name, hex) = line.split_once(' ').expect("a name and its bytes");
        (name, bytes_of(hex))
    };
    MESSAGES.lines().map(line).collect()
}

/// The lines of `history.txt`: an index, the bytes of the proposal, the bytes of its outcome.
fn stored_history() -> Vec<(u64, Vec<u8>, Vec<u8>)> {
    let line = |line: &str| {
        let words: Vec<&str> = line.split(' ').collect();
        let [index, proposal, outcome] = words.as_slice() else { panic!("not three words: {line}") };
        (index.parse().expect("an index"), bytes_of(proposal), bytes_of(outcome))
    };
    HISTORY.lines().map(line).collect()
}

fn snapshot() -> Vec<u8> {
    bytes_of(SNAPSHOT.trim_end())
}

#[test]
fn each_value_is_encoded_to_its_bytes_and_decoded_from_them() {
    let (lines, samples) = (messages(), samples::all());
    let names: Vec<&str> = lines.iter().map(|(name, _)| *name).collect();
    let sampled: Vec<&str> = samples.iter().map(|sample| sample.name.as_str()).collect();
    assert_eq!(names, sampled, "the lines and the samples have the same names in the same order");
    assert_eq!(names.iter().collect::<BTreeSet<_>>().len(), names.len(), "no two lines have the same name");
    let mut differences = Vec::new();
    for ((name, bytes), sample) in lines.iter().zip(&samples) {
        if sample.encoded != *bytes {
            let (expected, encoded) = (hex_of(bytes), hex_of(&sample.encoded));
            differences.push(format!("{name}: encoded as {encoded}, expected {expected}"));
        }
        if let Err(error) = sample.check_decoding(bytes) {
            differences.push(format!("{name}: {error}"));
        }
    }
    assert!(differences.is_empty(), "{}", differences.join("\n"));
}

#[test]
fn the_sample_checks_reject_other_bytes() {
    for sample in samples::all() {
        let longer = [sample.encoded.as_slice(), &[0]].concat();
        assert!(sample.check_decoding(&longer).is_err(), "{}: accepted an additional byte", sample.name);
        let Some((last, first)) = sample.encoded.split_last() else { panic!("{}: no bytes", sample.name) };
        assert!(sample.check_decoding(first).is_err(), "{}: accepted a missing byte", sample.name);
        let other = [first, &[last ^ 1]].concat();
        assert!(sample.check_decoding(&other).is_err(), "{}: accepted a changed byte", sample.name);
    }
}

#[test]
fn stored_proposals_lead_to_the_stored_outcomes_and_snapshot() {
    let mut state = State::default();
    for (index, proposal, outcome) in stored_history() {
        let (read, rest) = postcard::take_from_bytes::<Proposal>(&proposal).expect("a proposal");
        assert!(rest.is_empty(), "entry {index} has more bytes than a proposal");
        let actual = state.apply(index, &read);
        let written = postcard::to_stdvec(&actual).expect("an outcome can be encoded");
        assert_eq!(hex_of(&written), hex_of(&outcome), "entry {index}: {read:?} had the outcome {actual:?}");
        assert_eq!(postcard::from_bytes(&outcome), Ok(actual), "entry {index}");
    }
    assert_eq!(hex_of(&state.to_bytes()), hex_of(&snapshot()));
    assert_eq!(State::from_bytes(&snapshot()), Ok(state));
}

#[test]
fn the_history_built_in_code_is_the_stored_one() {
    let history = history::whole();
    let stored = stored_history();
    assert_eq!(history.applied.len(), stored.len());
    for (Applied { index, proposal, outcome }, (at, proposal_bytes, outcome_bytes)) in
        history.applied.iter().zip(&stored)
    {
        assert_eq!(index, at);
        let written = postcard::to_stdvec(proposal).expect("a proposal can be encoded");
        assert_eq!(hex_of(&written), hex_of(proposal_bytes), "entry {index}: {proposal:?}");
        let written = postcard::to_stdvec(outcome).expect("an outcome can be encoded");
        assert_eq!(hex_of(&written), hex_of(outcome_bytes), "entry {index}: {outcome:?}");
    }
    assert_eq!(hex_of(&history.state.to_bytes()), hex_of(&snapshot()));
}

#[test]
fn a_snapshot_is_decoded_and_encoded_to_the_same_bytes() {
    let state = State::from_bytes(&snapshot()).expect("the stored snapshot can be decoded");
    assert_eq!(hex_of(&state.to_bytes()), hex_of(&snapshot()));
    assert_eq!(state, history::whole().state);
    // Checks that the snapshot covers all parts of the state.
    let (leases, freeze, windows) = (state.leases(), state.freeze(), state.windows());
    assert!(leases.leases().any(|(_, grant, candidates)| grant.is_some() && candidates.len() > 1));
    assert!(leases.leases().any(|(_, grant, _)| grant.is_none()));
    assert!(freeze.incidents().len() > 1 && freeze.changes().len() > 3);
    assert!(freeze.audit_log().len() > 30 && windows.all().len() > 5);
}
