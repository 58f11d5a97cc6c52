//! The endpoint directory: ids of backends, changes between lists, and removal of backends that are gone.

use hillstall_decision::{BackendId, BackendState};
use hillstall_proxy_core::endpoints::{fnv1a, EndpointDirectory, EndpointList};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// An endpoint list with these (name, address, status) entries.
fn list(snapshot: bool, entries: &[(&str, &str, &str)]) -> EndpointList {
    let endpoints = entries.iter().map(|(name, address, status)| {
        let entry = serde_json::json!({ "name": name, "address": address, "status": status });
        serde_json::from_value(entry).expect("a valid endpoint entry")
    });
    EndpointList { version: 1, is_snapshot: snapshot, endpoints: endpoints.collect() }
}

/// The id of a name without a hash collision.
fn expected_id(name: &str) -> BackendId {
    let hash = fnv1a(name.as_bytes());
    (hash ^ (hash >> 32)) as BackendId
}

/// Two names whose hashes give the same id.
fn colliding_names() -> (String, String) {
    let mut names_by_id: HashMap<BackendId, String> = HashMap::new();
    for number in 0..u32::MAX {
        let name = format!("s-{number:x}");
        if let Some(earlier) = names_by_id.insert(expected_id(&name), name.clone()) {
            return (earlier, name);
        }
    }
    unreachable!("more names than ids");
}

#[test]
fn id_depends_only_on_the_name_and_survives_a_restart_of_the_backend() {
    let mut directory = EndpointDirectory::default();
    let now = Instant::now();
    let changes = directory.apply(&list(true, &[("s-5be2a07c", "127.0.0.1:1", "ready")]), now);
    let id = changes.backends[0].id;
    // Instances of different versions must give a backend the same id, so the hash must not change.
    assert_eq!(id, 0x5124_5f7b);
    directory.apply(&list(true, &[]), now);
    assert_eq!(directory.backend(id).map(|backend| backend.state), Some(BackendState::Gone));
    let changes = directory.apply(&list(false, &[("s-5be2a07c", "127.0.0.1:2", "ready")]), now);
    assert_eq!((changes.backends[0].id, changes.stale), (id, vec![id]));
}

#[test]
fn draining_backend_accepts_requests_during_the_grace_period_only_if_it_was_seen_ready() {
    let (mut directory, now, grace) = (EndpointDirectory::default(), Instant::now(), Duration::from_secs(1));
    let with_status = |status| list(false, &[("a", "127.0.0.1:1", status)]);
    let ready = directory.apply(&with_status("ready"), now).backends[0].id;
    let before = directory.backend(ready).expect("the backend is known");
    let changes = directory.apply(&with_status("draining"), now);
    assert_eq!(
        (changes.newly_draining, changes.stale),
        (vec![ready], vec![]),
        "idle connections stay usable during the grace period"
    );
    // A repeated announcement does not extend the grace period.
    let repeated = directory.apply(&with_status("draining"), now + grace / 2);
    assert!(repeated.newly_draining.is_empty() && repeated.stale.is_empty());
    let draining = directory.backend(ready).expect("the backend is known");
    assert!(draining.is_same_process(&before) && draining.accepts_new(now + grace * 9 / 10, grace));
    assert!(!draining.accepts_new(now + grace, grace));
    let changes = directory.apply(&list(false, &[("b", "127.0.0.1:2", "draining")]), now);
    let unknown = directory.backend(changes.backends[0].id).expect("the backend is known");
    assert!(!unknown.accepts_new(now, grace), "the start of its drain is unknown");
    assert_eq!(directory.apply(&with_status("gone"), now).stale, vec![ready]);
    assert!(!directory.backend(ready).expect("the backend is known").accepts_new(now, grace));
}

#[test]
fn gone_backends_are_removed_unless_in_use() {
    let mut directory = EndpointDirectory::default();
    for n in 0..100 {
        let name = format!("s-{n}");
        let backends =
            directory.apply(&list(true, &[(&name, "127.0.0.1:1", "ready")]), Instant::now()).backends;
        directory.remove_gone(|id| id != backends[0].id && n % 2 == 0);
    }
    assert_eq!(directory.table_sizes(), (1, 1, 1));
    directory.apply(&list(false, &[("s-99", "127.0.0.1:1", "gone")]), Instant::now());
    directory.remove_gone(|_| true);
    assert_eq!(directory.table_sizes().0, 1, "an attempt is still in flight");
}

#[test]
fn names_with_a_hash_collision_get_different_ids() {
    let mut directory = EndpointDirectory::default();
    let (first, second) = colliding_names();
    let entries = [(first.as_str(), "127.0.0.1:1", "ready"), (second.as_str(), "127.0.0.1:2", "ready")];
    let backends = directory.apply(&list(true, &entries), Instant::now()).backends;
    assert_eq!(backends[0].id, expected_id(&first));
    assert_eq!(backends[1].id, backends[0].id.wrapping_add(1));
}

