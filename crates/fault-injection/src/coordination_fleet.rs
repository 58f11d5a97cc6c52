//! Coordination in a fleet: the operator files of voters and other instances, admin commands, leases, audit
//! lines and the voters' disk files.

use crate::fleet::{system_error, Fleet, FleetError, LinkEnds};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Longest wait for the answer to an admin command. Instances answer within two seconds.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for the answer to `FLEET`, which an instance gives from its own state.
const LOCAL_COMMAND_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between two admin commands while waiting for an answer.
const COMMAND_INTERVAL: Duration = Duration::from_millis(20);

/// How the instances of a fleet coordinate.
#[derive(Clone, Debug, Default)]
pub struct CoordinationOptions {
    /// The number of voters; the first proxies of the fleet are the voters.
    pub voters: usize,
    /// Further lines of the `[fleet]` section of the operator files, which may be followed by other sections.
    pub fleet_section: String,
}

impl CoordinationOptions {
    /// Whether a proxy of this number is a voter.
    pub fn is_voter(&self, process: usize) -> bool {
        process < self.voters
    }

    /// The text of a proxy's operator file. `voters` has the addresses by which the proxy reaches the voters;
    /// `listen` and `disk`, the coordination address and the folder of the stored replica, are used only if
    /// it is a voter itself.
    pub fn operator_file(
        &self,
        process: usize,
        voters: &[SocketAddr],
        listen: Option<SocketAddr>,
        disk: &Path,
    ) -> String {
        let voters: Vec<String> = voters.iter().map(|voter| format!("\"{voter}\"")).collect();
        // `keepers` (the voters) and `keeper` (the own slot) are key names of operators' files, so they stay.
        let mut text = format!("[fleet]\nname = \"drill\"\nkeepers = [{}]\n", voters.join(", "));
        if let Some(listen) = listen {
            text += &format!(
                "keeper = {process}\nlisten = \"{listen}\"\ndisk = {:?}\n",
                disk.display().to_string()
            );
        }
        text + &self.fleet_section
    }
}

/// An audit line in the log of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct AuditLine {
    /// The number of the proxy that wrote it.
    pub process: usize,
    /// The incarnation of the instance.
    pub incarnation: u64,
    /// The time of the action, as Unix time in milliseconds.
    pub unix_ms: u64,
    /// What the instance did: `holds` or `lost` (a lease), or `carried out` (a command).
    pub action: String,
    /// The name of the lease.
    pub lease: String,
    /// The fencing token of the lease.
    pub token: u64,
    /// The traffic fraction that the command sets, in thousandths; `None` for other actions.
    pub traffic_permille: Option<u64>,
}

impl Fleet {
    /// Sends a command to the admin address of an instance, and returns its answer; `None` without an answer
    /// in time.
    pub async fn admin_command(&self, process: usize, line: &str) -> Option<String> {
        self.admin_command_within(process, line, COMMAND_TIMEOUT).await
    }

    async fn admin_command_within(&self, process: usize, line: &str, within: Duration) -> Option<String> {
        let exchange = async {
            let mut stream = TcpStream::connect(self.processes[process].admin()).await?;
            stream.write_all(format!("{line}\n").as_bytes()).await?;
            let mut text = String::new();
            stream.read_to_string(&mut text).await?;
            Ok::<_, std::io::Error>(text)
        };
        timeout(within, exchange).await.ok()?.ok().filter(|text| !text.is_empty())
    }

    /// Repeats a command until the answer of an instance is as wanted, and returns that answer.
    ///
    /// # Errors
    /// The last answer as text, if none is as wanted after `within`.
    pub async fn wait_for_answer(
        &self,
        process: usize,
        line: &str,
        within: Duration,
        wanted: impl Fn(&str) -> bool,
    ) -> Result<String, String> {
        let end = Instant::now() + within;
        loop {
            let text = self.admin_command(process, line).await.unwrap_or_default();
            if wanted(&text) {
                return Ok(text);
            }
            if Instant::now() > end {
                return Err(format!(
                    "{} does not answer {line} as wanted within {within:?}; its last answer: {text:?}",
                    self.processes[process].name
                ));
            }
            sleep(COMMAND_INTERVAL).await;
        }
    }

