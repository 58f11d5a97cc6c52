//! Fleets with coordination: voters with disks, a link from each instance to each voter, and each instance's
//! admin address.

use crate::fleet::{system_error, Fleet, FleetError, LinkEnds};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Longest waits for an answer of an admin address, which answers within two seconds; and of `FLEET`, which
/// is local.
const ANSWER: Duration = Duration::from_secs(3);
const OWN_ANSWER: Duration = Duration::from_millis(250);
/// Between two requests to an admin address.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The coordination of a fleet's instances.
#[derive(Clone, Debug, Default)]
pub struct CoordinationOptions {
    /// This many proxies, from the first on, are voters.
    pub voters: usize,
    /// Lines of the section `[fleet]` beside those that name addresses, then whole tables.
    pub fleet_section: String,
}

impl CoordinationOptions {
    /// Whether a proxy is a voter.
    pub fn is_voter(&self, process: usize) -> bool {
        process < self.voters
    }

    /// The operator file of a proxy. `keepers`: the addresses by which it reaches the voters.
    pub fn operator_file(
        &self,
        process: usize,
        keepers: &[SocketAddr],
        listen: Option<SocketAddr>,
        disk: &Path,
    ) -> String {
        let keepers: Vec<String> = keepers.iter().map(|keeper| format!("\"{keeper}\"")).collect();
        let mut text = format!("[fleet]\nname = \"drill\"\nkeepers = [{}]\n", keepers.join(", "));
        if let Some(listen) = listen {
            text += &format!(
                "keeper = {process}\nlisten = \"{listen}\"\ndisk = {:?}\n",
                disk.display().to_string()
            );
        }
        text + &self.fleet_section
    }
}

/// An audit line of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct AuditLine {
    /// The process.
    pub process: usize,
    /// Its incarnation.
    pub incarnation: u64,
    /// Unix time in milliseconds.
    pub unix_ms: u64,
    /// What: holds, lost or carried out.
    pub action: String,
    /// The lease.
    pub lease: String,
    /// The fencing token.
    pub token: u64,
    /// The commanded traffic fraction, in thousandths.
    pub traffic_permille: Option<u64>,
}

impl Fleet {
    /// Sends a line to an instance's admin address; `None` if it does not answer.
    pub async fn admin_command(&self, process: usize, line: &str) -> Option<String> {
        self.admin_command_within(process, line, ANSWER).await
    }

    async fn admin_command_within(&self, process: usize, line: &str, within: Duration) -> Option<String> {
        let asked = async {
            let mut stream = TcpStream::connect(self.processes[process].admin()).await?;
            stream.write_all(format!("{line}\n").as_bytes()).await?;
            let mut text = String::new();
            stream.read_to_string(&mut text).await?;
            Ok::<_, std::io::Error>(text)
        };
        timeout(within, asked).await.ok()?.ok().filter(|text| !text.is_empty())
    }

