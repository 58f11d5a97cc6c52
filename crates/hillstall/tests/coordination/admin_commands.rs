//! Every admin command of coordination with its exact answer. Only [`masked`] replaces what varies from run
//! to run.

use crate::scenario::{
    ensure, inject_fault, run_scenario, wait_until_settled, COORDINATOR_LEASE, STEP_TIMEOUT,
};
use hillstall_fault_injection::coordination_fleet::links_from;
use hillstall_fault_injection::fleet::Fleet;
use hillstall_fault_injection::tcp_proxy::Fault;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Three people, one of whom has two names.
const PEOPLE: &str = "people = [[\"mira\", \"m.k\"], [\"tom\"], [\"ann\"]]\n";
/// An instance that is no replica.
const FOLLOWER: usize = 4;
const USAGE: &str = "400 there are FLEET [HANDOVER DUTY], WINDOW [PLAN|CANCEL|END], \
    INCIDENT [OPEN|TAKE|RESOLVE|REMEDY], CHANGE [ASK|EMERGENCY|DONE|CLEAR] and RECORD\n";

/// Words whose following word varies from run to run.
const NAMES_OF_VARYING_WORDS: [&str; 9] =
    ["life", "keeper", "leader", "members", "held", "token", "follows", "age", "index"];

/// Replaces the word after each of [`NAMES_OF_VARYING_WORDS`] and the time in `ask again in TIME ms` by `*`.
/// Removes the word `leads`, which only the replica that is the leader has.
fn masked(answer: &str) -> String {
    let lines = answer.lines().map(|line| {
        let mut words: Vec<&str> = Vec::new();
        for word in line.split(' ') {
            let before = words.last().copied().unwrap_or_default();
            let varies =
                NAMES_OF_VARYING_WORDS.contains(&before) || (before == "in" && words.contains(&"again"));
            words.push(if varies { "*" } else { word });
        }
        words.retain(|word| *word != "leads");
        words.join(" ") + "\n"
    });
    lines.collect()
}

/// Sends commands to an instance; fails unless each answer is as expected. A list shows the state of that
/// instance, which may lag behind the answer to a command that changed it, so a list is requested until it is
/// as expected.
async fn assert_answers(fleet: &Fleet, process: usize, commands: &[(&str, &str)]) -> Result<(), String> {
    let mut violations = Vec::new();
    for (line, wanted) in commands {
        let is_list = wanted.ends_with("EOF\n");
        let answer = match is_list {
            true => fleet.wait_for_answer(process, line, STEP_TIMEOUT, |text| masked(text) == *wanted).await,
            false => fleet.admin_command(process, line).await.ok_or_else(|| "no answer".to_owned()),
        };
        match answer.map(|text| masked(&text)) {
            Ok(answer) if answer == *wanted => {}
            Ok(other) | Err(other) => violations.push(format!("{line}: got {other:?}, expected {wanted:?}")),
        }
    }
    ensure(violations.is_empty(), || violations.join("\n"))
}

