//! The measurements. Backends and discovery run on a thread of their own, clients on this one, the relay and the proxy
//! as processes.

use crate::child::{await_listener, BenchError, MeasuredProcess};
use hillstall_simulation::closed_loop_clients::{self as closed_loop_clients, ClientTotals};
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
/// What each backend answers.
const RESPONSE_BODY: &[u8] = b"{\"item\":\"lantern\",\"price\":\"4.99\",\"owned\":false}";
/// Length of the run before a measurement, in which connections are opened and limits are learned.
const WARM_UP: Duration = Duration::from_millis(700);
/// Seconds of one turn of the relay or the proxy.
const TURN_SECONDS: f64 = 0.25;
/// Concurrent clients that warm the proxy up before idle connections are measured.
const IDLE_WARM_UP_CLIENTS: usize = 16;

fn runtime() -> Result<Runtime, BenchError> {
    Ok(Builder::new_current_thread().enable_all().build()?)
}

/// An address at which nobody listens at the moment.
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

/// Starts this program once more, as the relay.
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

/// Results of one or more runs on one path, added up.
#[derive(Default)]
struct RunTotals {
    responses: ClientTotals,
    seconds: f64,
    cpu_time: Duration,
    /// Backend connections opened meanwhile.
    opened: u64,
    /// Backend connections open at the end.
    open: u64,
}

impl RunTotals {
    fn add(&mut self, other: RunTotals) {
        // Fails only between histograms of other bounds.
        let _ = self.responses.served.add(&other.responses.served);
        self.responses.rejected += other.responses.rejected;
        self.responses.failed += other.responses.failed;
        self.seconds += other.seconds;
        self.cpu_time += other.cpu_time;
        self.opened += other.opened;
        self.open = other.open;
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
            self.opened,
            self.open
        )
    }
}

/// A path that requests take to the backends.
#[derive(Clone, Copy)]
struct MeasuredPath<'a> {
    backends: &'a StandInThread,
    process: &'a MeasuredProcess,
    address: SocketAddr,
    clients: usize,
}

impl MeasuredPath<'_> {
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
            opened: connections.opened.load(Ordering::Relaxed) - opened_before,
            open: connections.open.load(Ordering::Relaxed),
        })
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// The proxy's cost over the relay's.
struct CostRatio {
    cpu: f64,
    p50: f64,
}

/// One round: a fresh proxy is warmed up, then relay and proxy take short turns, so that a machine that changes its
/// speed changes it for both. Prints a row for each.
async fn round(relay: MeasuredPath<'_>, program: &Path, seconds: f64) -> Result<CostRatio, BenchError> {
    // A fresh proxy each time: the first moments of one are part of what is measured.
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

/// Measures relay and proxy in turn, for each number of concurrent clients, and prints the medians of their ratios.
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

/// Prints the proxy's memory before and after so many idle client connections.
pub fn idle(program: &Path, connections: usize) -> Result<(), BenchError> {
    let backends = start_backends()?;
    LocalSet::new().block_on(&runtime()?, async {
        let limits = ProcessLimits { sockets: 2 * connections + 512, memory_mb: 2_048 };
        let (proxy, address) = start_proxy(program, &backends, limits)?;
        await_listener("the proxy", address).await?;
        closed_loop_clients::run(address, IDLE_WARM_UP_CLIENTS, WARM_UP).await;
        let before = proxy.memory()?;
        let idle = closed_loop_clients::open_idle_connections(address, connections).await?;
        let after = proxy.memory()?;
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
