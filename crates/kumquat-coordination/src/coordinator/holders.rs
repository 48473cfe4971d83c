//! Holder lists of the roles, changed only by the change rule.

use kumquat_state::bundle::ServiceKind;
use kumquat_state::ident::{DataCentre, Vm};
use kumquat_state::ledger::{Holder, Member, Role, RoleName};

use super::{Cause, Draft, Step, Subject};

/// Holders that a role should have, in different data centres: one acting, two successors.
const HOLDERS: usize = 3;

/// Difference in acting roles between two VMs from which on a role moves; a smaller one could not shrink by a move.
const SPREAD: usize = 2;

/// Adds missing roles, removes fenced holders and appends successors: all that needs nobody's consent.
pub(super) fn repair(draft: &mut Draft<'_>) {
    if draft.ledger.membership.members.is_empty() {
        return;
    }
    for name in wanted(draft) {
        if draft.ledger.role(&name).is_none() {
            let role = Role {
                name: name.clone(),
                epoch: draft.epoch(),
                holders: Vec::new(),
            };
            let index = draft.ledger.roles.partition_point(|role| role.name < name);
            draft.ledger.roles.insert(index, role);
            let holders = target(draft, index, None);
            set(draft, index, holders, Cause::Added);
        }
    }

    for index in 0..draft.ledger.roles.len() {
        let before = draft.ledger.roles[index].holders.clone();
        let mut holders = before.clone();
        let fenced = draft.view.is_fenced;
        holders.retain(|holder| !fenced(holder));
        let cause = if holders.len() < before.len() {
            Cause::Fenced
        } else {
            Cause::Succession
        };
        draft.ledger.roles[index].holders.clone_from(&holders);
        for holder in target(draft, index, None) {
            if !holders.contains(&holder) {
                holders.push(holder);
            }
        }
        draft.ledger.roles[index].holders = before;
        set(draft, index, holders, cause);
    }
}

/// Brings the holders of one role into order, and removes roles that are gone from the bundle.
///
/// A VM that moves back in a list or leaves it has to release first. The acting holder releases last, which keeps the
/// pause of the role short.
pub(super) fn reconcile(draft: &mut Draft<'_>) -> Option<Step> {
    let wanted = wanted(draft);
    let mut order: Vec<usize> = (0..draft.ledger.roles.len()).collect();
    // A role with a release under way comes first, because nobody may be acting for it; then one whose list has already
    // been made longer for a move.
    order.sort_by_key(|index| {
        let role = &draft.ledger.roles[*index];
        (!has_release(draft, role), role.holders.len() <= HOLDERS)
    });
    let mut is_spread = false;
    for index in order {
        let role = draft.ledger.roles[index].clone();
        if wanted.binary_search(&role.name).is_err() {
            if !is_unused(draft, &role) {
                continue;
            }
            match consent(draft, &role, &[]) {
                Some(Ok(())) => {
                    draft.ledger.roles.remove(index);
                    let subject = Subject::Holders {
                        role: role.name,
                        from: role.holders,
                        to: Vec::new(),
                    };
                    draft.record_change(subject, Cause::Removed);
                    return draft.take_write();
                }
                Some(Err(step)) => return Some(step),
                None => continue,
            }
        }

        // Only one role at a time moves for balance, because each move changes what is balanced.
        let lighter = if is_spread {
            None
        } else {
            lighter(draft, &role)
        };
        let cause = if lighter.is_some() {
            is_spread = true;
            Cause::Balance
        } else {
            Cause::Succession
        };
        let holders = target(draft, index, lighter);
        if holders == role.holders {
            continue;
        }

        // Newcomers go to the end first, which needs no release.
        let mut longer = role.holders.clone();
        for holder in &holders {
            if !longer.contains(holder) {
                longer.push(holder.clone());
            }
        }
        if longer.len() > role.holders.len() {
            set(draft, index, longer, cause);
            return draft.take_write();
        }
        match consent(draft, &role, &holders) {
            Some(Ok(())) => {
                set(draft, index, holders, cause);
                return draft.take_write();
            }
            Some(Err(step)) => return Some(step),
            None => {}
        }
    }
    None
}

