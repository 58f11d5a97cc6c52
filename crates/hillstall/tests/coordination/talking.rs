//! Plays a drill with a script, and judges its record.

use crate::harness::{drill_with, Played};
use hillstall_fault_injection::coordination_fleet::{judge, AuditLine, CoordinationOptions};
use hillstall_fault_injection::fleet::{Fleet, LinkEnds};
use hillstall_fault_injection::process_supervisor::ProcessSignal;
use hillstall_fault_injection::run::Script;
use hillstall_fault_injection::tcp_proxy::Fault;
use hillstall_fault_injection::Options;
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Far above what any step takes; past it a drill fails with what the copies said last.
pub const SOON: Duration = Duration::from_secs(8);

pub const COORDINATOR: &str = "freeze/coordinator";

/// What a script comes to.
pub type Told = Result<(), String>;

/// A drill of copies that talk.
pub struct Talked {
    pub played: Played,
    pub acts: Vec<AuditLine>,
}

/// How often a drill is played that a busy machine kept from its course.
const PLAYS: usize = 3;
/// What such a drill comes to begins with this.
pub const BUSY: &str = "busy: ";

/// Plays a scenario; the script has to come to its end, and the record and the rules have to be kept.
pub fn talk<F>(
    name: &str,
    keepers: usize,
    section: &str,
    script: impl Fn(Rc<Fleet>) -> F + Clone + 'static,
) -> Talked
where
    F: Future<Output = Told> + 'static,
{
    let mut why = String::new();
    for _ in 0..PLAYS {
        match play(name, keepers, section, script.clone()) {
            Ok(told) => {
                let wrong = judge(&told.acts);
                assert!(wrong.is_empty(), "{}", wrong.join("\n"));
                told.played.keeps_the_rules();
                return told;
            }
            Err(busy) if busy.starts_with(BUSY) => why = busy,
            Err(wrong) => panic!("{name}: {wrong}"),
        }
    }
    panic!("{name}: {PLAYS} times: {why}");
}

fn play<F>(
    name: &str,
    keepers: usize,
    section: &str,
    script: impl Fn(Rc<Fleet>) -> F + Clone + 'static,
) -> Result<Talked, String>
where
    F: Future<Output = Told> + 'static,
{
    let came: Rc<RefCell<(Option<Told>, Vec<AuditLine>)>> = Rc::default();
    let played = drill_with(name, 1, || {
        let (script, came) = (script.clone(), came.clone());
        came.replace((None, Vec::new()));
        let whole: Script = Box::new(move |fleet| {
            Box::pin(async move {
                let told = script(fleet.clone()).await.map_err(|why| story(&fleet, why));
                came.replace((Some(told), fleet.acts()));
            })
        });
        let talk = Some(CoordinationOptions { keepers, section: section.to_owned() });
        Options { script: Some(whole), talk, ..Options::default() }
    });
    let (told, acts) = came.take();
    match told {
        Some(Ok(())) => Ok(Talked { played, acts }),
        Some(Err(why)) => Err(why),
        None => Err("the script did not come to its end".into()),
    }
}

/// What the copies wrote of their part in the fleet, behind a failure.
fn story(fleet: &Fleet, why: String) -> String {
    let mut text = why;
    for process in &fleet.processes {
        let log = std::fs::read_to_string(process.log()).unwrap_or_default();
        let lines: Vec<&str> =
            log.lines().filter(|l| l.contains("fleet") || l.contains("panicked")).collect();
        let from = lines.len().saturating_sub(12);
        lines[from..].iter().for_each(|line| text += &format!("\n  {}: {line}", process.name));
    }
    text
}

/// Fails a script with words.
pub fn sure(so: bool, why: impl FnOnce() -> String) -> Told {
    if so {
        Ok(())
    } else {
        Err(why())
    }
}

/// Says a line to a copy, whose answer has to begin as wanted.
pub async fn says(fleet: &Fleet, process: usize, line: &str, begins: &str) -> Result<String, String> {
    let text = fleet.line(process, line).await.unwrap_or_default();
    sure(text.starts_with(begins), || format!("{line}: {text:?} where {begins:?} was wanted"))?;
    Ok(text)
}

/// Kills a copy, and waits until it has ended.
pub async fn kill(fleet: &Fleet, process: usize) -> Told {
    fleet.signal(process, ProcessSignal::Kill)?;
    while fleet.processes[process].runs.get() {
        sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Does something to a fleet's links, and sees that it bites: what passed before, and nothing while it lasts.
pub fn cut(fleet: &Fleet, fault: Fault, which: impl Fn(LinkEnds) -> bool + Copy) -> Told {
    let passed = fleet.passed(which);
    fleet.set(fault, which);
    sure(passed.forth > 0, || "nothing passed over the links that were to be cut".into())
}

/// Waits until all copies know the state and all gates are open.
pub async fn settled(fleet: &Fleet) -> Told {
    for process in 0..fleet.processes.len() {
        fleet.until(process, "FLEET", SOON, |text| text.contains("gates open")).await?;
    }
    fleet.new_owner(COORDINATOR, &[], SOON).await.map(|_| ())
}

/// The time since, in milliseconds, for what was measured.
pub fn since(at: Instant) -> u64 {
    at.elapsed().as_millis() as u64
}
