//! The traffic thread's side of the quarantine: it checks requests against it and reports crashes.

use std::rc::Rc;

use super::super::answer::Answer;
use super::super::crash::{Crash, Stage};
use super::super::failure::Failure;
use super::super::job::Job;
use super::super::policy::coincidence::JUDGEMENT_DELAY_MS;
use super::super::policy::quarantine::{self, Suspect};
use super::super::view::Report;
use super::super::worker::Worker;
use super::Traffic;

/// Time within which the judgement of a crash reaches the traffic thread of this instance.
const JUDGEMENT_DELIVERY_MS: u64 = 50;
/// How long a request waits after a crash before it resumes, if the judgement may quarantine it.
pub(in super::super) const JUDGEMENT_WAIT_MS: u64 = JUDGEMENT_DELAY_MS + JUDGEMENT_DELIVERY_MS;

impl Traffic {
    /// What the quarantine knows of a request. Computes no fingerprint while the quarantine is
    /// empty.
    fn quarantine_entry(&self, job: &Job) -> Option<Suspect> {
        let view = self.shared.view.load();
        if view.quarantine.is_empty() {
            return None;
        }
        view.quarantine.get(&job.fingerprint()).copied()
    }

    /// How long the request is still quarantined, if it is.
    pub fn quarantine_left_ms(&self, job: &Job) -> Option<u64> {
        let until_ms = self.quarantine_entry(job)?.until_ms?;
        until_ms.checked_sub(self.now_ms()).filter(|left_ms| *left_ms > 0)
    }

    /// Completes when the request is quarantined, which may never happen.
    pub async fn wait_until_quarantined(&self, job: &Job) {
        let mut changed = self.shared.quarantined.subscribe();
        while self.quarantine_left_ms(job).is_none() {
            if changed.changed().await.is_err() {
                // `self` keeps the sender alive.
                return std::future::pending().await;
            }
        }
    }

    /// Refuses a quarantined request that was not sent to any upstream.
    pub fn refuse_quarantined(&self, job: &Job) -> Answer {
        let failure = Failure::Quarantined { fingerprint: job.fingerprint() };
        let retry_after_ms = self.retry_after_ms(job, &failure);
        self.refuse(job, &failure, retry_after_ms)
    }

    /// Whether one more crash may quarantine a request, given `points` of crashes that are not
    /// judged yet.
    pub fn may_be_quarantined(&self, job: &Job, points: u32) -> bool {
        let counted = self.quarantine_entry(job).unwrap_or_default().points;
        quarantine::may_quarantine(counted + points)
    }

    /// Reports that an upstream closed a connection during a request, if its process turns out to
    /// have exited. One that is leaving exits as planned and is not reported.
    pub fn note_crash(
        self: &Rc<Traffic>,
        job: &Job,
        worker: &Rc<Worker>,
        stage: Stage,
        event: u64,
    ) {
        if !self.takes_work(&worker.upstream.id) {
            return;
        }
        let crash = Crash {
            fingerprint: job.fingerprint(),
            upstream: worker.upstream.clone(),
            stage,
            event,
            at_ms: self.now_ms(),
        };
        self.last_crash_ms.set(Some(crash.at_ms));
        let mut check = self.check_exit(worker);
        let traffic = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let has_exited = check.wait_for(Option::is_some).await;
            if has_exited.is_ok_and(|has_exited| *has_exited == Some(true)) {
                traffic.shared.report(Report::Crash(crash));
            }
        });
    }

    /// Reports that a request was served, completely or up to an event, if crashes count against it
    /// or any crash during a request of this instance may still await judgement.
    pub fn note_served(&self, job: &Job, event: Option<u64>) {
        let awaits_judgement = |at_ms| at_ms + JUDGEMENT_WAIT_MS > self.now_ms();
        if self.quarantine_entry(job).is_some()
            || self.last_crash_ms.get().is_some_and(awaits_judgement)
        {
            self.shared.report(Report::Served(job.fingerprint(), event));
        }
    }
}
