//! The program: see [`fernspan::start`].
#![forbid(unsafe_code)]

use async_executor::LocalExecutor;
use fernspan::log::{DROPPED_INTERVAL, DroppedLines, Log};
use std::process::ExitCode;
use std::rc::Rc;

fn main() -> ExitCode {
    let log = Log::start();
    let executor = Rc::new(LocalExecutor::new());
    executor.spawn(report_dropped_lines(log.dropped())).detach();
    let ended = async_io::block_on(executor.run(fernspan::start(executor.clone())));
    if let Err(error) = &ended {
        tracing::error!("fernspan: {error}");
    }
    log.finish();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

/// Says how many lines of the log had no room, once there is room again.
async fn report_dropped_lines(dropped: DroppedLines) {
    let mut told = 0;
    loop {
        async_io::Timer::after(DROPPED_INTERVAL).await;
        let count = dropped.count();
        if count > told {
            tracing::warn!(lines = count, "lines of the log were dropped since the start");
            told = count;
        }
    }
}
