//! Runs fault-injection scenarios, a few at a time. A run that is void because the host was overloaded is
//! repeated with no other run beside it.

use hillstall_decision::Settings;
use hillstall_fault_injection::fleet::{Fleet, LinkEnds, SettingsFault};
use hillstall_fault_injection::history::History;
use hillstall_fault_injection::invariant_checker::{Rule, Verdict};
use hillstall_fault_injection::run::Script;
use hillstall_fault_injection::soak::{InjectedFault, SoakOptions};
use hillstall_fault_injection::tcp_proxy::TransferredBytes;
use hillstall_fault_injection::{Options, ScenarioRun};
use hillstall_simulation::scenarios;
use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::sync::{Condvar, Mutex, PoisonError};
use tokio::time::sleep_until;

/// Runs at a time; more would delay each other on four cores.
const MAX_CONCURRENT_RUNS: usize = 4;
/// Limit of a wait for one event. Far above what any event takes, so that only a hang reaches it.
pub const EVENT_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(30);
/// Number of void runs of a scenario after which its test fails.
const MAX_VOID_RUNS: usize = 5;

/// The use of the slots for runs.
struct SlotUse {
    /// Slots taken; a run without others takes all of them.
    taken: usize,
    /// Runs that wait for all slots. While there are any, no other run takes a slot.
    waiting_for_all: usize,
}

static SLOTS: (Mutex<SlotUse>, Condvar) =
    (Mutex::new(SlotUse { taken: 0, waiting_for_all: 0 }), Condvar::new());

/// The slots that a run has taken, by their number; freed on drop.
struct SlotGuard(usize);

impl SlotGuard {
    /// Waits for one slot, or with `exclusive` for all of them, and takes them.
    fn acquire(exclusive: bool) -> SlotGuard {
        let mut slots = SLOTS.0.lock().unwrap_or_else(PoisonError::into_inner);
        slots.waiting_for_all += usize::from(exclusive);
        let must_wait = |slots: &mut SlotUse| match exclusive {
            true => slots.taken > 0,
            false => slots.taken >= MAX_CONCURRENT_RUNS || slots.waiting_for_all > 0,
        };
        let mut slots = SLOTS.1.wait_while(slots, must_wait).unwrap_or_else(PoisonError::into_inner);
        let count = if exclusive { MAX_CONCURRENT_RUNS } else { 1 };
        slots.waiting_for_all -= usize::from(exclusive);
        slots.taken += count;
        SlotGuard(count)
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        SLOTS.0.lock().unwrap_or_else(PoisonError::into_inner).taken -= self.0;
        SLOTS.1.notify_all();
    }
}

/// A run that is not void.
pub struct ValidRun(pub ScenarioRun);

impl ValidRun {
    /// Panics if an invariant was violated, with the histories of the first requests that violate it.
    pub fn assert_invariants_hold(&self) {
        assert!(matches!(self.0.verdict, Verdict::Passed), "{}", self.0.report());
    }

    /// Panics unless the invariant checker has found a violation of `rule`, which the test causes on purpose.
    pub fn assert_violates(&self, rule: Rule) {
        assert!(
            self.0.verdict.violates(rule),
            "the violation of {} is not detected: {}",
            rule.name(),
            self.0.report()
        );
    }
}

/// Runs an embedded scenario. `options` is called for each run, as void runs are repeated.
pub fn run_with_options(name: &str, seed: u64, options: impl Fn() -> Options) -> ValidRun {
    let scenario = scenarios::find(name).expect("an embedded scenario");
    run_until_valid(name, || {
        hillstall_fault_injection::run(hillstall_path(), &scenario, seed, options())
            .expect("the run can be carried out")
    })
}

/// Runs the shutdown soak with a seed. `injected_fault`, if any, runs beside it to violate an invariant.
pub fn run_soak(seed: u64, injected_fault: Option<InjectedFault>) -> ValidRun {
    run_soak_with(seed, || SoakOptions { injected_fault, ..SoakOptions::default() })
}

/// Like [`run_soak`], with system calls that fail as drawn from the seed.
pub fn run_soak_with_system_faults(seed: u64) -> ValidRun {
    run_soak_with(seed, || SoakOptions { with_system_faults: true, ..SoakOptions::default() })
}

fn run_soak_with(seed: u64, options: impl Fn() -> SoakOptions) -> ValidRun {
    run_until_valid(&format!("soak of seed {seed}"), || {
        hillstall_fault_injection::soak::run(hillstall_path(), seed, options())
            .expect("the run can be carried out")
    })
}

fn hillstall_path() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_hillstall"))
}

/// Runs until a run is not void. Prints the reason of each void run.
fn run_until_valid(name: &str, run_once: impl Fn() -> ScenarioRun) -> ValidRun {
    let mut void_reason = String::new();
    for number in 0..MAX_VOID_RUNS {
        let _slots = SlotGuard::acquire(number > 0);
        let run = run_once();
        assert!(run.processes >= 6, "only {} processes ran, at least 6 are needed", run.processes);
        match &run.verdict {
            Verdict::Void(reason) => void_reason = reason.clone(),
            _ => return ValidRun(run),
        }
        println!("{name}: run {} of {MAX_VOID_RUNS} is void: {void_reason}", number + 1);
    }
    panic!("{name}: {MAX_VOID_RUNS} runs are void, the last one because: {void_reason}");
}

/// Runs an embedded scenario with wrong settings in the proxies, which `fault` makes from the right ones.
pub fn run_with_settings_fault(name: &str, seed: u64, fault: impl Fn(&mut Settings) + 'static) -> ValidRun {
    let fault: SettingsFault = Rc::new(fault);
    run_with_options(name, seed, || Options { settings_fault: Some(fault.clone()), ..Options::default() })
}

/// Runs an embedded scenario as it is.
pub fn run_embedded(name: &str, seed: u64) -> ValidRun {
    run_with_options(name, seed, Options::default)
}

/// Runs an embedded scenario with a script that runs beside the requests.
pub fn run_with_script<F>(
    name: &str,
    seed: u64,
    script: impl Fn(Rc<Fleet>) -> F + Clone + 'static,
) -> ValidRun
where
    F: std::future::Future<Output = ()> + 'static,
{
    run_with_options(name, seed, || {
        let script = script.clone();
        let script: Script = Box::new(move |fleet| Box::pin(script(fleet)));
        Options { script: Some(script), ..Options::default() }
    })
}

/// Bytes transferred over some links, sampled at several times.
pub type TransferSamples = Rc<RefCell<Vec<TransferredBytes>>>;

/// Samples the bytes transferred over the selected links at three times, in seconds after the first request.
pub async fn sample_transfers(
    fleet: Rc<Fleet>,
    samples: TransferSamples,
    times_s: [f64; 3],
    is_selected: fn(LinkEnds) -> bool,
) {
    samples.borrow_mut().clear();
    for at_s in times_s {
        wait_until_s(&fleet.history, at_s).await;
        samples.borrow_mut().push(fleet.transferred(is_selected));
    }
}

/// Waits until `at_s` seconds after the first request.
pub async fn wait_until_s(history: &History, at_s: f64) {
    sleep_until(history.instant(at_s * 1e3)).await;
}

/// The service of a run, in percent.
pub fn service_percent(run: &ValidRun) -> f64 {
    100.0 * run.0.summary.service
}
