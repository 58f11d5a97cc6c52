//! What two processes of one proxy say to each other while an upgrade goes on: the older may be of an earlier version.

use super::*;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// What the older process says once it keeps to its half.
const SHRUNK: u8 = b'1';

fn socket(folder: &Path, address: std::net::SocketAddr) -> PathBuf {
    folder.join(format!("hillstall-127.0.0.1-{}.sock", address.port()))
}

fn line(folder: &Path) -> String {
    format!("TMPDIR={} exec \"$0\"", folder.display())
}

fn as_told() -> String {
    let backend = Backend::saying(OK);
    let discovery = Discovery::start(Some(list(5, true, &[entry("b0", backend.address, "ready")])));
    config(discovery.address, &list(0, true, &[]))
}

#[test]
fn an_older_process_listens_at_this_path_and_says_one_byte() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut proxy = Proxy::start_by(&line(folder.path()), &as_told());
    let path = socket(folder.path(), proxy.address);
    until("it listens", || UnixStream::connect(&path).is_ok());
    let mut newer = UnixStream::connect(&path).expect("it listens");
    newer.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    let mut said = [0; 2];
    assert_eq!((newer.read(&mut said).expect("a byte"), said[0]), (1, SHRUNK));
    drop(newer);
    proxy.terminate();
    assert!(proxy.wait().success());
    assert!(!path.exists(), "it clears up");
}

#[test]
fn a_newer_process_connects_there_and_waits_for_the_byte() {
    let folder = tempfile::tempdir().expect("a folder");
    let (listener, address) = listen();
    drop(listener);
    let older = UnixListener::bind(socket(folder.path(), address)).expect("a socket");
    let (mut command, _config) = spawn(&line(folder.path()), &as_told(), address);
    let mut newer = command.spawn().expect("it starts");
    let (mut stream, _) = older.accept().expect("it connects");
    assert!(TcpStream::connect(address).is_err(), "it takes no client before it is told");
    stream.write_all(&[SHRUNK]).expect("it is told");
    until("it serves", || {
        try_call(address, "GET /up HTTP/1.1\r\nHost: p\r\n\r\n").is_some_and(|m| m.status() == 200)
    });
    newer.kill().expect("it is killed");
    newer.wait().expect("it has ended");
    let mut said = Vec::new();
    stream.read_to_end(&mut said).expect("its end");
    assert_eq!(said, b"", "a newer process says nothing");
}
