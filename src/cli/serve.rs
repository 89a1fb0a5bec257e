use tokio::signal::unix::{Signal, SignalKind, signal};

use super::imp::{Failure, Result};
use crate::{
    agent, entry,
    error::{Error, Kind},
    id::Process,
    log, settings,
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

/// The signals that ask for a graceful stop.
struct Stop {
    terminate: Signal,
    interrupt: Signal,
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
        })
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
