//! The frame codec: the example frames of the wire format's specification, and every field and record.

use hillstall_decision::*;
use hillstall_sim_adapter::wire::{self, BatchHeader, Record, ReplyFrame, BATCH_HEADER_SIZE};

/// Decodes hexadecimal digits; all other characters are ignored.
fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.chars().filter_map(|c| c.to_digit(16)).map(|d| d as u8).collect();
    digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect()
}

/// Splits a frame into its parsed header and its body.
fn split(frame: &[u8]) -> (BatchHeader, &[u8]) {
    let header: &[u8; BATCH_HEADER_SIZE] = frame[..BATCH_HEADER_SIZE].try_into().expect("a header");
    (BatchHeader::parse(header).expect("a valid header"), &frame[BATCH_HEADER_SIZE..])
}

/// Builds a batch frame with `count` records, which are given in hexadecimal.
fn batch_frame(hex: &str, count: u32) -> Vec<u8> {
    let records = bytes(hex);
    let mut frame = count.to_be_bytes().to_vec();
    frame.extend((records.len() as u32 + 20).to_be_bytes());
    frame.extend(244.0f64.to_be_bytes());
    frame.extend(12u32.to_be_bytes());
    frame.extend(records);
    frame
}

#[test]
fn reads_the_example_batch() {
    let frame = bytes(
        "00000003 00000057 40c06e2000000000 0000000c
         02 00000003 00016b865d3a91c4 91f03b7c55d20a64 0000 00 4028000000000000 01 406e000000000000
         06 00000003 000000000000004d
         05 00000005 000197530e6f2b19",
    );
    let (header, body) = split(&frame);
    assert_eq!((header.now, header.batch), (8412.25, 12));
    let id = 0x0001_6b86_5d3a_91c4;
    let request = Event::Request {
        id,
        key: Some(0x91f0_3b7c_55d2_0a64),
        class: 0,
        tenant: 0,
        expected_work_ms: Some(12.0),
        is_retry: false,
        is_write: false,
        timeout_ms: 240.0,
    };
    let client_gone = Event::ClientGone { request: 0x0001_9753_0e6f_2b19 };
    assert_eq!(
        wire::parse_records(&header, body).expect("valid records"),
        [
            Record::Event { instance: 3, event: request },
            Record::Event { instance: 3, event: Event::Timer { token: 0x4d } },
            Record::Event { instance: 5, event: client_gone },
        ]
    );
}

#[test]
fn reads_the_example_list_and_outcome() {
    let frame = batch_frame(
        "0a 00 00000002
         03124a07 0000 00 0000 02 3f800000 0000000000000000
         2c9011f2 0000 00 0000 02 3fc00000 40b7d40000000000
         01 00000003 02 00000029 00
         04 00000003 00016b865d3a91c4 00 03124a07 0000 4032800000000000 01 00",
        3,
    );
    let (header, body) = split(&frame);
    let records = wire::parse_records(&header, body).expect("valid records");
    let Record::EndpointList { slot: 0, endpoints } = &records[0] else { panic!("{:?}", records[0]) };
    assert_eq!(endpoints.iter().map(|e| e.rating).collect::<Vec<_>>(), [1.0, 1.5]);
    assert_eq!(endpoints.iter().map(|e| e.started_at).collect::<Vec<_>>(), [None, Some(6100.0)]);
    let changed = Record::EndpointsChanged { instance: 3, kind: ListKind::Cached, version: 41, slot: 0 };
    assert_eq!(records[1], changed);
    let Record::Event { event: Event::Outcome { backend, outcome, took_ms, ended, .. }, .. } = records[2]
    else {
        panic!("{:?}", records[2])
    };
    assert_eq!((backend, outcome, took_ms, ended), (0x0312_4a07, Outcome::Ok, 18.5, true));
}

