//! The program: see [`fernspan::start`].
#![forbid(unsafe_code)]

use async_executor::LocalExecutor;
use std::process::ExitCode;
use std::rc::Rc;

fn main() -> ExitCode {
    let executor = Rc::new(LocalExecutor::new());
    match async_io::block_on(executor.run(fernspan::start(executor.clone()))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            fernspan::log!("fernspan: {message}");
            ExitCode::FAILURE
        }
    }
}