/// Raises the revision if a holder has released a role that it should keep, so that it acts again.
pub(super) fn reinstate(draft: &mut Draft<'_>) {
    for index in 0..draft.ledger.roles.len() {
        let role = draft.ledger.roles[index].clone();
        if has_release(draft, &role) {
            let subject = Subject::Holders {
                role: role.name,
                from: role.holders.clone(),
                to: role.holders,
            };
            draft.record_change(subject, Cause::Reinstated);
        }
    }
}

/// Returns the roles that the bundle asks for, sorted.
fn wanted(draft: &Draft<'_>) -> Vec<RoleName> {
    let bundle = draft.view.bundle;
    let groups = bundle
        .upstreams
        .iter()
        .filter(|upstream| bundle.service(&upstream.service).is_some())
        .map(|upstream| RoleName::Group {
            service: upstream.service.clone(),
            data_centre: upstream.data_centre.clone(),
        });
    let homes = bundle.teams.iter().map(|team| RoleName::Home {
        team: team.name.clone(),
    });
    let mut names: Vec<RoleName> = groups.chain(homes).collect();
    names.sort();
    names.dedup();
    names
}

/// Returns whether a role that is gone from the bundle is no longer needed for its slots.
fn is_unused(draft: &Draft<'_>, role: &Role) -> bool {
    let RoleName::Group { service, .. } = &role.name else {
        return true;
    };
    let is_keyed = draft.view.ledger.table(service).is_some()
        || draft
            .view
            .bundle
            .service(service)
            .is_some_and(|service| service.kind == ServiceKind::Keyed);
    !is_keyed
        || draft.view.group_report(role).is_some_and(|group| {
            group.revision >= draft.view.ledger.revision
                && group.held_slots.is_empty()
                && group.held_keys.is_empty()
        })
}

/// Returns the holders that the role should have.
///
/// Holders stay where they can. A holder that is only suspected stays too, because it has to release or be fenced before
/// it may leave the list.
fn target(draft: &Draft<'_>, index: usize, first: Option<Holder>) -> Vec<Holder> {
    let role = &draft.ledger.roles[index];
    let home = match &role.name {
        RoleName::Group { data_centre, .. } => Some(data_centre),
        RoleName::Home { .. } => None,
    };
    let candidates = candidates(draft, role);
    let mut chosen: Vec<&Candidate<'_>> = Vec::new();

    let at_home = |candidate: &&Candidate<'_>| Some(&candidate.member.data_centre) == home;
    let leader = match first {
        Some(first) => candidates
            .iter()
            .find(|candidate| candidate.holder() == first),
        None => best(candidates.iter().filter(at_home), |candidate| {
            candidate.acting
        })
        .or_else(|| best(candidates.iter(), |candidate| candidate.acting)),
    };
    chosen.extend(leader);
    while chosen.len() < HOLDERS {
        let is_free = |candidate: &&Candidate<'_>| {
            !chosen
                .iter()
                .any(|other| other.member.vm == candidate.member.vm)
        };
        let elsewhere = |candidate: &&Candidate<'_>| {
            !chosen
                .iter()
                .any(|other| other.member.data_centre == candidate.member.data_centre)
        };
        let next = best(
            candidates
                .iter()
                .filter(|candidate| is_free(candidate) && elsewhere(candidate)),
            |candidate| candidate.listed,
        )
        .or_else(|| {
            best(candidates.iter().filter(is_free), |candidate| {
                candidate.listed
            })
        });
        let Some(next) = next else { break };
        chosen.push(next);
    }
    chosen.into_iter().map(Candidate::holder).collect()
}

struct Candidate<'l> {
    member: &'l Member,
    /// Place in the present list of the role.
    rank: Option<usize>,
    /// Roles for which the VM is listed first.
    acting: usize,
    /// Roles for which the VM is listed.
    listed: usize,
}

impl Candidate<'_> {
    fn holder(&self) -> Holder {
        holder(self.member)
    }
}

/// Returns the candidate that comes first in the present list, or the least busy one if none is listed.
fn best<'c, 'l: 'c>(
    candidates: impl Iterator<Item = &'c Candidate<'l>>,
    busy: impl Fn(&Candidate<'l>) -> usize,
) -> Option<&'c Candidate<'l>> {
    candidates.min_by_key(|candidate| {
        let rank = candidate.rank.unwrap_or(usize::MAX);
        (rank, busy(candidate), &candidate.member.vm)
    })
}

