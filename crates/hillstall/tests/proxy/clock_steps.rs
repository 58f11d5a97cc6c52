//! Steps of the machine's wall clock. Backends report their start by a clock that the proxy's may not agree with.

use super::*;
use hillstall_fault_injection::system_faults::{SystemFault, SystemFaults};
use std::time::{SystemTime, UNIX_EPOCH};

/// How long the platform's settings give a backend to warm up.
const WARMUP: Duration = Duration::from_millis(2_000);
const HOUR_NS: i64 = 3_600 * 1_000_000_000;
/// How long a backend works on a request.
const WORK: Duration = Duration::from_millis(10);
const CLIENTS: usize = 6;
/// Number of backends that have been warm for long.
const WARM_BACKENDS: usize = 3;

/// An endpoint that has started now.
fn fresh_endpoint(name: &str, address: std::net::SocketAddr) -> String {
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis();
    endpoint(name, address, "ready").replace(r#""since_ms":0"#, &format!(r#""since_ms":{now_ms}"#))
}

/// A backend that answers each request after [`WORK`].
fn working_backend() -> Backend {
    Backend::start(|_, stream| {
        thread::sleep(WORK);
        stream.write_all(OK.as_bytes()).is_ok()
    })
}

/// A proxy whose wall clock can be stepped, in front of warm backends and one that starts while it runs.
struct Site {
    proxy: Proxy,
    discovery: Discovery,
    faults: SystemFaults,
    warm: Vec<Backend>,
    fresh: Backend,
}

impl Site {
    /// Starts the proxy with its clock ahead by `offset_ns`.
    fn start(offset_ns: i64) -> Site {
        let faults = SystemFaults::new().expect("the library of faults is compiled");
        faults.set(SystemFault::WallClockOffsetNs, offset_ns).expect("the clock is set");
        let warm: Vec<Backend> = (0..WARM_BACKENDS).map(|_| working_backend()).collect();
        let entries: Vec<String> = warm
            .iter()
            .enumerate()
            .map(|(n, backend)| endpoint(&format!("w{n}"), backend.address, "ready"))
            .collect();
        let discovery = Discovery::start(Some(endpoint_list(5, true, &entries)));
        let config = platform_config(discovery.address, &endpoint_list(0, true, &[]))
            .replace(r#""Cold":8000"#, &format!(r#""Cold":{}"#, WARMUP.as_millis()))
            .replace("\"automatic\"", "\"subscribe\"");
        let proxy = Proxy::start_with_shell(&format!("{} exec \"$0\"", fault_variables(&faults)), &config);
        Site { proxy, discovery, faults, warm, fresh: working_backend() }
    }

    /// Lists the fresh backend, as started now.
    fn list_fresh(&self) {
        let entry = fresh_endpoint("fresh", self.fresh.address);
        self.discovery.send_to_watches(&endpoint_list(6, false, &[entry]));
        thread::sleep(Duration::from_millis(100));
    }

    /// Sends requests for `duration`; returns the fresh backend's part of the requests served, 1 being as much
    /// as each of the others.
    fn relative_traffic(&self, duration: Duration) -> f64 {
        let counts =
            || (self.fresh.request_count(), self.warm.iter().map(Backend::request_count).sum::<usize>());
        let before = counts();
        let end = Instant::now() + duration;
        thread::scope(|scope| {
            for client in 0..CLIENTS {
                scope.spawn(move || {
                    let mut number = 0;
                    while Instant::now() < end {
                        number += 1;
                        let id = format!("{client}-{number}");
                        let _ = self.proxy.request(&build_request("read", &id, 2_000, ""));
                    }
                });
            }
        });
        let after = counts();
        let warm_mean = (after.1 - before.1) as f64 / WARM_BACKENDS as f64;
        (after.0 - before.0) as f64 / warm_mean
    }

    /// Checks that the fresh backend, which has just been listed, warms up over a span of real time.
    fn assert_warms_up(&self, what: &str) {
        let cold = self.relative_traffic(WARMUP / 4);
        thread::sleep(WARMUP);
        let warm = self.relative_traffic(WARMUP / 2);
        assert!(cold < 0.7, "{what}: {cold:.2} of a warm backend's requests right after its start");
        assert!(warm > 0.7, "{what}: {warm:.2} of a warm backend's requests after its slow start");
    }
}

// Guards against a slow start that ends at once, or lasts for an hour, as the wall clock was stepped.
#[test]
fn a_backend_warms_up_in_real_time_whatever_the_clock_of_the_proxy_says() {
    for (start_ns, step_ns) in
        [(0, 0), (HOUR_NS, 0), (-HOUR_NS, 0), (0, HOUR_NS), (0, -HOUR_NS), (0, 5_000_000_000)]
    {
        let site = Site::start(start_ns);
        let _ = site.relative_traffic(Duration::from_millis(300));
        site.faults.set(SystemFault::WallClockOffsetNs, start_ns + step_ns).expect("the clock is stepped");
        site.list_fresh();
        site.assert_warms_up(&format!("clock ahead by {start_ns} ns, stepped by {step_ns} ns"));
    }
}

// Guards against a backend that stays in slow start for an hour, as the proxy started with a clock that is behind.
#[test]
fn a_backend_of_the_first_list_warms_up_although_the_clock_of_the_proxy_is_behind() {
    let site = Site::start(-HOUR_NS);
    let entries = site.warm.iter().enumerate().map(|(n, b)| endpoint(&format!("w{n}"), b.address, "ready"));
    let entries: Vec<String> = entries.chain([fresh_endpoint("fresh", site.fresh.address)]).collect();
    site.discovery.set_list(endpoint_list(5, true, &entries));
    let config = platform_config(site.discovery.address, &endpoint_list(0, true, &[]))
        .replace(r#""Cold":8000"#, &format!(r#""Cold":{}"#, WARMUP.as_millis()));
    let proxy = Proxy::start_with_shell(&format!("{} exec \"$0\"", fault_variables(&site.faults)), &config);
    let site = Site { proxy, ..site };
    site.assert_warms_up("first list");
}
