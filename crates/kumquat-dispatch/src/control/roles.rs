//! The `roles` module provides the roles of this VM: it opens what it may act for and closes what it may not.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};

use kumquat_coordination::authority::Authority;
use kumquat_coordination::limit::Handover;
use kumquat_coordination::role::{self, Acting, Released};
use kumquat_protocol::handshake::Identity;
use kumquat_protocol::wire::{Message, Release};
use kumquat_state::bundle::Bundle;
use kumquat_state::clock;
use kumquat_state::ident::{Revision, Version};
use kumquat_state::ledger::{Holder, Ledger, Role, RoleName};

use super::{Control, Event, Shared};
use crate::entries::Directory;
use crate::group::{self, Change, Command, Handle, Status};
use crate::home::Homes;
use crate::metrics::Metrics;
use crate::permit::Permit;

/// Reports and changes of local groups that wait for the control loop.
const QUEUE: usize = 1_024;

/// The roles that are open on this VM: it acts for them while their permits are valid.
///
/// A role stays open when authority lapses, because the next promises of the majority may renew it.
#[derive(Debug)]
pub struct Roles {
    me: Holder,
    directory: Arc<Directory>,
    homes: Arc<Homes>,
    events: mpsc::Sender<Event>,
    reports: mpsc::Sender<Status>,
    changes: mpsc::Sender<Change>,
    metrics: Metrics,
    // Sorted by name.
    active: Vec<Active>,
    handovers: Vec<ReleasedBucket>,
    configured: (Version, Revision),
}

#[derive(Debug)]
struct Active {
    name: RoleName,
    permit: Arc<Permit>,
    group: Option<Handle>,
    releasing: Option<Revision>,
}

/// The state of a team's token bucket, as its former home reported it when it released the role.
#[derive(Clone, Debug)]
struct ReleasedBucket {
    role: RoleName,
    /// Ledger revision at which it was released.
    revision: Revision,
    handover: Handover,
}

impl Roles {
    /// Creates the state of a VM without open roles.
    #[must_use]
    pub fn new(me: Holder, shared: &Shared, events: mpsc::Sender<Event>, metrics: Metrics) -> Self {
        let (reports, statuses) = mpsc::channel(QUEUE);
        let (changes, observed) = mpsc::channel(QUEUE);
        tokio::spawn(forward(statuses, events.clone(), Event::Status));
        tokio::spawn(forward(observed, events.clone(), Event::Change));
        Self {
            me,
            directory: Arc::clone(&shared.directory),
            homes: Arc::clone(&shared.homes),
            events,
            reports,
            changes,
            metrics,
            active: Vec::new(),
            handovers: Vec::new(),
            configured: (Version(0), Revision(0)),
        }
    }

    /// Returns the number of roles for which this VM acts now.
    #[must_use]
    pub fn acting(&self) -> usize {
        self.active
            .iter()
            .filter(|active| active.permit.until().is_some())
            .count()
    }

    /// Returns the dispatch groups that are open, whether or not this VM has permission to act for them now.
    #[must_use]
    pub fn groups(&self) -> Vec<RoleName> {
        self.active
            .iter()
            .filter(|active| active.group.is_some())
            .map(|active| active.name.clone())
            .collect()
    }

    /// Renews, opens and closes roles according to ledger and authority.
    pub fn refresh(
        &mut self,
        bundle: &Arc<Bundle>,
        ledger: &Arc<Ledger>,
        authority: &Authority,
        released: &Released,
    ) {
        let now = clock::now();
        let before = self.active.len();
        self.close_unlisted(ledger, released);
        let mut opened = false;
        for role in &ledger.roles {
            if !role.holders.contains(&self.me) {
                continue;
            }
            let acting = role::acting(ledger, &self.me, &role.name, authority, released, now);
            match self.find(&role.name) {
                Ok(index) => self.active[index].permit.set(acting),
                Err(index) => {
                    let Some(acting) = acting else { continue };
                    let handover = self.take_handover(role, acting.rank);
                    if let Some(active) = self.open(&role.name, acting, handover, bundle, ledger) {
                        self.active.insert(index, active);
                        opened = true;
                    }
                }
            }
        }
        if opened || self.active.len() != before {
            self.publish();
        }
        self.configure(bundle, ledger);
    }

    /// Applies new rates to the homes.
    pub fn configure_homes(&self, bundle: &Bundle) {
        self.homes.configure(bundle);
    }

    /// Starts to release a role; [`Event::Released`] reports when the release is complete.
    pub fn release(&mut self, name: &RoleName, revision: Revision) {
        let Ok(index) = self.find(name) else {
            return self.report_released(name.clone(), revision, None);
        };
        if self.active[index].releasing.is_some() {
            return;
        }
        self.active[index].releasing = Some(revision);
        match self.active[index].group.clone() {
            None => self.report_released(name.clone(), revision, None),
            Some(group) => self.report_released(name.clone(), revision, Some(group)),
        }
    }

    fn report_released(&self, role: RoleName, revision: Revision, group: Option<Handle>) {
        let events = self.events.clone();
        tokio::spawn(async move {
            if let Some(group) = group {
                let (done, wait) = oneshot::channel();
                group.deliver(Command::Release(done)).await;
                // If the group's task has ended, it has no running requests.
                drop(wait.await);
            }
            // The control loop ends only with the process.
            drop(events.send(Event::Released { role, revision }).await);
        });
    }

    /// Closes a role that has been released and returns the bucket of a home.
    pub fn close(&mut self, name: &RoleName) -> Option<Handover> {
        let index = self.find(name).ok()?;
        let active = self.active.remove(index);
        let handover = self.end(&active);
        self.publish();
        handover
    }

