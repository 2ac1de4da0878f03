//! Signals to a server process that has not read its settings.

use std::{
    env, fs,
    io::Write,
    os::unix::{fs::OpenOptionsExt, process::ExitStatusExt},
    process, thread, time,
};

use rustix::{
    fs::OFlags,
    process::{Pid, Signal},
};

const TIMEOUT: time::Duration = time::Duration::from_secs(10);
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);
/// Time in which a signal takes effect.
const SIGNAL_TIME: time::Duration = time::Duration::from_millis(300);

/// Waits until `condition` returns a value.
fn wait_until<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let end = time::Instant::now() + TIMEOUT;
    loop {
        if let Some(found) = condition() {
            return found;
        }
        assert!(time::Instant::now() < end, "{what}: not within {TIMEOUT:?}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Guards against a process that is asked to read its settings again right after its start, and is
/// ended by that. The settings come through a pipe, so that the process still waits for them.
#[test]
fn a_hang_up_before_the_settings_are_read_ends_no_process() {
    for role in ["node", "entry", "scheduler"] {
        let path = env::temp_dir().join(format!("early-signal-{}-{role}", process::id()));
        let made = process::Command::new("mkfifo").arg(&path).status().unwrap();
        assert!(made.success());
        let mut child = process::Command::new(env!("CARGO_BIN_EXE_buckthorncove"))
            .arg(role)
            .arg(&path)
            .stderr(process::Stdio::null())
            .spawn()
            .unwrap();
        // A pipe can be opened in this way only once the process has opened its other end.
        let flags = OFlags::NONBLOCK.bits().cast_signed();
        let mut settings = wait_until("the process reads its settings", || {
            let open = fs::OpenOptions::new()
                .write(true)
                .custom_flags(flags)
                .open(&path);
            open.ok()
        });
        rustix::process::kill_process(Pid::from_child(&child), Signal::HUP).unwrap();
        thread::sleep(SIGNAL_TIME);
        // The process may have ended already.
        let _ = settings.write_all(b"no settings");
        drop(settings);
        let status = wait_until("end of the process", || child.try_wait().unwrap());
        fs::remove_file(&path).unwrap();
        let ended = (status.code(), status.signal());
        assert_eq!(ended, (Some(2), None), "{role}: exit code and signal");
    }
}
