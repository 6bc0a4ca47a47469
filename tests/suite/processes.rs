//! Starts the real binary and the stand-ins as separate processes.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Output, Stdio};
use std::time::Duration;

use lentilway::process::daemon::DaemonAddresses;
use lentilway_stand_ins::caller::{Caller, CallerRequest};
use serde_json::Value;

pub const OPERATOR_TOKEN: &str = "operator-token-of-the-tests";
pub const PEER_SECRET: &str = "peer-secret-of-the-tests-0123456789";

/// A process that is killed when its test ends.
pub struct TestProcess {
    child: Child,
    stdout: BufReader<ChildStdout>,
}

impl TestProcess {
    pub fn start(mut command: Command) -> Self {
        let command = command.stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn().expect("the process starts");
        let stdout = BufReader::new(child.stdout.take().expect("standard output is piped"));
        TestProcess { child, stdout }
    }

    pub fn send(&self, signal: rustix::process::Signal) {
        let id = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(id, signal).expect("the process is a child of the test");
        // Threads keep running for a moment after the signal was sent.
        while signal == rustix::process::Signal::STOP && !self.is_stopped() {
            std::thread::yield_now();
        }
    }

    /// Whether every thread of the process is stopped.
    fn is_stopped(&self) -> bool {
        let folder = format!("/proc/{}/task", self.child.id());
        let threads = std::fs::read_dir(folder).expect("the process is a child of the test");
        threads.flatten().all(|thread| {
            let line = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
            // The state follows the thread's name, which is in parentheses.
            line.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
        })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().expect("the process can be waited for").code()
    }

    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        self.stdout.read_line(&mut line).expect("the process writes a line");
        line.trim().to_string()
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn lentilway() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lentilway"));
    command.env("LENTILWAY_OPERATOR_TOKEN", OPERATOR_TOKEN);
    command.env("LENTILWAY_PEER_SECRETS", PEER_SECRET);
    command
}

fn stand_in() -> Command {
    let binary = PathBuf::from(env!("CARGO_BIN_EXE_lentilway"));
    let folder = binary.parent().expect("the binary is in a folder");
    Command::new(folder.join("examples/stand_in"))
}

pub fn start_log() -> (TestProcess, SocketAddr) {
    let mut command = stand_in();
    command.arg("log");
    let mut process = TestProcess::start(command);
    let address = process.read_line().parse().expect("the log prints its address");
    (process, address)
}

pub fn start_backend(service: &str, slot: SocketAddr, behaviour: &str) -> TestProcess {
    let mut command = stand_in();
    command.args(["backend", "--service", service, "--behaviour", behaviour]);
    command.args(["--slot", &slot.to_string()]);
    let mut process = TestProcess::start(command);
    process.read_line();
    process
}

pub fn start_daemon(log: SocketAddr, zone: &str) -> (TestProcess, DaemonAddresses) {
    start_daemon_with(log, zone, &[])
}

pub fn start_daemon_with(
    log: SocketAddr,
    zone: &str,
    settings: &[&str],
) -> (TestProcess, DaemonAddresses) {
    let mut command = lentilway();
    command.args(["run", "--availability-zone", zone]);
    command.args(settings);
    command.args(["--log-url", &format!("http://{log}")]);
    for flag in ["--caller-listen", "--slot-listen", "--peer-listen", "--admin-listen"] {
        command.args([flag, "127.0.0.1:0"]);
    }
    let mut process = TestProcess::start(command);
    let line = process.read_line();
    let addresses = serde_json::from_str(&line).expect("the daemon prints its addresses");
    (process, addresses)
}

pub fn submit_ticket(admin: SocketAddr, ticket: &str) -> Output {
    let mut command = lentilway();
    command.args(["ticket", "submit", "--json", "-", "--admin", &admin.to_string()]);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("the process starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    stdin.write_all(ticket.as_bytes()).expect("the process reads its input");
    drop(stdin);
    child.wait_with_output().expect("the process ends")
}

/// Waits until the daemon at `admin` lists exactly `count` members that accept requests.
pub async fn wait_members(admin: SocketAddr, count: usize) {
    let caller = Caller::default();
    let authorization = ("authorization".to_string(), format!("Bearer {OPERATOR_TOKEN}"));
    let request = CallerRequest {
        method: "GET".into(),
        path: "/members".into(),
        headers: vec![authorization],
        ..CallerRequest::default()
    };
    loop {
        let answer = caller.send(admin, &request).await.map(|answer| answer.body);
        let members: Option<Vec<Value>> =
            answer.ok().and_then(|body| serde_json::from_str(&body).ok());
        if members.is_some_and(|members| members.len() == count) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
