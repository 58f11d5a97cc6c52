//! Plays drills, four at a time at the most, and again, alone, where the rig itself was late.

use hillstall_decision::Settings;
use hillstall_fault_injection::fleet::{Fleet, LinkEnds, SettingsFault};
use hillstall_fault_injection::history::History;
use hillstall_fault_injection::invariant_checker::{Rule, Verdict};
use hillstall_fault_injection::run::Script;
use hillstall_fault_injection::soak::InjectedFault;
use hillstall_fault_injection::tcp_proxy::TransferredBytes;
use hillstall_fault_injection::{Options, ScenarioRun};
use hillstall_simulation::scenarios;
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::sync::{Condvar, Mutex, PoisonError};
use tokio::time::sleep_until;

/// Drills that run side by side: more would make each other late on four cores.
const SIDE_BY_SIDE: usize = 4;
/// Far above anything seen, so that a hang fails.
pub const PATIENCE: std::time::Duration = std::time::Duration::from_secs(30);
/// How often a drill is played before a late rig is a failure of its own.
const PLAYS: usize = 5;

/// How many run, and how many wait for the machine to themselves.
struct Busy {
    running: usize,
    wanted: usize,
}

static BUSY: (Mutex<Busy>, Condvar) = (Mutex::new(Busy { running: 0, wanted: 0 }), Condvar::new());

struct Turn(usize);

impl Turn {
    /// One place of those side by side; or all of them, once the machine had too little time for that.
    fn take(alone: bool) -> Turn {
        let mut busy = BUSY.0.lock().unwrap_or_else(PoisonError::into_inner);
        busy.wanted += usize::from(alone);
        let waits = |busy: &mut Busy| match alone {
            true => busy.running > 0,
            false => busy.running >= SIDE_BY_SIDE || busy.wanted > 0,
        };
        let mut free = BUSY.1.wait_while(busy, waits).unwrap_or_else(PoisonError::into_inner);
        let places = if alone { SIDE_BY_SIDE } else { 1 };
        free.wanted -= usize::from(alone);
        free.running += places;
        Turn(places)
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        BUSY.0.lock().unwrap_or_else(PoisonError::into_inner).running -= self.0;
        BUSY.1.notify_all();
    }
}

/// What a drill came to.
pub struct Played(pub ScenarioRun);

impl Played {
    /// Fails with the whole way of the first requests, if a rule was broken.
    pub fn keeps_the_rules(&self) {
        assert!(matches!(self.0.verdict, Verdict::Passed), "{}", self.0.report());
    }

    /// Fails if the referee did not see a rule broken that was broken on purpose.
    pub fn breaks(&self, rule: Rule) {
        assert!(self.0.verdict.violates(rule), "{} is not seen broken: {}", rule.name(), self.0.report());
    }
}

/// Plays a scenario that comes with the program. The options are made anew for each play, as a void drill is repeated.
pub fn drill_with(name: &str, seed: u64, options: impl Fn() -> Options) -> Played {
    let scenario = scenarios::find(name).expect("embedded");
    play_until_valid(name, || {
        hillstall_fault_injection::run(program(), &scenario, seed, options()).expect("it can be played")
    })
}

/// The soak of a seed, with what is done beside it to break a rule, if anything.
pub fn soak(seed: u64, sabotage: Option<InjectedFault>) -> Played {
    play_until_valid(&format!("soak of seed {seed}"), || {
        hillstall_fault_injection::soak::run(program(), seed, None, sabotage).expect("it can be played")
    })
}

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_hillstall"))
}

/// Plays until the rig was in time. Each void play is printed.
fn play_until_valid(name: &str, play: impl Fn() -> ScenarioRun) -> Played {
    let mut why = String::new();
    for number in 0..PLAYS {
        let _turn = Turn::take(number > 0);
        let drilled = play();
        assert!(drilled.processes >= 6, "a fleet is more than {} processes", drilled.processes);
        match &drilled.verdict {
            Verdict::Void(late) => why = late.clone(),
            _ => return Played(drilled),
        }
        println!("{name}: play {} of {PLAYS} was void: {why}", number + 1);
    }
    panic!("{name}: void {PLAYS} times: {why}");
}

/// The same with a lie to the proxies.
pub fn lied(name: &str, seed: u64, lie: impl Fn(&mut Settings) + 'static) -> Played {
    let lie: SettingsFault = Rc::new(lie);
    drill_with(name, seed, || Options { settings_fault: Some(lie.clone()), ..Options::default() })
}

/// As it is.
pub fn drill(name: &str, seed: u64) -> Played {
    drill_with(name, seed, Options::default)
}

/// With something done beside the calls.
pub fn scripted<F>(name: &str, seed: u64, script: impl Fn(Rc<Fleet>) -> F + Clone + 'static) -> Played
where
    F: std::future::Future<Output = ()> + 'static,
{
    drill_with(name, seed, || {
        let script = script.clone();
        let script: Script = Box::new(move |fleet| Box::pin(script(fleet)));
        Options { script: Some(script), ..Options::default() }
    })
}

/// What passed over some links at some times (s).
pub type Looks = Rc<RefCell<Vec<TransferredBytes>>>;

/// Looks at links at some times; what passed by then is written down.
pub async fn look(fleet: Rc<Fleet>, looks: Looks, times: [f64; 3], which: fn(LinkEnds) -> bool) {
    looks.borrow_mut().clear();
    for at in times {
        wait(&fleet.history, at).await;
        looks.borrow_mut().push(fleet.transferred(which));
    }
}

/// Waits until so many seconds after the first call.
pub async fn wait(history: &History, at: f64) {
    sleep_until(history.instant(at * 1e3)).await;
}

/// Service in points of 100.
pub fn service(played: &Played) -> f64 {
    100.0 * played.0.summary.service
}
