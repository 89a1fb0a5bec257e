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

/// Longest time until a process listens.
const START_LIMIT: std::time::Duration = std::time::Duration::from_secs(20);

/// A running entry or agent. Dropping it kills the process.
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
    /// Fails if the binary is missing or ends before it listens.
    pub async fn start(name: &str, role: &str, settings: &Path, log: &Path) -> Result<Self> {
        // A restarted process continues the log of the one before it. Panics go there as well.
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
        let stdout = child.stdout.take().ok_or("the process has no output")?;
        let mut lines = BufReader::new(stdout).lines();
        let started = tokio::time::timeout(START_LIMIT, listening(&mut lines)).await;
        let address = started.unwrap_or_else(|elapsed| Err(elapsed.into()));
        let address = address.map_err(|error| {
            let log = std::fs::read_to_string(log).unwrap_or_default();
            format!("{name} does not listen: {error}\n{log}")
        })?;
        tokio::task::spawn_local(keep(lines, file));
        Ok(Self {
            name: name.to_owned(),
            address,
            child,
        })
    }

    /// Name from the settings.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of the process.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.id()
    }

    /// Asks the process to stop gracefully and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if the process is gone already.
    pub async fn stop(mut self) -> Result<ExitStatus> {
        self.signal(Signal::TERM)?;
        Ok(self.child.wait().await?)
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if the process is gone already.
    pub async fn kill(mut self) -> Result<()> {
        Ok(self.child.kill().await?)
    }

    /// Tells the process that its settings have changed.
    ///
    /// # Errors
    ///
    /// Fails if the process is gone.
    pub fn reload(&self) -> Result<()> {
        self.signal(Signal::HUP)
    }

    /// Freezes the process.
    ///
    /// # Errors
    ///
    /// Fails if the process is gone.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// Fails if the process is gone.
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

/// The binary stands beside the bench, or one folder up for tests.
fn binary() -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join("mulberrymill"))
        .find(|path| path.is_file());
    Ok(found.ok_or("build the workspace first: the mulberrymill binary is missing")?)
}

/// Reads the log of a process until it says where it listens.
async fn listening(lines: &mut Lines<BufReader<ChildStdout>>) -> Result<SocketAddr> {
    while let Some(line) = lines.next_line().await? {
        let entry: Value = serde_json::from_str(&line)?;
        let listens = entry["message"]
            .as_str()
            .is_some_and(|text| text.ends_with("is listening"));
        if listens {
            let address = entry["attributes"]["address"]
                .as_str()
                .ok_or("no address")?;
            return Ok(address.parse()?);
        }
    }
    Err("the process ended before it listened".into())
}

/// Keeps the further log of a process in a file, so that its pipe never fills up.
async fn keep(mut lines: Lines<BufReader<ChildStdout>>, mut log: File) {
    use std::io::Write;

    while let Ok(Some(line)) = lines.next_line().await {
        if writeln!(log, "{line}").is_err() {
            return;
        }
    }
}
