//! The messages between the proxy's event loop and the coordination runtime.

use hillstall_consensus::load_reports::LoadReport;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// How long a shutdown waits for other instances to take over the leases of this one.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// First words of the admin commands that coordination answers.
const ADMIN_COMMANDS: [&str; 5] = ["FLEET", "WINDOW", "INCIDENT", "CHANGE", "RECORD"];

/// Where an instance runs, as configured by the platform.
#[derive(Clone, Debug)]
pub struct InstanceLocation {
    /// The instance's number among all instances of all tiers.
    pub rank: u32,
    /// The instance's site.
    pub site: String,
    /// The names of all sites of the fleet.
    pub sites: Vec<String>,
}

/// A message from the coordination runtime to the proxy's event loop.
#[derive(Clone, Debug, PartialEq)]
pub enum Advisory {
    /// From now on, this instance should send a site this fraction of its usual load.
    SiteFraction {
        /// The name of the site.
        site: String,
        /// The fraction, from 0 (no load) to 1 (the usual load).
        fraction: f64,
    },
}

/// A message from the proxy's event loop to the coordination runtime.
pub(super) enum RuntimeRequest {
    /// The platform has sent the process a signal.
    PlatformSignal(&'static str),
    /// This instance's load since its previous report.
    LoadReport(LoadReport),
    /// A line from the admin address.
    AdminCommand { line: String, response: oneshot::Sender<String> },
    /// The process shuts down. `released` is notified once the replicas have acknowledged the release of all
    /// leases, by which each lease is granted to its next candidate.
    ReleaseLeases { released: oneshot::Sender<()> },
}

/// The proxy's end of the channel to the coordination runtime. No method blocks. If the runtime has failed,
/// messages are dropped, and the proxy continues to serve requests.
pub struct CoordinationHandle {
    requests: UnboundedSender<RuntimeRequest>,
}

impl CoordinationHandle {
    pub(super) fn new(requests: UnboundedSender<RuntimeRequest>) -> CoordinationHandle {
        CoordinationHandle { requests }
    }

    /// Reports the load of this instance since its previous report.
    pub fn report(&self, report: LoadReport) {
        let _ = self.requests.send(RuntimeRequest::LoadReport(report));
    }

    /// Passes a line from the admin address to coordination; `None` if the line is not a coordination
    /// command. The answer arrives within two seconds; the receiver fails if the runtime has ended.
    pub fn admin_command(&self, line: &str) -> Option<oneshot::Receiver<String>> {
        let command = line.split_ascii_whitespace().next()?;
        if !ADMIN_COMMANDS.contains(&command) {
            return None;
        }
        let (response, receiver) = oneshot::channel();
        let _ = self.requests.send(RuntimeRequest::AdminCommand { line: line.to_owned(), response });
        Some(receiver)
    }

    /// Records in the audit log that the platform has sent this process a signal. Such a change needs no
    /// permit and is never delayed.
    pub fn on_signal(&self, signal: &'static str) {
        let _ = self.requests.send(RuntimeRequest::PlatformSignal(signal));
    }

    /// Releases all leases before the process ends. Returns once other instances hold them, or after a
    /// timeout.
    pub async fn release_leases(&self) {
        let (released, receiver) = oneshot::channel();
        if self.requests.send(RuntimeRequest::ReleaseLeases { released }).is_ok() {
            let _ = timeout(RELEASE_TIMEOUT, receiver).await;
        }
    }
}
