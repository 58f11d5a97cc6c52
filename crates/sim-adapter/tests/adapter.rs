//! The adapter as a process: replies to valid frames; one error line and a failing exit status on malformed
//! ones.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"Classes":[{"Aim":1000,"HardLimit":4000,"Effect":"repeatable"}],"FleetSize":1,
"MembershipMode":"automatic","UnknownKey":{"Nested":[1,2]},
"Rules":{"DrainGrace":250,"ColdFrom":0.3,"Cold":8000,"FallMultiple":3,"Fall":3000},"Allowed":{"MaxAttempts":5}}"#;

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hillstall-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may stop reading at the first malformed frame, so a broken pipe is expected.
    let _ = child.stdin.take().expect("stdin").write_all(input);
    child.wait_with_output().expect("the adapter exits")
}

fn frame(count: u32, records: &[u8], clock: f64) -> Vec<u8> {
    let mut out = count.to_be_bytes().to_vec();
    out.extend((records.len() as u32 + 20).to_be_bytes());
    out.extend(clock.to_be_bytes());
    out.extend(1u32.to_be_bytes());
    out.extend(records);
    out
}

fn provision(settings: &str) -> Vec<u8> {
    let mut out = vec![0];
    out.extend(3u32.to_be_bytes());
    out.extend(9u64.to_be_bytes());
    out.extend((settings.len() as u32).to_be_bytes());
    out.extend(settings.as_bytes());
    out
}

fn endpoint_list(slot: u8, count: u32, entries: u32) -> Vec<u8> {
    let mut out = vec![10, slot];
    out.extend(count.to_be_bytes());
    for id in 1..=entries {
        out.extend(id.to_be_bytes());
        out.extend([0, 0, 0, 0, 0, 2]);
        out.extend(1f32.to_be_bytes());
        out.extend(0f64.to_be_bytes());
    }
    out
}

fn endpoints_changed(kind: u8, slot: u8) -> Vec<u8> {
    let mut out = vec![1];
    out.extend(3u32.to_be_bytes());
    out.push(kind);
    out.extend(1u32.to_be_bytes());
    out.push(slot);
    out
}

fn request(instance: u32) -> Vec<u8> {
    let mut out = vec![2];
    out.extend(instance.to_be_bytes());
    out.extend(77u64.to_be_bytes());
    out.extend([0; 8 + 2 + 1 + 8 + 1]);
    out.extend(900f64.to_be_bytes());
    out
}

#[test]
fn answers_a_request_with_a_send() {
    let records = [provision(SETTINGS), endpoint_list(0, 2, 2), endpoints_changed(2, 0), request(3)].concat();
    let out = run(&frame(4, &records, 5.0));
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(out.stdout[8..13], [0, 0, 0, 1, 64], "batch 1, then a send");
    assert_eq!(out.stdout[0..4], (out.stdout.len() as u32).to_be_bytes());
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_is_no_error() {
    assert_eq!(run(&frame(0, &[], 5.0)).stdout, [0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0, 1]);
    assert!(run(&[]).status.success());
}

#[test]
fn malformed_input_ends_with_one_line_and_a_failing_exit() {
    let truncated = |bytes: Vec<u8>, n: usize| bytes[..bytes.len() - n].to_vec();
    let mut size_below_header = frame(0, &[], 5.0);
    size_below_header[7] = 19;
    let mut oversized = frame(1, &request(3), 5.0);
    oversized[4..8].copy_from_slice(&u32::MAX.to_be_bytes());
    let mut outcome = vec![4];
    outcome.extend([0; 4 + 8 + 1 + 4]);
    outcome.extend(12u16.to_be_bytes());
    outcome.extend([0; 8 + 1 + 1]);
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("a truncated header", vec![0; 7]),
        ("a truncated frame", truncated(frame(1, &request(3), 5.0), 3)),
        ("a size below the header", size_below_header),
        ("a size far beyond the input", oversized),
        ("too many records", frame(2, &request(3), 5.0)),
        ("too few records", frame(1, &[request(3), request(4)].concat(), 5.0)),
        ("a number of records that cannot fit", frame(u32::MAX, &request(3), 5.0)),
        ("an unknown record", frame(1, &[99, 0, 0, 0, 3], 5.0)),
        ("an unknown outcome", frame(1, &outcome, 5.0)),
        ("an unknown list kind", frame(1, &endpoints_changed(9, 0), 5.0)),
        ("list slot 16", frame(1, &endpoint_list(16, 0, 0), 5.0)),
        ("a change to list slot 200", frame(1, &endpoints_changed(0, 200), 5.0)),
        ("entries beyond the frame", frame(1, &endpoint_list(0, u32::MAX, 1), 5.0)),
        ("a clock of NaN", frame(0, &[], f64::NAN)),
        ("an infinite clock", frame(0, &[], f64::INFINITY)),
    ];
    for (case, input) in cases {
        let out = run(&input);
        let text = String::from_utf8_lossy(&out.stderr);
        assert!(!out.status.success(), "{case}");
        assert_eq!(text.lines().count(), 1, "{case}: {text}");
        assert!(text.starts_with("hillstall-sim-adapter: "), "{case}: {text}");
    }
}

#[test]
fn invalid_settings_are_fatal_and_name_the_key() {
    for (from, to, key) in [
        ("\"MaxAttempts\":5", "\"MaxAttempts\":0", "MaxAttempts"),
        ("\"FleetSize\":1", "\"FleetSize\":0", "FleetSize"),
        ("\"Aim\":1000", "\"Aim\":-1", "Aim"),
        ("\"repeatable\"", "\"maybe\"", "Effect"),
        ("\"ColdFrom\":0.3", "\"ColdFrom\":0", "ColdFrom"),
        ("\"DrainGrace\":250,", "", "DrainGrace"),
    ] {
        let out = run(&frame(1, &provision(&SETTINGS.replace(from, to)), 5.0));
        let text = String::from_utf8_lossy(&out.stdout).to_string();
        assert!(out.status.success(), "{key}");
        assert_eq!(out.stdout[12], 73, "{key}: a fatal record");
        assert!(text.contains(key), "{key}: {text}");
    }
    let out = run(&frame(1, &provision("not json"), 5.0));
    assert_eq!(out.stdout[12], 73);
}
