//! Odd entries in the store: what another writer may leave there.

use std::net::SocketAddr;

use siskinrock_fakes::site::ZONES;

/// How deep values are nested.
const DEPTH: usize = 200_000;
/// The digits of a number that no type holds.
const DIGITS: usize = 5_000;
/// The longest value that the store takes.
const LONGEST_BYTES: usize = 1 << 20;
/// Where nothing listens.
const NOWHERE: &str = "127.9.9.9:9";
/// Entries of one odd kind: enough that one of them ends a page of the store's list.
const KEYS: usize = 7;

/// Fields of a worker's entry that hold a number.
const NUMBERED: [&str; 4] = ["born", "slots", "sequence", "cold-remaining-ms"];
/// Numbers beyond what a reader may expect; an empty one stands for very many digits.
const NUMBERS: [&str; 6] = ["1e400", "-1e400", "18446744073709551615", "-1", "0.5", ""];
/// What stands where an address is expected.
const ADDRESSES: [&str; 12] = [
    "\"127.9.9.9:65536\"",
    "\"127.9.9.9:99999\"",
    "\"127.9.9.9:-1\"",
    "\"127.9.9.9:0\"",
    "\"127.9.9.9\"",
    "\"worker.example:80\"",
    "\"[::1]:80\"",
    "\"0.0.0.0:80\"",
    "\"224.0.0.1:80\"",
    "null",
    "[]",
    "{}",
];
const STATES: [&str; 4] = ["\"asleep\"", "null", "7", "\"\""];
/// What keys hold that a reader may take for something else, and names beyond ASCII.
const SIGNS: [&str; 8] = [" ", "+", "#", "&", "%20", "é", "?", "="];
/// Prefixes of the system's own entries.
const OWN: [&str; 5] = ["instances/", "crashes/", "versions/", "streams/", "usage/"];

/// An odd value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Oddity {
    /// A field that no reader knows is nested deeply; closed or not.
    Deep(bool),
    /// A field that readers know is nested deeply.
    DeepVersion,
    /// The whole value is.
    DeepWhole,
    /// This field holds this number.
    Number(usize, usize),
    /// The address is this.
    Address(usize),
    /// The state is this.
    State(usize),
    /// No JSON.
    NoJson,
    /// No UTF-8.
    NoText,
    /// Nothing at all.
    Empty,
    /// As long as a value may be.
    Long,
    /// A field stands twice.
    Twice,
}

/// Where an entry points.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Points {
    /// At a gateway's own front.
    Front(usize),
    /// At a gateway's port for peers.
    Peer(usize),
    /// At the store.
    Store,
    /// At an engine that has an entry of its own.
    Engine(usize),
    /// At a service that has one.
    Service(usize),
}

/// What is odd.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Odd {
    /// The value of an entry among the workers.
    Value(Oddity),
    /// That of one among the system's own entries.
    Own(usize, Oddity),
    /// A sound engine's own entry, for a while.
    Engine(usize, Oddity),
    /// The keys of some entries, among the workers or outside of them.
    Key(usize, bool),
    /// What an entry points at.
    Address(Points),
}

/// The kinds of oddities that a run goes without.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Without {
    /// Odd keys.
    pub keys: bool,
    /// Entries that point at what is no worker of their own.
    pub addresses: bool,
}

impl Without {
    /// Whether a run goes without this.
    pub fn leaves_out(self, odd: Odd) -> bool {
        match odd {
            Odd::Key(..) => self.keys,
            Odd::Address(_) => self.addresses,
            Odd::Value(_) | Odd::Own(..) | Odd::Engine(..) => false,
        }
    }
}

/// Draws what is odd.
pub fn draw(random: &mut fastrand::Rng, gateways: usize, engines: usize, services: usize) -> Odd {
    let oddity = draw_value(random);
    let points = [
        Points::Front(random.usize(..gateways)),
        Points::Peer(random.usize(..gateways)),
        Points::Store,
        Points::Engine(random.usize(..engines)),
        Points::Service(random.usize(..services)),
    ];
    let points = points[random.usize(..points.len())];
    match random.u8(..10) {
        0..4 => Odd::Value(oddity),
        4 => Odd::Own(random.usize(..OWN.len()), oddity),
        5 => Odd::Engine(random.usize(..engines), oddity),
        6 | 7 => Odd::Key(random.usize(..SIGNS.len()), random.u8(..4) > 0),
        _ => Odd::Address(points),
    }
}

