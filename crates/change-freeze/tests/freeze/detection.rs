//! When the detector opens and resolves incidents.

use hillstall_change_freeze::detection::{Detector, Observation, Symptom, Thresholds};
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::FreezeState;

const TOKEN: u64 = 1;
const STEP_MS: usize = 200;

fn observation(level: f64) -> [Observation; 1] {
    [Observation { scope: Scope::Site("a".into()), symptom: Symptom::Unanswered, level }]
}

fn poll_and_apply(detector: &mut Detector, state: &mut FreezeState, now: u64, level: f64) {
    for command in detector.poll(now, &observation(level), state, TOKEN) {
        state.apply(&command);
    }
}

#[test]
fn a_flapping_symptom_opens_one_incident_and_a_short_one_opens_none() {
    let (mut detector, mut state) = (Detector::new(Thresholds::default()), FreezeState::default());
    for now in (0..60_000).step_by(STEP_MS) {
        // Repeatedly high, each time for less than `opens_after`.
        let level = if now % 1_000 < 800 { 0.9 } else { 0.0 };
        assert!(detector.poll(now, &observation(level), &state, TOKEN).is_empty(), "{now}");
    }
    for now in (60_000..120_000).step_by(STEP_MS) {
        // Repeatedly high for longer than `opens_after` and low for less than `closes_after`.
        let level = if now % 8_000 < 3_000 { 0.9 } else { 0.0 };
        poll_and_apply(&mut detector, &mut state, now, level);
    }
    assert_eq!(state.incidents().len(), 1);
    assert!(state.audit_log().len() < 3, "opened once: {:?}", state.audit_log());
    for now in (120_000..140_000).step_by(STEP_MS) {
        poll_and_apply(&mut detector, &mut state, now, 0.0);
    }
    assert!(state.incidents().values().all(|incident| incident.cooling_down));
}