#[test]
fn last_entry_of_a_repeated_name_wins_and_changed_addresses_make_connections_stale() {
    let (mut directory, now) = (EndpointDirectory::default(), Instant::now());
    let repeated = list(true, &[("a", "127.0.0.1:1", "ready"), ("a", "127.0.0.1:1", "draining")]);
    let a = directory.apply(&repeated, now).backends[0].id;
    assert_eq!(directory.backend(a).map(|backend| backend.state), Some(BackendState::Draining));
    let both = list(true, &[("a", "127.0.0.1:1", "ready"), ("b", "127.0.0.1:2", "ready")]);
    let b = directory.apply(&both, now).backends[1].id;
    let before = directory.backend(a).expect("the backend is known");
    let swapped = list(true, &[("a", "127.0.0.1:2", "ready"), ("b", "127.0.0.1:1", "ready")]);
    assert_eq!(
        directory.apply(&swapped, now).stale,
        vec![a, b],
        "connections to the old addresses reach another backend"
    );
    assert!(!directory.backend(a).expect("the backend is known").is_same_process(&before));
}

#[test]
fn an_unknown_status_is_treated_as_draining() {
    let list = list(true, &[("a", "127.0.0.1:1", "resting")]);
    let backends = EndpointDirectory::default().apply(&list, Instant::now()).backends;
    assert_eq!(backends[0].state, BackendState::Draining);
}

/// An endpoint list with these (name, address, start in milliseconds) entries, all of them ready.
fn list_with_starts(snapshot: bool, entries: &[(&str, &str, u32)]) -> EndpointList {
    let endpoints = entries.iter().map(|(name, address, since_ms)| {
        let entry = serde_json::json!(
            { "name": name, "address": address, "status": "ready", "since_ms": since_ms });
        serde_json::from_value(entry).expect("a valid endpoint entry")
    });
    EndpointList { version: 1, is_snapshot: snapshot, endpoints: endpoints.collect() }
}

// Guards against requests for a backend that has gone, sent to the new process at its address: the end of the old
// one may be told later than the start of the new one, or never.
#[test]
fn new_process_at_the_address_of_a_backend_replaces_it() {
    for starts in [[0, 0], [0, 2_000], [1_000, 2_000]] {
        let (mut directory, now) = (EndpointDirectory::default(), Instant::now());
        let first = directory.apply(&list_with_starts(true, &[("old", "127.0.0.1:1", starts[0])]), now);
        let old = first.backends[0].id;
        let changes = directory.apply(&list_with_starts(false, &[("new", "127.0.0.1:1", starts[1])]), now);
        let new = changes.backends[0].id;
        let states: Vec<_> = changes.backends.iter().map(|backend| (backend.id, backend.state)).collect();
        assert_eq!(states, [(new, BackendState::Ready), (old, BackendState::Gone)], "{starts:?}");
        assert_eq!(changes.stale, [old], "its idle connections are closed");
        let state = |id| directory.backend(id).map(|backend| backend.state);
        assert_eq!((state(old), state(new)), (Some(BackendState::Gone), Some(BackendState::Ready)));
        // Neither a list from before, nor the late news of the end of the old one, changes that, although the
        // old one is forgotten as soon as nothing uses it.
        directory.remove_gone(|_| false);
        let entries = [("old", "127.0.0.1:1", starts[0]), ("new", "127.0.0.1:1", starts[1])];
        directory.apply(&list_with_starts(true, &entries), now);
        let state = |id| directory.backend(id).map(|backend| backend.state);
        assert_eq!((state(old), state(new)), (Some(BackendState::Gone), Some(BackendState::Ready)));
        directory.apply(&list(false, &[("old", "127.0.0.1:1", "gone")]), now);
        assert_eq!(directory.backend(new).map(|backend| backend.state), Some(BackendState::Ready));
    }
}

// The start times tell which of two processes is the newer, in whatever order they are told.
#[test]
fn late_news_of_an_older_process_does_not_replace_a_newer_one() {
    let (mut directory, now) = (EndpointDirectory::default(), Instant::now());
    let entries = [("new", "127.0.0.1:1", 2_000), ("old", "127.0.0.1:1", 1_000)];
    let changes = directory.apply(&list_with_starts(true, &entries), now);
    let (new, old) = (changes.backends[0].id, changes.backends[1].id);
    let state = |id| directory.backend(id).map(|backend| backend.state);
    assert_eq!((state(new), state(old)), (Some(BackendState::Ready), Some(BackendState::Gone)));
    let last = changes.backends.last().expect("an entry");
    assert_eq!((last.id, last.state), (old, BackendState::Gone));
}
