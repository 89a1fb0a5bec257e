use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::time;

use super::Result;
use crate::error::{Error, Kind};

/// Upper bounds of the histogram buckets, in seconds. They are close together around the targets
/// of a few milliseconds to a few seconds, and reach to the longest answer.
const BUCKETS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.073, 0.1, 0.2, 0.5, 1.1, 2.0, 5.0, 15.0, 60.0, 600.0,
];

/// Pause between two clean-ups of the recorder, which else keeps every sample until it is read.
const UPKEEP_PERIOD: Duration = Duration::from_secs(5);

/// Installs the metrics recorder of the process, once.
pub(crate) fn install() -> Result<PrometheusHandle> {
    // Locked while it is installed, so that of two callers at the same time one gets the other's.
    static HANDLE: Mutex<Option<PrometheusHandle>> = Mutex::new(None);
    let mut installed = HANDLE.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = &*installed {
        return Ok(handle.clone());
    }
    let failed = |error: metrics_exporter_prometheus::BuildError| {
        Error::new(Kind::Internal, "the metrics recorder cannot be installed").with_source(error)
    };
    let builder = PrometheusBuilder::new()
        .set_buckets(&BUCKETS)
        .map_err(failed)?;
    let handle = builder.install_recorder().map_err(failed)?;
    *installed = Some(handle.clone());
    Ok(handle)
}

/// Cleans the recorder up from time to time, without end.
pub(crate) async fn upkeep(metrics: PrometheusHandle) {
    let mut ticks = time::interval(UPKEEP_PERIOD);
    loop {
        ticks.tick().await;
        metrics.run_upkeep();
    }
}
