//! Which tenant has which key while operators change that, and what clients send to say whose a request is.

use std::cell::RefCell;
use std::rc::Rc;

use tokio::time::Instant;

use crate::random::Random;

/// What every key contains, and nothing else that is sent.
pub(crate) const KEY_MARKER: &str = "secret-key";
/// The names of the tenants.
const TENANTS: [&str; 3] = ["acme", "globex", "initech"];
/// How many keys there are that tenants have at some time.
const KEY_COUNT: usize = 6;

/// Requests without a key that a tenant may have, per mille.
const INVALID_CREDENTIALS_PER_MILLE: u64 = 40;
/// Requests that name a tenant by a header of their own, per mille.
const CLAIMED_TENANT_PER_MILLE: u64 = 200;
/// Of those, the ones that list that header in `Connection`, per mille.
const NAMED_IN_CONNECTION_PER_MILLE: u64 = 300;
/// Changes of a tenant's key that take it away, per mille; the others give it to a tenant.
const REMOVED_PER_MILLE: u64 = 250;

/// One of the keys that tenants have at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KeyIndex(usize);

/// What a request carries to say whose it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Credentials {
    /// Nothing.
    None,
    /// A key that a tenant has, had or will have.
    Key(KeyIndex),
    /// A key that no tenant has at any time.
    UnknownKey,
    /// A tenant's key by another scheme.
    OtherScheme(KeyIndex),
    /// A tenant's key twice.
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

    /// The header lines.
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

/// What the headers of a request say of whose it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Identity {
    pub(crate) credentials: Credentials,
    /// A name that only the ingress node may state, and what the request says of it in `Connection`.
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

    /// The header lines.
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

/// Who has the keys from some moment on.
struct Assignment {
    since: Instant,
    /// The tenant of each key, if one has it.
    owners: [Option<&'static str>; KEY_COUNT],
}

/// Who has the keys, now and before.
#[derive(Clone)]
pub(crate) struct KeyHistory(Rc<RefCell<Vec<Assignment>>>);

impl KeyHistory {
    /// Each key is a tenant's.
    pub(crate) fn new() -> KeyHistory {
        let owners = std::array::from_fn(|key| Some(TENANTS[key % TENANTS.len()]));
        let since = Instant::now();
        KeyHistory(Rc::new(RefCell::new(vec![Assignment { since, owners }])))
    }

    /// Takes a key away, or gives it to a tenant.
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

    /// The tenants that have keys now, as a configuration lists them.
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

    /// Whose a request with these credentials may be that the ingress node read at some time between these moments;
    /// `None` is nobody.
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
