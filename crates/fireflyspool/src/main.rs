//! Entry point of the `fireflyspool` binary.

use std::process;

use clap::Parser;
use fireflyspool::cli;

fn main() -> process::ExitCode {
    let arguments = cli::Arguments::parse();
    match cli::run(arguments) {
        Ok(code) => code.into(),
        Err(error) => {
            eprintln!("fireflyspool: {error:#}");
            cli::ExitCode::Failure.into()
        }
    }
}