fn draw_value(random: &mut fastrand::Rng) -> Oddity {
    let number = Oddity::Number(random.usize(..NUMBERED.len()), random.usize(..NUMBERS.len()));
    let address = Oddity::Address(random.usize(..ADDRESSES.len()));
    let state = Oddity::State(random.usize(..STATES.len()));
    match random.u8(..14) {
        0 => Oddity::Deep(true),
        1 => Oddity::Deep(false),
        2 => Oddity::DeepVersion,
        3 => Oddity::DeepWhole,
        4..7 => number,
        7 | 8 => address,
        9 => state,
        10 => Oddity::NoJson,
        11 => Oddity::NoText,
        12 => Oddity::Long,
        _ => [Oddity::Empty, Oddity::Twice][random.usize(..2)],
    }
}

/// The keys of an odd entry; `name` is no other's.
pub fn keys(odd: Odd, name: &str) -> Vec<String> {
    match odd {
        Odd::Value(_) | Odd::Address(_) => vec![format!("servers/{name}")],
        Odd::Own(prefix, _) => vec![format!("siskinrock/{}{name}", OWN[prefix])],
        Odd::Engine(..) => Vec::new(),
        Odd::Key(sign, is_among_workers) => {
            let folder = if is_among_workers { "servers" } else { "notes" };
            let sign = SIGNS[sign];
            (0..KEYS).map(|number| format!("{folder}/{name}{sign}{number}")).collect()
        }
    }
}

/// The fields of a worker's entry.
fn fields(backend: &str, address: &str) -> Vec<(&'static str, String)> {
    vec![
        ("backend", format!("\"{backend}\"")),
        ("address", format!("\"{address}\"")),
        ("zone", format!("\"{}\"", ZONES[0])),
        ("version", "\"v1\"".to_owned()),
        ("slots", "8".to_owned()),
        ("state", "\"ready\"".to_owned()),
        ("cold-remaining-ms", "0".to_owned()),
        ("sequence", "1".to_owned()),
    ]
}

/// An entry that nothing is odd about but where it points.
pub fn pointing(backend: &str, addr: SocketAddr) -> Vec<u8> {
    object(&fields(backend, &addr.to_string()))
}

/// The bytes of an odd value, of a worker that points nowhere.
pub fn value(oddity: Oddity) -> Vec<u8> {
    let mut fields = fields("booking-app", NOWHERE);
    let deep = || "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    match oddity {
        Oddity::Deep(true) => set(&mut fields, "more", deep()),
        Oddity::Deep(false) => set(&mut fields, "more", "[".repeat(DEPTH)),
        Oddity::DeepVersion => set(&mut fields, "version", deep()),
        Oddity::DeepWhole => return deep().into_bytes(),
        Oddity::Number(field, number) => set(&mut fields, NUMBERED[field], digits(number)),
        Oddity::Address(address) => set(&mut fields, "address", ADDRESSES[address].to_owned()),
        Oddity::State(state) => set(&mut fields, "state", STATES[state].to_owned()),
        Oddity::NoJson => return b"a worker at 127.9.9.9:9".to_vec(),
        Oddity::NoText => return vec![b'"', 0xff, 0xfe, b'"'],
        Oddity::Empty => return Vec::new(),
        Oddity::Long => set(&mut fields, "more", format!("\"{}\"", "x".repeat(LONGEST_BYTES / 2))),
        Oddity::Twice => fields.push(("state", "\"draining\"".to_owned())),
    }
    object(&fields)
}

fn digits(number: usize) -> String {
    match NUMBERS[number] {
        "" => "9".repeat(DIGITS),
        number => number.to_owned(),
    }
}

fn set(fields: &mut Vec<(&'static str, String)>, name: &'static str, text: String) {
    fields.retain(|(field, _)| *field != name);
    fields.push((name, text));
}

fn object(fields: &[(&'static str, String)]) -> Vec<u8> {
    let fields: Vec<String> =
        fields.iter().map(|(name, text)| format!("\"{name}\":{text}")).collect();
    format!("{{{}}}", fields.join(",")).into_bytes()
}
