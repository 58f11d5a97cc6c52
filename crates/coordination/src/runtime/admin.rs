//! Answers admin commands, including the status text of `FLEET`. Clients read these texts, so they stay as
//! they are.

use super::event_loop::Runtime;
use crate::admin_commands::{parse, render, AdminCommand, PersonDirectory, StateQuery};
use hillstall_consensus::replica::Replica;
use hillstall_consensus::state::Command;
use hillstall_consensus::storage::ReplicaStorage;
use hillstall_lease::{LeaseName, Millis};
use std::fmt::Display;
use tokio::sync::oneshot;

/// Stands in an answer for a value that is unknown or absent.
const ABSENT: &str = "-";

impl Runtime {
    /// Answers a command: queries and handovers at once, proposals once the replicas have answered or the
    /// node gives up.
    pub(super) fn on_admin_command(&mut self, now: Millis, line: &str, response: oneshot::Sender<String>) {
        let answer = match parse(line, &PersonDirectory(&self.settings.people)) {
            None => "400 not a call for the fleet\n".into(),
            Some(Err(error)) => format!("400 {error}\n"),
            Some(Ok(AdminCommand::Propose(command))) => return self.propose(now, command, response),
            Some(Ok(AdminCommand::HandOver(lease))) => self.hand_over(now, &lease),
            Some(Ok(AdminCommand::StateQuery(query))) => self.answer(now, query),
        };
        let _ = response.send(answer);
    }

    /// Proposes a command to the replicas. The answer is sent once the node reports the outcome.
    fn propose(&mut self, now: Millis, command: Command, response: oneshot::Sender<String>) {
        self.last_ticket += 1;
        self.node.request(now, self.last_ticket, command);
        self.pending_responses.insert(self.last_ticket, response);
    }

    /// Answers a query from this instance's local copy of the replicated state, which may lag behind the
    /// leader.
    fn answer(&self, now: Millis, query: StateQuery) -> String {
        let state = self.node.state();
        match query {
            StateQuery::Status => self.render_status(now),
            StateQuery::Windows => render::windows(state.windows(), &self.node.reported_fractions(now)),
            StateQuery::Incidents => render::incidents(state.freeze()),
            StateQuery::Changes => render::changes(state.freeze()),
            StateQuery::AuditRecords => render::audit_records(state.freeze()),
        }
    }

    fn hand_over(&mut self, now: Millis, lease: &LeaseName) -> String {
        if self.node.hand_over(now, lease) {
            "200 handed over\n".into()
        } else {
            format!("400 this copy does not hold {lease}\n")
        }
    }

    /// The status text: this instance's role, the leases, and the traffic fraction of each site.
    fn render_status(&self, now: Millis) -> String {
        let instance = self.identity.instance;
        let mut lines = vec![format!(
            "copy {} life {:016x} site {}",
            instance.rank, instance.incarnation, self.location.site
        )];
        match self.node.replica() {
            Some(replica) => lines.extend(replica_status(replica)),
            None => lines.push(self.follower_status(now)),
        }
        let state = self.node.state();
        let fencing = if self.node.accepts_commands() { "open" } else { "closed" };
        lines.push(format!("index {} gates {fencing}", state.index()));
        for (lease, grant, candidates) in state.leases().leases() {
            let held = grant.map(|grant| format!("{} token {}", grant.holder.rank, grant.token.0));
            lines.push(format!("duty {lease} held {} standing {}", or_absent(held), candidates.len()));
        }
        for (lease, token) in self.node.held_leases(now) {
            lines.push(format!("holds {lease} token {}", token.0));
        }
        for site in &self.location.sites {
            lines.push(format!("part {site} {:.3}", self.node.site_fraction(site, now)));
        }
        lines.push("EOF\n".into());
        lines.join("\n")
    }

    fn follower_status(&self, now: Millis) -> String {
        let (slot, is_connected) = self.node.following().unwrap_or((0, false));
        let connection = if is_connected { "connected" } else { "searching" };
        format!("follows {slot} {connection} age {}", or_absent(self.node.state_age(now)))
    }
}

/// The lines on a replica: its role and the members, and the reason if the replica has halted.
fn replica_status<S: ReplicaStorage>(replica: &Replica<S>) -> impl Iterator<Item = String> {
    let role = if replica.is_leader() { " leads" } else { "" };
    let leader = or_absent(replica.leader());
    let members: Vec<String> = replica.voters().iter().map(|id| format!("{id:x}")).collect();
    let members = members.join(",");
    let change = if replica.changes_members() { " changing" } else { "" };
    let status = format!("keeper {:x}{role} leader {leader} members {members}{change}", replica.id());
    let halted = replica.halt_reason().map(|reason| format!("halted {reason}"));
    std::iter::once(status).chain(halted)
}

fn or_absent(value: Option<impl Display>) -> String {
    value.map_or_else(|| ABSENT.to_owned(), |value| value.to_string())
}
