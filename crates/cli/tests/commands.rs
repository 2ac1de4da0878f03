//! Tests of the operator commands through the command line.

mod common;

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net, path, process, thread,
};

use common::{Builder, System};
use rustix::process::{Pid, Signal};
use serde_json::Value;

/// Exit code and output of a command.
struct CommandOutput {
    code: i32,
    stdout: String,
    stderr: String,
}

fn run(args: &[&str]) -> CommandOutput {
    let command = process::Command::new(env!("CARGO_BIN_EXE_buckthorncove"))
        .args(args)
        .output();
    let output = command.unwrap();
    CommandOutput {
        code: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

/// Returns the path of a file in the repository.
fn repo_path(path: &str) -> String {
    format!("{}/../../{path}", env!("CARGO_MANIFEST_DIR"))
}

/// Writes a file for one test and returns its path.
fn write_file(name: &str, content: &str) -> String {
    let dir_name = format!("commands-{}", std::process::id());
    let dir = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(dir_name);
    fs::create_dir_all(&dir).unwrap();
    let file = dir.join(name);
    fs::write(&file, content).unwrap();
    file.display().to_string()
}

/// Runs a command as the operator of a system.
fn run_as_operator(system: &System, args: &[&str]) -> CommandOutput {
    let token = write_file("token", common::OPERATOR_TOKEN);
    let entry = system.entries[0].http.to_string();
    let mut all = vec!["--entry", &entry, "--token-file", &token];
    all.extend(args);
    run(&all)
}

/// Guards against examples that `check` refuses.
#[test]
fn the_examples_are_valid() {
    for dir in [
        "examples/local",
        "examples/tulegenov",
        "examples/akarihon",
        "examples/jobs",
    ] {
        let output = run(&["check", &repo_path(dir)]);
        assert_eq!(output.code, 0, "{dir}: {}", output.stderr);
    }
    let (entry, scheduler) = (
        repo_path("examples/entry.json"),
        repo_path("examples/scheduler.json"),
    );
    let output = run(&["check", "--entry", &entry, "--scheduler", &scheduler]);
    assert_eq!(output.code, 0, "{}", output.stderr);
}

/// Guards against errors without a location, and against a check that stops at the first error.
#[test]
fn check_names_file_line_and_field_of_every_error() {
    let bad =
        "{schema: 2, kind: 'placement', spec: {\n fragmentation_percent: 101}}\n---\n{schema: 9}";
    let path = write_file("bad.json", bad);
    let output = run(&["check", &path]);
    assert_eq!(output.code, 2);
    assert!(
        output
            .stderr
            .contains(&format!("{path}:2: spec.fragmentation_percent:")),
        "{}",
        output.stderr
    );
    assert!(
        output.stderr.contains(&format!("{path}:4: schema:")),
        "{}",
        output.stderr
    );
}

/// Guards against a process that starts with invalid settings.
#[test]
fn wrong_settings_are_refused_with_path_value_and_expectation() {
    let entry = write_file(
        "entry.json",
        "{table: '127.0.0.1:1', vm_list: '127.0.0.1:1', config_poll_ms: 'x'}",
    );
    for args in [["check", "--entry", &entry].as_slice(), &["entry", &entry]] {
        let output = run(args);
        assert_eq!(output.code, 2, "{args:?}: {}", output.stderr);
        assert!(
            output
                .stderr
                .contains("config_poll_ms: \"x\" can't be used, expected"),
            "{}",
            output.stderr
        );
    }
    let sched = write_file("sched.json", "{shard: 7}");
    let output = run(&["check", "--scheduler", &sched]);
    assert_eq!(output.code, 2, "{}", output.stderr);
    assert!(output.stderr.contains("shard"), "{}", output.stderr);
}

/// Guards against a migration that changes the meaning of a record, or that damages an invalid file.
#[test]
fn migrate_rewrites_old_records() {
    let old = "{version: 1, type: 'group', tenant: 'a', group: 'g', max_gpus: 8}";
    let path = write_file("old.json", old);
    assert_eq!(run(&["migrate", &path]).code, 0);
    assert_eq!(
        fs::read_to_string(&path).unwrap(),
        old,
        "the file changes only with --write"
    );
    assert_eq!(run(&["migrate", "--write", &path]).code, 0);
    let new = fs::read_to_string(&path).unwrap();
    assert!(new.contains("\"quota_accelerators\": 8"), "{new}");
    let bad = write_file("worse.json", "{version: 3}");
    assert_eq!(run(&["migrate", "--write", &bad]).code, 2);
    assert_eq!(fs::read_to_string(&bad).unwrap(), "{version: 3}");
}

/// Guards against commands that don't match the HTTP interface of the entry.
#[test]
fn an_operator_can_run_the_system() {
    let system = Builder::default().start("operator");
    let percent = write_file("percent.json", "{version: 1, type: 'policy', packing: 7}");
    let dry = run_as_operator(&system, &["apply", "--dry-run", &percent]);
    assert_eq!(
        (dry.code, dry.stdout.as_str()),
        (0, "~ placement\n"),
        "{}",
        dry.stderr
    );
    let applied = run_as_operator(&system, &["apply", &percent]);
    assert_eq!(applied.code, 0, "{}", applied.stderr);
    assert!(
        applied.stdout.contains("revision 2 is in force everywhere"),
        "{}",
        applied.stdout
    );
    let shown = run_as_operator(&system, &["get"]);
    assert!(
        shown.stdout.contains("\"fragmentation_percent\": 70"),
        "{}",
        shown.stdout
    );
    let job = write_file(
        "job.json",
        "{version: 1, type: 'job', tenant: 'weddings', group: 'scoring',
        job: 'j1', work: 'score', gpus: 16, gpus_per_node: 8, cpus_per_node: 4,
        mem_gb_per_node: 1, max_minutes: 1, preemptible: true}",
    );
    let submitted = run_as_operator(&system, &["--json", "submit", "--wait", &job]);
    assert_eq!(submitted.code, 0, "{}", submitted.stderr);
    let last: Value = serde_json::from_str(submitted.stdout.lines().last().unwrap()).unwrap();
    assert_eq!(
        (&last["phase"], &last["attempt"]),
        (&"done".into(), &1.into())
    );
    let status = run_as_operator(&system, &["status"]);
    assert!(
        status.stdout.contains("weddings/j1 done attempt 1"),
        "{}",
        status.stdout
    );
    let cancelled = run_as_operator(&system, &["cancel", "weddings/j1"]);
    assert!(
        cancelled.stdout.contains("weddings/j1 done"),
        "{}{}",
        cancelled.stdout,
        cancelled.stderr
    );
    assert_eq!(run_as_operator(&system, &["dump"]).code, 0);
    assert_eq!(
        run_as_operator(&system, &["settle", "weddings/none", "ran"]).code,
        1
    );
    assert_eq!(
        run_as_operator(&system, &["settle", "weddings/none", "perhaps"]).code,
        2
    );
}

/// Guards against exit codes that report success for invalid input or an unreachable entry.
#[test]
fn failures_have_their_exit_codes() {
    let unused = common::free_addr().to_string();
    assert_eq!(run(&["--entry", &unused, "status"]).code, 1);
    assert_eq!(run(&["--entry", &unused, "cancel", "no-slash"]).code, 2);
    assert_ne!(run(&["no-such-command"]).code, 0);
}

/// Answers one request after the other with the given bodies, then closes the listener.
fn fake_entry(answers: &'static [&'static str]) -> String {
    let listener = net::TcpListener::bind(common::free_addr()).unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for body in answers {
            let (mut stream, _) = listener.accept().unwrap();
            let mut buf = [0; 4 << 10];
            let _ = stream.read(&mut buf);
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}");
            stream
                .write_all(format!("{head}\r\n\r\n{body}").as_bytes())
                .unwrap();
        }
    });
    addr.to_string()
}