    /// The number of the voter that holds a lease and its token, by the answers of the voters themselves;
    /// `None` if no voter or more than one claims it.
    pub async fn lease_holder(&self, lease: &str) -> Option<(usize, u64)> {
        let mut found = None;
        for process in 0..self.processes.len() {
            if !self.processes[process].is_running.get() || !self.is_voter(process) {
                continue;
            }
            let text =
                self.admin_command_within(process, "FLEET", LOCAL_COMMAND_TIMEOUT).await.unwrap_or_default();
            let prefix = format!("holds {lease} token ");
            let token = text.lines().find_map(|line| line.strip_prefix(&prefix)?.parse().ok());
            match (token, found) {
                (Some(token), None) => found = Some((process, token)),
                (Some(_), Some(_)) => return None,
                (None, _) => {}
            }
        }
        found
    }

    /// Waits until an instance other than those in `not` holds a lease, and returns it with its token.
    pub async fn wait_for_lease_holder(
        &self,
        lease: &str,
        not: &[usize],
        within: Duration,
    ) -> Result<(usize, u64), String> {
        let end = Instant::now() + within;
        loop {
            if let Some(holder) = self.lease_holder(lease).await.filter(|(process, _)| !not.contains(process))
            {
                return Ok(holder);
            }
            if Instant::now() > end {
                return Err(format!("no instance except {not:?} holds {lease} after {within:?}"));
            }
            sleep(COMMAND_INTERVAL).await;
        }
    }

    fn is_voter(&self, process: usize) -> bool {
        self.coordination.as_ref().is_some_and(|coordination| coordination.is_voter(process))
    }

    /// The folder of a voter's stored replica. The file in it, `keeper-SLOT.redb`, keeps its name, as
    /// instances of other versions must find it.
    pub fn disk(&self, process: usize) -> PathBuf {
        self.processes[process].folder().join("disk")
    }

    /// Removes the file of a voter's stored replica, and returns its bytes.
    pub fn remove_disk_file(&self, process: usize) -> Result<Vec<u8>, FleetError> {
        let path = self.disk(process).join(format!("keeper-{process}.redb"));
        let bytes = std::fs::read(&path).map_err(system_error(path.display().to_string()))?;
        std::fs::remove_file(&path).map_err(system_error(path.display().to_string()))?;
        Ok(bytes)
    }

    /// The present bytes of a voter's stored replica, whether the voter runs or not.
    pub fn read_disk_file(&self, process: usize) -> Result<Vec<u8>, FleetError> {
        let path = self.disk(process).join(format!("keeper-{process}.redb"));
        std::fs::read(&path).map_err(system_error(path.display().to_string()))
    }

    /// Writes the file of a voter's stored replica.
    pub fn write_disk_file(&self, process: usize, bytes: &[u8]) -> Result<(), FleetError> {
        let path = self.disk(process).join(format!("keeper-{process}.redb"));
        std::fs::write(&path, bytes).map_err(system_error(path.display().to_string()))
    }

    /// The audit lines in the logs of all instances, in order of time. All instances run on this host, so
    /// their times are by the same clock.
    pub fn audit_lines(&self) -> Vec<AuditLine> {
        let mut audit_lines = Vec::new();
        for process in &self.processes {
            let text = std::fs::read_to_string(process.log()).unwrap_or_default();
            audit_lines.extend(text.lines().filter_map(|line| parse_audit_line(process.number, line)));
        }
        audit_lines.sort_by_key(|audit_line| audit_line.unix_ms);
        audit_lines
    }
}

/// Parses a line of an instance's JSON log; `None` if it is no audit line. The field names, such as `duty`
/// for the lease, stay, as other tools read the audit log.
fn parse_audit_line(process: usize, line: &str) -> Option<AuditLine> {
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    let fields = value.get("fields").unwrap_or(&value);
    let action = fields.get("message")?.as_str()?.strip_prefix("fleet ")?;
    let number = |name: &str| fields.get(name).and_then(serde_json::Value::as_u64);
    Some(AuditLine {
        process,
        incarnation: number("life")?,
        unix_ms: number("at")?,
        action: action.to_owned(),
        lease: fields.get("duty")?.as_str()?.to_owned(),
        token: number("token")?,
        traffic_permille: number("part"),
    })
}