/// Returns the members that may hold the role.
///
/// VMs that leave, or whose data centre has been taken out, are used only if there are no others.
fn candidates<'d>(draft: &'d Draft<'_>, role: &Role) -> Vec<Candidate<'d>> {
    let view = draft.view;
    let all: Vec<Candidate<'d>> = draft
        .ledger
        .membership
        .members
        .iter()
        .filter_map(|member| {
            let this = holder(member);
            let rank = role.holders.iter().position(|other| *other == this);
            let is_usable = !(view.is_fenced)(&this) && (rank.is_some() || view.is_live(&this));
            is_usable.then(|| Candidate {
                member,
                rank,
                acting: count(draft, |other| other.holders.first() == Some(&this)),
                listed: count(draft, |other| other.holders.contains(&this)),
            })
        })
        .collect();
    let stays = |candidate: &Candidate<'_>| {
        !view.leaving.contains(&candidate.member.vm)
            && !view.is_taken_out(&candidate.member.data_centre)
    };
    if all.iter().any(stays) {
        all.into_iter().filter(stays).collect()
    } else {
        all
    }
}

/// Returns a VM that should act for the role instead of its first holder, because it acts for fewer roles.
fn lighter(draft: &Draft<'_>, role: &Role) -> Option<Holder> {
    let candidates = candidates(draft, role);
    let first = candidates
        .iter()
        .find(|candidate| candidate.rank == Some(0))?;
    let centre: Option<&DataCentre> = match &role.name {
        RoleName::Group { data_centre, .. } if first.member.data_centre == *data_centre => {
            Some(data_centre)
        }
        _ => None,
    };
    let lightest = candidates
        .iter()
        .filter(|candidate| centre.is_none_or(|centre| candidate.member.data_centre == *centre))
        .filter(|candidate| draft.view.is_live(&candidate.holder()))
        .min_by_key(|candidate| {
            let rank = candidate.rank.unwrap_or(usize::MAX);
            (candidate.acting, rank, &candidate.member.vm)
        })?;
    let is_heaviest = first.acting >= lightest.acting + SPREAD;
    is_heaviest.then(|| lightest.holder())
}

/// Checks the change rule for a list of the same holders or fewer.
///
/// Returns `Ok` if every VM that moves back or leaves has released or is fenced, the next release to ask for otherwise,
/// and none if one of them can't answer at present. [`crate::role::may_replace`] states the rule itself, by which all
/// planned lists are checked in debug builds; this function finds out whose release is missing.
fn consent(draft: &Draft<'_>, role: &Role, to: &[Holder]) -> Option<Result<(), Step>> {
    let view = draft.view;
    let moves_back = |rank: usize, holder: &Holder| {
        let Some(place) = to.iter().position(|other| other == holder) else {
            return true;
        };
        to[..place]
            .iter()
            .any(|other| !role.holders[..rank].contains(other))
    };
    let missing: Vec<&Holder> = role
        .holders
        .iter()
        .enumerate()
        .filter(|(rank, holder)| moves_back(*rank, holder))
        .map(|(_, holder)| holder)
        .filter(|holder| !(view.is_fenced)(holder) && !view.has_released(&role.name, holder))
        .collect();
    if missing.iter().any(|holder| !view.is_live(holder)) {
        return None;
    }
    Some(match missing.last() {
        None => Ok(()),
        Some(holder) => Err(Step::Release {
            role: role.name.clone(),
            holder: (*holder).clone(),
        }),
    })
}

fn has_release(draft: &Draft<'_>, role: &Role) -> bool {
    role.holders
        .iter()
        .any(|holder| draft.view.has_released(&role.name, holder))
}

fn set(draft: &mut Draft<'_>, index: usize, holders: Vec<Holder>, cause: Cause) {
    let epoch = draft.epoch();
    let role = &mut draft.ledger.roles[index];
    if role.holders == holders {
        return;
    }
    role.epoch = epoch;
    let from = std::mem::replace(&mut role.holders, holders.clone());
    let subject = Subject::Holders {
        role: role.name.clone(),
        from,
        to: holders,
    };
    draft.record_change(subject, cause);
}

fn count(draft: &Draft<'_>, matches: impl Fn(&Role) -> bool) -> usize {
    draft
        .ledger
        .roles
        .iter()
        .filter(|role| matches(role))
        .count()
}

fn holder(member: &Member) -> Holder {
    Holder {
        vm: Vm::clone(&member.vm),
        incarnation: member.incarnation,
    }
}
