use std::{
    fs::File,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::{
    io::{AsyncBufReadExt, BufReader, Lines},
    process::{Child, ChildStdout, Command},
};

use super::Result;

/// Longest wait for a process to listen.
const START_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(20);

/// A running entry, agent or gateway. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    name: String,
    address: SocketAddr,
    child: Child,
}

impl Process {
    /// Starts `mulberrymill ROLE --settings FILE` and waits until it listens.
    ///
    /// # Errors
    ///
    /// Fails if the binary is missing, or if the process ends before it listens or does not listen
    /// within 20 s.
    pub async fn start(name: &str, role: &str, settings: &Path, log: &Path) -> Result<Self> {
        // A restarted process appends to the log of its predecessor. Panics are written there too.
        let file = File::options().create(true).append(true).open(log)?;
        let mut child = Command::new(binary()?)
            .arg(role)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file.try_clone()?)
            .kill_on_drop(true)
            .spawn()?;
        let stdout = child
            .stdout
            .take()
            .ok_or("the process has no standard output")?;
        let mut lines = BufReader::new(stdout).lines();
        let started = tokio::time::timeout(START_TIMEOUT, read_address(&mut lines)).await;
        let address = started.unwrap_or_else(|elapsed| Err(elapsed.into()));
        let address = address.map_err(|error| {
            let log = std::fs::read_to_string(log).unwrap_or_default();
            format!("{name} did not start listening: {error}\n{log}")
        })?;
        tokio::task::spawn_local(write_log(lines, file));
        Ok(Self {
            name: name.to_owned(),
            address,
            child,
        })
    }

    /// Name that the process was started with.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Address that the process listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Process id, or `None` once the process has ended and was waited for.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends `SIGTERM` for a graceful stop and waits for the process to end.
    ///
    /// # Errors
    ///
    /// Fails if the process has already ended.
    pub async fn stop(mut self) -> Result<ExitStatus> {
        self.signal(Signal::TERM)?;
        Ok(self.child.wait().await?)
    }

    /// Sends `SIGKILL` and waits for the process to end.
    ///
    /// # Errors
    ///
    /// Fails if the process has already ended.
    pub async fn kill(mut self) -> Result<()> {
        Ok(self.child.kill().await?)
    }

    /// Sends `SIGHUP`, which makes the process read its settings again.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn reload(&self) -> Result<()> {
        self.signal(Signal::HUP)
    }

    /// Suspends the process with `SIGSTOP`.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes a suspended process with `SIGCONT`.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn thaw(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let pid = self
            .child
            .id()
            .and_then(|id| Pid::from_raw(id.cast_signed()));
        Ok(kill_process(pid.ok_or("the process has ended")?, signal)?)
    }
}

/// Finds the `mulberrymill` binary in the folder of the current executable, or one folder above for
/// tests.
fn binary() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join("mulberrymill"))
        .find(|path| path.is_file());
    Ok(found.ok_or("build the workspace first: the mulberrymill binary is missing")?)
}

/// Reads the log of a process up to the line with the address it listens on.
async fn read_address(lines: &mut Lines<BufReader<ChildStdout>>) -> Result<SocketAddr> {
    while let Some(line) = lines.next_line().await? {
        let record: Value = serde_json::from_str(&line)?;
        let listens = record["message"]
            .as_str()
            .is_some_and(|text| text.ends_with("is listening"));
        if listens {
            let address = record["attributes"]["address"]
                .as_str()
                .ok_or("the log line has no address")?;
            return Ok(address.parse()?);
        }
    }
    Err("the process ended before it listened".into())
}

/// Writes the rest of the log to a file, so that the pipe never fills up and blocks the process.
async fn write_log(mut lines: Lines<BufReader<ChildStdout>>, mut log: File) {
    use std::io::Write;

    while let Ok(Some(line)) = lines.next_line().await {
        if writeln!(log, "{line}").is_err() {
            return;
        }
    }
}
