//! What the handover of leases costs: ticks and writes to storage, which take as long as the machine is busy.

mod instant_fleet;

use instant_fleet::Fleet;

const REPLICAS: usize = 3;
/// The writes of one replica in a handover of all its leases: what is released, and what each of the two others renews.
const MAX_WRITES: usize = 3;

// Guards against a gap without a lease holder that grows with the number of leases, or waits for a tick or a disk.
#[test]
fn a_handover_of_all_leases_takes_no_tick_and_three_writes() {
    for slot in 0..REPLICAS {
        let mut fleet = Fleet::settled(REPLICAS);
        // Whoever holds nothing after the start gets its leases from the others.
        for other in (0..REPLICAS).filter(|other| *other != slot) {
            for lease in fleet.held_by(other) {
                assert!(fleet.nodes[other].hand_over(fleet.now, &lease));
            }
            fleet.deliver();
        }
        // They stand for the leases again after a pause.
        fleet.settle();
        let leases = fleet.held_by(slot);
        assert!(!leases.is_empty(), "replica {slot} holds something");
        let writes_before: Vec<usize> = fleet.writes.iter().map(|writes| writes.get()).collect();
        fleet.nodes[slot].release_leases(fleet.now);
        fleet.deliver();
        assert!(fleet.nodes[slot].has_released_leases());
        let others: Vec<usize> = (0..REPLICAS).filter(|other| *other != slot).collect();
        for lease in &leases {
            let holders = others.iter().filter(|other| fleet.held_by(**other).contains(lease)).count();
            assert_eq!(holders, 1, "{lease} of replica {slot}");
        }
        for (replica, before) in writes_before.iter().enumerate() {
            let writes = fleet.writes[replica].get() - before;
            assert!(
                writes <= MAX_WRITES,
                "replica {replica} wrote {writes} times for {} leases",
                leases.len()
            );
        }
    }
}

// Guards against a fleet of one replica that waits for ever for the announcement of another.
#[test]
fn a_fleet_of_one_replica_elects_it_and_grants_it_all_leases() {
    let fleet = Fleet::settled(1);
    let replica = fleet.nodes[0].replica().expect("it is a replica");
    assert!(replica.is_leader());
    assert!(fleet.nodes[0].accepts_commands());
    assert_eq!(fleet.held_by(0).len(), 4, "the coordinator's lease and one of each site");
}
