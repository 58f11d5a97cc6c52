//! The log of the process on standard error, as text or as JSON lines. Lines go through a bounded queue to a
//! writer thread, so the thread that serves requests never blocks on a slow reader; lines that do not fit are
//! dropped and counted.

use std::time::Duration;
use tracing::Level;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Capacity of the queue, in lines of a few hundred bytes each.
const MAX_QUEUED_LINES: usize = 1_024;

/// Time between two checks for dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// The log of the process. Dropping it writes the queued lines, unless nobody reads standard error.
pub struct Logs {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl Logs {
    /// Starts the log in a format (`text` or `json`), with records of `level` and above. An unknown level
    /// counts as `info`. Only the first start in a process takes effect.
    pub fn start(format: &str, level: &str) -> Logs {
        let level: Level = level.parse().unwrap_or(Level::INFO);
        let builder = NonBlockingBuilder::default().buffered_lines_limit(MAX_QUEUED_LINES).lossy(true);
        let (writer, worker) = builder.thread_name("log").finish(std::io::stderr());
        let dropped = writer.error_counter();
        let subscriber = tracing_subscriber::fmt().with_max_level(level).with_ansi(false);
        // Fails if a log was started before, which then stays in use.
        let _ = match format {
            "json" => subscriber.json().flatten_event(true).with_writer(writer).try_init(),
            _ => subscriber.with_writer(writer).try_init(),
        };
        Logs { _worker: worker, dropped }
    }

    /// The counter of lines that were dropped because the queue was full.
    pub fn dropped(&self) -> ErrorCounter {
        self.dropped.clone()
    }
}

/// Logs at an interval how many lines were dropped since the last report. Never returns.
///
/// A report goes through the same queue, so it appears only once standard error is read again and the queue
/// has room. A report that finds the queue full is dropped too: the next one counts it as one line, and the
/// number that it stated is lost.
pub async fn report_dropped_lines(dropped: ErrorCounter) {
    let mut reported = 0;
    loop {
        tokio::time::sleep(DROP_REPORT_INTERVAL).await;
        let lines = dropped.dropped_lines();
        if lines > reported {
            tracing::warn!(
                lines = lines - reported,
                "log lines dropped because standard error was not read fast enough"
            );
            reported = lines;
        }
    }
}