/// Invalid commands and their answers.
const INVALID_COMMANDS: &[(&str, &str)] = &[
    ("FLEET NOW", USAGE),
    ("FLEET HANDOVER", "400 the duty is missing\n"),
    (
        "FLEET HANDOVER Shift",
        "400 a duty's name has 1 to 64 of a-z, 0-9, '-', '.', '_' and '/': \"Shift\"\n",
    ),
    ("FLEET HANDOVER shift/nowhere", "400 this copy does not hold shift/nowhere\n"),
    ("FLEET age=3", "400 age= has no meaning here\n"),
    ("RECORD 5", USAGE),
    ("WINDOW OPEN", USAGE),
    ("WINDOW PLAN", "400 begin= is missing\n"),
    (
        "WINDOW PLAN zone-1 begin=soon length=1h lead=15m",
        "400 begin: \"soon\" is no moment, like 2026-05-03T02:00[Europe/Berlin]\n",
    ),
    ("WINDOW PLAN begin=2090-05-03T00:00Z length=1h lead=15m", "400 the site is missing\n"),
    ("WINDOW PLAN zone-1 begin=2090-05-03T00:00Z lead=15m", "400 length= is missing\n"),
    ("WINDOW PLAN zone-1 begin=2090-05-03T00:00Z length=1h", "400 lead= is missing\n"),
    (
        "WINDOW PLAN zone-1 begin=2090-05-03T00:00Z length=1 lead=15m",
        "400 length: time unit needed, for example 1sec or 1ms\n",
    ),
    (
        "WINDOW PLAN zone-1 begin=2090-05-03T00:00Z length=1h lead=15m overrun=stay",
        "400 overrun: \"stay\" is none of return, hold\n",
    ),
    (
        "WINDOW PLAN zone-1 begin=2090-05-03T00:00Z length=1h lead=15m reserve=x",
        "400 reserve: invalid digit found in string\n",
    ),
    (
        "WINDOW PLAN zone-1 begin=2090-05-03T00:00Z length=1h lead=15m reserve=91",
        "409 a reserve is at most 90 in a hundred\n",
    ),
    (
        "WINDOW PLAN zone-1 begin=2090-05-03T00:00Z length=13h lead=15m",
        "409 a window lasts up to 12 hours, and its lead up to 6\n",
    ),
    (
        "WINDOW PLAN zone:1 begin=2090-05-03T00:00Z length=1h lead=15m",
        "409 a site's name has 1 to 64 letters, digits, '-', '.', '_', '/' or '@'\n",
    ),
    (
        "WINDOW PLAN zone-1 begin=2090-05-03T00:00Z length=1h lead=15m late=1h",
        "400 late= has no meaning here\n",
    ),
    ("WINDOW CANCEL", "400 the window's number is missing\n"),
    ("WINDOW CANCEL x", "400 the window's number: invalid digit found in string\n"),
    ("WINDOW CANCEL 77", "409 there is no window of that number\n"),
    ("WINDOW END", "400 the window's number is missing\n"),
    ("WINDOW END 77", "409 there is no window of that number\n"),
    ("INCIDENT CLOSE", USAGE),
    ("INCIDENT OPEN", "400 the severity is missing\n"),
    ("INCIDENT OPEN bad fleet ann", "400 the severity: \"bad\" is no severity: minor, major, critical\n"),
    ("INCIDENT OPEN minor", "400 the scope is missing\n"),
    (
        "INCIDENT OPEN minor here ann",
        "400 the scope: \"here\" is no scope: \
         fleet, keepers, site:NAME, tier:NAME, class:NAME, tenant:NAME or copy:SITE/RANK\n",
    ),
    ("INCIDENT OPEN minor fleet", "400 the person is missing\n"),
    ("INCIDENT OPEN minor fleet eve", "400 \"eve\" is nobody of fleet.people\n"),
    ("INCIDENT TAKE", "400 the incident's number is missing\n"),
    ("INCIDENT TAKE 77 ann", "400 there is none of that number\n"),
    ("INCIDENT TAKE 77", "400 the person is missing\n"),
    ("INCIDENT RESOLVE", "400 the incident's number is missing\n"),
    ("INCIDENT RESOLVE 77", "400 the person is missing\n"),
    ("INCIDENT RESOLVE 77 ann", "400 there is none of that number\n"),
    ("INCIDENT REMEDY", "400 the incident's number is missing\n"),
    ("INCIDENT REMEDY 77", "400 the change's number is missing\n"),
    ("INCIDENT REMEDY 77 78", "400 the person is missing\n"),
    ("INCIDENT REMEDY 77 78 ann", "400 there is none of that number\n"),
    ("CHANGE DRAIN", USAGE),
    ("CHANGE ASK", "400 the kind is missing\n"),
    (
        "CHANGE ASK dran fleet tom",
        "400 the kind: \"dran\" is no kind of change: operator-file, upgrade, drain, window, keeper, settings\n",
    ),
    ("CHANGE ASK drain", "400 the scope is missing\n"),
    ("CHANGE ASK drain fleet", "400 the person is missing\n"),
    ("CHANGE ASK drain fleet eve", "400 \"eve\" is nobody of fleet.people\n"),
    ("CHANGE ASK drain fleet tom worth=256", "400 worth: number too large to fit in target type\n"),
    ("CHANGE ASK drain fleet tom for=9", "400 for: time unit needed, for example 9sec or 9ms\n"),
    ("CHANGE ASK drain fleet tom for=25h", "400 a change runs for 1 ms to a day\n"),
    (
        "CHANGE ASK drain fleet tom reaction=wait",
        "400 reaction: \"wait\" is no reaction: finish, pause, undo\n",
    ),
    ("CHANGE ASK drain fleet tom fro=9s", "400 fro= has no meaning here\n"),
    ("CHANGE EMERGENCY", "400 the kind is missing\n"),
    ("CHANGE DONE", "400 the change's number is missing\n"),
    ("CHANGE DONE 77", "400 there is none of that number\n"),
    ("CHANGE CLEAR", "400 the change's number is missing\n"),
    ("CHANGE CLEAR 77", "400 the person is missing\n"),
    ("CHANGE CLEAR 77 ann", "400 there is none of that number\n"),
    ("PONG", "400 not a call; there are PING, INFO, LAMEDUCK and REJOIN\n"),
    ("PING", "200 serving\n"),
];

