//! The messages between the proxy's event loop and the coordination runtime.

use hillstall_consensus::load_reports::LoadReport;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// How long a shutdown waits until other instances have taken over the leases held here.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// First words of the admin commands that belong to coordination.
const ADMIN_COMMANDS: [&str; 5] = ["FLEET", "WINDOW", "INCIDENT", "CHANGE", "RECORD"];

/// Where an instance runs, as given by the platform.
#[derive(Clone, Debug)]
pub struct InstanceLocation {
    /// Its number among all instances of all tiers.
    pub rank: u32,
    /// Its site.
    pub site: String,
    /// All sites of the fleet.
    pub sites: Vec<String>,
}

/// A message to the proxy's event loop.
#[derive(Clone, Debug, PartialEq)]
pub enum Advisory {
    /// From now on a site is to receive this fraction of its usual load.
    SiteFraction {
        /// The site.
        site: String,
        /// From 0 (no load) to 1 (its usual load).
        fraction: f64,
    },
}

/// A message from the proxy's event loop.
pub(super) enum RuntimeRequest {
    /// The platform has sent the process a signal.
    PlatformSignal(&'static str),
    /// The load since the report before.
    LoadReport(LoadReport),
    /// A line of the second address.
    AdminCommand { line: String, response: oneshot::Sender<String> },
    /// The process shuts down.
    ReleaseLeases { released: oneshot::Sender<()> },
}

/// The proxy's end of the channel to the coordination runtime. No method blocks; if the runtime has failed, messages are
/// dropped and the proxy goes on serving.
pub struct CoordinationHandle {
    requests: UnboundedSender<RuntimeRequest>,
}

impl CoordinationHandle {
    pub(super) fn new(requests: UnboundedSender<RuntimeRequest>) -> CoordinationHandle {
        CoordinationHandle { requests }
    }

    /// Reports the load of this instance since the report before.
    pub fn report(&self, report: LoadReport) {
        let _ = self.requests.send(RuntimeRequest::LoadReport(report));
    }

    /// Passes on a line of the second address; `None` if it is no coordination command. The answer arrives within two
    /// seconds; the receiver fails if the runtime has ended.
    pub fn admin_command(&self, line: &str) -> Option<oneshot::Receiver<String>> {
        let command = line.split_ascii_whitespace().next()?;
        if !ADMIN_COMMANDS.contains(&command) {
            return None;
        }
        let (response, receiver) = oneshot::channel();
        let _ = self.requests.send(RuntimeRequest::AdminCommand { line: line.to_owned(), response });
        Some(receiver)
    }

    /// Records that the platform has signalled this instance: a change without a permit, which is never held back.
    pub fn on_signal(&self, signal: &'static str) {
        let _ = self.requests.send(RuntimeRequest::PlatformSignal(signal));
    }

    /// Gives up all leases before the process ends. Returns once other instances hold them, or after a timeout.
    pub async fn release_leases(&self) {
        let (released, receiver) = oneshot::channel();
        if self.requests.send(RuntimeRequest::ReleaseLeases { released }).is_ok() {
            let _ = timeout(RELEASE_TIMEOUT, receiver).await;
        }
    }
}
