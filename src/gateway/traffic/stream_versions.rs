//! The software versions of streams, as request handling reports them and asks for them.

use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::oneshot;

use super::super::fleet::SoftwareVersion;
use super::super::job::Job;
use super::super::policy::stream_versions::{StreamKey, StreamRecord};
use super::super::view::{Signal, StreamSearch};
use super::Traffic;

/// Counts a stream as served by a run of this instance until it is dropped.
pub struct OwnStream {
    traffic: Rc<Traffic>,
    stream: StreamKey,
}

impl Drop for OwnStream {
    fn drop(&mut self) {
        self.traffic.shared.signal(Signal::StreamEnded(self.stream));
    }
}

impl Traffic {
    /// Reports the version that began a stream which a run of this instance serves.
    pub fn own_stream(
        self: &Rc<Traffic>,
        stream: StreamKey,
        version: &SoftwareVersion,
    ) -> OwnStream {
        let record = StreamRecord { stream, version: version.clone() };
        self.shared.signal(Signal::StreamBegun(record));
        OwnStream { traffic: Rc::clone(self), stream }
    }

    /// Finds the version that began a stream which a caller takes up; `None` if nobody knows it.
    pub async fn version_of_stream(&self, job: &Job) -> Option<SoftwareVersion> {
        let stream = job.stream_key();
        let (found, version) = oneshot::channel();
        let service = Arc::clone(&job.service);
        self.shared.signal(Signal::StreamSearched(StreamSearch { stream, service, found }));
        // The control thread answers unless it ends.
        version.await.ok().flatten()
    }
}
