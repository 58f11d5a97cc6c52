//! The invariants under random commands.

use crate::common::plan;
use hillstall_change_freeze::state::FreezeState;
use hillstall_maintenance::windows::{Stage, WindowCommand, Windows};
use hillstall_maintenance::FULL_TRAFFIC;
use proptest::prelude::*;

fn command() -> impl Strategy<Value = WindowCommand> {
    let window = 1..4u64;
    let fraction = prop::sample::select(vec![0, 200, 500, 900, FULL_TRAFFIC]);
    prop_oneof![
        prop::sample::select(vec!["a", "b", "c"]).prop_map(|site| WindowCommand::Plan(plan(site))),
        window.clone().prop_map(|window| WindowCommand::Admit { window, baseline_rate: 10 }),
        (window.clone(), fraction.clone())
            .prop_map(|(window, fraction)| WindowCommand::ReduceTraffic { window, fraction }),
        window.clone().prop_map(|window| WindowCommand::MarkEmpty { window }),
        window.clone().prop_map(|window| WindowCommand::Begin { window }),
        window.clone().prop_map(|window| WindowCommand::End { window }),
        window.clone().prop_map(|window| WindowCommand::Cancel { window }),
        (window.clone(), fraction).prop_map(|(window, fraction)| WindowCommand::RestoreTraffic {
            window,
            fraction,
            reason: None
        }),
        window.prop_map(|window| WindowCommand::Finish { window }),
    ]
}

proptest! {
    #[test]
    fn at_most_one_site_is_without_its_traffic(commands in prop::collection::vec(command(), 1..120)) {
        let (mut windows, mut freeze) = (Windows::default(), FreezeState::default());
        for command in commands {
            let rejected = windows.apply(&command, &mut freeze).is_err();
            prop_assert_eq!(windows.check_invariants(), None, "after {:?}", command);
            prop_assert_eq!(freeze.check_invariants(), None);
            for window in windows.all().values() {
                prop_assert!(window.stage != Stage::Running || window.fraction == 0, "{:?}", rejected);
                prop_assert_eq!(window.fraction < FULL_TRAFFIC && !window.stage.takes_traffic_away(), false);
            }
        }
    }
}
