//! The arguments of `hillstall lab`. clap prints the doc comments of commands and arguments as the text of
//! `--help`.

use clap::{Args, Subcommand};
use hillstall_simulation::experiment::Axis;
use hillstall_simulation::policy::PolicyName;
use std::path::PathBuf;

/// The commands of `hillstall lab`.
#[derive(Subcommand)]
pub enum SimulationCommand {
    /// List the embedded scenarios, or print one of them as a starting point
    Scenarios {
        /// Scenario to print
        name: Option<String>,
    },
    /// Run policies in a simulated scenario and compare them
    Run {
        /// Scenario file or embedded scenario
        #[arg(default_value = "lose-hall")]
        scenario: String,
        /// Policies to run
        #[arg(long = "policy", value_name = "POLICY", value_delimiter = ',', default_values_t = PolicyName::ALL)]
        policies: Vec<PolicyName>,
        /// Number of seeds and output files
        #[command(flatten)]
        options: ExperimentOptions,
    },
    /// Compare two policies, paired by seed, with 95% confidence intervals
    Compare {
        /// Baseline policy
        #[arg(id = "a", value_name = "A")]
        baseline: PolicyName,
        /// Candidate policy
        #[arg(id = "b", value_name = "B")]
        candidate: PolicyName,
        /// Scenario file or embedded scenario
        #[arg(default_value = "lose-hall")]
        scenario: String,
        /// Number of seeds and output files
        #[command(flatten)]
        options: ExperimentOptions,
    },
    /// Run policies on a grid of scenario parameters
    Sweep {
        /// Scenario file or embedded scenario
        #[arg(default_value = "lose-hall")]
        scenario: String,
        /// Axis of the grid, KEY=VALUE,VALUE, such as load.of_capacity=0.4,0.5
        #[arg(long = "vary", required = true)]
        axes: Vec<Axis>,
        /// Policies to run
        #[arg(long = "policy", value_name = "POLICY", value_delimiter = ',', default_value = "hillstall")]
        policies: Vec<PolicyName>,
        /// Number of seeds and output files
        #[command(flatten)]
        options: ExperimentOptions,
    },
    /// Simulate recorded days, as the `draw` command of the benchmark prints them
    #[command(name = "day")]
    RecordedDays {
        /// Files of recorded days (JSON)
        #[arg(required = true)]
        days: Vec<PathBuf>,
        /// Policies to run
        #[arg(long = "policy", value_name = "POLICY", value_delimiter = ',', default_value = "hillstall")]
        policies: Vec<PolicyName>,
        /// Number of seeds and output files
        #[command(flatten)]
        options: ExperimentOptions,
    },
    /// Count the requests in a fleet's access logs by load of the proxies, reason, tier and second
    #[command(name = "calls")]
    AccessLogs {
        /// Folder with one log file per proxy, written with log.calls=true and log.format=json
        folder: PathBuf,
    },
    /// Inject the faults of a scenario into real processes on this machine, and check the invariants
    #[command(name = "drill")]
    FaultInjection {
        /// Scenario file or embedded scenario
        #[arg(default_value = "drill-cut")]
        scenario: String,
        /// First seed
        #[arg(long = "seed", value_name = "SEED", default_value_t = 1)]
        first_seed: u64,
        /// Number of seeds, run one after another
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        seeds: u64,
        /// Folder in which to keep configurations and logs of the processes
        #[arg(long = "keep", value_name = "FOLDER")]
        output_folder: Option<PathBuf>,
        /// Also run the scenario in the simulation, and compare
        #[arg(long = "beside-lab")]
        with_simulation: bool,
        /// Write the summary of each run as a JSON line
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Shut one of several real proxies down gracefully under load, and check every request
    #[command(name = "soak")]
    ShutdownSoak {
        /// First seed
        #[arg(long = "seed", value_name = "SEED", default_value_t = 1)]
        first_seed: u64,
        /// Number of seeds, run one after another
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        seeds: u64,
        /// Make system calls of the proxies fail as well, at times drawn from the seed (needs `cc`)
        #[arg(long = "system-faults")]
        with_system_faults: bool,
        /// Proxy program to test, instead of this one
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
        /// Folder in which to keep configurations and logs of the processes
        #[arg(long = "keep", value_name = "FOLDER")]
        output_folder: Option<PathBuf>,
    },
    /// Compare the service of many proxy instances with that of one instance under the same total load
    #[command(name = "account")]
    FleetRatio {
        /// Scenario file or embedded scenario
        #[arg(default_value = "fleet-sum")]
        scenario: String,
        /// Numbers of instances; the smallest is the baseline
        #[arg(long = "copies", value_name = "COPIES", value_delimiter = ',', default_values_t = [1, 2, 8, 32, 100, 300])]
        instances: Vec<u32>,
        /// Loads, as fractions of the servers' capacity
        #[arg(long, value_delimiter = ',', default_values_t = [0.9, 1.1, 1.3])]
        loads: Vec<f64>,
        /// Number of seeds and output files
        #[command(flatten)]
        options: ExperimentOptions,
    },
    /// Map service over load and fraction of servers lost, and show where service recovers by itself
    Stability {
        /// Scenario file or embedded scenario, whose first failure is the loss of servers
        #[arg(default_value = "half-lost")]
        scenario: String,
        /// Loads, as fractions of the servers' capacity
        #[arg(long, value_delimiter = ',', default_values_t = [0.7, 0.8, 0.9, 1.0, 1.1, 1.2])]
        loads: Vec<f64>,
        /// Fractions of the servers that are lost
        #[arg(long = "lost", value_name = "LOST", value_delimiter = ',', default_values_t = [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6])]
        lost_fractions: Vec<f64>,
        /// Policy to run
        #[arg(long, default_value = "hillstall")]
        policy: PolicyName,
        /// Compare with earlier results written by --json, paired by seed
        #[arg(long = "beside", value_name = "FILE")]
        earlier_results: Option<PathBuf>,
        /// Number of seeds and output files
        #[command(flatten)]
        options: ExperimentOptions,
    },
    /// Supervise the processes of a fault-injection run; internal to `drill` and `soak`
    #[command(name = "keeper", hide = true)]
    ProcessSupervisor,
    /// Render an HTML page of results written by --json
    Report {
        /// Results (JSON lines)
        results: PathBuf,
        /// HTML page to write
        #[arg(default_value = "hillstall-lab.html")]
        page: PathBuf,
    },
}

/// The number of seeds and the output files of an experiment.
#[derive(Args)]
pub struct ExperimentOptions {
    /// Number of seeds; they begin at 1
    #[arg(long = "seeds", value_name = "SEEDS", default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub seed_count: u64,
    /// Write an HTML page with table and plots
    #[arg(long, value_name = "FILE")]
    pub report: Option<PathBuf>,
    /// Write the summary of each run as a JSON line
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

impl ExperimentOptions {
    /// The seeds to run with, from 1 to [`ExperimentOptions::seed_count`].
    pub fn seeds(&self) -> Vec<u64> {
        (1..=self.seed_count).collect()
    }
}
