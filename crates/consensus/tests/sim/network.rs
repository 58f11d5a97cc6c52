//! The links between instances, in both directions, and the delivery of frames.

use super::{Event, Sim, FAULTS_END_MS, FAULTS_START_MS};
use hillstall_consensus::frame::Frame;

impl Sim {
    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut_links.get(&(from, to)).is_some_and(|cuts| *cuts > 0)
    }

    /// Cuts links for a random time.
    pub(super) fn cut_links(&mut self, links: Vec<(usize, usize)>) {
        for link in &links {
            *self.cut_links.entry(*link).or_default() += 1;
        }
        let duration = 300 + self.random_below(6_000);
        self.schedule(self.now + duration, Event::HealLinks(links));
    }

    pub(super) fn heal_links(&mut self, links: Vec<(usize, usize)>) {
        for link in links {
            if let Some(cuts) = self.cut_links.get_mut(&link) {
                *cuts = cuts.saturating_sub(1);
            }
        }
    }

    /// Sends a frame. The frames of a stream to a follower arrive in order, as over one connection. Others
    /// may be late, duplicated or reordered.
    pub(super) fn send(&mut self, from: usize, to: usize, frame: Frame) {
        if self.is_cut(from, to) {
            return;
        }
        let has_faults = self.now > FAULTS_START_MS && self.now < FAULTS_END_MS;
        let may_be_reordered =
            matches!(frame, Frame::FencedCommand(_) | Frame::Replica(_) | Frame::Propose(_));
        let delay = 1 + self.random_below(8);
        let arrival = self.now + delay;
        let incarnation = self.instances[to].incarnation;
        if has_faults && may_be_reordered && self.random_below(50) == 0 {
            let late_arrival = self.now + self.random_below(30_000);
            self.schedule(late_arrival, Event::Frame { to, incarnation, from, frame: frame.clone() });
            let is_duplicated = self.random_below(2) != 0;
            if !is_duplicated {
                return;
            }
        }
        let last_arrival = self.last_arrivals.entry((from, to)).or_default();
        let arrival = arrival.max(*last_arrival);
        *last_arrival = arrival;
        self.schedule(arrival, Event::Frame { to, incarnation, from, frame });
    }
}
