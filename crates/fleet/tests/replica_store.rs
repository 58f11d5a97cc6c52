//! A replica's file: what was saved is there after a start, and a file that is torn is put aside.

use hillstall_fleet::disk::{NoDisk, RedbDisk};
use hillstall_quorum::disk::{Change, Disk};
use std::collections::BTreeMap;

#[test]
fn what_was_saved_is_there_after_a_start_and_nothing_else() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut disk = RedbDisk::open(folder.path(), 1).expect("it opens");
    let new = disk.load().expect("it is read");
    assert!(new.id >> 32 == 1 && new.boot == 0 && !new.takes_part);
    let entries: BTreeMap<u64, Vec<u8>> = (5..9).map(|i| (i, vec![i as u8])).collect();
    let change = Change { boot: Some(1), hard: Some(vec![1]), entries, ..Change::default() };
    disk.save(change).expect("it is written");
    let cut = Change { cut_from: Some(8), cut_to: Some(5), seen: [(3, 4)].into(), ..Change::default() };
    disk.save(cut).expect("it is written");
    assert!(
        matches!(RedbDisk::open(folder.path(), 1), Err(NoDisk::Taken)),
        "two processes never share it"
    );
    drop(disk);
    let mut again = RedbDisk::open(folder.path(), 1).expect("it opens");
    let kept = again.load().expect("it is read");
    assert_eq!((kept.id, kept.boot, kept.hard.as_slice()), (new.id, 1, &[1u8][..]));
    assert_eq!(kept.entries.keys().copied().collect::<Vec<_>>(), [6, 7]);
    assert_eq!(kept.seen, [(3, 4)].into());
    let renewed = again.renew().expect("it is renewed");
    assert!(renewed.id != new.id && renewed.entries.is_empty());
    assert!(RedbDisk::open(&folder.path().join("none"), 0).is_err(), "a folder that is not there");
}

#[test]
fn a_torn_file_is_put_aside() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("keeper-0.redb");
    let mut first = RedbDisk::open(folder.path(), 0).expect("it opens");
    let id = first.load().expect("it is read").id;
    drop(first);
    let bytes = std::fs::read(&path).expect("it is there");
    std::fs::write(&path, &bytes[..bytes.len() / 3]).expect("it is torn");
    if let Ok(mut disk) = RedbDisk::open(folder.path(), 0) {
        assert_ne!(disk.load().map(|kept| kept.id).unwrap_or(0), id);
    }
}
