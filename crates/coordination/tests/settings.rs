//! Reading of the section `[fleet]` of the operator file: valid sections, and errors with their line and key.

use hillstall_coordination::settings::read;
use std::time::Duration;

const VALID: &str =
    "[fleet]\nname = \"shop\"\nkeepers = [\"127.0.0.1:1\", \"127.0.0.1:2\", \"127.0.0.1:3\"]\n";

/// The number of the line that contains an offset, counted from 1.
fn line_at(text: &str, offset: usize) -> usize {
    text[..offset].matches('\n').count() + 1
}

#[test]
fn a_valid_section_is_read_and_an_absent_one_is_none() {
    assert!(read("[log]\nlevel = \"info\"\n").expect("a valid file").is_none());
    let text = format!("{VALID}people = [[\"mira\", \"mk\"]]\nterm = \"3s\"\n");
    let settings = read(&text).expect("a valid section").expect("a section [fleet]");
    let replica = settings.local_replica;
    assert_eq!((settings.replicas.len(), replica, settings.lease_timing.term()), (3, None, 3_000));
    assert_eq!(settings.people["mk"], "mira");
}

#[test]
fn each_error_names_its_line_and_key() {
    let window = |extra_lines: &str| {
        format!("[[fleet.window]]\nsite = \"a\"\nstart = \"2040-05-03T02:00\"\nzone = \"UTC\"\nlength = \"1h\"\nlead = \"10m\"\n{extra_lines}")
    };
    let cases = [
        ("keeper = 0\n".to_owned(), 4, "fleet.keeper", "fleet.listen"),
        ("keeper = 7\nlisten = \"127.0.0.1:9\"\ndisk = \"/x\"\n".to_owned(), 4, "fleet.keeper", "place"),
        ("listen = \"127.0.0.1:9\"\n".to_owned(), 4, "fleet.listen", "only a keeper"),
        ("disk = \"/x\"\n".to_owned(), 4, "fleet.disk", "only a keeper"),
        ("from = [\"here\"]\n".to_owned(), 4, "fleet.from", "IPv4"),
        ("term = \"soon\"\n".to_owned(), 4, "fleet.term", "not a time"),
        ("term = \"10ms\"\n".to_owned(), 4, "fleet.term", "200 ms"),
        ("drift = 40\n".to_owned(), 4, "fleet.drift", "out of bounds"),
        ("step = 0\n".to_owned(), 4, "fleet.step", "out of bounds"),
        ("trem = \"2s\"\n".to_owned(), 4, "fleet.trem", "unknown field"),
        ("people = [[\"a\"], [\"a\"]]\n".to_owned(), 4, "fleet.people", "two people"),
        (window("zone2 = 1\n"), 10, "fleet.window.zone2", "unknown field"),
        (window("every = \"often\"\n"), 10, "fleet.window.every", "calendar"),
        (window("overrun = \"stay\"\n"), 10, "fleet.window.overrun", "none of"),
        (window("reserve = 99\n"), 10, "fleet.window.reserve", "out of bounds"),
    ];
    for (extra_lines, line, key, reason) in cases {
        let text = format!("{VALID}{extra_lines}");
        let errors = read(&text).expect_err(&extra_lines);
        let found = errors.iter().find(|error| error.key == key && error.reason.contains(reason));
        let found = found.unwrap_or_else(|| panic!("{extra_lines}: {errors:?}"));
        assert_eq!(line_at(&text, found.offset), line, "{extra_lines}: {errors:?}");
    }
    let two_windows = format!("{VALID}{}{}", window(""), window("").replace("\"a\"", "\"b\""));
    let settings = read(&two_windows).expect("a valid section").expect("a section [fleet]");
    let conflicts = settings.schedule_conflicts(&[], Duration::from_secs(1_800_000_000));
    let is_second_start =
        |offset: usize, key: &str| key == "fleet.window.start" && line_at(&two_windows, offset) == 10;
    assert!(conflicts.iter().any(|error| is_second_start(error.offset, &error.key)), "{conflicts:?}");
}

proptest::proptest! {
    #[test]
    fn reading_never_panics(text in "(\\[fleet\\]\n)?[ -~\n]{0,200}") {
        let _ = read(&text);
    }
}
