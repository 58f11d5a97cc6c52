//! The table of all keys of the operator file: unit, bounds, default and meaning. The file, the environment, the
//! flags, `check` and `config show` all use it.

use super::value::ValueKind;
use super::OperatorConfig;
use hillstall_proxy_core::tuning::Tuning;
use std::time::Duration;

/// One key.
pub struct SettingKey {
    /// Its table in the file and its name in that, as in `pool.rest`.
    pub name: &'static str,
    /// What its value may be.
    pub kind: ValueKind,
    /// The value where no source sets one.
    pub default: &'static str,
    /// What it does.
    pub help: &'static str,
    /// Whether SIGHUP changes it; otherwise it needs a new process.
    pub reloads: bool,
}

impl SettingKey {
    /// The environment variable that takes precedence over the file.
    pub fn variable(&self) -> String {
        format!("HILLSTALL_{}", self.name.replace('.', "_").to_uppercase())
    }
}

/// The key of this name.
pub fn find(name: &str) -> Option<&'static SettingKey> {
    KEYS.iter().find(|key| key.name == name)
}

const fn duration(min_ms: u64, max_ms: u64) -> ValueKind {
    ValueKind::Duration { min: Duration::from_millis(min_ms), max: Duration::from_millis(max_ms) }
}

const fn size(min: usize, max: usize) -> ValueKind {
    ValueKind::Size { min, max }
}

const fn reloadable(
    name: &'static str,
    kind: ValueKind,
    default: &'static str,
    help: &'static str,
) -> SettingKey {
    SettingKey { name, kind, default, help, reloads: true }
}

const fn needs_restart(
    name: &'static str,
    kind: ValueKind,
    default: &'static str,
    help: &'static str,
) -> SettingKey {
    SettingKey { name, kind, default, help, reloads: false }
}

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// All keys, in the order in which they are shown.
pub const KEYS: &[SettingKey] = &[
    needs_restart(
        "log.format",
        ValueKind::Choice(&["text", "json"]),
        "text",
        "text for people, JSON lines for programs",
    ),
    needs_restart(
        "log.level",
        ValueKind::Choice(&["error", "warn", "info", "debug"]),
        "info",
        "the least important records written",
    ),
    reloadable(
        "log.calls",
        ValueKind::Boolean,
        "false",
        "one record a call: class, server, attempts, end, phases",
    ),
    reloadable(
        "callers.idle",
        duration(100, 3_600_000),
        "5s",
        "a caller's connection that carried nothing is closed",
    ),
    reloadable(
        "callers.request_time",
        duration(100, 600_000),
        "2500ms",
        "longest wait for a whole request, or a step",
    ),
    reloadable(
        "callers.request_step",
        size(KIB, 64 * MIB),
        "16KiB",
        "bytes that a longer body has that time for",
    ),
    reloadable(
        "callers.come_back",
        duration(0, 60_000),
        "500ms",
        "wait that a refusal for want of room states",
    ),
    reloadable(
        "callers.park",
        duration(1, 60_000),
        "50ms",
        "silence after which a connection's buffers are let go",
    ),
    reloadable(
        "messages.held",
        size(KIB, 64 * MIB),
        "64KiB",
        "largest body held whole, so that it can be sent again",
    ),
    reloadable("messages.longest", size(KIB, 1024 * MIB), "32MiB", "longest message on either side"),
    reloadable(
        "messages.read_ahead",
        size(8 * KIB, 4 * MIB),
        "16KiB",
        "most read ahead, so also the largest head",
    ),
    reloadable(
        "messages.stall",
        duration(100, 600_000),
        "5s",
        "longest wait for progress of a message that passes",
    ),
    reloadable(
        "messages.system_buffer",
        size(4 * KIB, 16 * MIB),
        "128KiB",
        "what the system may hold of a message",
    ),
    reloadable(
        "servers.answer_time",
        duration(10, 600_000),
        "1s",
        "longest wait for more of an answer that is held",
    ),
    reloadable(
        "servers.answer_hold",
        duration(0, 10_000),
        "100ms",
        "hold of an answer that does not tell its length",
    ),
    reloadable("pool.rest", duration(0, 1_000), "2ms", "how long a connection rests after an answer"),
    reloadable(
        "pool.kept",
        ValueKind::Integer { min: 1, max: 65_536 },
        "64",
        "idle connections kept for one server",
    ),
    reloadable(
        "pool.waits",
        ValueKind::Integer { min: 0, max: 1_000_000 },
        "3",
        "waits for a rest borne before opening one",
    ),
    reloadable(
        "drain.notice",
        duration(0, 60_000),
        "400ms",
        "how long a drain leaves kept connections alone",
    ),
    reloadable(
        "drain.rest",
        duration(0, 60_000),
        "250ms",
        "idle time after which a drain closes a connection",
    ),
];

/// The tuning of the proxy that the values of these keys make.
pub fn tuning(operator: &OperatorConfig) -> Tuning {
    Tuning {
        client_idle_timeout: operator.duration("callers.idle"),
        request_timeout: operator.duration("callers.request_time"),
        request_bytes_per_timeout: operator.size("callers.request_step"),
        retry_after: operator.duration("callers.come_back"),
        buffer_release_after: operator.duration("callers.park"),
        max_buffered_body_bytes: operator.size("messages.held"),
        max_message_bytes: operator.size("messages.longest"),
        read_buffer_bytes: operator.size("messages.read_ahead"),
        stall_timeout: operator.duration("messages.stall"),
        socket_buffer_bytes: operator.size("messages.system_buffer"),
        response_timeout: operator.duration("servers.answer_time"),
        max_unsized_buffering: operator.duration("servers.answer_hold"),
        min_connection_reuse_delay: operator.duration("pool.rest"),
        max_idle_per_backend: operator.integer("pool.kept") as usize,
        max_reuse_waits: operator.integer("pool.waits").min(u64::from(u32::MAX)) as u32,
        drain_close_delay: operator.duration("drain.notice"),
        drain_idle_timeout: operator.duration("drain.rest"),
        log_requests: operator.boolean("log.calls"),
    }
}
