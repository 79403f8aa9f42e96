//! The few calls of the system that the standard library does not have.

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(old: i32, new: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
    fn listen(descriptor: i32, backlog: i32) -> i32;
    fn fcntl(descriptor: i32, command: i32, ...) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

/// Sends a signal to a process that this program has started.
pub fn signal(pid: u32, signal: i32) {
    if let Ok(pid) = i32::try_from(pid)
        && pid > 1
    {
        unsafe { kill(pid, signal) };
    }
}

/// Has the process that is about to start end with the thread that starts it, however that ends.
pub fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// Gives a descriptor another number, under which it passes to the program that is started.
pub fn inherit_as(descriptor: i32, number: i32) -> std::io::Result<()> {
    const F_SETFD: i32 = 2;
    let done = match descriptor == number {
        true => unsafe { fcntl(descriptor, F_SETFD, 0) },
        false => unsafe { dup2(descriptor, number) },
    };
    if done < 0 { Err(std::io::Error::last_os_error()) } else { Ok(()) }
}

/// Has a listening socket hold as few connections as can be that nobody has accepted.
pub fn shorten_queue(descriptor: i32) {
    unsafe { listen(descriptor, 0) };
}
