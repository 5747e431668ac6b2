//! Keeps a run at the software version that began it.

use std::rc::Rc;

use hyper::Response;
use hyper::body::Incoming;

use super::super::failure::Failure;
use super::super::fleet::SoftwareVersion;
use super::super::headers;
use super::super::route::Repeat;
use super::super::worker::Worker;
use super::Run;

/// How long a run waits for an engine of its version while only others are there: an engine that
/// crashed is back after some seconds.
const MAX_VERSION_WAIT_MS: u64 = 6_000;

impl Run {
    /// Binds the run to an engine's version, since an event of the engine goes to the caller.
    pub(super) fn bind_to(&mut self, worker: &Rc<Worker>) {
        let version = worker.version();
        if self.binding.bind(&version) {
            self.bound_at = Some(Rc::clone(worker));
            self.own_stream(&version);
        }
    }

    /// Binds the run to the version that another instance states in its response.
    pub(super) fn bind_to_stated(&mut self, response: &Response<Incoming>) {
        let stated = headers::stream_version(response.headers());
        let version = stated.unwrap_or(SoftwareVersion::Unknown);
        if self.binding.bind(&version) {
            self.own_stream(&version);
        }
    }

    /// Reports the stream with the version that began it.
    fn own_stream(&mut self, version: &SoftwareVersion) {
        if self.job.route.repeat == Repeat::Resumable {
            let stream = self.job.stream_key();
            self.own_stream = stream.map(|stream| self.traffic.own_stream(stream, version));
        }
    }

    /// Finds the version of a stream that its caller takes up, and binds the run to it. Returns false
    /// if nobody knows it: any version could be the wrong one.
    pub(super) async fn find_version(&mut self) -> bool {
        if self.job.route.repeat != Repeat::Resumable {
            return true;
        }
        let found = match self.job.relayed_version.clone() {
            Some(version) => Some(version),
            None if !self.job.demand.takes_up_stream() => return true,
            None => self.traffic.version_of_stream(&self.job).await,
        };
        slog::info!(self.traffic.log, "stream taken up"; "request" => self.job.id(),
            "resumes" => self.job.demand.resumes.as_deref(), "after" => self.last_event,
            "stream" => self.job.stream_key().as_ref().map(ToString::to_string),
            "version" => found.as_ref().map(ToString::to_string));
        let Some(version) = found else {
            self.traffic.metrics.count("streams_of_unknown_version");
            return false;
        };
        self.binding.bind(&version);
        self.own_stream(&version);
        true
    }

    /// Whether the run may go on at an engine.
    pub(super) fn allows(&self, worker: &Worker) -> bool {
        self.binding.allows(&worker.version())
    }

    /// Takes in what has become known of the version of the engine that the run began at.
    pub(super) fn refresh_binding(&mut self) {
        if let Some(worker) = self.bound_at.clone() {
            self.bind_to(&worker);
        }
    }

    /// Whether engines take work that the run may not use, since they run another version.
    pub(super) fn is_kept_by_its_version(&self) -> bool {
        self.traffic.excludes_engines(&self.job.service, &self.binding)
    }

    /// Waits until an engine of the run's version has room, or is there again. Returns false if the
    /// run has ended.
    pub(super) async fn wait_for_version(&mut self) -> bool {
        let now_ms = self.traffic.now_ms();
        if self.version_awaited_ms.is_none() {
            slog::info!(self.traffic.log, "no engine of the stream's version";
                "request" => self.job.id(),
                "version" => self.binding.version().map(ToString::to_string),
                "after" => self.last_event);
            self.traffic.metrics.count("streams_waited_for_version");
        }
        let since_ms = *self.version_awaited_ms.get_or_insert(now_ms);
        // One that is listed may only be full, and a new run would have gone to another version.
        let is_listed = self.traffic.has_engine_for(&self.job.service, &self.binding);
        if !is_listed && now_ms >= since_ms + MAX_VERSION_WAIT_MS {
            self.traffic.metrics.count("streams_ended_for_version");
            self.give_up(Failure::NoUpstreamOfVersion);
            return false;
        }
        self.wait_to_retry().await
    }
}