#[test]
fn writes_the_example_replies() {
    let mut reply = ReplyFrame::default();
    reply.clear();
    assert_eq!(reply.finish(1), bytes("0000000c 00000000 00000001"));
    reply.clear();
    let request = 0x0001_6b86_5d3a_91c4;
    reply.push_action(3, &Action::Send { request, backend: 0x0312_4a07, timeout_ms: 80.0, write_by: None });
    reply.push_action(3, &Action::SetTimer { after_ms: 500.0, token: 77 });
    reply.push_action(5, &Action::Log("two servers known".into()));
    let expected = bytes(
        "00000052 00000003 0000000c
         40 00000003 00016b865d3a91c4 03124a07 4054000000000000
         44 00000003 407f400000000000 000000000000004d
         48 00000005 0011 74776f2073657276657273206b6e6f776e",
    );
    assert_eq!(reply.finish(12), expected);
}

#[test]
#[allow(clippy::too_many_lines, reason = "one check per field")]
fn reads_every_field_of_every_event() {
    let frame = batch_frame(
        "02 00000003 0000000000000007 0000000000000000 0102 05 4028000000000000 06 406e000000000000
         03 00000003 0000000000000007 02 4022800000000000 03124a07
         04 00000003 0000000000000007 02 03124a07 00fd 4032800000000000 00 05 3f000000 3f800000 40000000
            40800000 41000000
         07 00000003 2c9011f2 3ff8000000000000 00fc 01 3f000000
         08 00000003 0002 0004 68692037",
        5,
    );
    let (header, body) = split(&frame);
    let found = wire::parse_records(&header, body).expect("valid records");
    let found: Vec<_> = found
        .into_iter()
        .map(|record| match record {
            Record::Event { instance: 3, event } => event,
            other => panic!("{other:?}"),
        })
        .collect();
    let report = |values: &[f32]| {
        let mut report = LoadReport { len: values.len() as u8, ..LoadReport::default() };
        report.values[..values.len()].copy_from_slice(values);
        report
    };
    let expected = [
        // Expected work without its flag is ignored, and key 0 means no key.
        Event::Request {
            id: 7,
            key: None,
            class: 5,
            tenant: 258,
            expected_work_ms: None,
            is_retry: true,
            is_write: true,
            timeout_ms: 240.0,
        },
        Event::FirstByte { request: 7, attempt: 2, backend: 0x0312_4a07, took_ms: 9.25 },
        // Report values after the fourth are skipped.
        Event::Outcome {
            request: 7,
            attempt: 2,
            backend: 0x0312_4a07,
            outcome: Outcome::Timeout,
            took_ms: 18.5,
            ended: false,
            report: report(&[0.5, 1.0, 2.0, 4.0]),
        },
        Event::ProbeResult {
            backend: 0x2c90_11f2,
            outcome: Outcome::ConnectFailed,
            took_ms: 1.5,
            report: report(&[0.5]),
        },
        Event::Message { from: 2, bytes: b"hi 7" },
    ];
    assert_eq!(found, expected);
}

#[test]
fn reads_every_record_other_than_events() {
    let frame = batch_frame(
        "00 00000003 0000000000000009 00000002 7b7d
         01 00000003 00 00000029 0f
         01 00000003 01 0000002a 01
         01 00000003 02 0000002b 02
         01 00000003 03 0000002c ff
         09 00000003
         0a 0f 00000003
         00000001 0002 03 0004 00 3f800000 0000000000000000
         00000002 0002 03 0004 01 3f800000 0000000000000000
         00000003 0002 03 0004 02 3fc00000 40b7d40000000000",
        7,
    );
    let (header, body) = split(&frame);
    let found = wire::parse_records(&header, body).expect("valid records");
    let list_change = |kind, version, slot| Record::EndpointsChanged { instance: 3, kind, version, slot };
    let entry = |id, state, rating, started_at| BackendInfo {
        id,
        zone: 2,
        kind: 3,
        cell: 4,
        state,
        rating,
        started_at,
    };
    let endpoints = vec![
        entry(1, BackendState::Draining, 1.0, None),
        entry(2, BackendState::Gone, 1.0, None),
        entry(3, BackendState::Ready, 1.5, Some(6_100.0)),
    ];
    let expected = [
        Record::Provision { instance: 3, seed: 9, settings: b"{}" },
        list_change(ListKind::Delta, 41, 15),
        list_change(ListKind::Full, 42, 1),
        list_change(ListKind::Cached, 43, 2),
        list_change(ListKind::Failed, 44, 255),
        Record::Halt { instance: 3 },
        Record::EndpointList { slot: 15, endpoints },
    ];
    assert_eq!(found, expected);
}

