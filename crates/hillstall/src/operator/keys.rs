//! The table of all keys of the operator file outside the section `[fleet]`: kind, bounds, default and help
//! text. The file, the environment, the flags, `check` and `config show` all use it.

use super::value::ValueKind;
use super::OperatorConfig;
use hillstall_proxy_core::tuning::Tuning;
use std::time::Duration;

/// A key of the operator file.
pub struct SettingKey {
    /// The name of its table and its own name, as in `pool.rest`.
    pub name: &'static str,
    /// The kind and bounds of its value.
    pub kind: ValueKind,
    /// The value, as text, if no source sets one.
    pub default: &'static str,
    /// A short description, shown by `config show`.
    pub help: &'static str,
    /// Whether a reload (SIGHUP) applies a changed value; otherwise it takes effect after a restart.
    pub reloads: bool,
}

impl SettingKey {
    /// The environment variable that sets this key, as in `HILLSTALL_POOL_REST` for `pool.rest`. It takes
    /// precedence over the file.
    pub fn variable(&self) -> String {
        format!("HILLSTALL_{}", self.name.replace('.', "_").to_uppercase())
    }
}

/// Finds the key with this name.
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

/// All keys, in the order in which `config show` prints them.
pub const KEYS: &[SettingKey] = &[
    needs_restart(
        "log.format",
        ValueKind::Choice(&["text", "json"]),
        "text",
        "log format: plain text or JSON lines",
    ),
    needs_restart(
        "log.level",
        ValueKind::Choice(&["error", "warn", "info", "debug"]),
        "info",
        "lowest level of the log records written",
    ),
    reloadable(
        "log.calls",
        ValueKind::Boolean,
        "false",
        "log one record per request: class, server, attempts, end, phases",
    ),
    reloadable(
        "callers.idle",
        duration(100, 3_600_000),
        "5s",
        "idle time after which a client connection is closed",
    ),
    reloadable(
        "callers.request_time",
        duration(100, 600_000),
        "2500ms",
        "longest wait for a request, or for one step of its body",
    ),
    reloadable(
        "callers.request_step",
        size(KIB, 64 * MIB),
        "16KiB",
        "step of a long body, see callers.request_time",
    ),
    reloadable(
        "callers.come_back",
        duration(0, 60_000),
        "500ms",
        "Retry-After of a request rejected for lack of room",
    ),
    reloadable(
        "callers.park",
        duration(1, 60_000),
        "50ms",
        "idle time after which a connection's buffers are freed",
    ),
    reloadable(
        "messages.held",
        size(KIB, 64 * MIB),
        "64KiB",
        "largest body buffered whole, so that it can be retried",
    ),
    reloadable("messages.longest", size(KIB, 1024 * MIB), "32MiB", "largest request or response"),
    reloadable(
        "messages.read_ahead",
        size(8 * KIB, 4 * MIB),
        "16KiB",
        "read buffer size, which also limits the message head",
    ),
    reloadable(
        "messages.stall",
        duration(100, 600_000),
        "5s",
        "longest stall of a message that is being forwarded",
    ),
    reloadable(
        "messages.system_buffer",
        size(4 * KIB, 16 * MIB),
        "128KiB",
        "size of a socket's buffers in the operating system",
    ),
    reloadable(
        "servers.answer_time",
        duration(10, 600_000),
        "1s",
        "longest wait for more bytes of a buffered response",
    ),
    reloadable(
        "servers.answer_hold",
        duration(0, 10_000),
        "100ms",
        "how long a response of unknown length is buffered",
    ),
    reloadable(
        "pool.rest",
        duration(0, 1_000),
        "2ms",
        "pause of a server connection between response and reuse",
    ),
    reloadable(
        "pool.kept",
        ValueKind::Integer { min: 1, max: 65_536 },
        "64",
        "maximum number of idle connections per server",
    ),
    reloadable(
        "pool.waits",
        ValueKind::Integer { min: 0, max: 1_000_000 },
        "3",
        "waits for a pausing connection before a new one opens",
    ),
    reloadable("drain.notice", duration(0, 60_000), "400ms", "how long a drain leaves idle connections open"),
    reloadable(
        "drain.rest",
        duration(0, 60_000),
        "250ms",
        "idle time after which a drain closes a connection",
    ),
];

/// Builds the tuning of the proxy from the operator's settings.
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
