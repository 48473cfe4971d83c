//! The `home` module provides the rate credits of the teams whose home is this VM.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kumquat_coordination::limit::{Ask, Issuer};
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
    /// Starts a bucket at level zero; everything that an earlier home issued has then expired or is counted by it.
    pub fn open(&self, bundle: &Bundle, name: &ident::Team, permit: &Arc<Permit>) {
        let Some(team) = bundle.team(name) else {
            return;
        };
        let bucket = Bucket {
            team: name.clone(),
            permit: Arc::clone(permit),
            issuer: Issuer::new(team.rate, team.burst, clock::now()),
        };
        let mut buckets = self.lock();
        match buckets.binary_search_by(|bucket| bucket.team.cmp(name)) {
            Ok(index) => buckets[index] = bucket,
            Err(index) => buckets.insert(index, bucket),
        }
    }

    /// Ends a bucket.
    pub fn close(&self, name: &ident::Team) {
        let mut buckets = self.lock();
        if let Ok(index) = buckets.binary_search_by(|bucket| bucket.team.cmp(name)) {
            buckets.remove(index);
        }
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
        // Permission is checked at the moment of issuing: a home that was paused must not issue beside its successor.
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
