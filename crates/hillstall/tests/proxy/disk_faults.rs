//! A replica of the coordination whose disk fails for a while, and kills that leave a write half done.

use super::*;
use hillstall_fault_injection::system_faults::{error_number, SystemFault, SystemFaults};
use std::net::SocketAddr;

/// How long the disk fails.
const FAILING: Duration = Duration::from_millis(1_200);

/// A fleet of one replica, whose disk outlives its processes.
struct Replica {
    folder: tempfile::TempDir,
    faults: SystemFaults,
    config: String,
    replica_port: ReservedPort,
    _discovery: Discovery,
}

impl Replica {
    fn new() -> Replica {
        let backend = Backend::answering(OK);
        let discovery =
            Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])));
        let config = platform_config(discovery.address, &endpoint_list(0, true, &[]))
            .replace(r#""Cancelling":true"#, r#""Cancelling":true,"Peers":true"#);
        let replica = Replica {
            folder: tempfile::tempdir().expect("a folder"),
            faults: SystemFaults::new().expect("the library of faults is compiled"),
            config,
            replica_port: ReservedPort::take().expect("a port"),
            _discovery: discovery,
        };
        let (address, disk) = (replica.replica_port.address(), replica.disk());
        let section = format!(
            "[fleet]\nname = \"test\"\nkeepers = [\"{address}\"]\nkeeper = 0\nlisten = \"{address}\"\n\
             disk = \"{}\"\npeople = [[\"ann\"]]\n",
            disk.display()
        );
        std::fs::create_dir(&disk).expect("the disk's folder");
        std::fs::write(replica.operator_file(), section).expect("the operator file is written");
        replica
    }

    fn disk(&self) -> std::path::PathBuf {
        self.folder.path().join("disk")
    }

    fn operator_file(&self) -> std::path::PathBuf {
        self.folder.path().join("operator.toml")
    }

    /// Starts a process of the replica; returns its admin address too.
    fn start(&self) -> (Proxy, SocketAddr) {
        let (listener, admin) = bind_free_port();
        drop(listener);
        let (variables, operator) = (fault_variables(&self.faults), self.operator_file());
        let line =
            format!("{variables} NODE_ADMIN_ADDR={admin} exec \"$0\" run --operator {}", operator.display());
        (Proxy::start_with_shell(&line, &self.config), admin)
    }
}

/// Opens an incident, which the replica stores, and waits until it is acknowledged.
fn open_incident(admin: SocketAddr, evidence: &str) {
    wait_until("an incident is stored", || {
        admin_command(admin, &format!("INCIDENT OPEN minor tenant:{evidence} ann {evidence}\n"))
            .starts_with("200")
    });
}

fn incidents(admin: SocketAddr) -> String {
    admin_command(admin, "INCIDENT\n")
}

// Guards against a replica that is halted for good by a disk that failed for a moment, and against acknowledged
// data that is lost.
#[test]
fn a_replica_goes_on_and_keeps_what_it_acknowledged_after_its_disk_has_failed_for_a_while() {
    for (fault, error) in [
        (SystemFault::FileWriteError, error_number::ENOSPC),
        (SystemFault::FileWriteError, error_number::EIO),
        (SystemFault::FileSyncError, error_number::EIO),
    ] {
        let replica = Replica::new();
        let (proxy, admin) = replica.start();
        open_incident(admin, "before");
        let before = replica.faults.injected_count().expect("the count");
        replica.faults.set(fault, error).expect("the fault is set");
        // Not stored, so not acknowledged either.
        let refused = admin_command(admin, "INCIDENT OPEN minor tenant:during ann during\n");
        assert!(!refused.starts_with("200"), "{fault:?} {error}: {refused}");
        thread::sleep(FAILING);
        assert!(replica.faults.injected_count().expect("the count") > before, "{fault:?} did not bite");
        replica.faults.set(fault, 0).expect("the fault is cleared");
        open_incident(admin, "after");
        let stored = incidents(admin);
        assert!(stored.contains("before") && stored.contains("after"), "{fault:?} {error}: {stored}");
        proxy.signal("-KILL");
        drop(proxy);
        let (_proxy, admin) = replica.start();
        wait_until("a new process has what was acknowledged", || {
            let stored = incidents(admin);
            stored.contains("before") && stored.contains("after")
        });
    }
}

// Guards against a replica that never starts because its disk failed at the start of its process.
#[test]
fn a_replica_starts_once_its_disk_works() {
    for (fault, error) in
        [(SystemFault::FileWriteError, error_number::ENOSPC), (SystemFault::FileSyncError, error_number::EIO)]
    {
        let replica = Replica::new();
        replica.faults.set(fault, error).expect("the fault is set");
        let (_proxy, admin) = replica.start();
        thread::sleep(FAILING);
        assert!(replica.faults.injected_count().expect("the count") > 0, "{fault:?} did not bite");
        replica.faults.set(fault, 0).expect("the fault is cleared");
        open_incident(admin, "after");
    }
}

// Guards against a file that was being created when its process was killed, and is taken for another's.
#[test]
fn a_replica_starts_on_a_file_whose_creation_was_cut_off() {
    for length in [1, 8, 4_096, 1_000_000] {
        let replica = Replica::new();
        std::fs::write(replica.disk().join("keeper-0.redb"), vec![0; length]).expect("the file is written");
        let (_proxy, admin) = replica.start();
        open_incident(admin, "after");
    }
}

// Guards against a process that no newer one can take over from, because the folder they share failed at its start.
#[test]
fn a_process_can_be_upgraded_although_the_shared_folder_failed_at_its_start() {
    let folder = tempfile::tempdir().expect("a folder");
    let shared = folder.path().join("shared");
    let backend = Backend::answering(OK);
    let discovery =
        Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])));
    let config = platform_config(discovery.address, &endpoint_list(0, true, &[]));
    let variable = format!("TMPDIR={}", shared.display());
    let _proxy = Proxy::start_with_shell(&format!("{variable} exec \"$0\""), &config);
    thread::sleep(FAILING);
    std::fs::create_dir(&shared).expect("the folder works");
    wait_until("the process listens for a newer one", || {
        std::fs::read_dir(&shared).expect("the folder").count() == 1
    });
}
