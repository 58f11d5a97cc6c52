//! The events of the simulation, and the queue that orders them by time.

use hillstall_lease::fencing::FencedCommand;
use hillstall_lease::table::{Grant, LeaseCommand};
use hillstall_lease::{FencingToken, Instance, Millis};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A fault planted in the implementation, which the invariant checks must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlantedFault {
    None,
    /// A holder counts its grant from the response, not from the request.
    CountFromResponse,
    /// Commands are executed without a check of their token.
    NoFencingCheck,
    /// A restarted instance accepts commands before it knows a minimum token.
    AcceptAtStart,
}

/// A message or a timer. `usize` is the position of an instance.
pub enum Event {
    /// An instance's periodic work.
    Tick(usize),
    /// The leading replica's periodic work.
    PollExpiry,
    /// A random fault of the environment.
    InjectFault,
    /// A request to the replicas.
    Request { command: LeaseCommand, instance: Instance, sent_at: Millis },
    /// The replicas' response to a request.
    Response(LeaseResponse),
    /// A holder's command to an instance.
    Command { to: usize, command: FencedCommand<u64> },
    /// An instance's request to the replicas for the minimum token.
    ReadMinimum(Instance),
    /// The replicas' response to [`Event::ReadMinimum`].
    MinimumRead { instance: Instance, token: FencingToken },
    /// Takes the place of an event of a process that no longer exists.
    Cancelled,
}

/// The replicas' response to a [`LeaseCommand`].
#[derive(Clone, Copy)]
pub struct LeaseResponse {
    pub instance: Instance,
    /// When the request was sent, by the instance's clock.
    pub sent_at: Millis,
    /// The grant that was renewed, if the request was a renewal and took effect.
    pub renewed: Option<FencingToken>,
    /// The lease's grant, or its highest token if the request was rejected.
    pub result: Result<Option<Grant>, FencingToken>,
}

/// Events by time. Events of the same time happen in the order in which they were scheduled.
#[derive(Default)]
pub struct EventQueue {
    scheduled: u64,
    order: BinaryHeap<Reverse<(Millis, u64)>>,
    events: BTreeMap<u64, Event>,
}

impl EventQueue {
    pub fn schedule(&mut self, at: Millis, event: Event) {
        self.scheduled += 1;
        self.order.push(Reverse((at, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    pub fn pop(&mut self) -> Option<(Millis, Event)> {
        let Reverse((at, id)) = self.order.pop()?;
        Some((at, self.events.remove(&id).expect("each scheduled event is stored")))
    }

    /// How many events were ever scheduled.
    pub fn scheduled(&self) -> u64 {
        self.scheduled
    }

    /// Cancels the ticks of one instance.
    pub fn cancel_ticks(&mut self, index: usize) {
        for event in self.events.values_mut() {
            if matches!(event, Event::Tick(other) if *other == index) {
                *event = Event::Cancelled;
            }
        }
    }
}
