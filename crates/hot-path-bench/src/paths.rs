//! The measurements. Servers and the list run on a thread of their own, callers on this one, the relay and the
//! proxy as processes.

use crate::child::{await_listener, Broken, Measured};
use hillstall_simulation::closed_loop_clients::{self, ClientTotals};
use hillstall_simulation::relay as bare;
use hillstall_simulation::site::{config, ProcessLimits};
use hillstall_simulation::stand_in_thread::{listener, StandInThread};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;

const SERVERS: usize = 4;
const BODY: &[u8] = b"{\"item\":\"lantern\",\"price\":\"4.99\",\"owned\":false}";
/// Calls before a measurement, so that connections are open and counts are learned.
const WARM_UP: Duration = Duration::from_millis(700);

fn runtime() -> Result<Runtime, Broken> {
    Ok(Builder::new_current_thread().enable_all().build()?)
}

/// An address at which nobody listens at the moment.
fn free_address() -> Result<SocketAddr, Broken> {
    Ok(listener()?.1)
}

fn stand() -> Result<StandInThread, Broken> {
    Ok(StandInThread::start(SERVERS, |_| Rc::new(|_, _| BODY.to_vec()))?)
}

fn start_proxy(
    program: &Path,
    site: &StandInThread,
    holds: ProcessLimits,
) -> Result<(Measured, SocketAddr), Broken> {
    let address = free_address()?;
    let file = std::env::temp_dir().join(format!("hillstall-hot-path-bench-{}.json", std::process::id()));
    std::fs::write(&file, config(address, site.discovery, &site.servers, holds).to_string())?;
    let proxy = Measured::start(program, |command| {
        command.env("NODE_CONFIG", &file);
    })?;
    Ok((proxy, address))
}

/// Runs the relay in this process.
pub fn relay(listen: SocketAddr, servers: Vec<SocketAddr>) -> Result<(), Broken> {
    LocalSet::new().block_on(&runtime()?, async move {
        let listener = tokio::net::TcpListener::bind(listen).await?;
        bare::serve(listener, servers).await;
        Ok(())
    })
}

/// Seconds of one turn of the relay or the proxy.
const TURN: f64 = 0.25;

/// What runs of callers came to.
#[derive(Default)]
struct Run {
    tally: ClientTotals,
    seconds: f64,
    cpu: Duration,
    opened: u64,
    open: u64,
}

impl Run {
    fn add(&mut self, other: Run) {
        // Fails only between histograms of other bounds.
        let _ = self.tally.served.add(&other.tally.served);
        self.tally.refused += other.tally.refused;
        self.tally.failed += other.tally.failed;
        self.seconds += other.seconds;
        self.cpu += other.cpu;
        self.opened += other.opened;
        self.open = other.open;
    }

    fn calls(&self) -> f64 {
        (self.tally.served.len() + self.tally.refused + self.tally.failed) as f64
    }

    fn cpu_us(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.calls().max(1.0)
    }

    fn p(&self, quantile: f64) -> f64 {
        self.tally.served.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn row(&self, what: &str, callers: usize) -> String {
        format!(
            "| {callers} | {what} | {:.0} | {:.3} | {:.3} | {:.1} | {:.0} | {} | {} | {} | {} |",
            self.calls() / self.seconds,
            self.p(0.5),
            self.p(0.99),
            self.cpu_us(),
            1e6 / self.cpu_us().max(0.001),
            self.tally.refused,
            self.tally.failed,
            self.opened,
            self.open
        )
    }
}

async fn run(
    site: &StandInThread,
    child: &Measured,
    address: SocketAddr,
    callers: usize,
    seconds: f64,
) -> Result<Run, Broken> {
    let count = &site.connections;
    let (before, opened) = (child.cpu()?, count.opened.load(Ordering::Relaxed));
    let tally = closed_loop_clients::run(address, callers, Duration::from_secs_f64(seconds)).await;
    let opened = count.opened.load(Ordering::Relaxed) - opened;
    let open = count.open.load(Ordering::Relaxed);
    Ok(Run { tally, seconds, cpu: child.cpu()? - before, opened, open })
}

fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of.get(of.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Relay and proxy in turn, for each number of callers.
pub fn calls(program: &Path, callers: &[usize], seconds: f64, rounds: usize) -> Result<(), Broken> {
    let site = stand()?;
    LocalSet::new().block_on(&runtime()?, async {
        let relay_at = free_address()?;
        let own = std::env::current_exe()?;
        let relay = Measured::start(&own, |command| {
            command.arg("relay").arg(relay_at.to_string());
            command.args(site.servers.iter().map(ToString::to_string));
        })?;
        await_listener("the relay", relay_at).await?;
        println!("| callers | path | calls/s | p50 ms | p99 ms | CPU µs a call | calls/s of a core | refused | failed | opened | open |");
        println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        let mut ratios = Vec::new();
        for callers in callers {
            let (mut cpu, mut p50) = (Vec::new(), Vec::new());
            for _ in 0..rounds {
                // A fresh proxy each time: the first moments of one are part of what is measured.
                let (proxy, proxy_at) =
                    start_proxy(program, &site, ProcessLimits { sockets: 1_024, memory_mb: 192 })?;
                await_listener("the proxy", proxy_at).await?;
                let fresh = run(&site, &proxy, proxy_at, *callers, WARM_UP.as_secs_f64()).await?;
                run(&site, &relay, relay_at, *callers, WARM_UP.as_secs_f64()).await?;
                // Short turns: a machine that changes its speed changes it for both.
                let (mut through_relay, mut through_proxy) = (Run::default(), Run::default());
                let turns = (seconds / TURN).ceil().max(1.0) as usize;
                for _ in 0..turns {
                    through_relay.add(run(&site, &relay, relay_at, *callers, TURN).await?);
                    through_proxy.add(run(&site, &proxy, proxy_at, *callers, TURN).await?);
                }
                println!("{}", through_relay.row("relay", *callers));
                println!("{}", fresh.row("fresh proxy", *callers));
                println!("{}", through_proxy.row("proxy", *callers));
                cpu.push(through_proxy.cpu_us() / through_relay.cpu_us());
                p50.push(through_proxy.p(0.5) / through_relay.p(0.5));
            }
            ratios.push((*callers, median(cpu), median(p50)));
        }
        println!("\n| callers | CPU a call, proxy over relay | p50, proxy over relay |");
        println!("| --- | --- | --- |");
        for (callers, cpu, p50) in ratios {
            println!("| {callers} | {cpu:.2} | {p50:.2} |");
        }
        Ok(())
    })
}

/// Memory of the proxy before and after so many connections that idle.
pub fn idle(program: &Path, connections: usize) -> Result<(), Broken> {
    let site = stand()?;
    LocalSet::new().block_on(&runtime()?, async {
        let holds = ProcessLimits { sockets: 2 * connections + 512, memory_mb: 2_048 };
        let (proxy, address) = start_proxy(program, &site, holds)?;
        await_listener("the proxy", address).await?;
        closed_loop_clients::run(address, 16, WARM_UP).await;
        let before = proxy.memory()?;
        let kept = closed_loop_clients::idle(address, connections).await?;
        let after = proxy.memory()?;
        let each = after.saturating_sub(before) as f64 / kept.len().max(1) as f64;
        println!("| connections | MB before | MB with them | KiB each |");
        println!("| --- | --- | --- | --- |");
        let mb = |bytes: u64| bytes as f64 / 1e6;
        println!("| {} | {:.1} | {:.1} | {:.2} |", kept.len(), mb(before), mb(after), each / 1024.0);
        Ok(())
    })
}
