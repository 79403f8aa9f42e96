use super::*;
use async_io::block_on;
use std::time::Duration;

/// A network whose core the test plays.
fn network(
    folder: &Path,
    executor: &Rc<LocalExecutor<'static>>,
) -> (Rc<PeerNetwork>, Receiver<hub::Message>) {
    let limits = Limits::new(256, 64 << 20, 20_000, Duration::from_millis(500), 9_000_000);
    let (core, messages) = async_channel::unbounded();
    let lifecycle = SharedLifecycle::new(&limits);
    let address = ([127, 0, 0, 1], 3868).into();
    (PeerNetwork::new(folder.to_owned(), address, core, lifecycle, limits, executor.clone()), messages)
}

/// Guards an upgrade whose two processes have the same number, as in namespaces of their own: the new one took the old one's name,
/// and neither heard of the other.
#[test]
fn processes_with_one_number_find_each_other() {
    let folder = std::env::temp_dir().join(format!("fernspan-network-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let executor = Rc::new(LocalExecutor::new());
    let ((old, at_old), (new, at_new)) = (network(&folder, &executor), network(&folder, &executor));
    let found = block_on(executor.run(async {
        old.join().await;
        new.join().await;
        let opened = |messages: Receiver<hub::Message>| async move {
            matches!(messages.recv().await, Ok(hub::Message::Peer(PeerEvent::Opened(..))))
        };
        within(Duration::from_secs(5), async { opened(at_old).await && opened(at_new).await }).await
    }));
    let _ = std::fs::remove_dir_all(&folder);
    assert_eq!(found, Some(true));
}

/// Guards against a name that is left of a process which was killed: nobody is there, and it goes.
#[test]
fn a_name_that_is_left_of_a_process_is_nobody() {
    let folder = std::env::temp_dir().join(format!("fernspan-network-left-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let left = folder.join("fernspan-127.0.0.1:3868-1");
    drop(std::os::unix::net::UnixListener::bind(&left).expect("a name"));
    let executor = Rc::new(LocalExecutor::new());
    let (new, at_new) = network(&folder, &executor);
    block_on(executor.run(new.join()));
    let (nobody, gone) = (at_new.is_empty(), !left.exists());
    let _ = std::fs::remove_dir_all(&folder);
    assert!(nobody && gone);
}
