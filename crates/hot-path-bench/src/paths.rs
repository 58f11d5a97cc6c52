//! The measurements. Backends and discovery run on a thread of their own, clients on the main thread, and the
//! relay and the proxy in processes of their own.

use crate::child::{await_listener, BenchError, MeasuredProcess};
use hillstall_simulation::closed_loop_clients::{self, ClientTotals};
use hillstall_simulation::relay as bare_relay;
use hillstall_simulation::site::{config, ProcessLimits};
use hillstall_simulation::stand_in_thread::{listener, StandInThread};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

/// Number of backends.
const BACKENDS: usize = 4;
/// The body of every response of a backend.
const RESPONSE_BODY: &[u8] = b"{\"item\":\"lantern\",\"price\":\"4.99\",\"owned\":false}";
/// Length of the warm-up before a measurement, in which connections are opened and the proxy adapts its
/// limits.
const WARM_UP: Duration = Duration::from_millis(700);
/// Seconds for which the relay and the proxy are measured in turn.
const TURN_SECONDS: f64 = 0.25;
/// The number of concurrent clients in the warm-up before idle connections are measured.
const IDLE_WARM_UP_CLIENTS: usize = 16;

fn runtime() -> Result<Runtime, BenchError> {
    Ok(Builder::new_current_thread().enable_all().build()?)
}

/// A loopback address at which nothing listens at present.
fn free_address() -> Result<SocketAddr, BenchError> {
    Ok(listener()?.1)
}

fn start_backends() -> Result<StandInThread, BenchError> {
    Ok(StandInThread::start(BACKENDS, |_| Rc::new(|_, _| RESPONSE_BODY.to_vec()))?)
}

fn start_proxy(
    program: &Path,
    backends: &StandInThread,
    limits: ProcessLimits,
) -> Result<(MeasuredProcess, SocketAddr), BenchError> {
    let address = free_address()?;
    let file = std::env::temp_dir().join(format!("hillstall-hot-path-bench-{}.json", std::process::id()));
    std::fs::write(&file, config(address, backends.discovery, &backends.servers, limits).to_string())?;
    let proxy = MeasuredProcess::start(program, |command| {
        command.env("NODE_CONFIG", &file);
    })?;
    Ok((proxy, address))
}

/// Starts this program again as the relay, and waits until it listens.
async fn start_relay(backends: &StandInThread) -> Result<(MeasuredProcess, SocketAddr), BenchError> {
    let address = free_address()?;
    let program = std::env::current_exe()?;
    let relay = MeasuredProcess::start(&program, |command| {
        command.arg("relay").arg(address.to_string());
        command.args(backends.servers.iter().map(ToString::to_string));
    })?;
    await_listener("the relay", address).await?;
    Ok((relay, address))
}

/// Runs the relay in this process.
pub fn relay(listen: SocketAddr, backends: Vec<SocketAddr>) -> Result<(), BenchError> {
    LocalSet::new().block_on(&runtime()?, async move {
        let listener = tokio::net::TcpListener::bind(listen).await?;
        bare_relay::serve(listener, backends).await;
        Ok(())
    })
}

/// The results of one or more runs over the same path, added up.
#[derive(Default)]
struct RunTotals {
    responses: ClientTotals,
    seconds: f64,
    cpu_time: Duration,
    /// Connections to backends that were opened during the runs.
    opened_connections: u64,
    /// Connections to backends that were open at the end of the last run.
    open_connections: u64,
}

impl RunTotals {
    fn add(&mut self, other: RunTotals) {
        // Fails only for histograms with different bounds; these all have the same.
        let _ = self.responses.served.add(&other.responses.served);
        self.responses.rejected += other.responses.rejected;
        self.responses.failed += other.responses.failed;
        self.seconds += other.seconds;
        self.cpu_time += other.cpu_time;
        self.opened_connections += other.opened_connections;
        self.open_connections = other.open_connections;
    }

    fn requests(&self) -> f64 {
        (self.responses.served.len() + self.responses.rejected + self.responses.failed) as f64
    }

    /// CPU time per request, in microseconds.
    fn cpu_us(&self) -> f64 {
        self.cpu_time.as_secs_f64() * 1e6 / self.requests().max(1.0)
    }

    /// A quantile of the latency, in milliseconds.
    fn latency_ms(&self, quantile: f64) -> f64 {
        self.responses.served.value_at_quantile(quantile) as f64 / 1000.0
    }

    /// A row of the table that [`requests`] prints.
    fn row(&self, path: &str, clients: usize) -> String {
        format!(
            "| {clients} | {path} | {:.0} | {:.3} | {:.3} | {:.1} | {:.0} | {} | {} | {} | {} |",
            self.requests() / self.seconds,
            self.latency_ms(0.5),
            self.latency_ms(0.99),
            self.cpu_us(),
            1e6 / self.cpu_us().max(0.001),
            self.responses.rejected,
            self.responses.failed,
            self.opened_connections,
            self.open_connections
        )
    }
}

/// A path from the clients to the backends, through the relay or the proxy.
#[derive(Clone, Copy)]
struct MeasuredPath<'a> {
    backends: &'a StandInThread,
    process: &'a MeasuredProcess,
    address: SocketAddr,
    clients: usize,
}