/// Guards against the exit code of "no effect" after a change whose answer can't be read.
#[test]
fn a_malformed_answer_to_a_change_means_unknown() {
    let entry = fake_entry(&["{}"]);
    assert_eq!(run(&["--entry", &entry, "cancel", "org/job"]).code, 3);
    let entry = fake_entry(&["{}"]);
    assert_eq!(run(&["--entry", &entry, "status", "org/job"]).code, 1);
}

/// Guards against the exit code of "no effect" for a job that was submitted and then not followed
/// to its end.
#[test]
fn a_submitted_job_that_is_not_followed_means_unknown() {
    let entry = fake_entry(&[
        r#"{"organisation":"org","name":"job","phase":"waiting","attempt":0,"workers":[],"reason":""}"#,
    ]);
    let job = write_file(
        "followed.json",
        "{schema: 2, kind: 'job', spec: {organisation: 'org', team: 'team', name: 'job',
        kind: 'test', shape: {members: 1, accelerators: 1, cores: 1, memory_mb: 1},
        run_time_ms: 1000}}",
    );
    let output = run(&["--entry", &entry, "submit", "--wait", &job]);
    assert_eq!(output.code, 3, "{}{}", output.stdout, output.stderr);
}

/// Guards against a demonstration that SIGTERM kills instead of stopping it.
#[test]
fn a_demonstration_that_stays_ends_with_0_on_sigterm() {
    let mut child = process::Command::new(env!("CARGO_BIN_EXE_buckthorncove"))
        .args(["local", "--stay"])
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::null())
        .spawn()
        .unwrap();
    let out = BufReader::new(child.stdout.take().unwrap());
    let mut lines = out.lines().map_while(Result::ok);
    assert!(lines.any(|l| l.contains("press Ctrl-C to stop")));
    rustix::process::kill_process(Pid::from_child(&child), Signal::TERM).unwrap();
    // Reads the remaining output, so that a full pipe can't block the process.
    lines.for_each(drop);
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
