use super::*;
use hillstall_proxy_core::tuning::Tuning;

/// A file of these lines, which goes with the test.
fn file(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), text).expect("it is written");
    file
}

fn read(text: &str, env: &[(&str, &str)], flags: &[&str]) -> Result<Operator, Vec<Wrong>> {
    let file = file(text);
    let sources = Sources {
        file: Some(file.path().to_path_buf()),
        flags: flags.iter().map(ToString::to_string).collect(),
    };
    Operator::read(&sources, |name| env.iter().find(|(n, _)| *n == name).map(|(_, v)| v.to_string()))
}

fn told(text: &str) -> Vec<String> {
    read(text, &[], &[]).expect_err("it is wrong").iter().map(ToString::to_string).collect()
}

#[test]
fn the_defaults_are_those_of_the_core() {
    let operator = Operator::read(&Sources::default(), |_| None).expect("the defaults");
    assert_eq!(keys::tuning(&operator), Tuning::default());
    assert!(operator.shown().all(|(_, _, from)| *from == Origin::Default));
    assert_eq!(operator.shown().count(), KEYS.len());
}

#[test]
fn a_flag_goes_before_the_environment_and_that_before_the_file() {
    let text = "[pool]\nrest = \"3ms\"\nkept = 5\nwaits = 6\n";
    let env = [("HILLSTALL_POOL_KEPT", "7"), ("HILLSTALL_POOL_WAITS", "8")];
    let operator = read(text, &env, &["pool.waits=9"]).expect("it is right");
    assert_eq!(operator.time("pool.rest"), Duration::from_millis(3));
    assert_eq!((operator.count("pool.kept"), operator.count("pool.waits")), (7, 9));
    let from: Vec<String> = operator.shown().map(|(_, _, from)| from.to_string()).collect();
    assert!(from.iter().any(|f| f.ends_with(":2")) && from.contains(&"$HILLSTALL_POOL_KEPT".to_string()));
}

#[test]
fn all_faults_are_told_at_once_with_line_and_key() {
    let text = "[pool]\nrest = \"3\"\nkpet = 5\nwaits = \"6\"\n\n[callers]\nidle = \"1ms\"\nidel = \"2s\"\n\
                [messages]\nheld = \"64\"\nstall = 5\nread_ahead = [1]\n";
    let told = told(text);
    let expected = [
        (":2: pool.rest: ", "with its unit"),
        (":3: pool.kpet: ", "did you mean pool.kept?"),
        (":4: pool.waits: ", "without quotes"),
        (":7: callers.idle: ", "out of bounds: from 100ms to 1h"),
        (":8: callers.idel: ", "did you mean callers.idle?"),
        (":10: messages.held: ", "with its unit"),
        (":11: messages.stall: ", "with its unit"),
        (":12: messages.read_ahead: ", "has no meaning here"),
    ];
    for (place, why) in expected {
        assert!(told.iter().any(|t| t.contains(place) && t.contains(why)), "{place}{why} in {told:#?}");
    }
    assert_eq!(told.len(), expected.len(), "{told:#?}");
}

#[test]
fn text_that_is_no_toml_a_file_that_is_not_there_and_keys_at_odds_are_told() {
    assert!(told("[pool\nrest = 1\n").iter().any(|t| t.contains(":1: ")));
    assert!(told("[messages]\nlongest = \"32KiB\"\n")[0].contains("must not be above"));
    let sources = Sources { file: Some("/nowhere/at-all.toml".into()), flags: vec!["pool.rest".into()] };
    let wrong = Operator::read(&sources, |_| None).expect_err("there is none");
    assert!(wrong[0].to_string().starts_with("/nowhere/at-all.toml: "));
    assert!(wrong[1].to_string().contains("not KEY=VALUE"));
}

#[test]
fn every_shown_value_can_be_read_again() {
    let operator = Operator::read(&Sources::default(), |_| None).expect("the defaults");
    for (key, value, _) in operator.shown() {
        assert_eq!(key.kind.read(&value.to_string()), Ok(value), "{}", key.name);
    }
}

proptest::proptest! {
    #[test]
    fn no_text_makes_the_reader_panic(text in "(\\[[a-z.\"]{0,9}\\]\n)?([a-z._]{0,12} ?= ?[\"a-zA-Z0-9.\\[\\]{}#-]{0,12}\n){0,6}") {
        let _ = read(&text, &[], &[]);
    }
}