    /// Stores the state of a bucket that a home has released, in case this VM takes the role over.
    pub fn note_handover(&mut self, role: &RoleName, revision: Revision, handover: Handover) {
        self.handovers.retain(|bucket| bucket.role != *role);
        self.handovers.push(ReleasedBucket {
            role: role.clone(),
            revision,
            handover,
        });
    }

    /// Removes and returns the state from which a new home on this VM continues the bucket.
    ///
    /// Only the first holder of the very next holder list may use it: any other may follow a home that has issued
    /// credits in between. The epoch of a holder list is the ledger revision that set it.
    fn take_handover(&mut self, role: &Role, rank: usize) -> Option<Handover> {
        let index = self
            .handovers
            .iter()
            .position(|bucket| bucket.role == role.name)?;
        let bucket = self.handovers.swap_remove(index);
        let follows = role.epoch.0 == bucket.revision.0 + 1;
        (rank == 0 && follows).then_some(bucket.handover)
    }

    /// Closes all roles.
    pub fn close_all(&mut self) {
        for active in std::mem::take(&mut self.active) {
            self.end(&active);
        }
        self.publish();
    }

    fn end(&self, active: &Active) -> Option<Handover> {
        active.permit.set(None);
        match &active.name {
            RoleName::Home { team } => self.homes.close(team),
            RoleName::Group { .. } => None,
        }
    }

    fn close_unlisted(&mut self, ledger: &Ledger, released: &Released) {
        let mut index = 0;
        while index < self.active.len() {
            let name = &self.active[index].name;
            let listed = ledger
                .role(name)
                .is_some_and(|role| role.holders.contains(&self.me));
            if listed && !released.is_released(name, ledger.revision) {
                index += 1;
                continue;
            }
            let active = self.active.remove(index);
            self.end(&active);
        }
    }

    fn open(
        &self,
        name: &RoleName,
        acting: Acting,
        handover: Option<Handover>,
        bundle: &Arc<Bundle>,
        ledger: &Arc<Ledger>,
    ) -> Option<Active> {
        let permit = Arc::new(Permit::default());
        permit.set(Some(acting));
        let group = match name {
            RoleName::Home { team } => {
                self.homes.open(bundle, team, &permit, handover);
                None
            }
            RoleName::Group {
                service,
                data_centre,
            } => {
                let context = group::Context {
                    service: bundle.service(service)?.clone(),
                    data_centre: data_centre.clone(),
                    permit: Arc::clone(&permit),
                    metrics: self.metrics.clone(),
                    reports: self.reports.clone(),
                    changes: self.changes.clone(),
                };
                Some(group::spawn(context, bundle, ledger))
            }
        };
        Some(Active {
            name: name.clone(),
            permit,
            group,
            releasing: None,
        })
    }

    /// Passes a new bundle or ledger to the groups.
    fn configure(&mut self, bundle: &Arc<Bundle>, ledger: &Arc<Ledger>) {
        let versions = (bundle.version, ledger.revision);
        if self.configured == versions {
            return;
        }
        self.configured = versions;
        for active in &self.active {
            let Some(group) = active.group.clone() else {
                continue;
            };
            let command = Command::Configure(Arc::clone(bundle), Arc::clone(ledger));
            if let Err(command) = group.send(command) {
                tokio::spawn(async move { group.deliver(command).await });
            }
        }
    }

    fn publish(&self) {
        let groups = self
            .active
            .iter()
            .filter_map(|active| Some((active.name.clone(), active.group.clone()?)))
            .collect();
        self.directory.set(groups);
    }

    fn find(&self, name: &RoleName) -> Result<usize, usize> {
        self.active.binary_search_by(|active| active.name.cmp(name))
    }
}

impl Control {
    /// Handles a coordinator's request to release a role, or a holder's answer to one.
    pub(super) fn release(&mut self, peer: &Identity, release: Release) {
        let revision = Revision(release.revision);
        if release.done {
            if let Some((level, outstanding)) = release.bucket {
                let handover = Handover { level, outstanding };
                self.roles.note_handover(&release.role, revision, handover);
            }
            let holder = Holder {
                vm: peer.vm.clone(),
                incarnation: peer.incarnation,
            };
            return self
                .coordination
                .note_released(release.role, holder, revision);
        }
        // A request that rests on an outdated ledger may concern a role that is this VM's again.
        if self.documents.ledger_revision() <= revision {
            self.roles.release(&release.role, revision);
        }
    }

    /// Records that this VM has stopped acting for a role and tells whoever may be the coordinator.
    pub(super) fn role_released(&mut self, role: &RoleName, revision: Revision) {
        self.released.release(role, revision);
        let handover = self.roles.close(role);
        if let Some(handover) = handover {
            self.roles.note_handover(role, revision, handover);
        }
        let done = Message::Release(Release {
            role: role.clone(),
            revision: revision.0,
            done: true,
            bucket: handover.map(|handover| (handover.level, handover.outstanding)),
        });
        let peers: Vec<_> = self.peers.links().map(|(vm, _)| vm.clone()).collect();
        for vm in peers {
            self.peers.send(&vm, done.clone());
        }
        let me = self.me.clone();
        self.coordination.note_released(role.clone(), me, revision);
    }
}

async fn forward<T>(
    mut from: mpsc::Receiver<T>,
    to: mpsc::Sender<Event>,
    event: impl Fn(T) -> Event,
) {
    while let Some(value) = from.recv().await {
        if to.send(event(value)).await.is_err() {
            return;
        }
    }
}