/// Checks the audit lines of a fleet, in order of time, and describes each violation: a token of a lease that
/// is lower than an earlier one at the same incarnation of an instance, two holders of one token, or two
/// sites drained at once.
pub fn check_audit_lines(audit_lines: &[AuditLine]) -> Vec<String> {
    use std::collections::BTreeMap;
    let mut violations = Vec::new();
    let mut highest_tokens: BTreeMap<(usize, u64, &str), u64> = BTreeMap::new();
    let mut holders: BTreeMap<(&str, u64), (usize, u64)> = BTreeMap::new();
    let mut traffic: BTreeMap<(usize, u64), BTreeMap<&str, u64>> = BTreeMap::new();
    for audit_line in audit_lines {
        match audit_line.action.as_str() {
            "carried out" => {
                let highest = highest_tokens
                    .entry((audit_line.process, audit_line.incarnation, &audit_line.lease))
                    .or_default();
                if audit_line.token < *highest {
                    violations.push(format!("token lower than {highest}: {audit_line:?}"));
                }
                *highest = (*highest).max(audit_line.token);
                let permilles = traffic.entry((audit_line.process, audit_line.incarnation)).or_default();
                permilles.insert(&audit_line.lease, audit_line.traffic_permille.unwrap_or(1_000));
                if permilles.values().filter(|permille| **permille < 1_000).count() > 1 {
                    violations.push(format!("two sites drained at once, {permilles:?}: {audit_line:?}"));
                }
            }
            "holds" => {
                let own = (audit_line.process, audit_line.incarnation);
                if *holders.entry((&audit_line.lease, audit_line.token)).or_insert(own) != own {
                    violations.push(format!("two holders of one token: {audit_line:?}"));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Selects the links from one proxy to all voters.
pub fn links_from(proxy: usize) -> impl Fn(LinkEnds) -> bool + Copy {
    move |ends| matches!(ends, LinkEnds::ProxyToVoter { process, .. } if process == proxy)
}

/// Selects the links from all proxies to one voter.
pub fn links_to_voter(voter: usize) -> impl Fn(LinkEnds) -> bool + Copy {
    move |ends| matches!(ends, LinkEnds::ProxyToVoter { slot, .. } if slot == voter)
}

impl Fleet {
    /// The numbers of the backends in a zone, of all tiers.
    pub fn servers_of_zone(&self, zone: usize) -> Vec<usize> {
        let backends = self.parameters.tiers.iter().flat_map(|tier| tier.machines.iter());
        backends.enumerate().filter(|(_, backend)| backend.zone == zone).map(|(number, _)| number).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn audit_line(
        unix_ms: u64,
        process: usize,
        action: &str,
        lease: &str,
        token: u64,
        permille: u64,
    ) -> AuditLine {
        let (action, lease) = (action.to_owned(), lease.to_owned());
        AuditLine { process, incarnation: 1, unix_ms, action, lease, token, traffic_permille: Some(permille) }
    }

    #[test]
    fn each_violation_in_audit_lines_is_found() {
        let good = [
            audit_line(1, 0, "holds", "shift/a", 1, 0),
            audit_line(2, 3, "carried out", "shift/a", 1, 500),
            audit_line(3, 3, "carried out", "shift/a", 2, 1_000),
            audit_line(4, 3, "carried out", "shift/b", 3, 500),
        ];
        assert!(check_audit_lines(&good).is_empty());
        let mut lower_token = good.to_vec();
        lower_token.push(audit_line(5, 3, "carried out", "shift/a", 1, 500));
        assert!(check_audit_lines(&lower_token)
            .iter()
            .any(|violation| violation.contains("token lower than 2")));
        let mut two_holders = good.to_vec();
        two_holders.push(audit_line(5, 1, "holds", "shift/a", 1, 0));
        assert!(check_audit_lines(&two_holders)
            .iter()
            .any(|violation| violation.contains("two holders of one token")));
        let mut two_drained = good.to_vec();
        two_drained.push(audit_line(5, 3, "carried out", "shift/a", 4, 0));
        assert!(check_audit_lines(&two_drained)
            .iter()
            .any(|violation| violation.contains("two sites drained at once")));
    }
}
