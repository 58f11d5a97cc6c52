//! The `hillstall` program: parses the command line and hands it to the library.

use clap::Parser;
use hillstall::cli::CommandLine;
use std::process::ExitCode;

fn main() -> ExitCode {
    hillstall::execute(CommandLine::parse()).into()
}
