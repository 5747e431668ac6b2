//! Distributes to all instances what upstreams announce in their answers: rate limits, departures, and
//! rejections by brittle ones.

use std::net::SocketAddr;
use std::rc::Rc;

use super::super::membership::{Message, SignalUpdate};
use super::super::rate::AdvertisedRate;
use super::super::view::Signal;
use super::{Control, ControlState};

impl Control {
    /// Handles signals from this instance's request handling.
    pub(super) async fn process_signals(self: Rc<Control>) {
        loop {
            self.shared.signalled.notified().await;
            let mut begun = Vec::new();
            for signal in self.shared.take_signals() {
                match signal {
                    Signal::Rate(upstream, rate) => self.record_and_send(SignalUpdate {
                        rates: vec![AdvertisedRate { upstream, rate, age_ms: 0 }],
                        ..SignalUpdate::default()
                    }),
                    Signal::Departure(departure) => self.record_and_send(SignalUpdate {
                        departures: vec![departure],
                        ..SignalUpdate::default()
                    }),
                    Signal::Recovered(id) => self.record_and_send(SignalUpdate {
                        recovered: vec![id],
                        ..SignalUpdate::default()
                    }),
                    Signal::Rejection(rejection) => self.record_and_send(SignalUpdate {
                        rejections: vec![rejection],
                        ..SignalUpdate::default()
                    }),
                    Signal::CutOff(is_cut_off) => {
                        self.state.borrow_mut().is_cut_off = is_cut_off;
                        self.dirty.notify_one();
                    }
                    Signal::PermitWanted(request) => self.request_permit(request),
                    Signal::NoUpstreamLeft => self.widen_share(),
                    Signal::UpstreamWanted(id) => self.request_upstream(id),
                    Signal::StreamBegun(record) => begun.push(record),
                    Signal::StreamEnded(stream) => {
                        self.own_streams(&std::mem::take(&mut begun));
                        self.disown_stream(stream);
                    }
                    Signal::StreamSearched(search) => {
                        tokio::task::spawn_local(Rc::clone(&self).search_stream(search));
                    }
                }
            }
            self.own_streams(&begun);
        }
    }

    /// Records what an upstream announced to this instance, and sends it to all other instances if it is new.
    fn record_and_send(&self, update: SignalUpdate) {
        let mut state = self.state.borrow_mut();
        let Some(update) = self.record_new(&mut state, update) else { return };
        let same_domain = self.domain_peers(&state);
        let other_domains = self.one_peer_per_other_domain(&state);
        drop(state);
        self.send(&Message::Signals(update.clone()), &same_domain);
        self.send(&Message::Signals(SignalUpdate { must_forward: true, ..update }), &other_domains);
    }

    /// Records what an upstream announced to a peer, and forwards it within this failure domain if it is new and
    /// came from another domain.
    pub(super) fn handle_signal_update(&self, update: SignalUpdate) {
        let mut state = self.state.borrow_mut();
        let Some(mut update) = self.record_new(&mut state, update) else { return };
        let same_domain = self.domain_peers(&state);
        drop(state);
        if std::mem::take(&mut update.must_forward) {
            self.send(&Message::Signals(update), &same_domain);
        }
    }

    /// Records what is new, and returns it.
    fn record_new(
        &self,
        state: &mut ControlState,
        mut update: SignalUpdate,
    ) -> Option<SignalUpdate> {
        let now_ms = self.clock.now_ms();
        update.rates.retain(|rate| state.advertised_rates.note(rate, now_ms));
        update.departures.retain(|departure| state.departures.note(departure, now_ms));
        update.recovered.retain(|id| state.lost.remove(id).is_some());
        for rejection in &update.rejections {
            if let Some(until_ms) = state.rejections.note(rejection, now_ms) {
                slog::info!(self.log, "brittle upstream paused"; "upstream" => &*rejection.upstream,
                    "bound_per_s" => rejection.bound, "for_ms" => until_ms - now_ms);
                self.metrics.count("upstreams_paused");
            }
        }
        if update.is_empty() {
            return None;
        }
        self.dirty.notify_one();
        Some(update)
    }

    /// Sends everything known to one live peer: messages may have been lost, or the peer may have just started.
    pub(super) fn send_signals_to_one_peer(&self) {
        let state = self.state.borrow();
        let update = SignalUpdate {
            rates: state.advertised_rates.all(self.clock.now_ms()),
            departures: state.departures.to_vec(),
            recovered: Vec::new(),
            rejections: Vec::new(),
            must_forward: false,
        };
        if update.is_empty() {
            return;
        }
        let alive: Vec<SocketAddr> = state
            .membership
            .alive()
            .map(|member| member.descriptor.registration.peer_addr)
            .collect();
        drop(state);
        if let Some(addr) = fastrand::choice(alive) {
            self.send(&Message::Signals(update), &[addr]);
        }
    }
}
