use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::time;

use super::Result;
use crate::error::{Error, Kind};

/// Upper bounds of the histogram buckets, in seconds. They are dense around the latency targets,
/// which lie between milliseconds and a few seconds, and extend to the longest answers.
const BUCKET_BOUNDS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.073, 0.1, 0.2, 0.5, 1.1, 2.0, 5.0, 15.0, 60.0, 600.0,
];

/// Interval between maintenance runs of the recorder, which would otherwise keep every histogram
/// sample until the metrics are read.
const UPKEEP_PERIOD: Duration = Duration::from_secs(5);

/// Installs the metrics recorder of the process, or returns the one already installed.
pub(crate) fn install() -> Result<PrometheusHandle> {
    // Locked during the installation, so that concurrent callers get the same recorder.
    static HANDLE: Mutex<Option<PrometheusHandle>> = Mutex::new(None);
    let mut installed = HANDLE.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = &*installed {
        return Ok(handle.clone());
    }
    let failed = |error: metrics_exporter_prometheus::BuildError| {
        Error::new(Kind::Internal, "the metrics recorder cannot be installed").with_source(error)
    };
    let builder = PrometheusBuilder::new()
        .set_buckets(&BUCKET_BOUNDS)
        .map_err(failed)?;
    let handle = builder.install_recorder().map_err(failed)?;
    *installed = Some(handle.clone());
    Ok(handle)
}

/// Runs the periodic maintenance of the recorder, without end.
pub(crate) async fn upkeep(metrics: PrometheusHandle) {
    let mut ticks = time::interval(UPKEEP_PERIOD);
    loop {
        ticks.tick().await;
        metrics.run_upkeep();
    }
}