/// Windows, incidents and changes in one sequence. Incidents and changes are numbered in order, from 1.
const COMMAND_SEQUENCE: &[(&str, &str)] = &[
    ("WINDOW", "EOF\n"),
    ("INCIDENT", "EOF\n"),
    ("CHANGE", "EOF\n"),
    ("RECORD", "EOF\n"),
    (
        "WINDOW PLAN zone-1 begin=2090-05-03T02:00[Europe/Berlin] length=1h lead=15m latest=10m reserve=20 overrun=hold",
        "200 agreed\n",
    ),
    ("WINDOW PLAN zone-2 begin=2090-05-04T02:00Z length=1h lead=15m", "200 agreed\n"),
    ("WINDOW END 1", "409 the window is planned\n"),
    ("WINDOW CANCEL 2", "200 agreed\n"),
    ("WINDOW CANCEL 2", "409 the window is cancelled\n"),
    (
        "WINDOW",
        "1 zone-1 planned begin=2090-05-03T00:00:00Z part=100%\n\
         2 zone-2 cancelled begin=2090-05-04T02:00:00Z part=100% why=called off\nEOF\n",
    ),
    ("CHANGE ASK upgrade site:zone-1 tom worth=7 for=5m reaction=undo", "200 1 permit\n"),
    ("CHANGE ASK drain site:zone-1 mira", "202 2 waits behind change 1\n"),
    ("INCIDENT OPEN critical tenant:acme ann boxes are gone rack=7", "200 3\n"),
    ("CHANGE ASK settings site:zone-2 m.k", "409 4 barred by incident 3; ask again in * ms\n"),
    ("CHANGE EMERGENCY settings site:zone-0 m.k", "202 5 waits for a second person\n"),
    (
        "CHANGE EMERGENCY settings site:zone-0 mira",
        "400 the same person has asked already; an emergency takes two\n",
    ),
    ("CHANGE EMERGENCY settings site:zone-0 tom", "200 5 permit\n"),
    (
        "CHANGE",
        "1 upgrade site:zone-1 reacts by=tom\n2 drain site:zone-1 waits by=mira\n\
         4 settings site:zone-2 waits by=mira\n5 settings site:zone-0 in-flight by=mira emergency\nEOF\n",
    ),
    ("INCIDENT TAKE 3 m.k", "200 3\n"),
    ("INCIDENT", "3 critical tenant:acme active by=ann taken=mira boxes are gone rack=7\nEOF\n"),
    ("INCIDENT REMEDY 3 2 ann", "200 3\n"),
    ("CHANGE DONE 1", "200 1\n"),
    ("CHANGE CLEAR 5 ann", "200 5\n"),
    (
        "CHANGE",
        "2 drain site:zone-1 in-flight by=mira\n4 settings site:zone-2 waits by=mira\nEOF\n",
    ),
    ("INCIDENT RESOLVE 3 ann", "200 3\n"),
    ("INCIDENT RESOLVE 3 ann", "400 it has changed since\n"),
    ("INCIDENT", "3 critical tenant:acme cooling by=ann taken=mira boxes are gone rack=7\nEOF\n"),
    (
        "RECORD",
        "1 1 upgrade at site:zone-1 asked for by tom\n2 1 permit given\n\
         3 2 drain at site:zone-1 asked for by mira\n\
         4 3 critical incident at tenant:acme by Person(\"ann\")\n5 1 has to undo for incident 3\n\
         6 4 settings at site:zone-2 asked for by mira\n7 5 emergency settings at site:zone-0 by mira\n\
         8 5 emergency seconded by tom\n9 5 permit given\n10 3 taken by mira\n\
         11 3 ann names change 2 as its remedy\n12 1 done\n13 2 permit given\n14 5 cleared by ann\n\
         15 3 resolved by Person(\"ann\")\nEOF\n",
    ),
];

