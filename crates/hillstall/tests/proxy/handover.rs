//! The protocol between the two processes of an upgrade. It must not change, as the older process may be of
//! an earlier version.

use super::*;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// The byte that the older process sends once it is within its half of the limits.
const REDUCED: u8 = b'1';

fn socket_path(folder: &Path, address: std::net::SocketAddr) -> PathBuf {
    folder.join(format!("hillstall-127.0.0.1-{}.sock", address.port()))
}

/// A shell command line that runs the program with `folder` as the folder of its socket.
fn command_line(folder: &Path) -> String {
    format!("TMPDIR={} exec \"$0\"", folder.display())
}

fn config_with_backend() -> String {
    let backend = Backend::answering(OK);
    let discovery =
        Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])));
    platform_config(discovery.address, &endpoint_list(0, true, &[]))
}

#[test]
fn older_process_listens_at_a_fixed_path_and_sends_one_byte() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut proxy = Proxy::start_with_shell(&command_line(folder.path()), &config_with_backend());
    let path = socket_path(folder.path(), proxy.address);
    wait_until("the socket accepts connections", || UnixStream::connect(&path).is_ok());
    let mut newer = UnixStream::connect(&path).expect("it listens");
    newer.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the time-out is set");
    let mut received = [0; 2];
    assert_eq!((newer.read(&mut received).expect("a byte"), received[0]), (1, REDUCED));
    drop(newer);
    proxy.terminate();
    assert!(proxy.wait().success());
    assert!(!path.exists(), "the socket file is left behind");
}

#[test]
fn newer_process_connects_to_that_path_and_waits_for_the_byte() {
    let folder = tempfile::tempdir().expect("a folder");
    let port = ReservedPort::take().expect("a port");
    let address = port.address();
    let older = UnixListener::bind(socket_path(folder.path(), address)).expect("a socket");
    let (mut command, _config) = proxy_command(&command_line(folder.path()), &config_with_backend(), address);
    let mut newer = command.spawn().expect("the process starts");
    let (mut stream, _) = older.accept().expect("it connects");
    assert!(
        TcpStream::connect(address).is_err(),
        "the newer process accepts clients before the byte arrived"
    );
    stream.write_all(&[REDUCED]).expect("the byte is sent");
    wait_until("the newer process serves", || {
        try_request(address, "GET /up HTTP/1.1\r\nHost: p\r\n\r\n")
            .is_some_and(|message| message.status() == 200)
    });
    newer.kill().expect("the process is killed");
    newer.wait().expect("the process has ended");
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("its end");
    assert_eq!(received, b"", "a newer process sends nothing");
}
