//! The machine model: compared with queueing theory where that is exact, and with the failure modes it has to
//! show.

use hillstall_simulation::experiment::{runs, Mean};
use hillstall_simulation::model::machine::{Admission, Choke, Machine, MachineSpec};
use hillstall_simulation::policy::PolicyName;
use hillstall_simulation::scenario::Scenario;

fn machine_spec() -> MachineSpec {
    MachineSpec {
        cores: 2,
        speed: 1.0,
        slots: 1_000,
        queue_capacity: 1_000,
        thrash_per_core: 1e9,
        thrash_fraction: 1.0,
        warmup_start_fraction: 0.25,
        warmup: 0.0,
        choke: None,
    }
}

/// Mean latency over ten seeds of one machine with `cores` cores at a utilisation. The work is exponentially
/// distributed with mean 10 ms.
fn simulated_latency(cores: u32, utilisation: f64) -> Mean {
    let text = format!(
        r#"
        name = "queue"
        length = "400s"
        proxies = 1
        load = {{ rate = {rate} }}
        net = {{ same_zone = "0ms", cross_zone = "0ms", client = "0ms" }}
        [[tier]]
        name = "one"
        servers = 1
        cores = {cores}
        [[class]]
        name = "c"
        work = "10ms"
        aim = "1000s"
        deadline = "2000s"
        "#,
        rate = utilisation * f64::from(cores) * 100.0,
    );
    let scenario = Scenario::parse(&text).expect("a scenario");
    let summaries = runs(&scenario, &[PolicyName::Random], &Vec::from_iter(1..=10), || {});
    Mean::of(&summaries.iter().map(|summary| summary.mean_ms).collect::<Vec<_>>())
}

/// Mean time in an M/M/c queue by the Erlang C formula, for mean work 10 ms.
fn erlang_c(cores: u32, utilisation: f64) -> f64 {
    let offered = utilisation * f64::from(cores);
    let mut term = 1.0;
    let mut sum = 1.0;
    for k in 1..cores {
        term *= offered / f64::from(k);
        sum += term;
    }
    let last = term * offered / f64::from(cores) / (1.0 - utilisation);
    let waiting_probability = last / (sum + last);
    10.0 + waiting_probability * 10.0 / (f64::from(cores) * (1.0 - utilisation))
}

#[test]
fn mean_latency_matches_queueing_theory() {
    // M/M/1 at 0.7: 10 / (1 - 0.7).
    assert!((erlang_c(1, 0.7) - 100.0 / 3.0).abs() < 1e-9);
    for (cores, utilisation) in [(1, 0.5), (1, 0.7), (4, 0.8)] {
        let (measured, theory) = (simulated_latency(cores, utilisation), erlang_c(cores, utilisation));
        // For ten seeds, twice the half-width of the 95% interval covers more than 99.9%. The seeds are
        // fixed.
        assert!(measured.half_width < 0.03 * theory, "{cores} cores: interval too wide: {measured:?}");
        assert!(
            (measured.mean - theory).abs() < 2.0 * measured.half_width,
            "{cores} at {utilisation}: {measured:?}, {theory}"
        );
    }
}

#[test]
fn saturation_chokes_a_machine_and_only_idleness_ends_it() {
    let choke = Choke {
        queued_per_core: 4.0,
        saturated_for: 1_500.0,
        slowdown: 3.0,
        idle_below: 0.3,
        idle_for: 3_000.0,
        max_duration: 60_000.0,
    };
    let mut machine = Machine::new(MachineSpec { choke: Some(choke), ..machine_spec() });
    let mut done = Vec::new();
    // Eleven jobs of two seconds each on two cores: nine wait, for longer than it takes to choke.
    for job in 0..11 {
        assert_eq!(machine.offer(0.0, job, 2_000.0, &mut done), Admission::Accepted);
    }
    machine.advance(1_400.0, &mut done);
    assert!(!machine.is_choked());
    machine.advance(1_600.0, &mut done);
    assert!(machine.is_choked());
    // A choked machine is three times slower.
    assert!((machine.capacity(1_600.0) - 2.0 / 3.0).abs() < 1e-9);
    // A light load that keeps one core of two busy keeps the machine choked, long after the queue is empty.
    let mut machine = Machine::new(MachineSpec { choke: Some(choke), ..machine_spec() });
    let mut now = 0.0;
    for job in 0..12 {
        machine.offer(now, job, 1_000.0, &mut done);
    }
    for job in 100..140 {
        now += 500.0;
        machine.advance(now, &mut done);
        machine.offer(now, job, 200.0, &mut done);
    }
    assert!(machine.is_choked(), "a light load must keep the machine choked");
    machine.advance(now + 30_000.0, &mut done);
    assert!(!machine.is_choked(), "an idle machine must recover");
    assert_eq!(machine.chokes(), 1);
}

#[test]
fn a_full_machine_rejects_and_a_killed_one_loses_all_requests() {
    let mut machine = Machine::new(MachineSpec { slots: 2, queue_capacity: 1, ..machine_spec() });
    let mut done = Vec::new();
    for job in 0..3 {
        assert_eq!(machine.offer(0.0, job, 10.0, &mut done), Admission::Accepted);
    }
    assert_eq!(machine.offer(0.0, 3, 10.0, &mut done), Admission::QueueFull);
    machine.kill(5.0, &mut done);
    machine.advance(100.0, &mut done);
    assert!(done.is_empty(), "requests of a killed machine must not end: {done:?}");
    assert_eq!((machine.requests(), machine.next_change()), (0, None));
}

#[test]
fn a_hung_machine_continues_where_it_stopped() {
    let mut machine = Machine::new(machine_spec());
    let mut done = Vec::new();
    machine.offer(0.0, 1, 10.0, &mut done);
    machine.set_hung(5.0, true, &mut done);
    machine.advance(1_000.0, &mut done);
    assert!(done.is_empty());
    machine.set_hung(1_000.0, false, &mut done);
    machine.advance(1_005.0 + 1e-6, &mut done);
    assert_eq!(done, [1]);
}

#[test]
fn a_started_machine_gets_faster_until_it_is_warm() {
    let mut machine = Machine::new(MachineSpec { warmup: 1_000.0, ..machine_spec() });
    machine.start(0.0);
    assert!((machine.capacity(0.0) - 0.5).abs() < 1e-9);
    assert!((machine.capacity(500.0) - 1.25).abs() < 1e-9);
    assert!((machine.capacity(1_000.0) - 2.0).abs() < 1e-9);
    // Work of one core in the second of the slow start: its speed rises from 0.25 to 1, so 0.625 on average.
    let mut done = Vec::new();
    machine.offer(0.0, 1, 10_000.0, &mut done);
    machine.advance(1_000.0, &mut done);
    assert!((machine.work_done() - 625.0).abs() < 15.0, "{}", machine.work_done());
}

#[test]
fn a_cancel_drops_waiting_requests_and_leaves_running_ones() {
    let mut machine = Machine::new(MachineSpec { cores: 1, slots: 2, ..machine_spec() });
    let mut done = Vec::new();
    for job in 0..3 {
        machine.offer(0.0, job, 10.0, &mut done);
    }
    assert!(!machine.cancel(1.0, 0, &mut done), "the request is running");
    assert!(machine.cancel(1.0, 1, &mut done), "the request has a slot and waits for a core");
    assert!(machine.cancel(1.0, 2, &mut done), "the request has got the free slot and waits for a core");
    machine.advance(100.0, &mut done);
    assert_eq!(done, [0]);
}
