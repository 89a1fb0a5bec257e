use tokio::signal::unix::{Signal, SignalKind, signal};

use super::imp::{Failure, Result};
use crate::{
    agent,
    config::ParsedDuration,
    entry,
    error::{Error, Kind},
    gateway,
    id::Process,
    log, platform, settings,
    unit::Bytes,
};

pub(super) fn entry(file: &str) -> Result<()> {
    let settings = settings::Entry::open(file).map_err(|faults| invalid(&faults))?;
    open_log(settings.log, &settings.process)?;
    block_on(async {
        let mut signals = Signals::listen()?;
        let entry = entry::open(&settings)?;
        ::log::info!(address:% = entry.address(); "entry is listening");
        signals.wait_for_stop().await;
        entry.stop().await;
        Ok(())
    })
}

pub(super) fn agent(file: &str) -> Result<()> {
    let settings = settings::Agent::open(file).map_err(|faults| invalid(&faults))?;
    open_log(settings.log, &settings.process)?;
    block_on(async {
        let mut signals = Signals::listen()?;
        let agent = agent::open(&settings).await?;
        ::log::info!(address:% = agent.address(), endpoint:% = settings.endpoint;
            "agent is listening");
        signals.wait_for_stop().await;
        agent.stop().await;
        Ok(())
    })
}

/// Options of a gateway that go before those of its settings file.
#[derive(Clone, Debug, Default)]
pub(super) struct Overrides {
    pub(super) store_recovery: Option<ParsedDuration>,
    pub(super) memory: Option<Bytes>,
    pub(super) key_revocation: Option<ParsedDuration>,
    pub(super) duties: Option<settings::Duties>,
}

impl Overrides {
    fn apply(&self, settings: &mut settings::Gateway) {
        if let Some(ParsedDuration(recovery)) = self.store_recovery {
            settings.store_recovery = recovery;
        }
        if let Some(ParsedDuration(revocation)) = self.key_revocation {
            settings.key_revocation = Some(revocation);
        }
        settings.memory = self.memory.unwrap_or(settings.memory);
        settings.duties = self.duties.clone().or(settings.duties.take());
    }
}

/// Runs a gateway.
pub(super) fn gateway(file: Option<&String>, overrides: &Overrides) -> Result<()> {
    let file = match file {
        Some(file) => file.clone(),
        None => platform::settings_file()?,
    };
    let read_settings = || {
        let mut settings = settings::Gateway::open(&file)?;
        overrides.apply(&mut settings);
        Ok(settings)
    };
    let settings = read_settings().map_err(|faults| invalid(&faults))?;
    open_log(settings.log, &settings.process)?;
    block_on(async {
        let mut signals = Signals::listen()?;
        let adapter = platform::open(
            settings.store,
            settings.store_recovery(),
            settings.buffers(),
        )?;
        let gateway = gateway::open(&settings, adapter).await?;
        ::log::info!(address:% = gateway.address(), readiness:% = gateway.readiness(),
            settings:? = settings; "gateway is listening");
        while signals.next().await == SignalRequest::Reload {
            check_settings(&file, read_settings(), &settings);
        }
        gateway.stop().await;
        Ok(())
    })
}

/// Logs whether the settings file is valid and has changed. Changes take effect at the next start.
fn check_settings(
    file: &str,
    read: settings::Result<settings::Gateway>,
    current: &settings::Gateway,
) {
    match read {
        Ok(settings) => ::log::info!(changed = settings != *current, file = file;
            "settings reloaded; changes take effect at the next start"),
        Err(faults) => ::log::error!(file = file, faults:% = faults;
            "the settings file has faults; keeping the current settings"),
    }
}

/// Runs a future to completion on a new actor system.
pub(super) fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    actix::System::new().block_on(async {
        let result = future.await;
        // Polls the spawned actors once. An actor that was never polled would be started while the
        // system is dropped, and its timers would panic. This happens if a process fails right after
        // it has spawned its actors.
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
            format!("cannot open the log: {error}"),
        ))
    })
}

/// Request to the process that a signal stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SignalRequest {
    /// Stop gracefully, on SIGTERM or SIGINT.
    Stop,
    /// Check the settings file again, on SIGHUP.
    Reload,
}

/// Streams of the signals that a process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn listen() -> Result<Self> {
        let failed = |error: std::io::Error| {
            Error::new(
                Kind::Internal,
                format!("cannot listen for signals: {error}"),
            )
        };
        Ok(Self {
            terminate: signal(SignalKind::terminate()).map_err(failed)?,
            interrupt: signal(SignalKind::interrupt()).map_err(failed)?,
            hangup: signal(SignalKind::hangup()).map_err(failed)?,
        })
    }

    /// Waits for the next signal.
    async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Stop,
            _ = self.interrupt.recv() => SignalRequest::Stop,
            _ = self.hangup.recv() => SignalRequest::Reload,
        }
    }

    /// Waits for SIGTERM or SIGINT.
    async fn wait_for_stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