#[test]
fn reads_every_outcome() {
    let codes = [
        ("0000", Outcome::Ok),
        ("00ff", Outcome::Error),
        ("00fe", Outcome::Rejected),
        ("00fd", Outcome::Timeout),
        ("00fc", Outcome::ConnectFailed),
        ("00fb", Outcome::Reset),
        ("00fa", Outcome::Cancelled),
        ("00f9", Outcome::NotSent),
    ];
    for (code, outcome) in codes {
        let frame = batch_frame(&format!("07 00000003 2c9011f2 3ff8000000000000 {code} 00"), 1);
        let (header, body) = split(&frame);
        let event =
            Event::ProbeResult { backend: 0x2c90_11f2, outcome, took_ms: 1.5, report: LoadReport::default() };
        assert_eq!(
            wire::parse_records(&header, body),
            Ok(vec![Record::Event { instance: 3, event }]),
            "{code}"
        );
    }
}

#[test]
#[allow(clippy::too_many_lines, reason = "one check per field")]
fn writes_every_action() {
    let mut reply = ReplyFrame::default();
    reply.clear();
    let (request, backend) = (0x0001_6b86_5d3a_91c4, 0x0312_4a07);
    reply.push_action(3, &Action::Send { request, backend, timeout_ms: 80.0, write_by: None });
    reply.push_action(
        3,
        &Action::Reject { request, retry_after_ms: 500.0, reason: UnservedReason::TierLimit },
    );
    reply.push_action(3, &Action::Fail { request, reason: UnservedReason::NoTimeLeft });
    reply.push_action(3, &Action::Cancel { request, attempt: 2 });
    reply.push_action(3, &Action::SetTimer { after_ms: 500.0, token: 77 });
    reply.push_action(3, &Action::Probe { backend });
    reply.push_action(3, &Action::CloseIdle { backend });
    reply.push_action(3, &Action::Message { to: Some(2), bytes: b"hi 7".to_vec() });
    reply.push_action(3, &Action::Message { to: None, bytes: b"hi 7".to_vec() });
    reply.push_action(3, &Action::Log("two".into()));
    reply.push_fatal(3, "bad");
    reply.push_action(3, &Action::Subscribe { on: true });
    reply.push_action(3, &Action::Subscribe { on: false });
    reply.push_action(3, &Action::Fetch);
    let records = bytes(
        "40 00000003 00016b865d3a91c4 03124a07 4054000000000000
         41 00000003 00016b865d3a91c4 407f400000000000
         42 00000003 00016b865d3a91c4
         43 00000003 00016b865d3a91c4 02
         44 00000003 407f400000000000 000000000000004d
         45 00000003 03124a07
         46 00000003 03124a07
         47 00000003 00000002 0004 68692037
         47 00000003 ffffffff 0004 68692037
         48 00000003 0003 74776f
         49 00000003 0003 626164
         4a 00000003 01
         4a 00000003 00
         4b 00000003",
    );
    let mut expected = (records.len() as u32 + 12).to_be_bytes().to_vec();
    expected.extend(14u32.to_be_bytes());
    expected.extend(12u32.to_be_bytes());
    expected.extend(records);
    assert_eq!(reply.finish(12), expected);
}
