//! Holder lists of the roles; every change satisfies [`crate::role::may_replace`].

use kumquat_state::bundle::ServiceKind;
use kumquat_state::ident::{DataCentre, Vm};
use kumquat_state::ledger::{Holder, Member, Role, RoleName};

use super::{Cause, Draft, Step, Subject};

/// Target number of holders of a role, one acting and two successors in different data centres.
const HOLDERS_PER_ROLE: usize = 3;

/// Minimum difference in acting roles between two VMs for which a role moves; moving one does not reduce a smaller one.
const MIN_ACTING_ROLE_DIFFERENCE: usize = 2;

/// Adds missing roles, removes fenced holders and appends successors, the changes that need no release.
pub(super) fn repair(draft: &mut Draft<'_>) {
    if draft.ledger.membership.members.is_empty() {
        return;
    }
    for name in required_roles(draft) {
        if draft.ledger.role(&name).is_none() {
            let role = Role {
                name: name.clone(),
                epoch: draft.epoch(),
                holders: Vec::new(),
            };
            let index = draft.ledger.roles.partition_point(|role| role.name < name);
            draft.ledger.roles.insert(index, role);
            let holders = target_holders(draft, index, None);
            set_holders(draft, index, holders, Cause::Added);
        }
    }

    for index in 0..draft.ledger.roles.len() {
        let before = draft.ledger.roles[index].holders.clone();
        let mut holders = before.clone();
        let is_fenced = draft.view.is_fenced;
        holders.retain(|holder| !is_fenced(holder));
        let cause = if holders.len() < before.len() {
            Cause::Fenced
        } else {
            Cause::Succession
        };
        draft.ledger.roles[index].holders.clone_from(&holders);
        for holder in target_holders(draft, index, None) {
            if !holders.contains(&holder) {
                holders.push(holder);
            }
        }
        draft.ledger.roles[index].holders = before;
        set_holders(draft, index, holders, cause);
    }
}

