//! The `home` module provides the rate credits of the teams whose home is this VM.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kumquat_coordination::limit::{Ask, Handover, Issuer};
use kumquat_protocol::handshake::Identity;
use kumquat_protocol::wire::{Credit, CreditRequest};
use kumquat_state::bundle::Bundle;
use kumquat_state::clock;
use kumquat_state::ident;
use kumquat_state::ledger::Holder;

use crate::permit::Permit;

/// The buckets of all teams whose home is this VM, sorted by team.
#[derive(Debug, Default)]
pub struct Homes {
    buckets: Mutex<Vec<Bucket>>,
}

#[derive(Debug)]
struct Bucket {
    team: ident::Team,
    permit: Arc<Permit>,
    issuer: Issuer,
}

impl Homes {
    /// Starts a bucket: in the state that the former home handed over, or else at level zero.
    pub fn open(
        &self,
        bundle: &Bundle,
        name: &ident::Team,
        permit: &Arc<Permit>,
        handover: Option<Handover>,
    ) {
        let Some(team) = bundle.team(name) else {
            return;
        };
        let now = clock::now();
        let issuer = match handover {
            Some(handover) => Issuer::resume(team.rate, team.burst, now, handover),
            None => Issuer::new(team.rate, team.burst, now),
        };
        let bucket = Bucket {
            team: name.clone(),
            permit: Arc::clone(permit),
            issuer,
        };
        let mut buckets = self.lock();
        match buckets.binary_search_by(|bucket| bucket.team.cmp(name)) {
            Ok(index) => buckets[index] = bucket,
            Err(index) => buckets.insert(index, bucket),
        }
    }

    /// Ends a bucket and returns the state from which the next home can continue.
    pub fn close(&self, name: &ident::Team) -> Option<Handover> {
        let mut buckets = self.lock();
        let index = buckets
            .binary_search_by(|bucket| bucket.team.cmp(name))
            .ok()?;
        let bucket = buckets.remove(index);
        Some(bucket.issuer.hand_over(clock::now()))
    }

    /// Applies the rates and bursts of a new bundle.
    pub fn configure(&self, bundle: &Bundle) {
        let now = clock::now();
        for bucket in self.lock().iter_mut() {
            if let Some(team) = bundle.team(&bucket.team) {
                bucket.issuer.configure(now, team.rate, team.burst);
            }
        }
    }

    /// Answers an entry's request for credits.
    #[must_use]
    pub fn answer(&self, from: &Identity, request: &CreditRequest) -> Credit {
        let mut buckets = self.lock();
        let found = buckets.binary_search_by(|bucket| bucket.team.cmp(&request.team));
        let bucket = found.ok().map(|index| &mut buckets[index]);
        // Permission is checked at the moment of issuing: a home that was paused must not issue credits while its
        // successor does.
        let Some(bucket) = bucket.filter(|bucket| bucket.permit.until().is_some()) else {
            return Credit::not_acting(&request.team, request.sequence);
        };
        let holder = Holder {
            vm: from.vm.clone(),
            incarnation: from.incarnation,
        };
        let credit = bucket
            .issuer
            .request(clock::now(), &holder, &Ask::from(request));
        Credit::new(&request.team, &credit)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Bucket>> {
        self.buckets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