impl MeasuredPath<'_> {
    /// Sends requests for some seconds, and measures the process meanwhile.
    async fn run(self, seconds: f64) -> Result<RunTotals, BenchError> {
        let connections = &self.backends.connections;
        let cpu_before = self.process.cpu_time()?;
        let opened_before = connections.opened.load(Ordering::Relaxed);
        let responses =
            closed_loop_clients::run(self.address, self.clients, Duration::from_secs_f64(seconds)).await;
        Ok(RunTotals {
            responses,
            seconds,
            cpu_time: self.process.cpu_time()? - cpu_before,
            opened_connections: connections.opened.load(Ordering::Relaxed) - opened_before,
            open_connections: connections.open.load(Ordering::Relaxed),
        })
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// The cost of the proxy divided by that of the relay.
struct CostRatio {
    /// Ratio of the CPU time per request.
    cpu: f64,
    /// Ratio of the median latency.
    p50: f64,
}

/// Runs one round and prints its rows. After the warm-up of a new proxy process, relay and proxy are measured
/// in short turns, so that changes of the machine's speed affect both alike.
async fn round(relay: MeasuredPath<'_>, program: &Path, seconds: f64) -> Result<CostRatio, BenchError> {
    // A new process each time, as the row "fresh proxy" reports its warm-up.
    let limits = ProcessLimits { sockets: 1_024, memory_mb: 192 };
    let (process, address) = start_proxy(program, relay.backends, limits)?;
    await_listener("the proxy", address).await?;
    let proxy = MeasuredPath { process: &process, address, ..relay };
    let fresh = proxy.run(WARM_UP.as_secs_f64()).await?;
    relay.run(WARM_UP.as_secs_f64()).await?;
    let (mut through_relay, mut through_proxy) = (RunTotals::default(), RunTotals::default());
    let turns = (seconds / TURN_SECONDS).ceil().max(1.0) as usize;
    for _ in 0..turns {
        through_relay.add(relay.run(TURN_SECONDS).await?);
        through_proxy.add(proxy.run(TURN_SECONDS).await?);
    }
    println!("{}", through_relay.row("relay", relay.clients));
    println!("{}", fresh.row("fresh proxy", relay.clients));
    println!("{}", through_proxy.row("proxy", relay.clients));
    Ok(CostRatio {
        cpu: through_proxy.cpu_us() / through_relay.cpu_us(),
        p50: through_proxy.latency_ms(0.5) / through_relay.latency_ms(0.5),
    })
}

/// Measures relay and proxy in turn for each number of concurrent clients. Prints a row for each run, then
/// the medians over the rounds of the proxy's cost relative to the relay's.
pub fn requests(program: &Path, clients: &[usize], seconds: f64, rounds: usize) -> Result<(), BenchError> {
    let backends = start_backends()?;
    LocalSet::new().block_on(&runtime()?, async {
        let (process, address) = start_relay(&backends).await?;
        println!("| callers | path | calls/s | p50 ms | p99 ms | CPU µs a call | calls/s of a core | refused | failed | opened | open |");
        println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        let mut ratios = Vec::new();
        for clients in clients {
            let relay = MeasuredPath { backends: &backends, process: &process, address, clients: *clients };
            let (mut cpu, mut p50) = (Vec::new(), Vec::new());
            for _ in 0..rounds {
                let ratio = round(relay, program, seconds).await?;
                cpu.push(ratio.cpu);
                p50.push(ratio.p50);
            }
            ratios.push((*clients, median(cpu), median(p50)));
        }
        println!("\n| callers | CPU a call, proxy over relay | p50, proxy over relay |");
        println!("| --- | --- | --- |");
        for (clients, cpu, p50) in ratios {
            println!("| {clients} | {cpu:.2} | {p50:.2} |");
        }
        Ok(())
    })
}

/// Prints the proxy's memory before and with a number of idle client connections.
pub fn idle(program: &Path, connections: usize) -> Result<(), BenchError> {
    let backends = start_backends()?;
    LocalSet::new().block_on(&runtime()?, async {
        let limits = ProcessLimits { sockets: 2 * connections + 512, memory_mb: 2_048 };
        let (proxy, address) = start_proxy(program, &backends, limits)?;
        await_listener("the proxy", address).await?;
        closed_loop_clients::run(address, IDLE_WARM_UP_CLIENTS, WARM_UP).await;
        let before = proxy.memory_bytes()?;
        let idle = closed_loop_clients::open_idle_connections(address, connections).await?;
        let after = proxy.memory_bytes()?;
        let per_connection = after.saturating_sub(before) as f64 / idle.len().max(1) as f64;
        println!("| connections | MB before | MB with them | KiB each |");
        println!("| --- | --- | --- | --- |");
        let mb = |bytes: u64| bytes as f64 / 1e6;
        println!(
            "| {} | {:.1} | {:.1} | {:.2} |",
            idle.len(),
            mb(before),
            mb(after),
            per_connection / 1024.0
        );
        Ok(())
    })
}
