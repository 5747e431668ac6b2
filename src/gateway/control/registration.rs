//! Maintains this instance's registration in the directory.

use std::rc::Rc;
use std::time::Duration;

use super::super::directory::Fault;
use super::super::membership::Phase;
use super::super::policy::watchers;
use super::Control;

/// The time to live of a registration after its last renewal.
const REGISTRATION_TTL_MS: u64 = 30_000;
/// The interval between renewals, a third of the time to live.
const RENEW_INTERVAL_MS: u64 = 10_000;
/// The first pause after a failed renewal, doubled with each further failure up to the maximum.
const MIN_REGISTER_RETRY_MS: u64 = 500;
/// The maximum pause after a failed renewal: short enough for three more attempts before the lease ends.
const MAX_REGISTER_RETRY_MS: u64 = 5_000;
/// How long after its start an instance first decides whether to register, and how often it decides again at
/// the most: by then it knows the other live instances, and being found by registration is not urgent.
const REGISTER_CHECK_MS: u64 = 2_000;

impl Control {
    pub(super) async fn maintain_registration(self: Rc<Control>) {
        let mut retry_ms = MIN_REGISTER_RETRY_MS;
        loop {
            if self.is_stopping() {
                // A registration that was in progress when the stop began may have completed.
                return self.remove_registration().await;
            }
            let lease = self.state.borrow().registration_lease;
            if lease.is_none() && !self.should_register() {
                let pause_ms = REGISTER_CHECK_MS + fastrand::u64(..REGISTER_CHECK_MS);
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                continue;
            }
            let result = match lease {
                Some(lease) => self.timed("renew", self.directory.renew(lease)).await,
                None => self.register().await,
            };
            match result {
                Ok(()) if self.is_stopping() => {}
                Ok(()) => {
                    retry_ms = MIN_REGISTER_RETRY_MS;
                    tokio::select! {
                        () = tokio::time::sleep(Duration::from_millis(RENEW_INTERVAL_MS)) => {}
                        () = self.must_register.notified() => {}
                    }
                }
                Err(Fault::LeaseEnded) => self.state.borrow_mut().registration_lease = None,
                Err(fault) => {
                    slog::info!(self.log, "could not register or renew the registration"; "why" => %fault);
                    tokio::time::sleep(Duration::from_millis(retry_ms)).await;
                    retry_ms = (retry_ms * 2).min(MAX_REGISTER_RETRY_MS);
                }
            }
        }
    }

    /// Whether this instance should be registered, by its rank among the live instances that it knows. An
    /// instance with seeds to ask first waits until it knows the others.
    pub(super) fn should_register(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let state = self.state.borrow();
        let others = state.membership.alive().map(|member| member.descriptor.rank());
        let knows_others = now_ms >= REGISTER_CHECK_MS || !self.has_seeds();
        knows_others && watchers::should_register(state.membership.own_rank(), others)
    }

    fn is_stopping(&self) -> bool {
        self.state.borrow().phase == Phase::Stopping
    }

    pub(super) async fn register(&self) -> Result<(), Fault> {
        let registering = self.directory.register(&self.me, REGISTRATION_TTL_MS);
        let lease = self.timed("register", registering).await?;
        self.state.borrow_mut().registration_lease = Some(lease);
        Ok(())
    }
}
