//! The injected faults: links are cut; processes are paused and killed; disks are lost, full or restored from
//! a backup; system clocks are stepped.

use super::{Event, PlantedFault, Sim, FAULTS_END_MS, REPLICAS};
use hillstall_consensus::storage::PersistentState;

/// How long a process may be paused: shorter than a lease term, about as long, and longer.
const PAUSES_MS: [u64; 3] = [300, 2_500, 9_000];
/// The minimum time between two losses of disks.
const DISK_LOSS_INTERVAL_MS: u64 = 5_000;
/// The number of starts on a disk that replaces a lost one under its id: higher than any that others have
/// stored.
const REUSED_ID_BOOT: u64 = 50;

impl Sim {
    /// Injects a random fault and schedules the next one, or ends all faults when it is time.
    pub(super) fn inject_fault(&mut self) {
        if self.now >= FAULTS_END_MS {
            return self.end_faults();
        }
        let rank = self.random_below(self.instances.len() as u64) as usize;
        match self.random_below(12) {
            kind @ 0..=3 => self.isolate(rank, kind),
            4 | 5 => self.pause(rank),
            6 | 7 if self.instances[rank].node.is_some() => self.restart(rank, 3_000),
            8 if rank < REPLICAS && self.is_healthy() && self.now > self.disk_loss_allowed_from => {
                self.lose_disk(rank);
            }
            9 if self.random_below(3) == 0 => self.restart_all_replicas(),
            10 if rank < REPLICAS && self.instances[rank].node.is_some() => self.fill_disk(rank),
            _ => self.step_clock_and_back_up_disk(rank),
        }
        let next = self.now + 200 + self.random_below(2_500);
        self.schedule(next, Event::InjectFault);
    }

    fn end_faults(&mut self) {
        let now = self.now;
        for rank in 0..self.instances.len() {
            if self.instances[rank].node.is_none() {
                self.schedule(now, Event::Start { rank });
            }
            let instance = &mut self.instances[rank];
            instance.paused_until = instance.paused_until.min(now);
        }
    }

    /// Cuts the links from an instance, to it, in both directions, or in both directions only to and from
    /// replicas.
    fn isolate(&mut self, rank: usize, kind: u64) {
        let others = (0..self.instances.len()).filter(|other| *other != rank);
        let links = match kind {
            0 => others.map(|other| (rank, other)).collect(),
            1 => others.map(|other| (other, rank)).collect(),
            2 => others.flat_map(|other| [(rank, other), (other, rank)]).collect(),
            _ => {
                let replicas = (0..REPLICAS).filter(|replica| *replica != rank);
                replicas.flat_map(|replica| [(rank, replica), (replica, rank)]).collect()
            }
        };
        self.cut_links(links);
    }

    fn pause(&mut self, rank: usize) {
        let duration = PAUSES_MS[self.random_below(3) as usize];
        let instance = &mut self.instances[rank];
        instance.paused_until = instance.paused_until.max(self.now + duration);
    }

    /// Kills a process, and starts it again after a random time below `max_downtime`, in milliseconds.
    fn restart(&mut self, rank: usize, max_downtime: u64) {
        self.kill(rank);
        let start_at = self.now + self.random_below(max_downtime);
        self.schedule(start_at, Event::Start { rank });
    }

    fn restart_all_replicas(&mut self) {
        for rank in 0..REPLICAS {
            if self.instances[rank].node.is_some() {
                self.restart(rank, 1_500);
            }
        }
    }

    /// Replaces a replica's disk by an empty one, or restores it from a backup. The caller checks that all
    /// other replicas have recovered from the previous loss.
    fn lose_disk(&mut self, rank: usize) {
        self.disk_loss_allowed_from = self.now + DISK_LOSS_INTERVAL_MS;
        self.kill(rank);
        let instance = &mut self.instances[rank];
        let backup = instance.backup.take().filter(|_| self.planted == PlantedFault::None);
        let mut replacement = PersistentState::default();
        if self.planted == PlantedFault::ReusedId {
            let lost = instance.disk.stored.borrow();
            replacement.id = lost.id;
            // A disk without an id was never used, so that nothing is lost with it.
            if lost.id != 0 {
                replacement.boot = REUSED_ID_BOOT;
                replacement.founders = lost.founders.clone();
            }
        }
        *instance.disk.stored.borrow_mut() = backup.unwrap_or(replacement);
        self.schedule(self.now + 200, Event::Start { rank });
    }

    /// Makes all writes to a disk fail until it is freed.
    fn fill_disk(&mut self, rank: usize) {
        self.instances[rank].disk.is_full.set(true);
        let duration = 500 + self.random_below(4_000);
        self.schedule(self.now + duration, Event::FreeDisk { rank });
    }

    pub(super) fn free_disk(&mut self, rank: usize) {
        self.instances[rank].disk.is_full.set(false);
        // The process has to go on by itself as well.
        if self.instances[rank].node.is_some() && self.random_below(3) == 0 {
            self.kill(rank);
            self.schedule(self.now + 100, Event::Start { rank });
        }
    }

    fn step_clock_and_back_up_disk(&mut self, rank: usize) {
        let offset = self.random_below(7_200_000) as i64 - 3_600_000;
        let instance = &mut self.instances[rank];
        instance.clock.system_offset = offset;
        let stored = instance.disk.stored.borrow().clone();
        instance.backup = Some(stored).filter(|stored| stored.participates);
    }

    /// Whether all replicas run, are voters and have nearly the same log, so that the fleet survives the loss
    /// of a disk.
    fn is_healthy(&self) -> bool {
        let replicas: Vec<_> = self.instances[..REPLICAS]
            .iter()
            .filter_map(|instance| instance.node.as_ref()?.replica())
            .collect();
        let ids: Vec<u64> = replicas.iter().map(|replica| replica.id()).collect();
        let applied = || replicas.iter().map(|replica| replica.applied_index());
        let max_lag = applied().max().unwrap_or(0) - applied().min().unwrap_or(0);
        let knows_members =
            |members: Vec<u64>| members.len() == REPLICAS && ids.iter().all(|id| members.contains(id));
        ids.len() == REPLICAS
            && self.cut_links.values().all(|cuts| *cuts == 0)
            && self.instances.iter().all(|instance| !instance.is_paused(self.now))
            && replicas.iter().all(|replica| knows_members(replica.voters()))
            && max_lag < 3
    }
}
