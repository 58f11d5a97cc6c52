//! The inputs of the fleet from outside: load reports, and the commands of people.

use super::{site_name, Event, Sim, END_MS, REPORT_INTERVAL_MS, UNIX_START_MS};
use hillstall_change_freeze::rules::{ChangeKind, Reaction, Severity};
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::{ChangeRequest, FreezeCommand, Requester};
use hillstall_consensus::load_reports::{LoadReport, SiteCounts};
use hillstall_consensus::state::Command;
use hillstall_lease::Millis;
use hillstall_maintenance::windows::{OverrunPolicy, WindowCommand, WindowPlan};

/// There are no commands of people in this time before the end, so that followers receive all acknowledged
/// ones.
const QUIET_END_MS: Millis = 3_000;

impl Sim {
    /// An instance reports its load. Traffic that it shifts away from one site goes to the others.
    pub(super) fn report(&mut self, rank: usize) {
        let now = self.now;
        let instance = &mut self.instances[rank];
        let monotonic = instance.clock.monotonic(now);
        if let Some(node) = instance.active_node(now) {
            let shifted_away = 1.0 - node.site_fraction("north", monotonic);
            node.on_report(monotonic, load_report(shifted_away));
        }
        self.execute_outputs(rank);
        self.schedule(now + REPORT_INTERVAL_MS, Event::Report { rank });
    }

    /// A person plans a window, opens an incident or requests a change, at a random instance.
    pub(super) fn submit_person_command(&mut self) {
        let now = self.now;
        let rank = self.random_below(self.instances.len() as u64) as usize;
        let command = self.random_command();
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let instance = &mut self.instances[rank];
        let monotonic = instance.clock.monotonic(now);
        if let Some(node) = instance.active_node(now) {
            node.request(monotonic, ticket, command);
        }
        self.execute_outputs(rank);
        let next = now + 300 + self.random_below(1_500);
        if next < END_MS - QUIET_END_MS {
            self.schedule(next, Event::PersonCommand);
        }
    }

    fn random_command(&mut self) -> Command {
        match self.random_below(6) {
            0 | 1 => self.random_window(),
            2 if self.now > 20_000 => Command::Freeze(FreezeCommand::OpenIncident {
                severity: Severity::Minor,
                scope: Scope::Tenant(format!("t{}", self.now)),
                evidence: "seen".into(),
                opened_by: Requester::Person("ann".into()),
            }),
            _ => Command::Freeze(FreezeCommand::RequestChange(ChangeRequest {
                kind: ChangeKind::Settings,
                scope: Scope::Class(format!("c{}", self.now % 3)),
                requested_by: "tom".into(),
                priority: 1,
                max_duration: 3_000,
                reaction: Reaction::Finish,
            })),
        }
    }

    fn random_window(&mut self) -> Command {
        let site = self.random_below(2) as usize;
        let starts_at = UNIX_START_MS + self.now + 6_000 + self.random_below(4_000);
        let plan = WindowPlan {
            site: site_name(site),
            starts_at,
            duration: 3_000,
            lead_time: 12_000,
            max_delay: 6_000,
            reserve_percent: 10,
            overrun_policy: OverrunPolicy::Return,
        };
        Command::Window { token: None, command: WindowCommand::Plan(plan) }
    }
}

/// The report of an instance that sends this fraction of the usual traffic of `north` to the other sites.
fn load_report(shifted_away: f64) -> LoadReport {
    let counts = |sent: f64| SiteCounts {
        sent: sent as u32,
        served: sent as u32,
        unanswered: 0,
        utilization_percent: (sent * 0.5) as u8,
        fraction: 0,
    };
    let at_others = 100.0 + 50.0 * shifted_away;
    let sites = [("north", 100.0 - 100.0 * shifted_away), ("south", at_others), ("west", at_others)];
    LoadReport {
        period_ms: REPORT_INTERVAL_MS as u32,
        requests: 200,
        sites: sites.map(|(site, sent)| (site.to_owned(), counts(sent))).into(),
        ..LoadReport::default()
    }
}
