use tokio::signal::unix::{Signal, SignalKind, signal};

use super::imp::{Failure, Result};
use crate::{
    agent, entry,
    error::{Error, Kind},
    gateway,
    id::Process,
    log, platform, settings,
};

pub(super) fn entry(file: &str) -> Result<()> {
    let settings = settings::Entry::open(file).map_err(|faults| invalid(&faults))?;
    open_log(settings.log, &settings.process)?;
    block_on(async {
        let mut stop = Stop::listen()?;
        let entry = entry::open(&settings)?;
        ::log::info!(address:% = entry.address(); "entry is listening");
        stop.wait().await;
        entry.stop().await;
        Ok(())
    })
}

pub(super) fn agent(file: &str) -> Result<()> {
    let settings = settings::Agent::open(file).map_err(|faults| invalid(&faults))?;
    open_log(settings.log, &settings.process)?;
    block_on(async {
        let mut stop = Stop::listen()?;
        let agent = agent::open(&settings).await?;
        ::log::info!(address:% = agent.address(), endpoint:% = settings.endpoint;
            "agent is listening");
        stop.wait().await;
        agent.stop().await;
        Ok(())
    })
}

pub(super) fn gateway(file: Option<&String>) -> Result<()> {
    let file = match file {
        Some(file) => file.clone(),
        None => platform::settings_file()?,
    };
    let settings = settings::Gateway::open(&file).map_err(|faults| invalid(&faults))?;
    open_log(settings.log, &settings.process)?;
    block_on(async {
        let mut stop = Stop::listen()?;
        let gateway = gateway::open(&settings, platform::open(settings.store)?).await?;
        ::log::info!(address:% = gateway.address(), readiness:% = gateway.readiness(),
            settings:? = settings; "gateway is listening");
        while stop.next().await == Request::Reload {
            check_settings(&file, &settings);
        }
        gateway.stop().await;
        Ok(())
    })
}

/// Reports a changed settings file. All settings take effect at the next start.
fn check_settings(file: &str, current: &settings::Gateway) {
    match settings::Gateway::open(file) {
        Ok(settings) => ::log::info!(changed = settings != *current, file = file;
            "settings were read again; changes take effect at the next start"),
        Err(faults) => ::log::error!(file = file, faults:% = faults;
            "settings have faults; the current ones stay in force"),
    }
}

/// Runs a future on an actor system.
pub(super) fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    actix::System::new().block_on(async {
        let result = future.await;
        // An actor that was never polled is started while the system is dropped, where its timers
        // panic. This matters when a process fails right after it has spawned its actors.
        tokio::task::yield_now().await;
        result
    })
}

fn invalid(faults: &crate::config::Faults) -> Failure {
    Failure::Invalid(faults.render())
}

fn open_log(level: ::log::Level, process: &Process) -> Result<()> {
    log::open(level, process).map_err(|error| {
        Failure::Failed(Error::new(
            Kind::Internal,
            format!("the log cannot be opened: {error}"),
        ))
    })
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Request {
    /// A graceful stop.
    Stop,
    /// To read the settings again.
    Reload,
}

/// The signals that a process reacts to.
struct Stop {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Stop {
    fn listen() -> Result<Self> {
        let failed = |error: std::io::Error| {
            Error::new(
                Kind::Internal,
                format!("signals cannot be received: {error}"),
            )
        };
        Ok(Self {
            terminate: signal(SignalKind::terminate()).map_err(failed)?,
            interrupt: signal(SignalKind::interrupt()).map_err(failed)?,
            hangup: signal(SignalKind::hangup()).map_err(failed)?,
        })
    }

    /// The next request of the one who runs the process.
    async fn next(&mut self) -> Request {
        tokio::select! {
            _ = self.terminate.recv() => Request::Stop,
            _ = self.interrupt.recv() => Request::Stop,
            _ = self.hangup.recv() => Request::Reload,
        }
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