    /// Waits until an instance's answer to a line is as wanted, and returns it; after `within`, the last one
    /// as an error.
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
                return Err(format!("{} says to {line}: {text:?}", self.processes[process].name));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// The holder of a lease and its token, by the voters' own answers; `None` if there are none or several.
    pub async fn lease_holder(&self, lease: &str) -> Option<(usize, u64)> {
        let mut found = None;
        for process in 0..self.processes.len() {
            if !self.processes[process].is_running.get() || !self.is_voter(process) {
                continue;
            }
            let text = self.admin_command_within(process, "FLEET", OWN_ANSWER).await.unwrap_or_default();
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

    /// Waits until an instance other than those named holds a lease.
    pub async fn wait_for_lease_holder(
        &self,
        lease: &str,
        not: &[usize],
        within: Duration,
    ) -> Result<(usize, u64), String> {
        let end = Instant::now() + within;
        loop {
            if let Some(owner) = self.lease_holder(lease).await.filter(|(process, _)| !not.contains(process))
            {
                return Ok(owner);
            }
            if Instant::now() > end {
                return Err(format!("nobody but {not:?} owns {lease} after {within:?}"));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn is_voter(&self, process: usize) -> bool {
        self.coordination.as_ref().is_some_and(|coordination| coordination.is_voter(process))
    }

    /// The folder of a voter's disk.
    pub fn disk(&self, process: usize) -> PathBuf {
        self.processes[process].folder().join("disk")
    }

    /// Removes a voter's disk file and returns its bytes.
    pub fn remove_disk_file(&self, process: usize) -> Result<Vec<u8>, FleetError> {
        let path = self.disk(process).join(format!("keeper-{process}.redb"));
        let bytes = std::fs::read(&path).map_err(system_error(path.display().to_string()))?;
        std::fs::remove_file(&path).map_err(system_error(path.display().to_string()))?;
        Ok(bytes)
    }

    /// The bytes of a voter's disk file now, whether it runs or not.
    pub fn read_disk_file(&self, process: usize) -> Result<Vec<u8>, FleetError> {
        let path = self.disk(process).join(format!("keeper-{process}.redb"));
        std::fs::read(&path).map_err(system_error(path.display().to_string()))
    }

    /// Writes a voter's disk file.
    pub fn write_disk_file(&self, process: usize, bytes: &[u8]) -> Result<(), FleetError> {
        let path = self.disk(process).join(format!("keeper-{process}.redb"));
        std::fs::write(&path, bytes).map_err(system_error(path.display().to_string()))
    }

    /// All audit lines of the instances, by the host's clock.
    pub fn audit_lines(&self) -> Vec<AuditLine> {
        let mut acts = Vec::new();
        for process in &self.processes {
            let text = std::fs::read_to_string(process.log()).unwrap_or_default();
            acts.extend(text.lines().filter_map(|line| act(process.number, line)));
        }
        acts.sort_by_key(|act| act.unix_ms);
        acts
    }
}

fn act(process: usize, line: &str) -> Option<AuditLine> {
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    let fields = value.get("fields").unwrap_or(&value);
    let what = fields.get("message")?.as_str()?.strip_prefix("fleet ")?;
    let number = |name: &str| fields.get(name).and_then(serde_json::Value::as_u64);
    Some(AuditLine {
        process,
        incarnation: number("life")?,
        unix_ms: number("at")?,
        action: what.to_owned(),
        lease: fields.get("duty")?.as_str()?.to_owned(),
        token: number("token")?,
        traffic_permille: number("part"),
    })
}

/// The violations in a fleet's audit lines: tokens of a lease that decrease at one incarnation of an
/// executor, two holders of one token, and two sites drained at once.
pub fn check_audit_lines(acts: &[AuditLine]) -> Vec<String> {
    use std::collections::BTreeMap;
    let mut wrong = Vec::new();
    let mut highest: BTreeMap<(usize, u64, &str), u64> = BTreeMap::new();
    let mut holders: BTreeMap<(&str, u64), (usize, u64)> = BTreeMap::new();
    let mut away: BTreeMap<(usize, u64), BTreeMap<&str, u64>> = BTreeMap::new();
    for act in acts {
        match act.action.as_str() {
            "carried out" => {
                let known = highest.entry((act.process, act.incarnation, &act.lease)).or_default();
                if act.token < *known {
                    wrong.push(format!("tokens fell from {known} at {act:?}"));
                }
                *known = (*known).max(act.token);
                let parts = away.entry((act.process, act.incarnation)).or_default();
                parts.insert(&act.lease, act.traffic_permille.unwrap_or(1_000));
                if parts.values().filter(|part| **part < 1_000).count() > 1 {
                    wrong.push(format!("two sites away: {parts:?} at {act:?}"));
                }
            }
            "holds" => {
                let own = (act.process, act.incarnation);
                if *holders.entry((&act.lease, act.token)).or_insert(own) != own {
                    wrong.push(format!("one token, two holders: {act:?}"));
                }
            }
            _ => {}
        }
    }
    wrong
}

/// Selects the links from a process to all voters.
pub fn links_from(of: usize) -> impl Fn(LinkEnds) -> bool + Copy {
    move |ends| matches!(ends, LinkEnds::ProxyToVoter { process, .. } if process == of)
}

/// Selects the links from all processes to one voter.
pub fn links_to_voter(of: usize) -> impl Fn(LinkEnds) -> bool + Copy {
    move |ends| matches!(ends, LinkEnds::ProxyToVoter { slot, .. } if slot == of)
}

impl Fleet {
    /// The backends in a zone, over all tiers.
    pub fn servers_of_zone(&self, zone: usize) -> Vec<usize> {
        let places = self.parameters.tiers.iter().flat_map(|tier| tier.places.iter());
        places.enumerate().filter(|(_, place)| place.zone == zone).map(|(number, _)| number).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn act(unix_ms: u64, process: usize, action: &str, lease: &str, token: u64, permille: u64) -> AuditLine {
        let (action, lease) = (action.to_owned(), lease.to_owned());
        AuditLine { process, incarnation: 1, unix_ms, action, lease, token, traffic_permille: Some(permille) }
    }

    #[test]
    fn each_rule_on_owners_is_seen_broken() {
        let good = [
            act(1, 0, "holds", "shift/a", 1, 0),
            act(2, 3, "carried out", "shift/a", 1, 500),
            act(3, 3, "carried out", "shift/a", 2, 1_000),
            act(4, 3, "carried out", "shift/b", 3, 500),
        ];
        assert!(check_audit_lines(&good).is_empty());
        let mut old = good.to_vec();
        old.push(act(5, 3, "carried out", "shift/a", 1, 500));
        assert!(check_audit_lines(&old).iter().any(|wrong| wrong.contains("tokens fell")));
        let mut two = good.to_vec();
        two.push(act(5, 1, "holds", "shift/a", 1, 0));
        assert!(check_audit_lines(&two).iter().any(|wrong| wrong.contains("two holders")));
        let mut away = good.to_vec();
        away.push(act(5, 3, "carried out", "shift/a", 4, 0));
        assert!(check_audit_lines(&away).iter().any(|wrong| wrong.contains("two sites away")));
    }
}
