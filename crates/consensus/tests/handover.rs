//! The cost of a handover of leases, counted in ticks and writes to storage: the time would depend on the
//! machine's load.

mod instant_fleet;

use instant_fleet::Fleet;

const REPLICAS: usize = 3;
/// The maximum number of writes of each replica while one hands over all its leases: one for the releases,
/// and one for the renewals of each of the two new holders.
const MAX_WRITES: usize = 3;

// Guards against a time without a lease holder that grows with the number of leases, or that includes a wait
// for a tick or for further writes to a disk.
#[test]
fn a_handover_of_all_leases_takes_no_tick_and_three_writes() {
    for slot in 0..REPLICAS {
        let mut fleet = Fleet::settled(REPLICAS);
        // This replica may hold no lease after the start, so the others hand theirs over first.
        for other in (0..REPLICAS).filter(|other| *other != slot) {
            for lease in fleet.held_by(other) {
                assert!(fleet.nodes[other].hand_over(fleet.now, &lease));
            }
            fleet.deliver();
        }
        // After a pause, the others are candidates for these leases again.
        fleet.settle();
        let leases = fleet.held_by(slot);
        assert!(!leases.is_empty(), "replica {slot} holds no lease");
        let writes_before: Vec<usize> = fleet.writes.iter().map(|writes| writes.get()).collect();
        fleet.nodes[slot].release_leases(fleet.now);
        fleet.deliver();
        assert!(fleet.nodes[slot].has_released_leases());
        let others: Vec<usize> = (0..REPLICAS).filter(|other| *other != slot).collect();
        for lease in &leases {
            let holders = others.iter().filter(|other| fleet.held_by(**other).contains(lease)).count();
            assert_eq!(holders, 1, "holders of {lease}, which replica {slot} has released");
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

// Guards against a fleet of one replica that waits for ever for the announcement of another replica.
#[test]
fn a_fleet_of_one_replica_elects_it_and_grants_it_all_leases() {
    let fleet = Fleet::settled(1);
    let replica = fleet.nodes[0].replica().expect("the only node runs a replica");
    assert!(replica.is_leader());
    assert!(fleet.nodes[0].accepts_commands());
    assert_eq!(fleet.held_by(0).len(), 4, "the coordinator lease and the shift lease of each of three sites");
}