/// Takes the next step that brings a holder list to its target, or removes a role that is no longer in the bundle.
///
/// A VM that moves back in a list or leaves it has to release the role first. The acting holder releases last, which
/// keeps the time without an acting holder short.
pub(super) fn reconcile(draft: &mut Draft<'_>) -> Option<Step> {
    let required = required_roles(draft);
    let mut order: Vec<usize> = (0..draft.ledger.roles.len()).collect();
    // A role with an acknowledged release comes first, because it may have no acting holder; then one whose list has
    // already been extended for a move.
    order.sort_by_key(|index| {
        let role = &draft.ledger.roles[*index];
        (
            !has_any_release(draft, role),
            role.holders.len() <= HOLDERS_PER_ROLE,
        )
    });
    let mut has_rebalanced = false;
    for index in order {
        let role = draft.ledger.roles[index].clone();
        if required.binary_search(&role.name).is_err() {
            if !is_unused(draft, &role) {
                continue;
            }
            match check_releases(draft, &role, &[]) {
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

        // Only one role at a time moves for balance, because each move changes the role counts that are compared.
        let less_busy = if has_rebalanced {
            None
        } else {
            less_busy_holder(draft, &role)
        };
        let cause = if less_busy.is_some() {
            has_rebalanced = true;
            Cause::Balance
        } else {
            Cause::Succession
        };
        let holders = target_holders(draft, index, less_busy);
        if holders == role.holders {
            continue;
        }

        // New holders are appended first, which needs no release.
        let mut extended = role.holders.clone();
        for holder in &holders {
            if !extended.contains(holder) {
                extended.push(holder.clone());
            }
        }
        if extended.len() > role.holders.len() {
            set_holders(draft, index, extended, cause);
            return draft.take_write();
        }
        match check_releases(draft, &role, &holders) {
            Some(Ok(())) => {
                set_holders(draft, index, holders, cause);
                return draft.take_write();
            }
            Some(Err(step)) => return Some(step),
            None => {}
        }
    }
    None
}

/// Raises the revision if a holder has released a role that it should keep, so that the holder acts again.
pub(super) fn reinstate(draft: &mut Draft<'_>) {
    for index in 0..draft.ledger.roles.len() {
        let role = draft.ledger.roles[index].clone();
        if has_any_release(draft, &role) {
            let subject = Subject::Holders {
                role: role.name,
                from: role.holders.clone(),
                to: role.holders,
            };
            draft.record_change(subject, Cause::Reinstated);
        }
    }
}

/// Returns the names of the roles that the bundle requires, sorted.
fn required_roles(draft: &Draft<'_>) -> Vec<RoleName> {
    let bundle = draft.view.bundle;
    let group_roles = bundle
        .upstreams
        .iter()
        .filter(|upstream| bundle.service(&upstream.service).is_some())
        .map(|upstream| RoleName::Group {
            service: upstream.service.clone(),
            data_centre: upstream.data_centre.clone(),
        });
    let home_roles = bundle.teams.iter().map(|team| RoleName::Home {
        team: team.name.clone(),
    });
    let mut names: Vec<RoleName> = group_roles.chain(home_roles).collect();
    names.sort();
    names.dedup();
    names
}

/// Returns whether no slots or keys depend any more on a role that is not in the bundle.
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
        || draft.view.group_report(role).is_some_and(|report| {
            report.revision >= draft.view.ledger.revision
                && report.held_slots.is_empty()
                && report.held_keys.is_empty()
        })
}

/// Returns the target holder list of the role, starting with `first` if that is given.
///
/// Present holders keep their place where possible. A holder that is only suspected stays too, because it has to
/// release the role or be fenced before it may leave the list.
fn target_holders(draft: &Draft<'_>, index: usize, first: Option<Holder>) -> Vec<Holder> {
    let role = &draft.ledger.roles[index];
    let group_data_centre = match &role.name {
        RoleName::Group { data_centre, .. } => Some(data_centre),
        RoleName::Home { .. } => None,
    };
    let candidates = candidates(draft, role);
    let mut chosen: Vec<&Candidate<'_>> = Vec::new();

    let in_group_data_centre =
        |candidate: &&Candidate<'_>| Some(&candidate.member.data_centre) == group_data_centre;
    let first_holder = match first {
        Some(first) => candidates
            .iter()
            .find(|candidate| candidate.holder() == first),
        None => preferred_candidate(
            candidates.iter().filter(in_group_data_centre),
            |candidate| candidate.acting_roles,
        )
        .or_else(|| preferred_candidate(candidates.iter(), |candidate| candidate.acting_roles)),
    };
    chosen.extend(first_holder);
    while chosen.len() < HOLDERS_PER_ROLE {
        let is_unchosen = |candidate: &&Candidate<'_>| {
            !chosen
                .iter()
                .any(|other| other.member.vm == candidate.member.vm)
        };
        let in_other_data_centre = |candidate: &&Candidate<'_>| {
            !chosen
                .iter()
                .any(|other| other.member.data_centre == candidate.member.data_centre)
        };
        let next = preferred_candidate(
            candidates
                .iter()
                .filter(|candidate| is_unchosen(candidate) && in_other_data_centre(candidate)),
            |candidate| candidate.listed_roles,
        )
        .or_else(|| {
            preferred_candidate(candidates.iter().filter(is_unchosen), |candidate| {
                candidate.listed_roles
            })
        });
        let Some(next) = next else { break };
        chosen.push(next);
    }
    chosen.into_iter().map(Candidate::holder).collect()
}

struct Candidate<'l> {
    member: &'l Member,
    /// Index in the current holder list of the role; none if the VM is not listed.
    rank: Option<usize>,
    /// Roles for which the VM is listed first.
    acting_roles: usize,
    /// Roles for which the VM is listed.
    listed_roles: usize,
}

impl Candidate<'_> {
    fn holder(&self) -> Holder {
        holder_of(self.member)
    }
}

/// Returns the candidate that comes first in the current holder list, or the one with the fewest roles if none is
/// listed.
fn preferred_candidate<'c, 'l: 'c>(
    candidates: impl Iterator<Item = &'c Candidate<'l>>,
    role_count: impl Fn(&Candidate<'l>) -> usize,
) -> Option<&'c Candidate<'l>> {
    candidates.min_by_key(|candidate| {
        let rank = candidate.rank.unwrap_or(usize::MAX);
        (rank, role_count(candidate), &candidate.member.vm)
    })
}

