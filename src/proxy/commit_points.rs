//! Log points of a session's commits, by group.

use crate::core::arena_keys;
use crate::core::endpoint_message;

/// Most groups whose points one session keeps.
const GROUPS_MAX: usize = 16;

/// What a session's reads in a group must see of the session's own commits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnCommits {
    /// Nothing: the session has committed nothing there.
    None,
    /// A log point.
    Until(endpoint_message::LogPoint),
    /// Commits at unknown log points, which only the primary is certain to hold.
    Unknown,
}

/// Log points of a session's commits, by group. Bounded: a session that has committed in more groups is
/// known to have unknown commits in those of which it keeps no point.
#[derive(Debug, Clone, Default)]
pub struct CommitPoints {
    /// The group of the latest commit comes first. A commit without a log point has `None`.
    points: Vec<(arena_keys::GroupKey, Option<endpoint_message::LogPoint>)>,
    /// Whether the point of some group was dropped.
    incomplete: bool,
}

impl CommitPoints {
    /// Records a commit, with the end of the log after it if that is known.
    pub fn record(
        &mut self,
        group: arena_keys::GroupKey,
        point: Option<endpoint_message::LogPoint>,
    ) {
        if let Some((last, known)) = self.points.first_mut()
            && *last == group
        {
            *known = point;
            return;
        }
        self.points.retain(|(other, _)| *other != group);
        if self.points.len() >= GROUPS_MAX {
            self.points.pop();
            self.incomplete = true;
        }
        self.points.insert(0, (group, point));
    }

    /// Returns what reads in a group must see.
    pub fn in_group(&self, group: arena_keys::GroupKey) -> OwnCommits {
        let recorded = self.points.iter().find(|(other, _)| *other == group);
        match recorded {
            Some((_, Some(point))) => OwnCommits::Until(*point),
            Some((_, None)) => OwnCommits::Unknown,
            None if self.incomplete => OwnCommits::Unknown,
            None => OwnCommits::None,
        }
    }

    /// Returns the groups of which a point is kept.
    pub fn groups(&self) -> impl Iterator<Item = arena_keys::GroupKey> {
        self.points.iter().map(|(group, _)| *group)
    }
}
