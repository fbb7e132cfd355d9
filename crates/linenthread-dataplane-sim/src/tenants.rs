//! The owners of the keys, which change during a simulation, and the credentials that clients send.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::time::Instant;

use crate::random::Random;

/// Text that every key contains and that occurs in nothing else that is sent.
pub(crate) const KEY_MARKER: &str = "secret-key";
const TENANTS: [&str; 3] = ["acme", "globex", "initech"];
/// Number of keys that tenants may own.
const KEY_COUNT: usize = 6;

/// Share of requests whose credentials never identify a tenant, per mille.
const INVALID_CREDENTIALS_PER_MILLE: u64 = 40;
/// Share of requests that claim a tenant in a header, per mille.
const CLAIMED_TENANT_PER_MILLE: u64 = 200;
/// Share of those requests that also list the header in `Connection`, per mille.
const NAMED_IN_CONNECTION_PER_MILLE: u64 = 300;
/// Share of changes that remove a key from its owner, per mille. The others assign it to a tenant.
const REMOVED_PER_MILLE: u64 = 250;

/// Index of a key that a tenant may own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KeyIndex(usize);

/// The credentials of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Credentials {
    /// No credentials.
    None,
    /// A key that a tenant owns at some time.
    Key(KeyIndex),
    /// A key that no tenant owns at any time.
    UnknownKey,
    /// A tenant's key with the `Basic` authentication scheme instead of `Bearer`.
    OtherScheme(KeyIndex),
    /// A tenant's key in two `Authorization` headers.
    Repeated(KeyIndex),
}

impl Credentials {
    fn draw(random: &Random) -> Credentials {
        let key = KeyIndex(random.index(KEY_COUNT));
        if !random.per_mille(INVALID_CREDENTIALS_PER_MILLE) {
            return Credentials::Key(key);
        }
        random.choose(&[
            Credentials::None,
            Credentials::UnknownKey,
            Credentials::OtherScheme(key),
            Credentials::Repeated(key),
        ])
    }

    fn header_lines(self) -> String {
        let bearer = |key: KeyIndex| format!("Authorization: Bearer {}\r\n", key_text(key));
        match self {
            Credentials::None => String::new(),
            Credentials::Key(key) => bearer(key),
            Credentials::UnknownKey => format!("Authorization: Bearer {KEY_MARKER}-unknown\r\n"),
            Credentials::OtherScheme(key) => format!("Authorization: Basic {}\r\n", key_text(key)),
            Credentials::Repeated(key) => bearer(key).repeat(2),
        }
    }
}

/// The headers of a request that identify or claim a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Identity {
    pub(crate) credentials: Credentials,
    /// The tenant claimed in a header that only the ingress node may set, and whether `Connection` lists that header.
    claimed: Option<ClaimedTenant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClaimedTenant {
    name: &'static str,
    header: &'static str,
    is_named_in_connection: bool,
}

impl Identity {
    pub(crate) fn draw(random: &Random) -> Identity {
        let credentials = Credentials::draw(random);
        let is_claimed = random.per_mille(CLAIMED_TENANT_PER_MILLE);
        let claimed = is_claimed.then(|| ClaimedTenant {
            name: random.choose(&TENANTS),
            header: random.choose(&["X-Client-Name", "x-client-name", "X-CLIENT-NAME"]),
            is_named_in_connection: random.per_mille(NAMED_IN_CONNECTION_PER_MILLE),
        });
        Identity {
            credentials,
            claimed,
        }
    }

    pub(crate) fn header_lines(&self) -> String {
        let mut lines = self.credentials.header_lines();
        if let Some(claimed) = self.claimed {
            lines.push_str(&format!("{}: {}\r\n", claimed.header, claimed.name));
            if claimed.is_named_in_connection {
                lines.push_str("Connection: keep-alive, X-Client-Name\r\n");
            }
        }
        lines
    }
}

/// The owners of the keys from some time on.
struct Assignment {
    since: Instant,
    /// The owner of each key; `None` if no tenant owns it.
    owners: [Option<&'static str>; KEY_COUNT],
}

/// The current and earlier owners of the keys.
#[derive(Clone)]
pub(crate) struct KeyHistory(Rc<RefCell<Vec<Assignment>>>);

impl KeyHistory {
    /// Assigns each key to a tenant.
    pub(crate) fn new() -> KeyHistory {
        let owners = std::array::from_fn(|key| Some(TENANTS[key % TENANTS.len()]));
        let since = Instant::now();
        KeyHistory(Rc::new(RefCell::new(vec![Assignment { since, owners }])))
    }

    /// Removes a random key from its owner, or assigns it to a tenant.
    pub(crate) fn change(&self, random: &Random) {
        let mut history = self.0.borrow_mut();
        let mut owners = history.last().map_or([None; KEY_COUNT], |last| last.owners);
        let key = random.index(KEY_COUNT);
        owners[key] = if owners[key].is_some() && random.per_mille(REMOVED_PER_MILLE) {
            None
        } else {
            Some(random.choose(&TENANTS))
        };
        let since = Instant::now();
        history.push(Assignment { since, owners });
    }

    /// Returns all tenants with their current keys, as the JSON list in a configuration.
    pub(crate) fn clients(&self) -> String {
        let history = self.0.borrow();
        let owners = history
            .last()
            .iter()
            .flat_map(|last| last.owners)
            .collect::<Vec<_>>();
        let client = |tenant: &&str| {
            let keys = (0..KEY_COUNT).filter(|&key| owners[key] == Some(*tenant));
            let keys: Vec<_> = keys
                .map(|key| format!("\"{}\"", key_text(KeyIndex(key))))
                .collect();
            format!(
                r#"{{"label":"{tenant}","credentials":[{}]}}"#,
                keys.join(",")
            )
        };
        let clients: Vec<_> = TENANTS.iter().map(client).collect();
        format!("[{}]", clients.join(","))
    }

    /// Returns the tenants that these credentials may identify if the ingress node reads them between `from` and `to`.
    /// `None` means no tenant.
    pub(crate) fn owners_between(
        &self,
        credentials: Credentials,
        from: Instant,
        to: Instant,
    ) -> Vec<Option<&'static str>> {
        let Credentials::Key(KeyIndex(key)) = credentials else {
            return vec![None];
        };
        let history = self.0.borrow();
        let ends = history
            .iter()
            .skip(1)
            .map(|next| Some(next.since))
            .chain([None]);
        let in_force = history.iter().zip(ends).filter(|(assignment, end)| {
            assignment.since <= to && end.is_none_or(|end| end >= from)
        });
        in_force
            .map(|(assignment, _)| assignment.owners[key])
            .collect()
    }
}

fn key_text(KeyIndex(key): KeyIndex) -> String {
    format!("{KEY_MARKER}-{key}")
}