/// Returns the members that may hold the role.
///
/// VMs that are leaving, or whose data centre has been taken out, are candidates only if there are no others.
fn candidates<'d>(draft: &'d Draft<'_>, role: &Role) -> Vec<Candidate<'d>> {
    let view = draft.view;
    let all: Vec<Candidate<'d>> = draft
        .ledger
        .membership
        .members
        .iter()
        .filter_map(|member| {
            let candidate = holder_of(member);
            let rank = role.holders.iter().position(|other| *other == candidate);
            let is_usable =
                !(view.is_fenced)(&candidate) && (rank.is_some() || view.is_live(&candidate));
            is_usable.then(|| Candidate {
                member,
                rank,
                acting_roles: count_roles(draft, |other| other.holders.first() == Some(&candidate)),
                listed_roles: count_roles(draft, |other| other.holders.contains(&candidate)),
            })
        })
        .collect();
    let is_staying = |candidate: &Candidate<'_>| {
        !view.leaving.contains(&candidate.member.vm)
            && !view.is_taken_out(&candidate.member.data_centre)
    };
    if all.iter().any(is_staying) {
        all.into_iter().filter(is_staying).collect()
    } else {
        all
    }
}

/// Returns a VM that should replace the first holder of the role because it acts for fewer roles, if there is one.
fn less_busy_holder(draft: &Draft<'_>, role: &Role) -> Option<Holder> {
    let candidates = candidates(draft, role);
    let first = candidates
        .iter()
        .find(|candidate| candidate.rank == Some(0))?;
    let required_data_centre: Option<&DataCentre> = match &role.name {
        RoleName::Group { data_centre, .. } if first.member.data_centre == *data_centre => {
            Some(data_centre)
        }
        _ => None,
    };
    let least_busy = candidates
        .iter()
        .filter(|candidate| {
            required_data_centre
                .is_none_or(|data_centre| candidate.member.data_centre == *data_centre)
        })
        .filter(|candidate| draft.view.is_live(&candidate.holder()))
        .min_by_key(|candidate| {
            let rank = candidate.rank.unwrap_or(usize::MAX);
            (candidate.acting_roles, rank, &candidate.member.vm)
        })?;
    let is_worth_moving =
        first.acting_roles >= least_busy.acting_roles + MIN_ACTING_ROLE_DIFFERENCE;
    is_worth_moving.then(|| least_busy.holder())
}

/// Finds the release that is missing for a new list of the same holders or fewer.
///
/// Returns `Ok` if every VM that moves back or leaves has released the role or is fenced, the next release to ask for
/// otherwise, and none if one of these VMs is not alive. [`crate::role::may_replace`] defines the rule, against which
/// debug builds check all planned lists.
fn check_releases(draft: &Draft<'_>, role: &Role, to: &[Holder]) -> Option<Result<(), Step>> {
    let view = draft.view;
    let is_demoted = |rank: usize, holder: &Holder| {
        let Some(new_rank) = to.iter().position(|other| other == holder) else {
            return true;
        };
        to[..new_rank]
            .iter()
            .any(|other| !role.holders[..rank].contains(other))
    };
    let missing: Vec<&Holder> = role
        .holders
        .iter()
        .enumerate()
        .filter(|(rank, holder)| is_demoted(*rank, holder))
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

fn has_any_release(draft: &Draft<'_>, role: &Role) -> bool {
    role.holders
        .iter()
        .any(|holder| draft.view.has_released(&role.name, holder))
}

fn set_holders(draft: &mut Draft<'_>, index: usize, holders: Vec<Holder>, cause: Cause) {
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

fn count_roles(draft: &Draft<'_>, matches: impl Fn(&Role) -> bool) -> usize {
    draft
        .ledger
        .roles
        .iter()
        .filter(|role| matches(role))
        .count()
}

fn holder_of(member: &Member) -> Holder {
    Holder {
        vm: Vm::clone(&member.vm),
        incarnation: member.incarnation,
    }
}
