//! The arguments of `hillstall lab`. The comments on commands and arguments are the texts of `--help`.

use clap::{Args, Subcommand};
use hillstall_simulation::experiment::Axis;
use hillstall_simulation::policy::PolicyName;
use std::path::PathBuf;

/// The commands of `hillstall lab`.
#[derive(Subcommand)]
pub enum SimulationCommand {
    /// Name the scenarios that come with the program, or print one to start from
    Scenarios {
        /// Print this one
        name: Option<String>,
    },
    /// Run policies through a scenario and hold them against each other
    Run {
        /// A file, or a scenario that comes with the program
        #[arg(default_value = "lose-hall")]
        scenario: String,
        /// Policies
        #[arg(long = "policy", value_name = "POLICY", value_delimiter = ',', default_values_t = PolicyName::ALL)]
        policies: Vec<PolicyName>,
        /// How to run and where to write
        #[command(flatten)]
        options: ExperimentOptions,
    },
    /// Hold two policies against each other, seed by seed, with 95% intervals
    Compare {
        /// The one that is there
        #[arg(id = "a", value_name = "A")]
        baseline: PolicyName,
        /// The one that may be better
        #[arg(id = "b", value_name = "B")]
        candidate: PolicyName,
        /// A file, or a scenario that comes with the program
        #[arg(default_value = "lose-hall")]
        scenario: String,
        /// How to run and where to write
        #[command(flatten)]
        options: ExperimentOptions,
    },
    /// Run a grid of parameters
    Sweep {
        /// A file, or a scenario that comes with the program
        #[arg(default_value = "lose-hall")]
        scenario: String,
        /// An axis of the grid: KEY=VALUE,VALUE, as in load.of_capacity=0.4,0.5
        #[arg(long = "vary", required = true)]
        axes: Vec<Axis>,
        /// Policies
        #[arg(long = "policy", value_name = "POLICY", value_delimiter = ',', default_value = "hillstall")]
        policies: Vec<PolicyName>,
        /// How to run and where to write
        #[command(flatten)]
        options: ExperimentOptions,
    },
    /// Play days of the bench, as its `draw` prints them
    #[command(name = "day")]
    RecordedDays {
        /// Day files (JSON)
        #[arg(required = true)]
        days: Vec<PathBuf>,
        /// Policies
        #[arg(long = "policy", value_name = "POLICY", value_delimiter = ',', default_value = "hillstall")]
        policies: Vec<PolicyName>,
        /// How to run and where to write
        #[command(flatten)]
        options: ExperimentOptions,
    },
    /// Count the calls that a fleet's logs tell of, by load of the proxies, reason, tier and second
    #[command(name = "calls")]
    AccessLogs {
        /// A folder in which each file is the log of one proxy, written with log.calls and as JSON
        folder: PathBuf,
    },
    /// Play a scenario on a fleet of real processes on this machine, and judge it by the rules
    #[command(name = "drill")]
    FaultInjection {
        /// A file, or a scenario that comes with the program
        #[arg(default_value = "drill-cut")]
        scenario: String,
        /// The first seed, and how many from there on
        #[arg(long = "seed", value_name = "SEED", default_value_t = 1)]
        first_seed: u64,
        /// How many seeds, one after another
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        seeds: u64,
        /// Keep configurations and logs of the processes here
        #[arg(long = "keep", value_name = "FOLDER")]
        output_folder: Option<PathBuf>,
        /// Play the same in simulated time too, and hold them against each other
        #[arg(long = "beside-lab")]
        with_simulation: bool,
        /// Write each drill's tally as a JSON line
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Ask one proxy of a fleet of real processes to end while its clients go on, and judge every request
    #[command(name = "soak")]
    ShutdownSoak {
        /// The first seed, and how many from there on
        #[arg(long = "seed", value_name = "SEED", default_value_t = 1)]
        first_seed: u64,
        /// How many seeds, one after another
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        seeds: u64,
        /// Play another version of this program than this one
        #[arg(long, value_name = "FILE")]
        program: Option<PathBuf>,
        /// Keep configurations and logs of the processes here
        #[arg(long = "keep", value_name = "FOLDER")]
        output_folder: Option<PathBuf>,
    },
    /// Hold one load carried by many copies of the proxy against the same carried by one
    #[command(name = "account")]
    FleetRatio {
        /// A file, or a scenario that comes with the program
        #[arg(default_value = "fleet-sum")]
        scenario: String,
        /// Numbers of copies; the least is what the others are held against
        #[arg(long = "copies", value_name = "COPIES", value_delimiter = ',', default_values_t = [1, 2, 8, 32, 100, 300])]
        instances: Vec<u32>,
        /// Loads, as parts of what the servers can do
        #[arg(long, value_delimiter = ',', default_values_t = [0.9, 1.1, 1.3])]
        loads: Vec<f64>,
        /// How to run and where to write
        #[command(flatten)]
        options: ExperimentOptions,
    },
    /// Map how load and the part of the servers that is lost go together, and whether service returns by itself
    Stability {
        /// A file, or a scenario that comes with the program; its first failure is the loss
        #[arg(default_value = "half-lost")]
        scenario: String,
        /// Loads, as parts of what the servers can do
        #[arg(long, value_delimiter = ',', default_values_t = [0.7, 0.8, 0.9, 1.0, 1.1, 1.2])]
        loads: Vec<f64>,
        /// Parts of the servers that are lost
        #[arg(long = "lost", value_name = "LOST", value_delimiter = ',', default_values_t = [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6])]
        lost_fractions: Vec<f64>,
        /// The policy
        #[arg(long, default_value = "hillstall")]
        policy: PolicyName,
        /// Hold it against runs kept with --json earlier, seed by seed
        #[arg(long = "beside", value_name = "FILE")]
        earlier_results: Option<PathBuf>,
        /// How to run and where to write
        #[command(flatten)]
        options: ExperimentOptions,
    },
    /// Own the processes of a drill; for the drill alone
    #[command(name = "keeper", hide = true)]
    ProcessSupervisor,
    /// Draw the page of results kept with --json
    Report {
        /// JSON lines
        results: PathBuf,
        /// The page
        #[arg(default_value = "hillstall-lab.html")]
        page: PathBuf,
    },
}

/// How to run and where to write.
#[derive(Args)]
pub struct ExperimentOptions {
    /// Seeds: this many, from 1 on
    #[arg(long = "seeds", value_name = "SEEDS", default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub seed_count: u64,
    /// Write a page with table and plots
    #[arg(long, value_name = "FILE")]
    pub report: Option<PathBuf>,
    /// Write each run as a JSON line
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

impl ExperimentOptions {
    /// The seeds to run with.
    pub fn seeds(&self) -> Vec<u64> {
        (1..=self.seed_count).collect()
    }
}