/// The lines on the fleet in the answer to `FLEET`, which follow those on the instance.
const FLEET_STATUS: &str = "index * gates open\n\
    duty freeze/coordinator held * token * standing 2\nduty shift/zone-0 held * token * standing 2\n\
    duty shift/zone-1 held * token * standing 2\nduty shift/zone-2 held * token * standing 2\n\
    part zone-0 1.000\npart zone-1 1.000\npart zone-2 1.000\nEOF\n";

#[test]
fn each_command_has_its_answer() {
    run_scenario("drill-duties", 3, PEOPLE, |fleet| async move {
        wait_until_settled(&fleet).await?;
        assert_answers(&fleet, FOLLOWER, INVALID_COMMANDS).await?;
        assert_answers(&fleet, FOLLOWER, COMMAND_SEQUENCE).await
    });
}

#[test]
fn an_instance_reports_its_status_and_hands_a_lease_over() {
    run_scenario("drill-duties", 3, PEOPLE, |fleet| async move {
        wait_until_settled(&fleet).await?;
        let (owner, _) = fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[], STEP_TIMEOUT).await?;
        let replica = (owner + 1) % 3;
        let of_replica =
            format!("copy {replica} life * site zone-{replica}\nkeeper * leader * members *\n{FLEET_STATUS}");
        assert_answers(&fleet, replica, &[("FLEET", &of_replica)]).await?;
        let of_follower = format!("copy 4 life * site zone-1\nfollows * connected age *\n{FLEET_STATUS}");
        assert_answers(&fleet, FOLLOWER, &[("FLEET", &of_follower)]).await?;
        let text = fleet.admin_command(owner, "FLEET").await.unwrap_or_default();
        let held: Vec<String> = text.lines().filter(|line| line.starts_with("holds ")).map(masked).collect();
        ensure(held.contains(&"holds freeze/coordinator token *\n".to_owned()), || text.clone())?;
        assert_answers(&fleet, owner, &[("FLEET HANDOVER freeze/coordinator", "200 handed over\n")]).await
    });
}

#[test]
fn a_follower_without_replicas_answers_504() {
    run_scenario("drill-duties", 3, PEOPLE, |fleet| async move {
        wait_until_settled(&fleet).await?;
        inject_fault(&fleet, Fault::Silent, links_from(FOLLOWER))?;
        let unknown =
            "504 the keepers have not answered; it may still be carried out, and asking again is harmless\n";
        assert_answers(&fleet, FOLLOWER, &[("CHANGE ASK drain site:zone-0 tom", unknown)]).await?;
        fleet.set_fault(Fault::None, links_from(FOLLOWER));
        Ok(())
    });
}

/// Replaces the values of some fields of a JSON line by `*`.
fn without_values(line: &str, names: &[&str]) -> String {
    let mut line = line.to_owned();
    for name in names {
        let prefix = format!("\"{name}\":");
        let Some(start) = line.find(&prefix).map(|at| at + prefix.len()) else { continue };
        let end = start + line[start..].find([',', '}']).expect("a field ends");
        line.replace_range(start..end, "*");
    }
    line
}

/// Waits until an instance has logged an audit line on the coordinator's lease, in exactly this form.
async fn wait_for_audit_line(fleet: &Fleet, process: usize, event: &str) -> Result<(), String> {
    let expected = format!(
        "{{\"timestamp\":*,\"level\":\"INFO\",\"message\":\"fleet {event}\",\"copy\":{process},\"life\":*,\
         \"at\":*,\"duty\":\"freeze/coordinator\",\"token\":*,\"target\":\"hillstall_coordination::runtime\"}}"
    );
    let is_written = || {
        let log = std::fs::read_to_string(fleet.processes[process].log()).unwrap_or_default();
        log.lines().any(|line| without_values(line, &["timestamp", "life", "at", "token"]) == expected)
    };
    let end = Instant::now() + STEP_TIMEOUT;
    while !is_written() && Instant::now() < end {
        sleep(Duration::from_millis(50)).await;
    }
    ensure(is_written(), || format!("{expected} is not in the log"))
}

#[test]
fn audit_lines_have_this_form() {
    run_scenario("drill-duties", 3, PEOPLE, |fleet| async move {
        wait_until_settled(&fleet).await?;
        let (owner, _) = fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[], STEP_TIMEOUT).await?;
        // The runtime polls which leases it holds, so a lease that is released at once would not be logged.
        wait_for_audit_line(&fleet, owner, "holds").await?;
        assert_answers(&fleet, owner, &[("FLEET HANDOVER freeze/coordinator", "200 handed over\n")]).await?;
        wait_for_audit_line(&fleet, owner, "lost").await
    });
}
