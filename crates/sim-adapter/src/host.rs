//! Hosts the balancers of all instances that the simulator starts and halts.

use crate::wire::{parse_records, BatchHeader, FrameError, Record, ReplyFrame, LIST_SLOTS};
use hillstall_decision::{Action, BackendInfo, Balancer, Event, ListKind, Millis};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The balancers of a simulation, and the endpoint lists that they share.
#[derive(Default)]
pub struct Host {
    /// Balancers by instance number.
    instances: BTreeMap<u32, Balancer>,
    /// The endpoint lists that the simulator has sent, by slot.
    lists: [Vec<BackendInfo>; LIST_SLOTS],
    /// The actions of the current event; the buffer is reused.
    actions: Vec<Action>,
    reply: ReplyFrame,
}

impl Host {
    /// Handles a batch and returns its reply frame. `body` is the frame without its header.
    pub fn handle_batch(&mut self, header: &BatchHeader, body: &[u8]) -> Result<&[u8], FrameError> {
        let records = parse_records(header, body)?;
        self.reply.clear();
        for record in records {
            self.handle_record(header.now, record);
        }
        Ok(self.reply.finish(header.batch))
    }

    fn handle_record(&mut self, now: Millis, record: Record<'_>) {
        match record {
            Record::Provision { instance, seed, settings } => self.provision(instance, seed, settings),
            Record::Halt { instance } => {
                self.instances.remove(&instance);
            }
            Record::EndpointList { slot, endpoints } => self.lists[usize::from(slot)] = endpoints,
            Record::EndpointsChanged { instance, kind, version, slot } => {
                self.handle_list_change(now, instance, kind, version, slot);
            }
            Record::Event { instance, event } => self.handle_event(now, instance, event),
        }
    }

    fn handle_list_change(&mut self, now: Millis, instance: u32, kind: ListKind, version: u32, slot: u8) {
        // The parser does not check the slot of a failed update, and its list is not used.
        let slot = usize::from(slot) % LIST_SLOTS;
        let list = std::mem::take(&mut self.lists[slot]);
        let backends = if kind == ListKind::Failed { &[][..] } else { &list[..] };
        self.handle_event(now, instance, Event::EndpointsChanged { kind, version, backends });
        self.lists[slot] = list;
    }

    fn provision(&mut self, instance: u32, seed: u64, settings: &[u8]) {
        match hillstall_settings::parse_settings(settings) {
            Ok(settings) => {
                self.instances.insert(instance, Balancer::new(settings, seed));
            }
            Err(error) => self.reply.push_fatal(instance, &error.to_string()),
        }
    }

    fn handle_event(&mut self, now: Millis, instance: u32, event: Event<'_>) {
        // Instances that were halted or reported as fatal have no balancer; events for them are ignored.
        let Some(balancer) = self.instances.get_mut(&instance) else { return };
        self.actions.clear();
        let actions = &mut self.actions;
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions))) {
            self.reply.push_fatal(instance, &format!("panic: {}", panic_message(panic.as_ref())));
            self.instances.remove(&instance);
            return;
        }
        for action in &self.actions {
            self.reply.push_action(instance, action);
        }
    }
}

/// Returns the message of a panic; empty if the payload is not a string.
fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(ToString::to_string);
    text.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_default()
}
