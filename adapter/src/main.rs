//! Hosts fernspan controllers on the wire: one batch of events in, one reply of actions out.
#![forbid(unsafe_code)]

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

/// Reads batches until end of input; any malformed line ends the run with a message naming it.
fn run(input: impl BufRead, output: impl Write) -> Result<(), String> {
    let mut host = wire::Host::default();
    let mut output = BufWriter::new(output);
    for (number, line) in input.lines().enumerate() {
        let line = line.map_err(|e| format!("line {}: {e}", number + 1))?;
        let reply = host.line(&line).map_err(|e| format!("line {}: {e}", number + 1))?;
        if let Some(reply) = reply {
            output
                .write_all(reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| format!("reply: {e}"))?;
        }
    }
    host.end()
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("fernspan-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
